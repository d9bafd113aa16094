package experts

import (
	"testing"

	"github.com/stretchr/testify/require"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

// simulatePart runs a policy for some intervals of a scenario at today's size.
func simulatePart(t *testing.T, name string, sc scenario, first, last int) Result {
	t.Helper()
	s := planner.DefaultSettings()
	for _, p := range policies(s) {
		if p.name == name {
			r, err := simulateBetween(sizes[0], sc, 1, s, p, first, last)
			require.NoError(t, err)
			return r
		}
	}
	require.Fail(t, "no such policy", name)
	return Result{}
}

// Guards against weights that do not reach the planner, and against moves
// that are charged to a policy that makes none.
func TestWeightsChangeSkewAndMoves(t *testing.T) {
	const hour = 60 * perMinute
	never := simulatePart(t, "never", drift, 0, hour)
	skew := simulatePart(t, "skew-weighted", drift, 0, hour)
	cost := simulatePart(t, "cost-weighted", drift, 0, hour)
	require.Zero(t, never.Moves)
	require.Zero(t, never.Plans)
	require.Positive(t, cost.Moves)
	require.Greater(t, skew.Moves, 3*cost.Moves)
	require.Less(t, skew.SkewP99+0.01, cost.SkewP99)
	require.Less(t, cost.SkewP99, never.SkewP99)
}

// Guards against plans while a rank is stalled, when no step time is known.
func TestStalledRankCausesNoPlan(t *testing.T) {
	// The interval before the stall is the first; plans start after it.
	const begin, end = 2*intervals/3 - countLag, 2*intervals/3 + 5*perMinute
	r := simulatePart(t, "skew-weighted", stalledRank, begin, end)
	require.Zero(t, r.Plans)
	require.Positive(t, r.StalledSteps)
	r = simulatePart(t, "skew-weighted", drift, begin, end)
	require.Positive(t, r.Plans)
}
