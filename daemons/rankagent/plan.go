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
	// driftRate is the relative variance that the share of an expert gains per
	// second where the mix of work changes within seconds.
	driftRate = 0.15
	// countsPerRequest scales counts to independent observations: the tokens of
	// one request choose their experts together.
	countsPerRequest = 4000
	// planHorizon is the time over which a map has to pay off: the time until
	// the mix of work has changed again.
	planHorizon = 4 * time.Second
	// copySlowdown is how much longer steps take while experts are copied.
	copySlowdown = 0.15
	// planHysteresis is how much more than its cost a plan has to save.
	planHysteresis = 1.3
	// newPerPlan is the number of experts of a layer that one plan adds to a
	// rank. The ranks copy one expert after the other, so small plans are in
	// force sooner, and the next one follows.
	newPerPlan = 1
	// searchShare is the part of the layers that one plan changes, those with the
	// largest excess first.
	searchShare = 0.3
	// slowPace is the pace from which a rank counts as slow.
	slowPace = 1.1
	// minSaved is the least saving of a plan, in parts of the horizon. A plan
	// under way keeps the next one from answering a new mix of work.
	minSaved = 0.1
	// minSavedAtEase is the same while the pauses of the streams are short: a
	// better map then helps nobody, and copies are billed.
	minSavedAtEase = 0.6
	// easePause is the longest pause, relative to the objective, that is short.
	easePause = 0.5
	// usualBatch is the number of requests of a rank for which the time of a
	// step is taken.
	usualBatch = 8
	// maxCountAge is the age from which counts are of no use.
	maxCountAge = 10 * time.Second
	bitsPerByte = 8
)

// planner turns the counts of all ranks into maps.
type planner struct {
	tracker *experts.LoadTracker
	// last holds the counts of each rank at the last reading, by rank.
	last map[int]counted
}

type counted struct {
	born   int64
	counts []uint64
}

func newPlanner() *planner { return &planner{last: make(map[int]counted)} }

// at returns the former count of an expert, 0 if the rank counts anew.
func (c counted) at(born int64, i int, now uint64) uint64 {
	if c.born != born || i >= len(c.counts) || c.counts[i] > now {
		return 0
	}
	return c.counts[i]
}

// observe takes the counts of all ranks, as they were at now. The first counts of
// a rank are those since its start.
func (p *planner) observe(now time.Time, e *fleet.Experts, reports []*pb.ReadRankResponse) error {
	sum := make([]float64, e.LayerSets*e.ExpertsPerLayer)
	for _, r := range reports {
		if len(r.GetCounts()) != len(sum) {
			return errkind.New(errkind.InvalidCounts, "%d counts of rank %d, want %d", len(r.GetCounts()), r.GetRank(), len(sum))
		}
		before := p.last[int(r.GetRank())]
		p.last[int(r.GetRank())] = counted{born: r.GetBorn(), counts: r.GetCounts()}
		for i, n := range r.GetCounts() {
			sum[i] += float64(n-before.at(r.GetBorn(), i, n)) / countsPerRequest
		}
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

// decide returns a map that is worth the switch, or the reason why there is none.
// pause is the time between two events of a stream relative to its objective.
func (p *planner) decide(
	now time.Time, e *fleet.Engine, t *experts.Topology, inForce *experts.Map, pause float64,
) (experts.Decision, error) {
	if p.tracker == nil {
		return experts.Decision{Reason: experts.Balanced}, nil
	}
	loads, err := p.tracker.Loads(now, maxCountAge)
	if err != nil {
		return experts.Decision{}, err
	}
	d, err := experts.Decide(planSettings(e, t.Ranks()), experts.Input{
		Now: now, Topology: t, InForce: inForce, Loads: loads, Weights: experts.Weights{Skew: 1, Cost: 1},
	})
	least := minSaved
	if pause < easePause {
		least = minSavedAtEase
	}
	if d.Rebalance && d.Saved.Seconds() < least*planHorizon.Seconds() {
		d.Rebalance, d.Reason = false, experts.NotWorthIt
	}
	return d, err
}

func planSettings(e *fleet.Engine, ranks int) experts.Settings {
	s := experts.DefaultSettings()
	s.StepTime = e.StepTime + usualBatch*e.StepTimePerRequest
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

// moveCost is the time that the copy of one expert costs the group: it slows the
// steps, and it puts off the new map. Ranks copy at the same time, so each copy
// counts for its part of them.
func moveCost(e *fleet.Experts, ranks int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	seconds := e.ExpertMegabytes * bitsPerByte / e.LinkMbps
	return time.Duration((1 + copySlowdown) * seconds / float64(ranks) * float64(time.Second))
}

// topology describes the group to the planner.
func topology(e *fleet.Experts, domains []string) *experts.Topology {
	return &experts.Topology{
		Experts: e.ExpertsPerLayer, SlotsPerRank: e.SlotsPerRank, Domains: domains,
		MaxNewPerRank: min(e.MaxNewPerLayer, newPerPlan),
	}
}

// paces returns how slow each rank is, or nil if none is.
func paces(responses []*pb.ReadRankResponse) []float64 {
	out := make([]float64, len(responses))
	slow := false
	for i, r := range responses {
		out[i] = max(r.GetPace(), 1)
		slow = slow || out[i] > slowPace
	}
	if !slow {
		return nil
	}
	return out
}

// mapInForce puts together the map from the experts that each rank has in use.
func mapInForce(t *experts.Topology, layers int, reports []*pb.ReadRankResponse) (*experts.Map, error) {
	m, err := mapOfRanks(t, layers, reports)
	if err != nil {
		return nil, err
	}
	return m, m.Validate(t)
}

// mapWithoutRank is the same where one rank was not read. It gets the experts
// that no other rank has.
func mapWithoutRank(t *experts.Topology, layers int, reports []*pb.ReadRankResponse, absent int) (*experts.Map, error) {
	m, err := mapOfRanks(t, layers, reports)
	if err != nil {
		return nil, err
	}
	for _, layer := range m.Layers {
		missing := missingExperts(t, layer)
		if len(missing) > t.SlotsPerRank {
			return nil, errkind.New(errkind.InvalidMap, "%d experts are on no rank that was read, %d fit on one",
				len(missing), t.SlotsPerRank)
		}
		copy(layer[absent*t.SlotsPerRank:], missing)
	}
	return m, m.Validate(t)
}

func missingExperts(t *experts.Topology, layer experts.Layer) []experts.Expert {
	var missing []experts.Expert
	for e := range experts.Expert(t.Experts) {
		if !slices.Contains(layer, e) {
			missing = append(missing, e)
		}
	}
	return missing
}

func mapOfRanks(t *experts.Topology, layers int, reports []*pb.ReadRankResponse) (*experts.Map, error) {
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
				return nil, errkind.New(errkind.InvalidMap, "rank %d holds %d experts, at most %d fit",
					r.GetRank(), len(list.GetExperts()), t.SlotsPerRank)
			}
			for k, e := range list.GetExperts() {
				m.Layers[i][int(r.GetRank())*t.SlotsPerRank+k] = experts.Expert(e)
			}
		}
	}
	return m, nil
}
