package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a retry of a non-idempotent request that may have run, for every
// kind of error.
func TestNonIdempotentNeedsProof(t *testing.T) {
	for _, k := range errkind.Kinds() {
		e := errkind.New(k, "test")
		if retry.IsRetryable(retry.Attempt{Err: e}) {
			require.Equal(t, errkind.NotRun, e.Execution, k.String())
		}
		e.Execution = errkind.Done
		require.False(t, retry.IsRetryable(retry.Attempt{Err: e, Idempotent: true}), k.String())
		e.Execution = errkind.Unknown
		require.False(t, retry.IsRetryable(retry.Attempt{Err: e}), k.String())
	}
	require.True(t, retry.IsRetryable(retry.Attempt{Err: errkind.New(errkind.Leaving, "test")}))
	failed := errkind.New(errkind.BackendFailed, "test")
	require.True(t, retry.IsRetryable(retry.Attempt{Err: failed, Idempotent: true}))
	require.False(t, retry.IsRetryable(retry.Attempt{Err: failed, Idempotent: true, ResponseStarted: true}))
	require.False(t, retry.IsRetryable(retry.Attempt{Err: errkind.New(errkind.LimitExceeded, "test"), Idempotent: true}))
}

func attemptsWhenAllFail(config retry.Config, requests int) (attempts int) {
	b := retry.NewBudget(config)
	rng := rand.New(rand.NewPCG(1, 1))
	err := errkind.New(errkind.BackendUnavailable, "test")
	for range requests {
		b.RecordFirstAttempt()
		attempts++
		a := retry.Attempt{Err: err, Number: 1, Idempotent: true}
		for b.Decide(start, a, rng).Retry {
			a.Number++
			attempts++
		}
	}
	return attempts
}

// Guards against a retry storm when all servers fail. Without the budget there
// would be MaxAttempts attempts per request.
func TestBudgetBoundsAttempts(t *testing.T) {
	config := retry.DefaultConfig()
	require.LessOrEqual(t, float64(attemptsWhenAllFail(config, 10000)), 1.1*10000+config.Burst)
	config.Ratio = float64(config.MaxAttempts)
	config.Burst = float64(config.MaxAttempts)
	require.Equal(t, 10000*config.MaxAttempts, attemptsWhenAllFail(config, 10000))
}

// Guards against retries that add to an overload and against retries that can't
// meet the deadline.
func TestNoRetryWhileOverloadedOrLate(t *testing.T) {
	config := retry.DefaultConfig()
	b := retry.NewBudget(config)
	rng := rand.New(rand.NewPCG(1, 1))
	a := retry.Attempt{Err: errkind.New(errkind.Leaving, "test"), Number: 1}
	b.RecordOverload(start)
	require.Equal(t, retry.ServiceOverload, b.Decide(start.Add(time.Second), a, rng).Reason)
	afterBackoff := start.Add(config.OverloadBackoff)
	d := b.Decide(afterBackoff, a, rng)
	require.True(t, d.Retry)
	require.Less(t, d.Delay, config.BaseDelay)
	a.Deadline = afterBackoff
	require.Equal(t, retry.DeadlineTooClose, b.Decide(afterBackoff, a, rng).Reason)
}
