package experts

import (
	"math"
	"sort"
	"time"

	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

// riskFactor raises the load of each replica in proportion to its share of the load of
// a mean rank, because the load of a rank with few popular experts varies more than
// that of a rank with many rare ones. For a rank with 9 equal experts that each vary by
// 3%, as in the benchmark, 0.15 corresponds to 3.3 standard deviations to first order.
// The decision note lists the results for other values.
const riskFactor = 0.15

// layerPlan is a new placement of one layer. Its effects are in seconds of step time
// over Settings.Horizon.
type layerPlan struct {
	layer int
	slots Layer
	moves int
	saved float64
	// benefit is saved plus the extra weight of the skew above Settings.TailSkew.
	benefit float64
	// value is the weighted benefit minus the weighted cost of the moves.
	value float64
}

// planner computes a plan for all layers.
type planner struct {
	settings Settings
	input    Input
	// frozen is the set of ranks whose slots may not change.
	frozen rankset.Set
	// budget is the maximum number of moves, and remaining what is left of it.
	budget     int
	remaining  int
	layerPlans []layerPlan
	chosen     []layerPlan
	// copyTime is the time in seconds for which the rank with most copies of the chosen plan
	// copies experts.
	copyTime float64
	// searched lists the layers that were searched, in ascending order.
	searched []int
	// notWorthSearch is true if no plan can save MinSaved.
	notWorthSearch bool
	// ideal holds the ideal numbers of replicas of each layer, or nil before their first
	// use.
	ideal [][]int
}

func newPlanner(s Settings, in Input, frozen rankset.Set, budget int) *planner {
	return &planner{
		settings: s, input: in, frozen: frozen, budget: budget, remaining: budget, ideal: make([][]int, len(in.InForce.Layers)),
	}
}

// run plans the layers. It drops the plan if it saves less than MinSaved, or if its weighted
// benefit does not exceed its weighted cost by the hysteresis factor.
func (p *planner) run() {
	p.searched = p.layersToSearch()
	minSaved := p.settings.MinSaved.Seconds()
	if minSaved > 0 && len(p.searched) > 0 && p.maxSaved() < minSaved {
		p.searched, p.notWorthSearch = nil, true
		return
	}
	delayCost := 0.0
	if p.settings.CopyTime > 0 {
		plan := p.planJointly()
		p.chosen, p.copyTime, delayCost = plan.layerPlans, plan.copyTime, p.delayCost(plan)
	} else {
		p.planLayers()
	}
	benefit, saved, moves := 0.0, 0.0, 0
	for _, plan := range p.chosen {
		benefit += plan.benefit
		saved += plan.saved
		moves += plan.moves
	}
	if saved < minSaved || benefit*p.input.Weights.Skew <= p.settings.Hysteresis*(delayCost+p.cost(moves)) {
		p.chosen = nil
	}
}

// maxSaved returns an upper bound of the step time in seconds that a plan of the searched
// layers saves. The maximum load of a layer can't fall below its lower bound.
func (p *planner) maxSaved() float64 {
	saved := 0.0
	for _, layer := range p.searched {
		lowest := targetLoad(p.input.Topology, p.input.Loads.Layers[layer]) / (1 + PackTolerance)
		saved += max(0, p.savedSeconds(p.layout(layer, p.input.InForce.Layers[layer]).maxLoad(), lowest))
	}
	return saved
}

// planLayers computes the best plan of each layer and chooses them in descending order of
// value until the budget is used up.
func (p *planner) planLayers() {
	for _, layer := range p.searched {
		if plan, ok := p.bestLayerPlan(layer, p.budget); ok {
			p.layerPlans = append(p.layerPlans, plan)
		}
	}
	sort.SliceStable(p.layerPlans, func(i, j int) bool { return p.layerPlans[i].value > p.layerPlans[j].value })
	for _, plan := range p.layerPlans {
		if plan.moves > p.remaining {
			var ok bool
			if plan, ok = p.bestLayerPlan(plan.layer, p.remaining); !ok {
				continue
			}
		}
		p.remaining -= plan.moves
		p.chosen = append(p.chosen, plan)
	}
}

// noPlanReason returns the reason why run chose nothing.
func (p *planner) noPlanReason() Reason {
	if len(p.searched) > 0 || p.notWorthSearch {
		return NotWorthIt
	}
	return Balanced
}

// maxSearchAge is the maximum time since the last search that raises the priority of
// a layer.
const maxSearchAge = 10 * time.Minute

// layersToSearch returns the layers to search, in ascending order. The priority of a
// layer is the product of its load in excess of the target and the time since its last
// search. Without the time, layers that no plan can improve would always come first.
func (p *planner) layersToSearch() []int {
	var layers []int
	priority := make([]float64, len(p.input.InForce.Layers))
	for layer, slots := range p.input.InForce.Layers {
		total := sum(p.input.Loads.Layers[layer])
		if total == 0 {
			continue
		}
		w := p.layout(layer, slots)
		if excess := w.maxLoad() - w.targetLoad(); excess > 0 {
			priority[layer] = excess / total * p.searchAge(layer).Seconds()
			layers = append(layers, layer)
		}
	}
	sort.SliceStable(layers, func(i, j int) bool { return priority[layers[i]] > priority[layers[j]] })
	if limit := int(math.Ceil(p.settings.SearchShare * float64(len(priority)))); len(layers) > limit {
		layers = layers[:limit]
	}
	sort.Ints(layers)
	return layers
}

// searchAge returns the time since a layer was last searched, at most maxSearchAge.
func (p *planner) searchAge(layer int) time.Duration {
	if p.input.LastSearched == nil || p.input.LastSearched[layer].IsZero() {
		return maxSearchAge
	}
	return min(maxSearchAge, p.input.Now.Sub(p.input.LastSearched[layer]))
}

// cost returns the weighted cost of a number of moves, in seconds.
func (p *planner) cost(moves int) float64 {
	return float64(moves) * p.settings.MoveCost.Seconds() * p.input.Weights.Cost
}

// savedSeconds returns the step time saved over the horizon if the maximum rank load
// of a layer falls from one fraction of the layer's load to another.
func (p *planner) savedSeconds(from, to float64) float64 {
	steps := p.settings.Horizon.Seconds() / p.settings.StepTime.Seconds()
	layerTime := p.settings.StepTime.Seconds() * p.settings.ExpertShare / float64(len(p.input.InForce.Layers))
	return (from - to) * float64(p.input.Topology.Ranks()) * layerTime * steps
}

// bestLayerPlan returns the plan of a layer with the highest value within a number of
// moves. The candidates are the prefixes of the refinement and the full replan.
func (p *planner) bestLayerPlan(layer, limit int) (layerPlan, bool) {
	w := p.layout(layer, p.input.InForce.Layers[layer])
	target, before := w.targetLoad(), w.maxLoad()
	best, replayed := p.bestPrefix(layer, refine(w, target), before, limit)
	if replayed != nil {
		w = replayed
	}
	if w.maxLoad() > target {
		p.tryReplan(&best, before, limit)
	}
	return best, best.slots != nil
}

// bestPrefix returns the plan of a layer with the highest value within a number of moves
// among the prefixes of a search, and its layout, which is nil if there is none. before is
// the maximum rank load before the search.
func (p *planner) bestPrefix(layer int, steps []step, before float64, limit int) (best layerPlan, w *layout) {
	best = layerPlan{layer: layer}
	bestSteps := 0
	for i, st := range steps {
		if plan, ok := p.evaluate(layer, before, st.max, st.moves, limit); ok && plan.value > best.value {
			best, bestSteps = plan, i+1
		}
	}
	if bestSteps == 0 {
		return best, nil
	}
	inForce := p.input.InForce.Layers[layer]
	w = p.layout(layer, inForce)
	w.slots = replay(inForce, steps[:bestSteps])
	w.recompute()
	best.slots = w.finish(inForce)
	if !respectsMaxNew(p.input.Topology, inForce, best.slots) {
		// Spreading over failure domains added more than MaxNewPerRank
		// experts to a rank, so it is left out.
		best.slots = alignSlots(p.input.Topology, inForce, replay(inForce, steps[:bestSteps]))
	}
	return best, w
}

// layout returns a placement of a layer with its loads raised by riskFactor.
func (p *planner) layout(layer int, slots Layer) *layout {
	w := newLayout(p.input.Topology, slots, p.input.Loads.Layers[layer], p.frozen)
	w.addRisk(riskFactor)
	w.ideal = p.ideal[layer]
	p.ideal[layer] = w.idealReplicas()
	return w
}

// tryReplan replaces best by a full replan of its layer if that has a higher value.
func (p *planner) tryReplan(best *layerPlan, before float64, limit int) {
	t, load := p.input.Topology, p.input.Loads.Layers[best.layer]
	inForce := p.input.InForce.Layers[best.layer]
	replanned := ReplanLayer(t, inForce, load, p.frozen)
	if !respectsMaxNew(t, inForce, replanned) {
		return
	}
	after := p.layout(best.layer, replanned).maxLoad()
	moves := len(layerMoves(t, best.layer, inForce, replanned))
	if plan, ok := p.evaluate(best.layer, before, after, moves, limit); ok && plan.value > best.value {
		*best = plan
		best.slots = replanned
	}
}

// evaluate returns the effect of a layer plan that changes the maximum rank load from
// before to after. It reports false if the plan has more moves than limit or a value
// that is not positive.
func (p *planner) evaluate(layer int, before, after float64, moves, limit int) (layerPlan, bool) {
	plan := layerPlan{layer: layer, moves: moves, saved: p.savedSeconds(before, after)}
	tail := p.settings.TailSkew * sum(p.input.Loads.Layers[layer]) / float64(p.input.Topology.Ranks())
	plan.benefit = plan.saved + max(0, p.settings.TailWeight-1)*p.savedSeconds(max(before, tail), max(after, tail))
	plan.value = plan.benefit*p.input.Weights.Skew - p.cost(moves)
	return plan, moves <= limit && plan.value > 0
}
