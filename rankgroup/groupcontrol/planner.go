package groupcontrol

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// planner polls the expert counts and decides while this process is the
// holder. It starts without counts whenever it becomes the holder.
type planner struct {
	c       *Controller
	tracker *experts.LoadTracker
	// received is indexed by member.
	received []received
	lastPlan time.Time
	// searched holds the time of the last search by layer.
	searched []time.Time
}

func newPlanner(c *Controller) *planner {
	return &planner{c: c, received: make([]received, c.opts.MemberCount)}
}

// reset forgets all counts.
func (p *planner) reset() {
	p.tracker, p.searched = nil, nil
	clear(p.received)
}

func (p *planner) run(ctx context.Context) error {
	ticker := time.NewTicker(p.c.opts.Timing.PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if !p.c.Stats().IsCoordinator {
			p.reset()
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
	if err != nil {
		return err
	}
	topology := topologyOf(reports)
	if err := inForce.Validate(topology); err != nil {
		return err
	}
	if p.tracker == nil {
		p.tracker = experts.NewLoadTracker(len(inForce.Layers), topology.Experts, experts.DefaultDriftRate)
	}
	if err := p.tracker.Observe(counts); err != nil {
		return err
	}
	if !p.c.idle.Load() {
		return nil
	}
	d, err := p.decide(now, topology, reports, inForce)
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
	call, cancel := context.WithTimeout(ctx, p.c.opts.Timing.CallTimeout)
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
	reports := make([]*pb.GroupReportResponse, p.c.opts.MemberCount)
	var inForce *experts.Map
	group, ctx := errgroup.WithContext(ctx)
	for id, peer := range p.c.peers {
		group.Go(func() (err error) {
			if mapswitch.MemberID(id) == p.c.opts.MemberID {
				reports[id], inForce, err = p.c.ownReport(ctx, p.received[id].number)
			} else {
				reports[id], err = peer.report(ctx, p.received[id].number)
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
// oldest report. All reports are read even if one has no counts, because each
// one is the base of the next.
func (p *planner) counts(now time.Time, reports []*pb.GroupReportResponse) (*experts.Counts, error) {
	c := &experts.Counts{At: now}
	var failed error
	for id, r := range reports {
		if at := now.Add(-time.Duration(r.GetCountsAgeMs()) * time.Millisecond); at.Before(c.At) {
			c.At = at
		}
		tokens, err := p.received[id].read(r)
		if err == nil {
			err = add(c, tokens)
		}
		if err != nil {
			failed = errkind.Wrap(errkind.Of(err).Kind, err, "counts of member "+strconv.Itoa(id))
		}
	}
	return c, failed
}

// add adds the tokens of a member. All members must have the same shape.
func add(c *experts.Counts, tokens [][]float64) error {
	if c.Layers == nil {
		c.Layers = tokens
		return nil
	}
	if len(tokens) != len(c.Layers) {
		return errkind.New(errkind.InvalidCounts, "%d layers, others have %d", len(tokens), len(c.Layers))
	}
	for layer := range tokens {
		if len(tokens[layer]) != len(c.Layers[layer]) {
			return errkind.New(errkind.InvalidCounts, "%d experts, others have %d", len(tokens[layer]), len(c.Layers[layer]))
		}
		for e, n := range tokens[layer] {
			c.Layers[layer][e] += n
		}
	}
	return nil
}

// forecastAhead is the time from a plan to the middle of the interval after
// its activation, in planning intervals.
const forecastAhead = 1.5

func topologyOf(reports []*pb.GroupReportResponse) *experts.Topology {
	t := &experts.Topology{Experts: int(reports[0].GetExperts()), SlotsPerRank: int(reports[0].GetSlotsPerRank())}
	for _, r := range reports {
		for range r.GetStepTimeUs() {
			t.Domains = append(t.Domains, r.GetFailureDomain())
		}
	}
	return t
}

func (p *planner) decide(
	now time.Time, t *experts.Topology, reports []*pb.GroupReportResponse, inForce *experts.Map,
) (experts.Decision, error) {
	weights, ok := p.c.opts.PlannerWeights()
	if !ok {
		return experts.Decision{}, errkind.New(errkind.StaleTable, "the table has no row of the service")
	}
	ahead := time.Duration(forecastAhead * float64(p.c.opts.Timing.PlanInterval))
	loads, err := p.tracker.Forecast(now, p.c.opts.PlannerSettings.MaxCountAge, ahead)
	if err != nil {
		return experts.Decision{}, err
	}
	if len(p.searched) != len(inForce.Layers) {
		p.searched = make([]time.Time, len(inForce.Layers))
	}
	in := experts.Input{
		Now: now, Topology: t, InForce: inForce, Loads: loads, Weights: weights, LastPlan: p.lastPlan,
		LastSearched: p.searched,
	}
	for _, r := range reports {
		for _, us := range r.GetStepTimeUs() {
			in.StepTimes = append(in.StepTimes, time.Duration(us)*time.Microsecond)
		}
	}
	d, err := experts.Decide(p.c.opts.PlannerSettings, in)
	for _, layer := range d.SearchedLayers {
		p.searched[layer] = now
	}
	return d, err
}
