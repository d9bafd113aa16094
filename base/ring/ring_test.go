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

// Guards against a queue that grows past its capacity or loses count of drops.
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

// Guards against a blocking push without a bound in time.
func TestBlockFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int](ring.Config{Name: "block", Capacity: 1, Policy: ring.Block, PushTimeout: time.Second})
		require.NoError(t, r.Push(t.Context(), 1))
		start := time.Now()
		require.True(t, errkind.Is(r.Push(t.Context(), 2), errkind.QueueFull))
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against Close losing values that were already queued.
func TestCloseKeepsQueuedValues(t *testing.T) {
	ctx := context.Background()
	r := ring.New[int](ring.Config{Name: "close", Capacity: 2})
	require.NoError(t, r.Push(ctx, 1))
	r.Close()
	r.Close()
	require.True(t, errkind.Is(r.Push(ctx, 2), errkind.Leaving))
	v, ok := r.Pop(ctx)
	require.True(t, ok)
	require.Equal(t, 1, v)
	_, ok = r.Pop(ctx)
	require.False(t, ok)
}
