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

// planner polls the expert counts and decides whether to rebalance while this
// process is the coordinator. Otherwise it discards its counts, so that it starts
// without old ones when the process becomes the coordinator again.
type planner struct {
	controller *Controller
	tracker    *experts.LoadTracker
	// receivers is indexed by member.
	receivers  []countReceiver
	lastPlanAt time.Time
	// lastSearched is the time of the last search, by layer.
	lastSearched []time.Time
}

func newPlanner(c *Controller) *planner {
	return &planner{controller: c, receivers: make([]countReceiver, c.opts.MemberCount)}
}

// reset discards all counts and search times.
func (p *planner) reset() {
	p.tracker, p.lastSearched = nil, nil
	clear(p.receivers)
}

func (p *planner) run(ctx context.Context) error {
	ticker := time.NewTicker(p.controller.opts.Timing.PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if !p.controller.Stats().IsCoordinator {
			p.reset()
			continue
		}
		if err := p.planOnce(ctx); err != nil && ctx.Err() == nil {
			p.controller.updateStats(func(s *Stats) { s.LastReason = errkind.Of(err).Kind.String() })
			p.controller.opts.Log.Debug().Err(err).Msg("planning failed")
		}
	}
}

// planOnce polls the members once and submits a plan if the planner decides to
// rebalance.
func (p *planner) planOnce(ctx context.Context) error {
	reports, inForce, err := p.collectReports(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	counts, err := p.sumCounts(now, reports)
	if err != nil {
		return err
	}
	topology := topologyFromReports(reports)
	if err := inForce.Validate(topology); err != nil {
		return err
	}
	if p.tracker == nil {
		p.tracker = experts.NewLoadTracker(len(inForce.Layers), topology.Experts, experts.DefaultDriftRate)
	}
	if err := p.tracker.Observe(counts); err != nil {
		return err
	}
	if !p.controller.acceptsPlan.Load() {
		return nil
	}
	d, err := p.decide(now, topology, reports, inForce)
	if err != nil {
		return err
	}
	p.controller.updateStats(func(s *Stats) { s.LastReason = d.Reason.String() })
	if !d.Rebalance {
		return nil
	}
	return p.submit(ctx, now, &d)
}

func (p *planner) submit(ctx context.Context, now time.Time, d *experts.Decision) error {
	plan := &plannedSwitch{target: d.Target, movedExperts: len(d.Moves), result: make(chan error, 1)}
	p.controller.pushEvent(event{plan: plan})
	call, cancel := context.WithTimeout(ctx, p.controller.opts.Timing.CallTimeout)
	defer cancel()
	select {
	case err := <-plan.result:
		if err == nil {
			p.lastPlanAt = now
		}
		return err
	case <-call.Done():
		return errkind.Wrap(errkind.QueueFull, call.Err(), "plan was not accepted in time")
	}
}

// collectReports requests reports from all members concurrently, and returns them
// with the map in force. All members must respond and use the same map.
func (p *planner) collectReports(ctx context.Context) ([]*pb.GroupReportResponse, *experts.Map, error) {
	reports := make([]*pb.GroupReportResponse, p.controller.opts.MemberCount)
	var inForce *experts.Map
	group, ctx := errgroup.WithContext(ctx)
	for id, peer := range p.controller.peers {
		group.Go(func() (err error) {
			if mapswitch.MemberID(id) == p.controller.opts.MemberID {
				reports[id], inForce, err = p.controller.localReport(ctx, p.receivers[id].number)
			} else {
				reports[id], err = peer.requestReport(ctx, p.receivers[id].number)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, err
	}
	for id, r := range reports {
		if r.GetEpoch() != inForce.Epoch {
			return nil, nil, errkind.New(errkind.StaleCounts, "member %d uses the map of epoch %d, not %d", id, r.GetEpoch(), inForce.Epoch)
		}
	}
	return reports, inForce, nil
}

// sumCounts returns the tokens of all members since the last poll, with the
// time of the oldest report. It reads all reports even if one has no counts,
// because the next report of each member refers to this one.
func (p *planner) sumCounts(now time.Time, reports []*pb.GroupReportResponse) (*experts.Counts, error) {
	c := &experts.Counts{At: now}
	var lastErr error
	for id, r := range reports {
		if at := now.Add(-time.Duration(r.GetCountsAgeMs()) * time.Millisecond); at.Before(c.At) {
			c.At = at
		}
		tokens, err := p.receivers[id].readReport(r)
		if err == nil {
			err = addTokens(c, tokens)
		}
		if err != nil {
			lastErr = errkind.Wrap(errkind.Of(err).Kind, err, "counts of member "+strconv.Itoa(id))
		}
	}
	return c, lastErr
}

// addTokens adds the tokens of a member to c. All members must have the same
// numbers of layers and experts.
func addTokens(c *experts.Counts, tokens [][]float64) error {
	if c.Layers == nil {
		c.Layers = tokens
		return nil
	}
	if len(tokens) != len(c.Layers) {
		return errkind.New(errkind.InvalidCounts, "%d layers, other members have %d", len(tokens), len(c.Layers))
	}
	for layer := range tokens {
		if len(tokens[layer]) != len(c.Layers[layer]) {
			return errkind.New(errkind.InvalidCounts, "%d experts, other members have %d", len(tokens[layer]), len(c.Layers[layer]))
		}
		for e, n := range tokens[layer] {
			c.Layers[layer][e] += n
		}
	}
	return nil
}

// forecastHorizon is how far ahead of a plan the loads are forecast, in planning
// intervals: to the middle of the interval that follows the activation of the plan.
const forecastHorizon = 1.5

func topologyFromReports(reports []*pb.GroupReportResponse) *experts.Topology {
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
	weights, ok := p.controller.opts.PlannerWeights()
	if !ok {
		return experts.Decision{}, errkind.New(errkind.StaleTable, "the table has no row for the service")
	}
	ahead := time.Duration(forecastHorizon * float64(p.controller.opts.Timing.PlanInterval))
	loads, err := p.tracker.Forecast(now, p.controller.opts.PlannerSettings.MaxCountAge, ahead)
	if err != nil {
		return experts.Decision{}, err
	}
	if len(p.lastSearched) != len(inForce.Layers) {
		p.lastSearched = make([]time.Time, len(inForce.Layers))
	}
	in := experts.Input{
		Now: now, Topology: t, InForce: inForce, Loads: loads, Weights: weights, LastPlan: p.lastPlanAt,
		LastSearched: p.lastSearched,
	}
	for _, r := range reports {
		for _, us := range r.GetStepTimeUs() {
			in.StepTimes = append(in.StepTimes, time.Duration(us)*time.Microsecond)
		}
	}
	d, err := experts.Decide(p.controller.opts.PlannerSettings, in)
	for _, layer := range d.SearchedLayers {
		p.lastSearched[layer] = now
	}
	return d, err
}
