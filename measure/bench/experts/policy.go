package experts

import (
	"time"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

// skewThreshold is the skew from which the threshold policy replans a layer.
const skewThreshold = 1.10

// view is what a policy sees at the end of an interval.
type view struct {
	now       time.Time
	topology  *planner.Topology
	inForce   *planner.Map
	loads     planner.Loads
	forecast  planner.Loads
	stepTimes []time.Duration
	inFlight  int
	lastPlan  time.Time
}

// policy proposes the next map.
type policy struct {
	name string
	// staged policies wait for their fetches before they activate a map. The
	// others activate after one interval, and the group waits for the rest.
	staged bool
	// propose returns the next map, or nil to keep the map in force.
	propose func(v view) (*planner.Map, error)
}

func policies(s planner.Settings) []policy {
	return []policy{
		{name: "never", propose: func(view) (*planner.Map, error) { return nil, nil }},
		{name: "replan-each", propose: replanAbove(0)},
		{name: "threshold", propose: replanAbove(skewThreshold)},
		{name: "skew-weighted", staged: true, propose: decide(s, planner.Weights{Skew: 4, Cost: 1})},
		{name: "cost-weighted", staged: true, propose: decide(s, planner.Weights{Skew: 1, Cost: 4})},
	}
}

// replanAbove replans each layer whose expected skew exceeds the threshold.
func replanAbove(threshold float64) func(view) (*planner.Map, error) {
	return func(v view) (*planner.Map, error) {
		next := v.inForce.Clone()
		changed := false
		for l, load := range v.loads.Layers {
			if planner.Skew(next.Layers[l].RankLoads(v.topology, load)) <= threshold {
				continue
			}
			next.Layers[l] = planner.ReplanLayer(v.topology, next.Layers[l], load, 0)
			changed = true
		}
		if !changed {
			return nil, nil
		}
		return &next, nil
	}
}

// decide plans as group control does. The policy serves one run, because it
// remembers when each layer was searched.
func decide(s planner.Settings, weights planner.Weights) func(view) (*planner.Map, error) {
	var searched []time.Time
	return func(v view) (*planner.Map, error) {
		if searched == nil {
			searched = make([]time.Time, len(v.inForce.Layers))
		}
		d, err := planner.Decide(s, planner.Input{
			Now: v.now, Topology: v.topology, InForce: v.inForce, Loads: v.forecast, LastSearched: searched,
			StepTimes: v.stepTimes, Weights: weights, InFlight: v.inFlight, LastPlan: v.lastPlan,
		})
		for _, layer := range d.SearchedLayers {
			searched[layer] = v.now
		}
		if err != nil || !d.Rebalance {
			return nil, err
		}
		return &d.Target, nil
	}
}
