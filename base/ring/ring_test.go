package ring_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/ring"
)

// Guards against a queue that exceeds its capacity or miscounts dropped values.
func TestOverflowPolicies(t *testing.T) {
	ctx := context.Background()
	reject := ring.New[int](ring.Config{Name: "reject", Capacity: 1, Policy: ring.Reject})
	require.NoError(t, reject.Push(ctx, 1))
	require.True(t, errkind.Is(reject.Push(ctx, 2), errkind.QueueFull))
	require.EqualValues(t, 1, reject.Dropped())

	drop := ring.New[int](ring.Config{Name: "drop", Capacity: 1, Policy: ring.DropOldest})
	require.NoError(t, drop.Push(ctx, 1))
	require.NoError(t, drop.Push(ctx, 2))
	v, ok := drop.Pop(ctx)
	require.True(t, ok)
	require.Equal(t, 2, v)
	require.EqualValues(t, 1, drop.Dropped())
}

// Guards against a blocking push without a timeout.
func TestBlockingPushTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := ring.New[int](ring.Config{Name: "block", Capacity: 1, Policy: ring.Block, PushTimeout: time.Second})
		require.NoError(t, q.Push(t.Context(), 1))
		start := time.Now()
		require.True(t, errkind.Is(q.Push(t.Context(), 2), errkind.QueueFull))
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against a Close that drops queued values.
func TestCloseKeepsQueuedValues(t *testing.T) {
	ctx := context.Background()
	q := ring.New[int](ring.Config{Name: "close", Capacity: 2})
	require.NoError(t, q.Push(ctx, 1))
	q.Close()
	q.Close()
	require.True(t, errkind.Is(q.Push(ctx, 2), errkind.Leaving))
	v, ok := q.Pop(ctx)
	require.True(t, ok)
	require.Equal(t, 1, v)
	_, ok = q.Pop(ctx)
	require.False(t, ok)
}
