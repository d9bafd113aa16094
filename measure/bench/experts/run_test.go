package experts

import (
	"testing"

	"github.com/stretchr/testify/require"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

// simulateTodaySize simulates a policy over the intervals [first, last) of a
// scenario with the group size "today".
func simulateTodaySize(t *testing.T, name string, sc scenario, first, last int) Result {
	t.Helper()
	s := planner.DefaultSettings()
	for _, p := range allPolicies(s) {
		if p.name == name {
			r, err := simulateIntervals(sizes[0], sc, 1, s, p, first, last)
			require.NoError(t, err)
			return r
		}
	}
	require.Fail(t, "no such policy", name)
	return Result{}
}

// Guards against policy weights that are not passed to the planner, and against
// moves counted for a policy that never moves an expert.
func TestWeightsChangeSkewAndMoves(t *testing.T) {
	const hour = 60 * perMinute
	never := simulateTodaySize(t, "never", drift, 0, hour)
	skew := simulateTodaySize(t, "skew-weighted", drift, 0, hour)
	cost := simulateTodaySize(t, "cost-weighted", drift, 0, hour)
	require.Zero(t, never.Moves)
	require.Zero(t, never.Plans)
	require.Positive(t, cost.Moves)
	require.Greater(t, skew.Moves, 3*cost.Moves)
	require.Less(t, skew.SkewP99+0.01, cost.SkewP99)
	require.Less(t, cost.SkewP99, never.SkewP99)
}

// Guards against a plan made while a rank is stalled, because its step time is
// unknown then.
func TestStalledRankCausesNoPlan(t *testing.T) {
	// The simulation starts one interval before the stall, so that the first
	// counts arrive with it.
	const begin, end = 2*intervals/3 - countDelayIntervals, 2*intervals/3 + 5*perMinute
	r := simulateTodaySize(t, "skew-weighted", stalledRank, begin, end)
	require.Zero(t, r.Plans)
	require.Positive(t, r.StalledSteps)
	r = simulateTodaySize(t, "skew-weighted", drift, begin, end)
	require.Positive(t, r.Plans)
}
