package entry

import (
	"slices"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/table"
)

// evacuatedDomainsGauge is the number of evacuated failure domains in the table in force.
const evacuatedDomainsGauge = "evacuated_domains"

// evacuationReporter logs the beginning and the end of evacuations, and counts the
// evacuated failure domains. It has no part in routing, for which the table in force
// counts directly. It belongs to one goroutine.
type evacuationReporter struct {
	view            func() *table.View
	serversInDomain func(failureDomain string) int
	log             zerolog.Logger
	metrics         *telemetry.Metrics

	domains []string // those that were reported, sorted
}

func newEvacuationReporter(view func() *table.View, serversInDomain func(string) int, log zerolog.Logger, metrics *telemetry.Metrics) *evacuationReporter {
	metrics.SetGauge(evacuatedDomainsGauge, 0)
	return &evacuationReporter{view: view, serversInDomain: serversInDomain, log: log, metrics: metrics}
}

// refresh reports what has changed in the table since the last call.
func (r *evacuationReporter) refresh() {
	view := r.view()
	domains := view.EvacuatedDomains()
	if slices.Equal(domains, r.domains) {
		return
	}
	for _, domain := range domains {
		if !slices.Contains(r.domains, domain) {
			r.logBegin(view, domain)
		}
	}
	for _, domain := range r.domains {
		if !slices.Contains(domains, domain) {
			r.logEnd(view, domain)
		}
	}
	r.domains = domains
	r.metrics.SetGauge(evacuatedDomainsGauge, float64(len(domains)))
}

// logBegin logs that an evacuation has begun. A failure domain without servers is
// probably mistyped.
func (r *evacuationReporter) logBegin(view *table.View, domain string) {
	row, _ := view.Get(table.Key{Kind: table.KindEvacuation, ID: domain})
	count := r.serversInDomain(domain)
	line, text := r.log.Info(), "failure domain evacuated; sending no more requests to its backend servers"
	if count == 0 {
		line, text = r.log.Warn(), "evacuation of a failure domain in which no backend server is listed"
	}
	line.Str("failure_domain", domain).Str("office", row.Row.Office).
		Uint64("row_version", uint64(row.Version)).Int("backend_servers", count).Msg(text)
}

func (r *evacuationReporter) logEnd(view *table.View, domain string) {
	r.log.Info().Str("failure_domain", domain).Uint64("table_offset", uint64(view.Offset())).
		Int("backend_servers", r.serversInDomain(domain)).
		Msg("evacuation taken back; using the backend servers of the failure domain again")
}
