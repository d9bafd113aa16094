package claimlog_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/serve/claim"
)

// Guards against a key that stays in progress because its claim reached the log
// after the call had ended: the claim has to be abandoned, so that a duplicate
// request runs once.
func TestLateClaimIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemLog(1)
		a, b := newClient(t, log, nil), newClient(t, log, nil)
		require.NoError(t, a.StartPartition("order-book", 0))
		require.NoError(t, b.StartPartition("order-book", 0))
		time.Sleep(time.Second)
		log.setFaults(faults{lateAppend: 1, lateDelay: 10 * time.Second})
		var runs atomic.Int64
		key := newKey()
		_, err := a.Run(t.Context(), request(key), countingRun(&runs, "x"))
		require.Error(t, err)
		log.setFaults(faults{})
		time.Sleep(20 * time.Second)
		require.Zero(t, runs.Load(), "the call has ended")
		answer, err := b.Run(t.Context(), request(key), countingRun(&runs, "y"))
		require.NoError(t, err)
		require.Equal(t, "y", string(answer.Body))
		require.EqualValues(t, 1, runs.Load())
	})
}

// Guards against a call that runs although its claim was read back too late and
// its caller already got an error, and against a caller that waits for a slow log
// longer than DecisionTimeout.
func TestClaimReadTooLateDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemLog(1)
		a, b := newClient(t, log, nil), newClient(t, log, nil)
		require.NoError(t, a.StartPartition("order-book", 0))
		require.NoError(t, b.StartPartition("order-book", 0))
		time.Sleep(time.Second)
		log.setFaults(faults{readDelay: 5 * time.Second})
		var runs atomic.Int64
		key := newKey()
		start := time.Now()
		_, err := a.Run(t.Context(), request(key), countingRun(&runs, "x"))
		require.Error(t, err)
		require.LessOrEqual(t, time.Since(start), claim.DefaultSettings().DecisionTimeout+time.Second)
		time.Sleep(10 * time.Second)
		require.Zero(t, runs.Load())
		log.setFaults(faults{})
		time.Sleep(10 * time.Second)
		_, err = b.Run(t.Context(), request(key), countingRun(&runs, "y"))
		require.NoError(t, err)
		require.EqualValues(t, 1, runs.Load())
	})
}
