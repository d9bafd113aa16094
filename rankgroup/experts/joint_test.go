package experts_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// copiesByRank returns how many experts each rank copies for a decision.
func copiesByRank(ranks int, d experts.Decision) []int {
	copies := make([]int, ranks)
	for _, m := range d.Moves {
		copies[m.Rank]++
	}
	return copies
}

// Guards against plans that are in force late, because a few ranks copy many more experts
// than the others. The hottest experts of all layers have changed. The layers are planned
// one by one, together, and together with a bound.
func TestCopiesAreSpreadOverRanks(t *testing.T) {
	for _, c := range []struct {
		ranks, layers, count, slots int
		copyTime                    time.Duration
		bound                       int
	}{
		{8, 3, 64, 11, 142 * time.Millisecond, 2},
		{12, 12, 96, 11, 142 * time.Millisecond, 3},
		{24, 16, 96, 5, 27 * time.Millisecond, 6},
		{32, 12, 256, 9, 20 * time.Millisecond, 4},
		{63, 12, 256, 5, 40 * time.Millisecond, 4},
		{64, 12, 256, 5, 13 * time.Millisecond, 5},
		{72, 12, 144, 3, 13 * time.Millisecond, 4},
	} {
		t.Run(fmt.Sprintf("%d ranks", c.ranks), func(t *testing.T) {
			s, in := largeInput(t, c.ranks, c.layers, c.count, c.slots)
			s.MoveCost = c.copyTime / time.Duration(c.ranks)
			skewBefore := experts.MeanSkew(in.Topology, in.InForce, in.Loads.Layers)
			skew := make(map[string]float64)
			longest := make(map[string]int)
			for _, variant := range []string{"one by one", "together", "bounded"} {
				if variant != "one by one" {
					s.CopyTime, s.CopySlowdown = c.copyTime, 0.15
				}
				if variant == "bounded" {
					s.MaxCopiesPerRank = c.bound
				}
				d, err := experts.Decide(s, in)
				require.NoError(t, err)
				require.True(t, d.Rebalance, variant)
				copies := copiesByRank(c.ranks, d)
				skew[variant], longest[variant] = experts.MeanSkew(in.Topology, &d.Target, in.Loads.Layers), slices.Max(copies)
				t.Logf("%-10s: skew %.2f to %.2f, %3d copies, at most %2d of a rank", variant, skewBefore, skew[variant], len(d.Moves), longest[variant])
				if variant != "one by one" {
					require.Equal(t, time.Duration(longest[variant])*c.copyTime, d.CopyTime.Round(time.Microsecond))
				}
			}
			require.LessOrEqual(t, longest["bounded"], c.bound)
			// The time until the map is in force counts as the saving does.
			value := func(variant string) float64 {
				copying := time.Duration(longest[variant]) * c.copyTime
				return (skewBefore-skew[variant])*(s.Horizon-copying).Seconds() - s.CopySlowdown*copying.Seconds()
			}
			require.GreaterOrEqual(t, value("together"), value("one by one"))
			require.Less(t, skew["bounded"]-1, (skewBefore-1)/2)
		})
	}
}

// Guards against a rank that copies more experts than the bound, over all layers or in one,
// and against more moves in total than are allowed.
func TestCopyBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 16).Draw(t, "ranks")
		topo := topology(ranks, ranks*2, 4)
		topo.MaxNewPerRank = rapid.IntRange(0, 3).Draw(t, "new in a layer")
		if rapid.Bool().Draw(t, "slow rank") {
			topo.Slowdown = slices.Repeat([]float64{1}, ranks)
			topo.Slowdown[0] = 3
		}
		layers := rapid.IntRange(1, 4).Draw(t, "layers")
		m, err := experts.UniformMap(topo, layers)
		require.NoError(t, err)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		in := experts.Input{Now: start, Topology: topo, InForce: &m, Loads: experts.Loads{At: start}, Weights: experts.Weights{Skew: 1, Cost: 1}}
		for range layers {
			in.Loads.Layers = append(in.Loads.Layers, zipf(rng, topo.Experts, 2*rng.Float64()))
		}
		s := experts.DefaultSettings()
		s.MoveCost, s.StoreRate = time.Microsecond, 1000
		s.CopyTime, s.CopySlowdown = time.Millisecond, 0.15
		s.MaxCopiesPerRank = rapid.IntRange(1, 3).Draw(t, "bound")
		s.MaxInFlight = rapid.IntRange(1, 60).Draw(t, "in flight")
		for range 10 {
			d, err := experts.Decide(s, in)
			require.NoError(t, err)
			require.NoError(t, d.Target.Validate(topo))
			require.LessOrEqual(t, slices.Max(copiesByRank(ranks, d)), s.MaxCopiesPerRank)
			require.LessOrEqual(t, len(d.Moves), s.MaxInFlight)
			perLayer := make(map[[2]int]int)
			for _, move := range d.Moves {
				perLayer[[2]int{move.Layer, move.Rank}]++
				require.True(t, topo.MaxNewPerRank == 0 || perLayer[[2]int{move.Layer, move.Rank}] <= topo.MaxNewPerRank)
			}
			in.InForce = &d.Target
			for i := range in.Loads.Layers {
				in.Loads.Layers[i] = zipf(rng, topo.Experts, 2*rng.Float64())
			}
		}
	})
}

// Guards against a bound that is exceeded because a plan ends between the two changes that
// split an expert.
func TestPlanThatEndsWithinSplit(t *testing.T) {
	for seed := range uint64(100) {
		topo := topology(15, 30, 4)
		rng := rand.New(rand.NewPCG(seed, 0))
		in := input(t, topo, zipf(rng, 30, 2*rng.Float64()), zipf(rng, 30, 2*rng.Float64()))
		in.Weights, in.StepTimes = experts.Weights{Skew: 1, Cost: 1}, nil
		s := experts.DefaultSettings()
		s.MoveCost, s.StoreRate, s.MaxInFlight = time.Microsecond, 1000, 9
		s.CopyTime, s.CopySlowdown, s.MaxCopiesPerRank = time.Millisecond, 0.15, 1
		for range 3 {
			d, err := experts.Decide(s, in)
			require.NoError(t, err)
			require.LessOrEqual(t, slices.Max(copiesByRank(15, d)), 1, "seed %d", seed)
			in.InForce = &d.Target
			in.Loads.Layers[0] = zipf(rng, 30, 2*rng.Float64())
		}
	}
}

// Guards against a bound that is exceeded because a layer gives up a copy at the end of its
// search, another layer uses it, and only the begin of the search is taken.
func TestGivenUpCopiesCount(t *testing.T) {
	s, in := largeInput(t, 72, 12, 144, 3)
	s.CopyTime, s.CopySlowdown, s.MaxCopiesPerRank = 13*time.Millisecond, 0.15, 2
	rng := rand.New(rand.NewPCG(72, 1))
	for range 8 {
		d, err := experts.Decide(s, in)
		require.NoError(t, err)
		require.LessOrEqual(t, slices.Max(copiesByRank(72, d)), 2)
		in.InForce = &d.Target
		for i, old := range in.Loads.Layers {
			next := zipf(rng, len(old), 0.63)
			for e := range next {
				next[e] = 0.65*next[e] + 0.35*old[e]
			}
			in.Loads.Layers[i] = next
		}
	}
}

// Guards against a price of copies that doesn't tell a slow link from a fast one: the time
// until the map is in force has to pay off as well.
func TestSlowCopiesAreFewer(t *testing.T) {
	var longest []int
	for _, copyTime := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second} {
		s, in := largeInput(t, 24, 12, 96, 5)
		s.MoveCost, s.CopyTime, s.CopySlowdown = 0, copyTime, 0.15
		d, err := experts.Decide(s, in)
		require.NoError(t, err)
		longest = append(longest, slices.Max(copiesByRank(24, d)))
	}
	t.Log(longest)
	require.Greater(t, longest[0], longest[2])
	require.Greater(t, longest[1], longest[2])
	require.Zero(t, longest[3], "half of the horizon would pass")
}

// Guards against a plan that saves less than required, against a search for one, and against
// a search that is skipped although its plan would save enough.
func TestMinSaved(t *testing.T) {
	skipped := 0
	for seed := range uint64(20) {
		s, in := largeInput(t, 12, 3, 48, 6)
		rng := rand.New(rand.NewPCG(seed, 0))
		for i := range in.Loads.Layers {
			in.Loads.Layers[i] = zipf(rng, 48, 0.8*rng.Float64())
		}
		s.CopyTime, s.CopySlowdown, s.MoveCost = time.Millisecond, 0.15, 0
		free, err := experts.Decide(s, in)
		require.NoError(t, err)
		if !free.Rebalance {
			continue
		}
		for _, share := range []float64{0.5, 0.99, 1.01, 2} {
			s.MinSaved = time.Duration(share * float64(free.Saved))
			d, err := experts.Decide(s, in)
			require.NoError(t, err)
			require.Equal(t, share < 1, d.Rebalance, "seed %d, share %v", seed, share)
			if share < 1 {
				require.Equal(t, free.Target, d.Target)
				continue
			}
			require.Equal(t, experts.NotWorthIt, d.Reason)
			if d.SearchedLayers == nil {
				skipped++
			}
		}
	}
	require.Positive(t, skipped, "a balanced group is searched in vain each time")
}
