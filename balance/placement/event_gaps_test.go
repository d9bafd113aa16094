package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
)

// The steps of a rank group take three times as long as the objective allows.
// Long streams must not be admitted only to hold slots until their deadline,
// short ones must not be refused with them, and slow gaps must be forgotten.
func TestCanFinish(t *testing.T) {
	const objective, remaining = 120 * time.Millisecond, 8 * time.Second
	var gaps placement.EventGaps
	require.True(t, gaps.CanFinish(start, 1000, objective, remaining), "nothing is known")
	now := start
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		gaps.Observe(now, 50*time.Millisecond)
	}
	require.True(t, gaps.CanFinish(now, 1000, objective, remaining), "gaps are short")
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		gaps.Observe(now, 360*time.Millisecond)
	}
	require.True(t, gaps.CanFinish(now, 20, objective, remaining))
	require.False(t, gaps.CanFinish(now, 40, objective, remaining))
	require.False(t, gaps.CanFinish(now, 20, objective, remaining/2))
	require.True(t, gaps.CanFinish(now.Add(2*time.Second), 40, objective, remaining), "the last gap is too old")
	gaps.Observe(now.Add(3*time.Second), 50*time.Millisecond)
	require.True(t, gaps.CanFinish(now.Add(3*time.Second), 40, objective, remaining))
}
