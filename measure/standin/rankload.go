package standin

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

const (
	// tokensPerStep is the number of tokens that a replica counts in a step.
	tokensPerStep = 64
	// fixedStepShare is the part of a step that does not depend on load.
	fixedStepShare = 0.5
)

// DriftingPopularity returns a popularity by Zipf's law whose most popular
// expert moves on by one each period steps.
func DriftingPopularity(n int, exponent float64, period uint64) Popularity {
	return func(step uint64, layer, expert int) float64 {
		place := (expert + layer + int(step/period)) % n
		return math.Pow(float64(place+1), -exponent)
	}
}

// weights returns the popularity of the experts of a layer in the last step.
func (g *RankGroup) weights(layer int) []float64 {
	w := make([]float64, g.cfg.Experts)
	for e := range w {
		w[e] = 1
		if g.popularity != nil {
			w[e] = g.popularity(g.step, layer, e)
		}
	}
	return w
}

// countTokens samples the experts of the tokens of a step and publishes the
// counts each CountEvery steps.
func (g *RankGroup) countTokens() {
	for layer := range g.cfg.Layers {
		cumulative := g.weights(layer)
		for e := 1; e < len(cumulative); e++ {
			cumulative[e] += cumulative[e-1]
		}
		total := cumulative[len(cumulative)-1]
		for _, r := range g.replicas {
			for range tokensPerStep {
				at := sort.SearchFloat64s(cumulative, g.rng.Float64()*total)
				r.counts[layer][min(at, g.cfg.Experts-1)]++
			}
		}
	}
	if g.step%g.cfg.CountIntervalSteps == 0 {
		g.publishCounts()
	}
}

func (g *RankGroup) publishCounts() {
	for _, r := range g.replicas {
		r.countedAt = time.Now()
		for layer := range r.counts {
			r.published[layer] = slices.Clone(r.counts[layer])
		}
	}
}

// Report returns what the planner needs to know about one replica.
func (g *RankGroup) Report(replica int) rankapi.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[replica]
	s := r.ranks[0].State()
	return rankapi.Report{
		Experts: g.cfg.Experts, SlotsPerRank: g.cfg.SlotsPerRank,
		Map:         g.maps[s.AttemptAt(s.Step)].Clone(),
		Counts:      slices.Clone(r.published),
		CountsAgeMS: uint64(time.Since(r.countedAt).Milliseconds()),
		StepTimeUS:  g.stepTimes(r, s.AttemptAt(s.Step)),
	}
}

// stepTimes derives the computing time of each rank from its load.
func (g *RankGroup) stepTimes(r *replicaRanks, a mapswitch.Attempt) []uint64 {
	times := make([]uint64, len(r.ranks))
	if r.stalled {
		return times
	}
	load := make([]float64, g.topology.Ranks())
	total := 0.0
	for layer, slots := range g.maps[a].Layers {
		for rank, x := range slots.RankLoads(&g.topology, g.weights(layer)) {
			load[rank] += x
			total += x
		}
	}
	mean := total / float64(len(load))
	for i, rank := range r.ranks {
		relative := fixedStepShare + (1-fixedStepShare)*load[rank.id]/mean
		times[i] = uint64(relative * float64(g.cfg.StepTime.Microseconds()))
	}
	return times
}
