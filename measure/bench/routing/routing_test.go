package routing

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const testSeed = 1

// replay prints how to repeat a run that failed.
func replay(t *testing.T) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("replay: go run ./cmd/filbertmux-bench routing --seed %d", testSeed)
		}
	})
}

// Guards against a first class that waits behind an overload of lower classes
// for longer than one mean service time, starved classes, and shares that
// don't follow the weights.
func TestPriorityBounds(t *testing.T) {
	replay(t)
	r := runPriority(testSeed)
	require.Less(t, r.OverloadP99Millis, 1000.0)
	require.InDelta(t, reserve, r.Shares["accounts"], 0.005)
	require.InDelta(t, reserve, r.Shares["admin"], 0.005)
	require.Less(t, r.SharesWithoutReserve["admin"], 0.001, "starves without the reserve")
	require.Less(t, r.WorstWeightError, 0.1)
}

// Guards against entries that exceed a limit together.
func TestLimitBounds(t *testing.T) {
	replay(t)
	for _, r := range []LimitsResult{limitsTrial(testSeed, 3, 0.5), limitsTrial(testSeed, 30, 0.9)} {
		require.LessOrEqual(t, r.WorstRatio, r.Bound)
	}
	require.Greater(t, limitsTrial(testSeed, 3, 0).UsedShare, 0.9)
}

// Guards against a retry storm that outlives its cause. It does without the
// budget.
func TestRetryBounds(t *testing.T) {
	replay(t)
	for _, r := range runRetry(testSeed) {
		if r.Setting == "no budget" {
			require.Less(t, r.GoodputAfter, 0.5, "expected a metastable state")
			continue
		}
		require.LessOrEqual(t, r.AttemptsPerRequest, 1.1)
		require.LessOrEqual(t, r.RecoverySeconds, 5.0)
		require.GreaterOrEqual(t, r.RecoverySeconds, 0.0)
	}
}

// Guards against attempts above the budget and against an entry that stays down
// after its servers have come back, with the life cycle that ships, and against
// servers that answer probes, fail each request and keep their share of the work.
// Without the budget the attempts are above it.
func TestLifeCycleUnderFaults(t *testing.T) {
	replay(t)
	config := retry.DefaultConfig()
	// Saved-up retries count once: about 1,400 requests arrive in 10 s.
	bound := 1 + config.Ratio + config.Burst/1300
	for _, r := range runFaults(testSeed) {
		if r.Setting == failing {
			// 30% of the servers fail; each has to fail a few requests first.
			require.GreaterOrEqual(t, r.GoodputDuringFault, 0.9)
		}
		if r.Setting == noEjection {
			require.Less(t, r.GoodputDuringFault, 0.9)
		}
		if r.Setting == noBudget {
			require.Greater(t, r.AttemptsDuringFault, bound)
			continue
		}
		require.LessOrEqual(t, r.AttemptsDuringFault, bound, r.Setting)
		require.LessOrEqual(t, r.AttemptsPerRequest, 1+config.Ratio, r.Setting)
		require.GreaterOrEqual(t, r.RecoverySeconds, 0.0, r.Setting)
		require.LessOrEqual(t, r.RecoverySeconds, 5.0, r.Setting)
		require.Greater(t, r.GoodputAfter, goodputTarget, r.Setting)
		if strings.Contains(r.Setting, "overload") {
			require.LessOrEqual(t, r.WorstSecondAttempts, 1+config.Ratio, r.Setting)
		}
	}
}

// Guards against work sent to a lost or leaving server for longer than the
// bounds of package membership.
func TestMembershipBounds(t *testing.T) {
	replay(t)
	const tick = 0.05
	config := membership.DefaultConfig()
	idle := memberServers / config.IdleProbesPerSecond
	for _, r := range runMembership(testSeed) {
		bound := idle + 2*tick
		if r.Fault == silent {
			bound += config.ProbeTimeout.Seconds()
		}
		require.LessOrEqual(t, r.LastSentSeconds, bound, "%s, %d servers", r.Fault, r.Servers)
		if r.Fault == leaves {
			require.Zero(t, r.Lost)
		}
	}
}

// Guards against a run that depends on anything but its seed.
func TestPolicyRunIsReproducible(t *testing.T) {
	replay(t)
	build := variants[len(variants)-1]
	size := scale{replicas: 3, entries: 2}
	require.Equal(t, newTrial(testSeed, size, build).run(), newTrial(testSeed, size, build).run())
}
