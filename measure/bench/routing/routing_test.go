package routing

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const testSeed = 1

// logReplayCommand logs the command that reproduces the run if the test fails.
func logReplayCommand(t *testing.T) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("replay: go run ./cmd/filbertmux-bench routing --seed %d", testSeed)
		}
	})
}

// Guards against a first class whose p99 wait under an overload of lower
// classes exceeds one mean service time, against starved classes, and against
// shares that do not follow the weights.
func TestPriorityBounds(t *testing.T) {
	logReplayCommand(t)
	r := runPriority(testSeed)
	require.Less(t, r.OverloadP99Millis, 1000.0)
	require.InDelta(t, reserve, r.Shares["accounts"], 0.005)
	require.InDelta(t, reserve, r.Shares["admin"], 0.005)
	require.Less(t, r.SharesWithoutReserve["admin"], 0.001, "starves without the reserve")
	require.Less(t, r.WorstWeightError, 0.1)
}

// Guards against entries that together admit more than the limit of an
// organisation allows.
func TestLimitBounds(t *testing.T) {
	logReplayCommand(t)
	for _, r := range []LimitsResult{measureLimits(testSeed, 3, 0.5), measureLimits(testSeed, 30, 0.9)} {
		require.LessOrEqual(t, r.WorstRatio, r.Bound)
	}
	require.Greater(t, measureLimits(testSeed, 3, 0).UsedShare, 0.9)
}

// Guards against a retry storm that continues after its cause has ended.
// Without the budget it does continue, which the test checks too.
func TestRetryBounds(t *testing.T) {
	logReplayCommand(t)
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

// Guards against three failures of the production life cycle: more attempts
// than the budget allows, an entry that does not recover with its servers, and
// traffic that keeps going to servers that answer probes but fail each request.
// Without the budget or without ejection the bounds must be exceeded.
func TestLifeCycleUnderFaults(t *testing.T) {
	logReplayCommand(t)
	config := retry.DefaultConfig()
	// The burst of the budget can be spent once; about 1,400 requests arrive
	// during the shortest fault of 10 s.
	bound := 1 + config.Ratio + config.Burst/1300
	for _, r := range runFaults(testSeed) {
		if r.Setting == faultFailing {
			// 30% of the servers fail, and each is ejected only after it has
			// failed several requests.
			require.GreaterOrEqual(t, r.GoodputDuringFault, 0.9)
		}
		if r.Setting == faultNoEjection {
			require.Less(t, r.GoodputDuringFault, 0.9)
		}
		if r.Setting == faultNoBudget {
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

// Guards against requests sent to a lost or leaving server for longer than the
// bounds of package membership allow.
func TestMembershipBounds(t *testing.T) {
	logReplayCommand(t)
	const tick = 0.05
	config := membership.DefaultConfig()
	idle := membershipServers / config.IdleProbesPerSecond
	for _, r := range runMembership(testSeed) {
		bound := idle + 2*tick
		if r.Fault == faultSilent {
			bound += config.ProbeTimeout.Seconds()
		}
		require.LessOrEqual(t, r.LastSentSeconds, bound, "%s, %d servers", r.Fault, r.Servers)
		if r.Fault == faultLeaving {
			require.Zero(t, r.Lost)
		}
	}
}

// Guards against a run that is not reproducible from its seed.
func TestPolicyRunIsReproducible(t *testing.T) {
	logReplayCommand(t)
	build := policyBuilders[len(policyBuilders)-1]
	size := scale{replicas: 3, entries: 2}
	require.Equal(t, newPolicyRun(testSeed, size, build).run(), newPolicyRun(testSeed, size, build).run())
}
