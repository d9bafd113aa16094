package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
)

// Guards against a clock that stands still or runs backwards.
func TestNow(t *testing.T) {
	before := clock.Now()
	time.Sleep(2 * time.Millisecond)
	require.Greater(t, clock.Now().Sub(before), time.Millisecond)
}

// Guards against a wait that outlives its context, and against one that reports
// the wrong end.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		require.True(t, clock.Sleep(ctx, 300*time.Millisecond))
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		require.True(t, clock.Sleep(ctx, -1))
		require.False(t, clock.Sleep(ctx, time.Hour))
		require.Equal(t, time.Second, time.Since(began))
		require.False(t, clock.Sleep(ctx, 0))
	})
}
