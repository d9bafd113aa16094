package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
)

// Guards against a clock that does not advance or that runs backwards.
func TestNowAdvances(t *testing.T) {
	before := clock.Now()
	time.Sleep(2 * time.Millisecond)
	require.Greater(t, clock.Now().Sub(before), time.Millisecond)
}

// Guards against a sleep that continues after its context is done, and against a
// wrong return value.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		require.True(t, clock.Sleep(ctx, 300*time.Millisecond))
		require.Equal(t, 300*time.Millisecond, time.Since(start))
		require.True(t, clock.Sleep(ctx, -1))
		require.False(t, clock.Sleep(ctx, time.Hour))
		require.Equal(t, time.Second, time.Since(start))
		require.False(t, clock.Sleep(ctx, 0))
	})
}
