package rankagent

import (
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/countwindow"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/linkbudget"
)

const (
	// driftRate is the relative variance that the load share of an expert gains per
	// second, for a mix of requests that changes within seconds.
	driftRate = 0.15
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
	// changeBytes is the size of a moved expert in the order to each rank; see package
	// mapdelta.
	changeBytes = 3
	// minObservationsPerExpert is the mean number of observations of an expert in a
	// layer before the first plan. Fewer of them say little about the loads, and the map
	// would be worse than the initial one.
	minObservationsPerExpert = 2
	// slowdownThreshold is the slowdown above which a rank counts as slow.
	slowdownThreshold = 1.1
	// minSavedShare is the minimum saving of a plan as a fraction of planHorizon. Plans
	// that save less are not worth a switch, because a switch in progress delays the
	// reaction to a new mix of requests.
	minSavedShare = 0.3
	// minSavedShareInTime is the same while the gaps between the events of the streams
	// are short, or would be too long only because of the copies. A better map then has
	// little benefit for the streams, and copies are billed.
	minSavedShareInTime = 0.6
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

// planner plans expert maps from the recent expert counts of all ranks.
type planner struct {
	tracker *experts.LoadTracker
	// recent holds the last counts of each rank.
	recent *countwindow.Table
	// decoded is the memory for the counts of one rank.
	decoded []float64
	// observations is the mean number of observations of an expert in a layer.
	observations float64
	// seen is the load at the last observation.
	seen seenLoad
}

// seenLoad describes the counts of one observation.
type seenLoad struct {
	// skew is the load of the most loaded rank relative to the mean under the map in
	// force, averaged over the layers. Each pass takes that much longer in the experts.
	skew float64
	// countAge is the age of the oldest counts, and observations the mean number of
	// independent choices of an expert in them.
	countAge     time.Duration
	observations float64
}

func newPlanner() *planner { return &planner{recent: countwindow.NewTable()} }

// observe passes the recent counts of the ranks to the tracker once most ranks have
// reported new ones. Counts older than maxAge are left out. It returns true if it did.
func (p *planner) observe(
	now time.Time, e *fleet.Experts, t *experts.Topology, inForce *experts.Map, reports []*pb.ReadRankResponse, maxAge time.Duration,
) (bool, error) {
	if err := p.recordCounts(now, e, reports); err != nil {
		return false, err
	}
	total, ok := p.recent.Total(now, t.Ranks(), maxAge)
	if !ok {
		return false, nil
	}
	counts := &experts.Counts{At: now}
	independent := &experts.Counts{At: now}
	p.seen = seenLoad{countAge: total.OldestAge}
	for layer := range e.LayerSets {
		layerCounts := total.Counts[layer*e.ExpertsPerLayer : (layer+1)*e.ExpertsPerLayer]
		// The tokens of one request choose similar experts, so only some of the choices
		// are independent.
		choices := make([]float64, len(layerCounts))
		for i, n := range layerCounts {
			choices[i] = n / total.Dispersion
			p.seen.observations += choices[i] / float64(len(total.Counts))
		}
		counts.Layers, independent.Layers = append(counts.Layers, layerCounts), append(independent.Layers, choices)
	}
	p.observations += p.seen.observations
	p.seen.skew = experts.MeanSkew(t, inForce, counts.Layers)
	if p.tracker == nil {
		p.tracker = experts.NewLoadTracker(e.LayerSets, e.ExpertsPerLayer, driftRate)
	}
	return true, p.tracker.Observe(independent)
}

// recordCounts records the counts of the ranks that were read.
func (p *planner) recordCounts(now time.Time, e *fleet.Experts, reports []*pb.ReadRankResponse) error {
	for _, r := range reports {
		m := r.GetRecentCounts()
		if m == nil || m.GetOverMs() == 0 {
			continue
		}
		encoded := countwindow.Encoded{Largest: m.GetLargest(), Levels: m.GetLevels()}
		counts, err := encoded.Decode(p.decoded, e.LayerSets, e.ExpertsPerLayer)
		if err != nil {
			return err
		}
		p.decoded = counts
		p.recent.Set(int(r.GetRank()), now, counts, time.Duration(m.GetOverMs())*time.Millisecond)
	}
	return nil
}

// passTimes describes the passes of a group.
type passTimes struct {
	// mean is the time of a pass, or 0 if it isn't known. Without active requests there are
	// no passes.
	mean time.Duration
	// gap is the time between two events of a stream relative to its objective, or 1 if
	// one of them isn't known.
	gap float64
}

// lateByCopies reports whether the streams are in time now, but not while experts are
// copied.
func (p passTimes) lateByCopies() bool {
	return p.mean > 0 && p.gap <= 1 && p.gap*(1+copyOverhead) > 1
}

// minSaved returns the least saving of a plan.
func (p passTimes) minSaved() time.Duration {
	share := minSavedShare
	if p.gap < shortGap || p.lateByCopies() {
		share = minSavedShareInTime
	}
	return time.Duration(share * float64(planHorizon))
}

// maxCopies returns the maximum number of experts that a rank copies for one plan, or 0 for
// no limit. Copying takes at most about one pass, so that few passes are longer because of
// it. Streams that are late anyway are better off with one plan than with several that
// follow one another: then a rank may copy an expert in every other layer. So many are
// needed if the whole mix of requests changes, because each overloaded rank gives a replica
// to another one.
func (p passTimes) maxCopies(e *fleet.Experts) int {
	seconds := copySeconds(e)
	if seconds == 0 {
		return 0
	}
	inPass := max(int(p.mean.Seconds()/seconds), 1)
	if p.lateByCopies() {
		return inPass
	}
	return max(inPass, (e.LayerSets+1)/2)
}

// decide returns a decision with a map that is worth a switch, or with the reason why
// there is none.
func (p *planner) decide(
	now time.Time, e *fleet.Engine, t *experts.Topology, inForce *experts.Map, passes passTimes, link linkbudget.Link,
) (experts.Decision, error) {
	if p.tracker == nil || p.observations < minObservationsPerExpert {
		return experts.Decision{Reason: experts.Balanced}, nil
	}
	loads, err := p.tracker.Loads(now, maxCountAge)
	if err != nil {
		return experts.Decision{}, err
	}
	return experts.Decide(planSettings(e, t.Ranks(), passes, link), experts.Input{
		Now: now, Topology: t, InForce: inForce, Loads: loads, Weights: experts.Weights{Skew: 1, Cost: 1},
	})
}

// expectedSkew returns the skew of a map under the expected loads; see seenLoad.
func (p *planner) expectedSkew(t *experts.Topology, m *experts.Map) float64 {
	loads, err := p.tracker.Loads(time.Time{}, maxCountAge)
	if err != nil {
		return 1
	}
	return experts.MeanSkew(t, m, loads.Layers)
}

// planSettings returns the planner settings for an engine, a number of ranks, the passes of
// the group and the link of the holder.
func planSettings(e *fleet.Engine, ranks int, passes passTimes, link linkbudget.Link) experts.Settings {
	s := experts.DefaultSettings()
	s.StepTime = e.StepTime + typicalBatch*e.StepTimePerRequest
	s.ExpertShare = e.Experts.WorkShare
	s.Horizon = planHorizon
	s.MoveCost = moveCost(e.Experts, ranks) + link.TransferTime(changeBytes*ranks)
	s.CopyTime = time.Duration(copySeconds(e.Experts) * float64(time.Second))
	s.CopySlowdown = copyOverhead
	s.MaxCopiesPerRank = passes.maxCopies(e.Experts)
	s.MinSaved = passes.minSaved()
	s.TailWeight = 1
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
// slows the steps and delays the new map. Only the rank with most copies does so, and which
// one that is follows from all layers, so within a layer each copy is priced at its share.
// The planner adds the time of the rank with most copies.
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
