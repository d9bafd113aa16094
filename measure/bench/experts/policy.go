package experts

import (
	"time"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

// skewThreshold is the skew above which the threshold policy replans a layer.
const skewThreshold = 1.10

// policyInput is the state that a policy plans from at the end of an interval.
type policyInput struct {
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
	// waitsForStaging makes the policy activate a map only after its weights are
	// fetched. Other policies activate a map after one interval, and the group
	// stalls until the remaining weights are fetched.
	waitsForStaging bool
	// propose returns the next map, or nil to keep the map in force.
	propose func(v policyInput) (*planner.Map, error)
}

func allPolicies(s planner.Settings) []policy {
	return []policy{
		{name: "never", propose: func(policyInput) (*planner.Map, error) { return nil, nil }},
		{name: "replan-each", propose: newThresholdPolicy(0)},
		{name: "threshold", propose: newThresholdPolicy(skewThreshold)},
		{name: "skew-weighted", waitsForStaging: true, propose: newPlannerPolicy(s, planner.Weights{Skew: 4, Cost: 1})},
		{name: "cost-weighted", waitsForStaging: true, propose: newPlannerPolicy(s, planner.Weights{Skew: 1, Cost: 4})},
	}
}

// newThresholdPolicy returns a policy that replans each layer whose expected
// skew exceeds the threshold.
func newThresholdPolicy(threshold float64) func(policyInput) (*planner.Map, error) {
	return func(v policyInput) (*planner.Map, error) {
		next := v.inForce.Clone()
		changed := false
		for l, load := range v.loads.Layers {
			if planner.Skew(next.Layers[l].RankLoads(v.topology, load)) <= threshold {
				continue
			}
			next.Layers[l] = planner.ReplanLayer(v.topology, next.Layers[l], load, nil)
			changed = true
		}
		if !changed {
			return nil, nil
		}
		return &next, nil
	}
}

// newPlannerPolicy returns a policy that plans as package groupcontrol does. It
// can be used for one run only, because it keeps the time at which each layer
// was last searched.
func newPlannerPolicy(s planner.Settings, weights planner.Weights) func(policyInput) (*planner.Map, error) {
	var searched []time.Time
	return func(v policyInput) (*planner.Map, error) {
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
