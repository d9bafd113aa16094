package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
)

// Replays a group whose steps take three times as long as the objective allows.
// Guards against long streams that hold places until their deadline, against
// short ones that are refused with them, and against a memory of the slow time.
func TestCanFinish(t *testing.T) {
	const objective, left = 120 * time.Millisecond, 8 * time.Second
	var p placement.EventGaps
	require.True(t, p.CanFinish(start, 1000, objective, left), "nothing is known")
	now := start
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		p.Observe(now, 50*time.Millisecond)
	}
	require.True(t, p.CanFinish(now, 1000, objective, left), "pauses are short")
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		p.Observe(now, 360*time.Millisecond)
	}
	require.True(t, p.CanFinish(now, 20, objective, left))
	require.False(t, p.CanFinish(now, 40, objective, left))
	require.False(t, p.CanFinish(now, 20, objective, left/2))
	require.True(t, p.CanFinish(now.Add(2*time.Second), 40, objective, left), "too old")
	p.Observe(now.Add(3*time.Second), 50*time.Millisecond)
	require.True(t, p.CanFinish(now.Add(3*time.Second), 40, objective, left))
}
