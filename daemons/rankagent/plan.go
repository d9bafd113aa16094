package rankagent

import (
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

const (
	// driftRate is the relative variance that the load share of an expert gains per
	// second, for a mix of requests that changes within seconds.
	driftRate = 0.15
	// countsPerRequest scales counts to independent observations, because the expert
	// choices of the tokens of one request are correlated.
	countsPerRequest = 4000
	// planHorizon is the time over which a map has to pay off. After that, the mix
	// of requests has changed again.
	planHorizon = 4 * time.Second
	// copyOverhead is the relative increase of the step time while experts are
	// copied.
	copyOverhead = 0.15
	// planHysteresis is the factor by which the saving of a plan must exceed its
	// cost.
	planHysteresis = 1.3
	// newExpertsPerPlan is the maximum number of experts of a layer that one plan
	// adds to a rank. Ranks copy experts one by one, so a small plan is in force
	// sooner, and the next plan can follow.
	newExpertsPerPlan = 1
	// searchShare is the fraction of the layers that one plan may search and change.
	// Layers with the largest excess load come first.
	searchShare = 0.3
	// minObservationsPerExpert is the mean number of observations of an expert in a
	// layer before the first plan. Fewer of them say little about the loads, and the map
	// would be worse than the initial one.
	minObservationsPerExpert = 2
	// slowdownThreshold is the slowdown above which a rank counts as slow.
	slowdownThreshold = 1.1
	// minSavedShare is the minimum saving of a plan as a fraction of planHorizon. Plans
	// that save less are not worth a switch, because a switch in progress delays the
	// reaction to a new mix of requests.
	minSavedShare = 0.1
	// minSavedShareLargeGroup is the same for groups of more than largeGroup ranks. The
	// load of the most loaded of many ranks is mostly noise of the counts, which each new
	// plan seems to reduce.
	minSavedShareLargeGroup = 0.6
	largeGroup              = 48
	// minSavedShareShortGap is the same while the gaps between the events of the
	// streams are short. A better map then has no benefit for the streams, and copies
	// are billed.
	minSavedShareShortGap = 0.6
	// shortGap is the event gap, relative to its objective, below which it counts as
	// short.
	shortGap = 0.5
	// typicalBatch is the number of requests on a rank for which the step time is
	// estimated.
	typicalBatch = 8
	// maxCountAge is the age above which counts are too old to plan with.
	maxCountAge = 10 * time.Second
	bitsPerByte = 8
)

// planner plans expert maps from the expert counts of all ranks.
type planner struct {
	tracker *experts.LoadTracker
	// lastCounts holds the counts of each rank at its last reading, by rank.
	lastCounts map[int]rankCounts
	// observations is the mean number of observations of an expert in a layer.
	observations float64
}

// rankCounts holds the expert counts of one rank since its start.
type rankCounts struct {
	startedUnixMs int64
	counts        []uint64
}

func newPlanner() *planner { return &planner{lastCounts: make(map[int]rankCounts)} }

// previous returns the previous count of expert i, or 0 if the rank has counted from 0
// again since then.
func (c rankCounts) previous(startedUnixMs int64, i int, now uint64) uint64 {
	if c.startedUnixMs != startedUnixMs || i >= len(c.counts) || c.counts[i] > now {
		return 0
	}
	return c.counts[i]
}

// observe passes the increase of the ranks' counts since their last reading to the
// tracker. It leaves out the ranks whose counts were not read. The first counts of a rank cover the time since its start.
func (p *planner) observe(now time.Time, e *fleet.Experts, reports []*pb.ReadRankResponse) error {
	sum := make([]float64, e.LayerSets*e.ExpertsPerLayer)
	for _, r := range reports {
		if len(r.GetCounts()) == 0 {
			continue
		}
		if len(r.GetCounts()) != len(sum) {
			return errkind.New(errkind.InvalidCounts, "got %d counts of rank %d, want %d", len(r.GetCounts()), r.GetRank(), len(sum))
		}
		last := p.lastCounts[int(r.GetRank())]
		p.lastCounts[int(r.GetRank())] = rankCounts{startedUnixMs: r.GetBorn(), counts: r.GetCounts()}
		for i, n := range r.GetCounts() {
			sum[i] += float64(n-last.previous(r.GetBorn(), i, n)) / countsPerRequest
		}
	}
	for _, n := range sum {
		p.observations += n / float64(len(sum))
	}
	if p.tracker == nil {
		p.tracker = experts.NewLoadTracker(e.LayerSets, e.ExpertsPerLayer, driftRate)
	}
	c := &experts.Counts{At: now}
	for layer := range e.LayerSets {
		c.Layers = append(c.Layers, sum[layer*e.ExpertsPerLayer:(layer+1)*e.ExpertsPerLayer])
	}
	return p.tracker.Observe(c)
}

// decide returns a decision with a map that is worth a switch, or with the reason why
// there is none. eventGap is the time between two events of a stream, relative to its
// objective.
func (p *planner) decide(
	now time.Time, e *fleet.Engine, t *experts.Topology, inForce *experts.Map, eventGap float64,
) (experts.Decision, error) {
	if p.tracker == nil || p.observations < minObservationsPerExpert {
		return experts.Decision{Reason: experts.Balanced}, nil
	}
	loads, err := p.tracker.Loads(now, maxCountAge)
	if err != nil {
		return experts.Decision{}, err
	}
	d, err := experts.Decide(planSettings(e, t.Ranks()), experts.Input{
		Now: now, Topology: t, InForce: inForce, Loads: loads, Weights: experts.Weights{Skew: 1, Cost: 1},
	})
	minShare := minSavedShare
	if t.Ranks() > largeGroup {
		minShare = minSavedShareLargeGroup
	}
	if eventGap < shortGap {
		minShare = minSavedShareShortGap
	}
	if d.Rebalance && d.Saved.Seconds() < minShare*planHorizon.Seconds() {
		d.Rebalance, d.Reason = false, experts.NotWorthIt
	}
	return d, err
}

// planSettings returns the planner settings for an engine and a number of ranks.
func planSettings(e *fleet.Engine, ranks int) experts.Settings {
	s := experts.DefaultSettings()
	s.StepTime = e.StepTime + typicalBatch*e.StepTimePerRequest
	s.ExpertShare = e.Experts.WorkShare
	s.Horizon = planHorizon
	s.MoveCost = moveCost(e.Experts, ranks)
	s.TailWeight = 1
	s.SearchShare = searchShare
	s.Hysteresis = planHysteresis
	s.MinInterval = 0
	s.MaxInFlight = ranks * e.Experts.LayerSets * e.Experts.SlotsPerRank
	s.StoreRate = float64(s.MaxInFlight)
	s.MaxCountAge = maxCountAge
	return s
}

// copySeconds returns the time for which a rank copies one expert, in seconds, or 0 if
// it isn't known.
func copySeconds(e *fleet.Experts) float64 {
	if e.LinkMbps <= 0 {
		return 0
	}
	return e.ExpertMegabytes * bitsPerByte / e.LinkMbps
}

// moveCost returns the time that copying one expert costs the group, because the copy
// slows the steps and delays the new map. The ranks copy concurrently, so the cost is
// divided by their number.
func moveCost(e *fleet.Experts, ranks int) time.Duration {
	return time.Duration((1 + copyOverhead) * copySeconds(e) / float64(ranks) * float64(time.Second))
}

// topology returns the topology of the group for the planner.
func topology(e *fleet.Experts, domains []string) *experts.Topology {
	return &experts.Topology{
		Experts: e.ExpertsPerLayer, SlotsPerRank: e.SlotsPerRank, Domains: domains,
		MaxNewPerRank: min(e.MaxNewPerLayer, newExpertsPerPlan),
	}
}

// slowdowns returns the slowdown of each rank, or nil if no rank is slow.
func slowdowns(responses []*pb.ReadRankResponse) []float64 {
	out := make([]float64, len(responses))
	slow := false
	for i, r := range responses {
		out[i] = max(r.GetPace(), 1)
		slow = slow || out[i] > slowdownThreshold
	}
	if !slow {
		return nil
	}
	return out
}

// mapInForce assembles the map in force from the experts that each rank uses.
func mapInForce(t *experts.Topology, layers int, reports []*pb.ReadRankResponse) (*experts.Map, error) {
	m, err := assembleMap(t, layers, reports)
	if err != nil {
		return nil, err
	}
	return m, m.Validate(t)
}

// mapWithoutRank assembles the map in force if one rank could not be read. It assigns
// to that rank the experts that no other rank hosts.
func mapWithoutRank(t *experts.Topology, layers int, reports []*pb.ReadRankResponse, unread int) (*experts.Map, error) {
	m, err := assembleMap(t, layers, reports)
	if err != nil {
		return nil, err
	}
	for _, layer := range m.Layers {
		missing := missingExperts(t, layer)
		if len(missing) > t.SlotsPerRank {
			return nil, errkind.New(errkind.InvalidMap, "%d experts are on none of the ranks read, but one rank hosts at most %d",
				len(missing), t.SlotsPerRank)
		}
		copy(layer[unread*t.SlotsPerRank:], missing)
	}
	return m, m.Validate(t)
}

// missingExperts lists the experts that no rank hosts in a layer.
func missingExperts(t *experts.Topology, layer experts.Layer) []experts.Expert {
	var missing []experts.Expert
	for e := range experts.Expert(t.Experts) {
		if !slices.Contains(layer, e) {
			missing = append(missing, e)
		}
	}
	return missing
}

// assembleMap fills the slots of each rank with the experts that it reports. The
// slots of ranks without a report stay empty.
func assembleMap(t *experts.Topology, layers int, reports []*pb.ReadRankResponse) (*experts.Map, error) {
	m := &experts.Map{Layers: make([]experts.Layer, layers)}
	for i := range m.Layers {
		m.Layers[i] = make(experts.Layer, t.Slots())
		for slot := range m.Layers[i] {
			m.Layers[i][slot] = experts.EmptySlot
		}
	}
	for _, r := range reports {
		if len(r.GetExperts()) != layers {
			return nil, errkind.New(errkind.InvalidMap, "rank %d reports %d layers, want %d", r.GetRank(), len(r.GetExperts()), layers)
		}
		for i, list := range r.GetExperts() {
			if len(list.GetExperts()) > t.SlotsPerRank {
				return nil, errkind.New(errkind.InvalidMap, "rank %d reports %d experts in a layer, allowed are %d",
					r.GetRank(), len(list.GetExperts()), t.SlotsPerRank)
			}
			for k, e := range list.GetExperts() {
				m.Layers[i][int(r.GetRank())*t.SlotsPerRank+k] = experts.Expert(e)
			}
		}
	}
	return m, nil
}
