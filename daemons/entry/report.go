package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/entry/quota"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
)

const (
	// reportInterval is the time between two rounds of reports. The time for which
	// package limits considers a grant valid depends on it.
	reportInterval = time.Second
	// maxReportsInFlight bounds the concurrent reports. With 330 entries and 10 ms
	// per report, 32 concurrent reports send a round in about 0.1 s.
	maxReportsInFlight = 32
)

// reporter sends the demand of each organisation at this entry to the other
// entries. run is called by one goroutine.
type reporter struct {
	quota        *quota.Quota
	otherEntries func() []infra.Instance
	client       *http.Client
	log          zerolog.Logger
	slots        chan struct{}
}

func newReporter(q *quota.Quota, otherEntries func() []infra.Instance, token string, log zerolog.Logger) *reporter {
	transport := &http.Transport{IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 1}
	return &reporter{
		quota: q, otherEntries: otherEntries, log: log, slots: make(chan struct{}, maxReportsInFlight),
		client: &http.Client{Transport: daemon.TokenTransport{Token: token, Base: transport}},
	}
}

func (r *reporter) run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		r.sendRound(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// sendRound sends one report to each other entry. A report that can't be sent
// within an interval is dropped, because the next one replaces it.
func (r *reporter) sendRound(ctx context.Context) {
	entries := r.otherEntries()
	ids := make([]string, len(entries))
	for i, entry := range entries {
		ids[i] = entry.ID
	}
	reports := r.quota.NextReports(ids)
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	for _, entry := range entries {
		select {
		case r.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		// sendRound returns before its reports are delivered, so each report has
		// its own deadline.
		go r.send(context.WithoutCancel(ctx), entry, reports[entry.ID])
	}
}

func (r *reporter) send(ctx context.Context, entry infra.Instance, report *pb.ReportRequest) {
	defer func() { <-r.slots }()
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	peer := filbertmuxv1connect.NewEntryServiceClient(r.client, "http://"+entry.Address)
	if _, err := peer.Report(ctx, connect.NewRequest(report)); err != nil {
		r.log.Debug().Err(err).Str("entry", entry.ID).Msg("sending the demand report failed")
	}
}
