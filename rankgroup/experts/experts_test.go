package experts_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// topology returns a topology with three failure domains.
func topology(ranks, count, slots int) *experts.Topology {
	t := &experts.Topology{Experts: count, SlotsPerRank: slots}
	for r := range ranks {
		t.Domains = append(t.Domains, fmt.Sprintf("d%d", r*3/ranks))
	}
	return t
}

// zipf returns loads with a Zipf distribution in random order.
func zipf(rng *rand.Rand, n int, exponent float64) []float64 {
	load := make([]float64, n)
	for rank, e := range rng.Perm(n) {
		load[e] = math.Pow(float64(rank+1), -exponent)
	}
	return load
}

// input returns a valid input with the uniform map and healthy ranks.
func input(t *testing.T, topo *experts.Topology, layers ...[]float64) experts.Input {
	m, err := experts.UniformMap(topo, len(layers))
	require.NoError(t, err)
	in := experts.Input{
		Now: start, Topology: topo, InForce: &m,
		Loads:     experts.Loads{At: start, Layers: layers},
		StepTimes: make([]time.Duration, topo.Ranks()),
		Weights:   experts.Weights{Skew: 4, Cost: 1},
	}
	for i := range in.StepTimes {
		in.StepTimes[i] = time.Millisecond
	}
	return in
}

// Guards against plans that lose an expert, put an expert on a rank twice or change a
// frozen rank, and against a skew below SkewLowerBound, which would prove the bound
// wrong.
func TestPlansAreValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ranks := rapid.IntRange(2, 12).Draw(rt, "ranks")
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		count := rapid.IntRange(1, ranks*slots).Draw(rt, "experts")
		topo := topology(ranks, count, slots)
		m, err := experts.UniformMap(topo, 1)
		require.NoError(rt, err)
		frozen := rankset.New(ranks)
		for _, rank := range rapid.SliceOf(rapid.IntRange(0, ranks-1)).Draw(rt, "frozen") {
			frozen.Add(rank)
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		load := zipf(rng, count, rng.Float64()*2)
		for _, plan := range []func(*experts.Topology, experts.Layer, []float64, rankset.Set) experts.Layer{experts.PlanLayer, experts.ReplanLayer} {
			next := experts.Map{Layers: []experts.Layer{plan(topo, m.Layers[0], load, frozen)}}
			require.NoError(rt, next.Validate(topo))
			for slot, e := range next.Layers[0] {
				if frozen.Has(topo.RankOf(slot)) {
					require.Equal(rt, m.Layers[0][slot], e)
				}
			}
			skew := experts.Skew(next.Layers[0].RankLoads(topo, load))
			require.GreaterOrEqual(rt, skew, experts.SkewLowerBound(topo, load)-1e-9)
		}
	})
}

// Guards against groups that get no plan because of their number of ranks, above all at
// the sizes that fill a word of a set of ranks.
func TestGroupSizes(t *testing.T) {
	for _, ranks := range []int{1, 2, 63, 64, 65, 72, 320, 1024} {
		topo := topology(ranks, min(2*ranks, experts.MaxExperts), 3)
		require.NoError(t, topo.Validate(), "%d ranks", ranks)
		m, err := experts.UniformMap(topo, 1)
		require.NoError(t, err)
		load := zipf(rand.New(rand.NewPCG(uint64(ranks), 0)), topo.Experts, 0.6)
		next := experts.Map{Layers: []experts.Layer{experts.PlanLayer(topo, m.Layers[0], load, nil)}}
		require.NoError(t, next.Validate(topo), "%d ranks", ranks)
		before, after := experts.Skew(m.Layers[0].RankLoads(topo, load)), experts.Skew(next.Layers[0].RankLoads(topo, load))
		require.LessOrEqual(t, after, before, "%d ranks", ranks)
		if ranks > 2 {
			require.Less(t, after, before, "%d ranks", ranks)
		}
	}
}

// Guards against a skew that is 5% or more above its lower bound at the design size.
func TestPlanIsNearLowerBound(t *testing.T) {
	topo := topology(32, 256, 9)
	m, err := experts.UniformMap(topo, 1)
	require.NoError(t, err)
	for seed := range uint64(20) {
		load := zipf(rand.New(rand.NewPCG(seed, 0)), 256, 0.8)
		next := experts.PlanLayer(topo, m.Layers[0], load, nil)
		ratio := experts.Skew(next.RankLoads(topo, load)) / experts.SkewLowerBound(topo, load)
		require.Less(t, ratio, 1.05, "seed %d", seed)
	}
}

// Guards against plans that ignore the weights of the table, the limit on moves or the
// minimum interval between plans.
func TestDecideFollowsWeightsAndLimits(t *testing.T) {
	topo := topology(8, 64, 9)
	in := input(t, topo, zipf(rand.New(rand.NewPCG(1, 0)), 64, 0.6))
	s := experts.DefaultSettings()
	s.Horizon = 10 * time.Second
	skewWeighted, err := experts.Decide(s, in)
	require.NoError(t, err)
	require.True(t, skewWeighted.Rebalance)
	in.Weights = experts.Weights{Skew: 1, Cost: 20}
	costWeighted, err := experts.Decide(s, in)
	require.NoError(t, err)
	require.Less(t, len(costWeighted.Moves), len(skewWeighted.Moves))

	in.Weights = experts.Weights{Skew: 4, Cost: 1}
	in.InFlight = s.MaxInFlight - 3
	limited, err := experts.Decide(s, in)
	require.NoError(t, err)
	require.LessOrEqual(t, len(limited.Moves), 3)
	in.LastPlan = start.Add(-s.MinInterval / 2)
	soon, err := experts.Decide(s, in)
	require.NoError(t, err)
	require.Equal(t, experts.TooSoon, soon.Reason)
	require.Equal(t, *in.InForce, soon.Target)
}

// Guards against plans that take too long because they search all layers, and against
// layers that are never searched because others can't be improved.
func TestSearchIsSpreadOverPlans(t *testing.T) {
	topo := topology(8, 64, 9)
	var layers [][]float64
	for i := range 4 {
		layers = append(layers, zipf(rand.New(rand.NewPCG(uint64(i), 0)), 64, 0.3+0.1*float64(i)))
	}
	in := input(t, topo, layers...)
	in.Weights = experts.Weights{Skew: 0, Cost: 1}
	in.LastSearched = make([]time.Time, len(layers))
	s := experts.DefaultSettings()
	s.SearchShare = 0.25
	var order []int
	for range 8 {
		d, err := experts.Decide(s, in)
		require.NoError(t, err)
		require.Equal(t, experts.NotWorthIt, d.Reason)
		require.Len(t, d.SearchedLayers, 1)
		in.LastSearched[d.SearchedLayers[0]] = in.Now
		in.Now = in.Now.Add(15 * time.Second)
		order = append(order, d.SearchedLayers[0])
	}
	for layer, load := range layers {
		skew := func(i int, load []float64) float64 { return experts.Skew(in.InForce.Layers[i].RankLoads(topo, load)) }
		require.GreaterOrEqual(t, skew(order[0], layers[order[0]]), skew(layer, load), "the layer with the largest excess is first")
	}
	require.ElementsMatch(t, []int{0, 1, 2, 3}, order[:4])
	in.LastSearched = in.LastSearched[1:]
	_, err := experts.Decide(s, in)
	require.True(t, errkind.Is(err, errkind.InvalidMap), "%v", err)
}

// Guards against a search that finds no change for an expert whose only replica has
// more load than the mean rank. The layer would stay skewed for hours.
func TestOversizedReplicaIsSplit(t *testing.T) {
	topo := topology(4, 10, 3)
	load := []float64{1.1, 0.01, 0.01, 0.45, 0.45, 0.45, 0.45, 0.33, 0.33, 0.33}
	in := input(t, topo, load)
	in.InForce.Layers[0] = experts.Layer{0, 1, 2, 3, 4, 1, 5, 6, 2, 7, 8, 9}
	require.Greater(t, experts.Skew(in.InForce.Layers[0].RankLoads(topo, load)), 1.12)
	d, err := experts.Decide(experts.DefaultSettings(), in)
	require.NoError(t, err)
	require.Less(t, experts.Skew(d.Target.Layers[0].RankLoads(topo, load)), 1.03)
	require.LessOrEqual(t, len(d.Moves), 2)
}

// Guards against a plan that treats a faulty rank as an overloaded one.
func TestFaultyRankIsNotOverloaded(t *testing.T) {
	topo := topology(8, 64, 9)
	in := input(t, topo, zipf(rand.New(rand.NewPCG(1, 0)), 64, 0.6))
	in.StepTimes[5] = 2 * time.Millisecond
	d, err := experts.Decide(experts.DefaultSettings(), in)
	require.NoError(t, err)
	require.Equal(t, experts.Slow, d.RankStates[5])
	for _, m := range d.Moves {
		require.NotEqual(t, 5, m.Rank)
	}
	in.StepTimes[5] = 0
	d, err = experts.Decide(experts.DefaultSettings(), in)
	require.NoError(t, err)
	require.Equal(t, experts.RankStalled, d.Reason)

	states, err := experts.ClassifyRanks(experts.DefaultHealthSettings(), []float64{1, 1, 2}, []time.Duration{8, 8, 14})
	require.NoError(t, err)
	require.Equal(t, experts.Overloaded, states[2])
}

// Guards against a plan that is based on invalid or outdated counts or maps.
func TestInvalidInputIsRejected(t *testing.T) {
	topo := topology(8, 64, 9)
	load := zipf(rand.New(rand.NewPCG(1, 0)), 64, 0.6)
	cases := []struct {
		name    string
		kind    errkind.Kind
		corrupt func(*experts.Input)
	}{
		{"stale", errkind.StaleCounts, func(in *experts.Input) { in.Now = in.Now.Add(time.Hour) }},
		{"missing", errkind.InvalidCounts, func(in *experts.Input) { in.Loads.Layers = nil }},
		{"short", errkind.InvalidCounts, func(in *experts.Input) { in.Loads.Layers[0] = load[:3] }},
		{"nan", errkind.InvalidCounts, func(in *experts.Input) { in.Loads.Layers[0][2] = math.NaN() }},
		{"infinite", errkind.InvalidCounts, func(in *experts.Input) { in.Loads.Layers[0][2] = math.Inf(1) }},
		{"total", errkind.InvalidCounts, func(in *experts.Input) {
			in.Loads.Layers[0][2], in.Loads.Layers[0][3] = math.MaxFloat64, math.MaxFloat64
		}},
		{"negative", errkind.InvalidCounts, func(in *experts.Input) { in.Loads.Layers[0][2] = -1 }},
		{"expert out of range", errkind.InvalidMap, func(in *experts.Input) { in.InForce.Layers[0][3] = 64 }},
		{"negative expert", errkind.InvalidMap, func(in *experts.Input) { in.InForce.Layers[0][3] = -2 }},
		{"expert without slot", errkind.InvalidMap, func(in *experts.Input) { in.InForce.Layers[0][3] = experts.EmptySlot }},
		{"missing slot", errkind.InvalidMap, func(in *experts.Input) { in.InForce.Layers[0] = in.InForce.Layers[0][1:] }},
		{"expert twice on a rank", errkind.InvalidMap, func(in *experts.Input) { in.InForce.Layers[0][1] = in.InForce.Layers[0][0] }},
		{"missing rank", errkind.InvalidMap, func(in *experts.Input) { in.Topology = topology(7, 64, 10) }},
		{"missing step time", errkind.InvalidMap, func(in *experts.Input) { in.StepTimes = in.StepTimes[1:] }},
		{"negative step time", errkind.InvalidCounts, func(in *experts.Input) { in.StepTimes[1] = -1 }},
		{"weight is not a number", errkind.InvalidTable, func(in *experts.Input) { in.Weights.Skew = math.NaN() }},
	}
	for _, c := range cases {
		in := input(t, topo, append([]float64(nil), load...))
		c.corrupt(&in)
		before := in.InForce.Clone()
		d, err := experts.Decide(experts.DefaultSettings(), in)
		require.True(t, errkind.Is(err, c.kind), "%s: %v", c.name, err)
		require.False(t, d.Rebalance, c.name)
		require.Equal(t, before, *in.InForce, c.name)
	}
}

// Guards against a tracker whose state is changed by invalid or duplicate counts.
func TestTrackerIgnoresInvalidCounts(t *testing.T) {
	tr := experts.NewLoadTracker(1, 2, 0)
	_, err := tr.Loads(start, time.Minute)
	require.True(t, errkind.Is(err, errkind.StaleCounts))
	require.NoError(t, tr.Observe(&experts.Counts{At: start, Layers: [][]float64{{300, 100}}}))
	require.True(t, errkind.Is(tr.Observe(&experts.Counts{At: start, Layers: [][]float64{{0, 900}}}), errkind.StaleCounts))
	invalid := &experts.Counts{At: start.Add(time.Second), Layers: [][]float64{{math.Inf(1), 0}}}
	require.True(t, errkind.Is(tr.Observe(invalid), errkind.InvalidCounts))
	require.NoError(t, tr.Observe(&experts.Counts{At: start.Add(time.Minute), Layers: [][]float64{{0, 400}}}))
	loads, err := tr.Loads(start.Add(time.Minute), time.Minute)
	require.NoError(t, err)
	require.InDeltaSlice(t, []float64{0.306122, 0.693878}, loads.Layers[0], 1e-6)
}

// Guards against a panic, and against an invalid plan for input that passes validation.
func FuzzDecide(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 255}, 1.0, -1.0, int64(1))
	f.Add([]byte{}, math.NaN(), math.Inf(1), int64(-1))
	f.Add([]byte{0, 1, 2, 3, 4, 5, 0, 1}, 5e-324, math.MaxFloat64, int64(0))
	f.Fuzz(func(t *testing.T, slots []byte, a, b float64, step int64) {
		topo := topology(4, 6, 2)
		layer := make(experts.Layer, 0, len(slots))
		for _, s := range slots {
			layer = append(layer, experts.Expert(int8(s)))
		}
		m := experts.Map{Layers: []experts.Layer{layer}}
		in := experts.Input{
			Now: start, Topology: topo, InForce: &m,
			Loads:     experts.Loads{At: start, Layers: [][]float64{{a, b, 1, 0, a, b}}},
			StepTimes: []time.Duration{1, 1, 1, time.Duration(step)},
			Weights:   experts.Weights{Skew: 4, Cost: 1},
		}
		d, err := experts.Decide(experts.DefaultSettings(), in)
		if err != nil {
			require.False(t, d.Rebalance)
			return
		}
		require.NoError(t, d.Target.Validate(topo))
	})
}

func BenchmarkPlanLayer(b *testing.B) {
	topo := topology(32, 256, 9)
	m, err := experts.UniformMap(topo, 1)
	require.NoError(b, err)
	load := zipf(rand.New(rand.NewPCG(1, 0)), 256, 0.8)
	for b.Loop() {
		experts.PlanLayer(topo, m.Layers[0], load, nil)
	}
}
