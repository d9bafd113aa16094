package groupcontrol

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertmux/filbertmux/errkind"
	"github.com/filbertmux/filbertmux/experts"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/mapswitch"
)

// planner polls the expert counts and decides while this process is the
// holder. It starts without counts whenever it becomes the holder.
type planner struct {
	c        *Control
	tracker  *experts.Tracker
	last     []*pb.GroupReportResponse
	lastPlan time.Time
}

func newPlanner(c *Control) *planner { return &planner{c: c} }

func (p *planner) run(ctx context.Context) error {
	ticker := time.NewTicker(p.c.opts.Timing.Plan)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if !p.c.Stats().Holding {
			p.tracker, p.last = nil, nil
			continue
		}
		if err := p.round(ctx); err != nil && ctx.Err() == nil {
			p.c.count(func(s *Stats) { s.LastReason = errkind.Of(err).Kind.String() })
			p.c.opts.Log.Debug().Err(err).Msg("no plan")
		}
	}
}

// round polls once and submits a plan if it is worth it.
func (p *planner) round(ctx context.Context) error {
	reports, inForce, err := p.collect(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	counts, err := p.counts(now, reports)
	p.last = reports
	if err != nil {
		return err
	}
	if p.tracker == nil {
		p.tracker = experts.NewTracker(len(counts.Layers), int(reports[0].GetExperts()), experts.DefaultDriftRate)
	}
	if err := p.tracker.Observe(counts); err != nil {
		return err
	}
	if !p.c.idle.Load() {
		return nil
	}
	d, err := p.decide(now, reports, inForce)
	if err != nil {
		return err
	}
	p.c.count(func(s *Stats) { s.LastReason = d.Reason.String() })
	if !d.Rebalance {
		return nil
	}
	return p.submit(ctx, now, &d)
}

func (p *planner) submit(ctx context.Context, now time.Time, d *experts.Decision) error {
	plan := &proposal{target: d.Target, moves: len(d.Moves), result: make(chan error, 1)}
	p.c.push(event{plan: plan})
	call, cancel := context.WithTimeout(ctx, p.c.opts.Timing.Call)
	defer cancel()
	select {
	case err := <-plan.result:
		if err == nil {
			p.lastPlan = now
		}
		return err
	case <-call.Done():
		return errkind.Wrap(errkind.QueueFull, call.Err(), "plan was not taken")
	}
}

// collect asks all members at once. All must answer and use the same map.
func (p *planner) collect(ctx context.Context) ([]*pb.GroupReportResponse, *experts.Map, error) {
	reports := make([]*pb.GroupReportResponse, p.c.opts.Members)
	var inForce *experts.Map
	group, ctx := errgroup.WithContext(ctx)
	for id, peer := range p.c.peers {
		group.Go(func() (err error) {
			if mapswitch.MemberID(id) == p.c.opts.Member {
				reports[id], inForce, err = p.c.ownReport(ctx)
			} else {
				reports[id], err = peer.report(ctx)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, err
	}
	for id, r := range reports {
		if r.GetEpoch() != inForce.Epoch {
			return nil, nil, errkind.New(errkind.StaleCounts, "member %d is at epoch %d, not %d", id, r.GetEpoch(), inForce.Epoch)
		}
	}
	return reports, inForce, nil
}

// counts returns the tokens since the last poll. Their time is that of the
// oldest report.
func (p *planner) counts(now time.Time, reports []*pb.GroupReportResponse) (*experts.Counts, error) {
	if p.last == nil {
		return nil, errkind.New(errkind.StaleCounts, "first poll")
	}
	c := &experts.Counts{At: now}
	for id, r := range reports {
		if at := now.Add(-time.Duration(r.GetCountsAgeMs()) * time.Millisecond); at.Before(c.At) {
			c.At = at
		}
		if err := addDifference(c, r.GetCounts(), p.last[id].GetCounts()); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func addDifference(c *experts.Counts, counts, before []*pb.ExpertCounts) error {
	if c.Layers == nil {
		c.Layers = make([][]float64, len(counts))
	}
	if len(counts) != len(c.Layers) || len(before) != len(counts) {
		return errkind.New(errkind.InvalidCounts, "%d layers, before %d", len(counts), len(before))
	}
	for layer := range counts {
		tokens, old := counts[layer].GetTokens(), before[layer].GetTokens()
		if c.Layers[layer] == nil {
			c.Layers[layer] = make([]float64, len(tokens))
		}
		if len(tokens) != len(c.Layers[layer]) || len(old) != len(tokens) {
			return errkind.New(errkind.InvalidCounts, "layer %d: %d experts, before %d", layer, len(tokens), len(old))
		}
		for e, n := range tokens {
			if n < old[e] {
				return errkind.New(errkind.StaleCounts, "a backend server has restarted its counts")
			}
			c.Layers[layer][e] += float64(n - old[e])
		}
	}
	return nil
}

func (p *planner) decide(now time.Time, reports []*pb.GroupReportResponse, inForce *experts.Map) (experts.Decision, error) {
	weights, ok := p.c.opts.Weights()
	if !ok {
		return experts.Decision{}, errkind.New(errkind.StaleTable, "the table has no row of the service")
	}
	loads, err := p.tracker.Loads(now, p.c.opts.Planner.MaxCountAge)
	if err != nil {
		return experts.Decision{}, err
	}
	t := &experts.Topology{Experts: int(reports[0].GetExperts()), SlotsPerRank: int(reports[0].GetSlotsPerRank())}
	in := experts.Input{
		Now: now, Topology: t, InForce: inForce, Loads: loads, Weights: weights, LastPlan: p.lastPlan,
	}
	for _, r := range reports {
		for _, us := range r.GetStepTimeUs() {
			t.Domains = append(t.Domains, r.GetFailureDomain())
			in.StepTimes = append(in.StepTimes, time.Duration(us)*time.Microsecond)
		}
	}
	return experts.Decide(p.c.opts.Planner, in)
}
