package experts

import (
	"math"
	"sort"
	"time"
)

// riskFactor raises the load of each replica in proportion to its share of a
// rank, because a rank with few popular experts varies more than one with many
// rare ones. For a rank with 9 equal experts of which each varies by 3%, as in
// the benchmark, 0.15 stands for 3.3 standard deviations to first order. The
// decision note has the figures of other values.
const riskFactor = 0.15

// option is a new placement of one layer, with its effect in seconds of step
// time over the horizon.
type option struct {
	layer int
	slots Layer
	moves int
	saved float64
	// benefit is saved plus the extra weight of the skew above Settings.TailSkew.
	benefit float64
	value   float64
}

// planner picks the options of a plan.
type planner struct {
	s       Settings
	in      Input
	frozen  uint64
	budget  int
	left    int
	options []option
	chosen  []option
	// searched lists the layers that were searched, in ascending order.
	searched []int
}

func newPlanner(s Settings, in Input, frozen uint64, budget int) *planner {
	return &planner{s: s, in: in, frozen: frozen, budget: budget, left: budget}
}

// run chooses the best option of each layer, best value first, until the
// budget is used up. A plan whose weighted saving does not exceed its weighted
// cost by the hysteresis factor is dropped.
func (p *planner) run() {
	p.searched = p.layersToSearch()
	for _, layer := range p.searched {
		if o, ok := p.bestOption(layer, p.budget); ok {
			p.options = append(p.options, o)
		}
	}
	sort.SliceStable(p.options, func(i, j int) bool { return p.options[i].value > p.options[j].value })
	benefit, moves := 0.0, 0
	for _, o := range p.options {
		if o.moves > p.left {
			var ok bool
			if o, ok = p.bestOption(o.layer, p.left); !ok {
				continue
			}
		}
		p.left -= o.moves
		benefit += o.benefit
		moves += o.moves
		p.chosen = append(p.chosen, o)
	}
	if benefit*p.in.Weights.Skew <= p.s.Hysteresis*p.cost(moves) {
		p.chosen = nil
	}
}

// refusal tells why run chose nothing.
func (p *planner) refusal() Reason {
	if len(p.searched) > 0 {
		return NotWorthIt
	}
	return Balanced
}

// maxWait bounds the time that raises the priority of a layer.
const maxWait = 10 * time.Minute

// layersToSearch returns the layers whose excess over the target, times the
// time since they were last searched, is largest. Without the time, layers
// that no plan relieves would keep the others from being searched.
func (p *planner) layersToSearch() []int {
	var layers []int
	priority := make([]float64, len(p.in.InForce.Layers))
	for layer, slots := range p.in.InForce.Layers {
		total := sum(p.in.Loads.Layers[layer])
		if total == 0 {
			continue
		}
		w := p.layout(layer, slots)
		if excess := w.maxLoad() - w.target(); excess > 0 {
			priority[layer] = excess / total * p.wait(layer).Seconds()
			layers = append(layers, layer)
		}
	}
	sort.SliceStable(layers, func(i, j int) bool { return priority[layers[i]] > priority[layers[j]] })
	if limit := int(math.Ceil(p.s.SearchShare * float64(len(priority)))); len(layers) > limit {
		layers = layers[:limit]
	}
	sort.Ints(layers)
	return layers
}

// wait returns the time since a layer was searched.
func (p *planner) wait(layer int) time.Duration {
	if p.in.LastSearched == nil || p.in.LastSearched[layer].IsZero() {
		return maxWait
	}
	return min(maxWait, p.in.Now.Sub(p.in.LastSearched[layer]))
}

// cost returns the weighted cost of moves.
func (p *planner) cost(moves int) float64 {
	return float64(moves) * p.s.MoveCost.Seconds() * p.in.Weights.Cost
}

// savedBy returns the step time saved if the maximum load of a layer falls
// from one share of the layer to another.
func (p *planner) savedBy(from, to float64) float64 {
	steps := p.s.Horizon.Seconds() / p.s.StepTime.Seconds()
	layerTime := p.s.StepTime.Seconds() * p.s.ExpertShare / float64(len(p.in.InForce.Layers))
	return (from - to) * float64(p.in.Topology.Ranks()) * layerTime * steps
}

// bestOption returns the prefix of the refinement, or the full replan, with
// the highest value within a number of moves.
func (p *planner) bestOption(layer, limit int) (option, bool) {
	inForce := p.in.InForce.Layers[layer]
	w := p.layout(layer, inForce)
	target := w.target()
	before := w.maxLoad()
	steps := refine(w, target)
	best := option{layer: layer}
	bestSteps := 0
	for i, st := range steps {
		if o, ok := p.value(layer, before, st.max, st.moves, limit); ok && o.value > best.value {
			best, bestSteps = o, i+1
		}
	}
	if bestSteps > 0 {
		w = p.layout(layer, inForce)
		w.slots = replay(inForce, steps[:bestSteps])
		w.recompute()
		best.slots = w.finish(inForce)
		if !addsWithin(p.in.Topology, inForce, best.slots) {
			// Spreading over failure domains needed more room than there is.
			best.slots = alignSlots(p.in.Topology, inForce, replay(inForce, steps[:bestSteps]))
		}
	}
	if w.maxLoad() > target {
		p.tryReplan(&best, before, limit)
	}
	return best, best.slots != nil
}

// layout returns a placement of a layer with the risk of its loads.
func (p *planner) layout(layer int, slots Layer) *layout {
	w := newLayout(p.in.Topology, slots, p.in.Loads.Layers[layer], p.frozen)
	w.addRisk(riskFactor)
	return w
}

// tryReplan replaces best by a full replan of its layer if that is worth more.
func (p *planner) tryReplan(best *option, before float64, limit int) {
	t, load := p.in.Topology, p.in.Loads.Layers[best.layer]
	inForce := p.in.InForce.Layers[best.layer]
	full := ReplanLayer(t, inForce, load, p.frozen)
	if !addsWithin(t, inForce, full) {
		return
	}
	after := p.layout(best.layer, full).maxLoad()
	moves := len(layerMoves(t, best.layer, inForce, full))
	if o, ok := p.value(best.layer, before, after, moves, limit); ok && o.value > best.value {
		*best = o
		best.slots = full
	}
}

func (p *planner) value(layer int, before, after float64, moves, limit int) (option, bool) {
	o := option{layer: layer, moves: moves, saved: p.savedBy(before, after)}
	tail := p.s.TailSkew * sum(p.in.Loads.Layers[layer]) / float64(p.in.Topology.Ranks())
	o.benefit = o.saved + max(0, p.s.TailWeight-1)*p.savedBy(max(before, tail), max(after, tail))
	o.value = o.benefit*p.in.Weights.Skew - p.cost(moves)
	return o, moves <= limit && o.value > 0
}
