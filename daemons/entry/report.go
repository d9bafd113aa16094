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
	// reportInterval is the time between two rounds of reports, for which
	// package limits chooses the validity of grants.
	reportInterval = time.Second
	// maxReports bounds the reports in flight. At 330 entries and 10 ms each,
	// 32 at a time send a round in about 0.1 s.
	maxReports = 32
)

// reporter tells the other entries the demand of each organisation here. Its
// run is one goroutine.
type reporter struct {
	quota  *quota.Quota
	others func() []infra.Instance
	client *http.Client
	log    zerolog.Logger
	slots  chan struct{}
}

func newReporter(q *quota.Quota, others func() []infra.Instance, token string, log zerolog.Logger) *reporter {
	transport := &http.Transport{IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 1}
	return &reporter{
		quota: q, others: others, log: log, slots: make(chan struct{}, maxReports),
		client: &http.Client{Transport: daemon.TokenTransport{Token: token, Base: transport}},
	}
}

func (r *reporter) run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		r.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// round sends one report to each other entry. A report that waits for more
// than an interval is given up: the next one replaces it.
func (r *reporter) round(ctx context.Context) {
	others := r.others()
	ids := make([]string, len(others))
	for n, o := range others {
		ids[n] = o.ID
	}
	reports := r.quota.NextReports(ids)
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	for _, o := range others {
		select {
		case r.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		// The round ends ahead of its reports, so each has its own deadline.
		go r.send(context.WithoutCancel(ctx), o, reports[o.ID])
	}
}

func (r *reporter) send(ctx context.Context, to infra.Instance, report *pb.ReportRequest) {
	defer func() { <-r.slots }()
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	peer := filbertmuxv1connect.NewEntryServiceClient(r.client, "http://"+to.Address)
	if _, err := peer.Report(ctx, connect.NewRequest(report)); err != nil {
		r.log.Debug().Err(err).Str("entry", to.ID).Msg("report")
	}
}
