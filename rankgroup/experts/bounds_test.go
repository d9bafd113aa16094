package experts_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// drawLoad returns loads that differ by up to a factor of e⁴.
func drawLoad(t *rapid.T, n int) []float64 {
	load := make([]float64, n)
	for e := range load {
		load[e] = math.Exp(rapid.Float64Range(0, 4).Draw(t, "load"))
	}
	return load
}

// decide calls Decide for one layer with cheap moves, starting from the uniform map.
func decide(t require.TestingT, topology *experts.Topology, load []float64) (inForce experts.Map, d experts.Decision) {
	s := experts.DefaultSettings()
	s.StoreRate, s.MoveCost = 1000, time.Microsecond
	inForce, err := experts.UniformMap(topology, 1)
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	d, err = experts.Decide(s, experts.Input{
		Now: now, Topology: topology, InForce: &inForce, Weights: experts.Weights{Skew: 1, Cost: 1},
		Loads: experts.Loads{At: now, Layers: [][]float64{load}},
	})
	require.NoError(t, err)
	return inForce, d
}

// Guards against a plan that a rank refuses because it has no memory for that many new
// experts, and against a plan that raises the load of the most loaded rank.
func TestNewExpertsPerRankAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topology := &experts.Topology{
			Experts: 24, SlotsPerRank: 9, Domains: []string{"a", "a", "b", "b"},
			MaxNewPerRank: rapid.IntRange(1, 4).Draw(t, "bound"),
		}
		load := drawLoad(t, topology.Experts)
		inForce, d := decide(t, topology, load)
		added := make([]int, topology.Ranks())
		for _, m := range experts.Moves(topology, &inForce, &d.Target) {
			added[m.Rank]++
		}
		for rank, n := range added {
			require.LessOrEqual(t, n, topology.MaxNewPerRank, "rank %d", rank)
		}
		before := experts.Skew(inForce.Layers[0].RankLoads(topology, load))
		after := experts.Skew(d.Target.Layers[0].RankLoads(topology, load))
		require.LessOrEqual(t, after, before+1e-9)
	})
}

// Guards against a slow rank that delays its group. It takes as long as the others only
// if it gets less load.
func TestSlowRankGetsLessLoad(t *testing.T) {
	topology := &experts.Topology{
		Experts: 24, SlotsPerRank: 9, Domains: []string{"a", "a", "b", "b"}, Slowdown: []float64{1, 3, 1, 1},
	}
	load := make([]float64, topology.Experts)
	for e := range load {
		load[e] = 1
	}
	inForce, d := decide(t, topology, load)
	require.True(t, d.Rebalance)
	longestTime := func(m experts.Map) float64 {
		longest := 0.0
		for rank, share := range m.Layers[0].RankLoads(&experts.Topology{
			Experts: 24, SlotsPerRank: 9, Domains: topology.Domains,
		}, load) {
			longest = max(longest, share*topology.Slowdown[rank])
		}
		return longest
	}
	require.Less(t, longestTime(d.Target), 0.6*longestTime(inForce))
}

// Guards against a plan that is blocked because the step times aren't known.
func TestUnknownStepTimes(t *testing.T) {
	load := make([]float64, 24)
	load[0] = 1
	_, d := decide(t, &experts.Topology{Experts: 24, SlotsPerRank: 9, Domains: []string{"a", "a", "b", "b"}}, load)
	require.True(t, d.Rebalance)
	for _, state := range d.RankStates {
		require.Equal(t, experts.Normal, state)
	}
}
