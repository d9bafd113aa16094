package experts

import (
	"math"
	"slices"
)

const (
	// minJointSteps and maxJointSteps bound the largest number of steps in one layer if all
	// layers are planned together. It is the number of ranks: if the mix of requests
	// changes, half of them get another expert, and a split takes two steps.
	minJointSteps = 90
	maxJointSteps = 320
	// maxJointSearches is the number of searches with different bounds of the copies of a
	// rank.
	maxJointSearches = 5
	// minDelayShare is the share of a plan's value that a lower bound has to save in the
	// delay of the map. For less, another search isn't worth its processor time.
	minDelayShare = 0.03
)

// copyBudget bounds the experts that each rank copies for one plan, over all layers.
type copyBudget struct {
	limit int
	// used is the number of copies of each rank.
	used []int
}

// jointPlan is a plan of all layers. Its value is in seconds of step time.
type jointPlan struct {
	layerPlans []layerPlan
	// copyTime is the time for which the rank with most copies copies experts.
	copyTime float64
	moves    int
	value    float64
}

// planJointly plans all layers together. The copies of a rank follow one another, so the rank
// with most copies decides when the map is in force, and copies that are spread evenly over
// the ranks cost less time. The first search has a wide bound of the copies of a rank. The
// next ones have lower bounds, so that other ranks take the place of the busiest ones and the
// least useful copies are left out, as long as the value rises.
func (p *planner) planJointly() jointPlan {
	var best jointPlan
	limit := p.maxCopies()
	for range maxJointSearches {
		plan := p.planWithin(limit)
		if plan.value <= best.value {
			break
		}
		best = plan
		next := min(limit*2/3, (plan.moves-1)/p.input.Topology.Ranks()+1)
		savedDelay := p.delayCost(plan) * (1 - float64(next)/float64(limit))
		if next < 1 || savedDelay < minDelayShare*plan.value {
			break
		}
		limit = next
	}
	return best
}

// maxCopies returns the largest number of copies of a rank in one plan.
func (p *planner) maxCopies() int {
	t := p.input.Topology
	perLayer := t.SlotsPerRank
	if t.MaxNewPerRank > 0 {
		perLayer = min(perLayer, t.MaxNewPerRank)
	}
	limit := max(perLayer*len(p.searched), 1)
	if p.settings.MaxCopiesPerRank > 0 {
		limit = min(limit, p.settings.MaxCopiesPerRank)
	}
	return limit
}

// planWithin plans all layers with at most limit copies of a rank. The layer whose most
// loaded rank is furthest above its target is changed next, so the copies go where they save
// most.
func (p *planner) planWithin(limit int) jointPlan {
	ranks := p.input.Topology.Ranks()
	maxSteps := min(max(ranks, minJointSteps), maxJointSteps)
	budget := &copyBudget{limit: limit, used: make([]int, ranks)}
	searches := make([]*search, len(p.searched))
	before := make([]float64, len(p.searched))
	for i, layer := range p.searched {
		w := p.layout(layer, p.input.InForce.Layers[layer])
		searches[i], before[i] = newSearch(w, w.targetLoad(), maxSteps), w.maxLoad()
		searches[i].copies = budget
	}
	for {
		i := furthestFromTarget(searches)
		if i < 0 {
			break
		}
		searches[i].next()
	}
	plan := jointPlan{}
	copies := make([]int, ranks)
	for i, layer := range p.searched {
		layerPlan, w := p.bestPrefix(layer, searches[i].steps, before[i], p.budget-plan.moves)
		if w == nil {
			continue
		}
		plan.layerPlans = append(plan.layerPlans, layerPlan)
		plan.moves += layerPlan.moves
		for _, m := range layerMoves(p.input.Topology, layer, p.input.InForce.Layers[layer], layerPlan.slots) {
			copies[m.Rank]++
		}
	}
	plan.copyTime = float64(slices.Max(copies)) * p.settings.CopyTime.Seconds()
	for _, l := range plan.layerPlans {
		plan.value += l.value
	}
	plan.value -= p.delayCost(plan)
	return plan
}

// furthestFromTarget returns the search whose most loaded rank has the largest load relative
// to its target, among those that may find a change, or -1.
func furthestFromTarget(searches []*search) int {
	furthest, excess := -1, math.Inf(-1)
	for i, s := range searches {
		if x := s.maxLoad() / s.target; !s.done && x > excess {
			furthest, excess = i, x
		}
	}
	return furthest
}

// delayCost returns the weighted cost of the time until all experts are copied, in seconds:
// the group forgoes the saving of the plan, and its steps take longer.
func (p *planner) delayCost(plan jointPlan) float64 {
	benefit := 0.0
	for _, l := range plan.layerPlans {
		benefit += l.benefit
	}
	forgone := benefit * p.input.Weights.Skew * plan.copyTime / p.settings.Horizon.Seconds()
	return forgone + p.settings.CopySlowdown*plan.copyTime*p.input.Weights.Cost
}
