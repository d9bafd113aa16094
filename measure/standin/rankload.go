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
	// tokensPerStep is the number of tokens that each replica routes in a step
	// and layer.
	tokensPerStep = 64
	// fixedStepFraction is the fraction of the step time that does not depend on
	// the load.
	fixedStepFraction = 0.5
)

// DriftingPopularity returns a Zipf distribution over n experts whose most
// popular expert shifts by one every period steps.
func DriftingPopularity(n int, exponent float64, period uint64) Popularity {
	return func(step uint64, layer, expert int) float64 {
		zipfRank := (expert + layer + int(step/period)) % n
		return math.Pow(float64(zipfRank+1), -exponent)
	}
}

// popularities returns the popularity of each expert of a layer in the current
// step.
func (g *RankGroup) popularities(layer int) []float64 {
	w := make([]float64, g.cfg.Experts)
	for e := range w {
		w[e] = 1
		if g.popularity != nil {
			w[e] = g.popularity(g.step, layer, e)
		}
	}
	return w
}

// countTokens samples the experts to which the tokens of a step are routed, and
// publishes the counts every CountIntervalSteps steps.
func (g *RankGroup) countTokens() {
	for layer := range g.cfg.Layers {
		cumulative := g.popularities(layer)
		for e := 1; e < len(cumulative); e++ {
			cumulative[e] += cumulative[e-1]
		}
		total := cumulative[len(cumulative)-1]
		for _, r := range g.replicas {
			for range tokensPerStep {
				expert := sort.SearchFloat64s(cumulative, g.rng.Float64()*total)
				r.expertCounts[layer][min(expert, g.cfg.Experts-1)]++
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
		for layer := range r.expertCounts {
			r.publishedCounts[layer] = slices.Clone(r.expertCounts[layer])
		}
	}
}

// Report returns the planner input of one replica: map, expert counts and step
// times.
func (g *RankGroup) Report(replica int) rankapi.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[replica]
	s := r.ranks[0].State()
	return rankapi.Report{
		Experts: g.cfg.Experts, SlotsPerRank: g.cfg.SlotsPerRank,
		Map:         g.maps[s.AttemptAt(s.Step)].Clone(),
		Counts:      slices.Clone(r.publishedCounts),
		CountsAgeMS: uint64(time.Since(r.countedAt).Milliseconds()),
		StepTimeUS:  g.stepTimes(r, s.AttemptAt(s.Step)),
	}
}

// stepTimes returns the step time of each rank of a replica in microseconds,
// derived from its load under the map of an attempt. It is 0 for a stalled
// replica.
func (g *RankGroup) stepTimes(r *replicaState, a mapswitch.Attempt) []uint64 {
	times := make([]uint64, len(r.ranks))
	if r.stalled {
		return times
	}
	rankLoads := make([]float64, g.topology.Ranks())
	total := 0.0
	for layer, slots := range g.maps[a].Layers {
		for rank, load := range slots.RankLoads(&g.topology, g.popularities(layer)) {
			rankLoads[rank] += load
			total += load
		}
	}
	mean := total / float64(len(rankLoads))
	for i, rank := range r.ranks {
		relative := fixedStepFraction + (1-fixedStepFraction)*rankLoads[rank.id]/mean
		times[i] = uint64(relative * float64(g.cfg.StepTime.Microseconds()))
	}
	return times
}
