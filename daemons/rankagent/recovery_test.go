package rankagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// Guards against agents that take the long steps of a group with a slow rank for a stall:
// all of them read all ranks then, and the expert counts that a better map needs aren't
// reported any more.
func TestLongStepsAreNoStall(t *testing.T) {
	const step = 700 * time.Millisecond
	var r recoverer
	now := time.Unix(1000, 0)
	for i := range 40 {
		at := now.Add(time.Duration(i) * watchInterval)
		s := platform.RankState{ActiveRequests: 1, Report: switchover.Report{Open: true, Step: 1 + int64(at.Sub(now)/step)}}
		require.False(t, r.stalled(at, s, 150*time.Millisecond), "at %s", at.Sub(now))
	}
}

// Guards against a group that stays held because its holder has frozen, or calls although
// it can't release the group.
func TestStall(t *testing.T) {
	now := time.Unix(1000, 0)
	s := platform.RankState{ActiveRequests: 1, Report: switchover.Report{Open: true, Step: 7}}
	var frozenHolder, callingHolder recoverer
	require.False(t, frozenHolder.stalled(now, s, 0))
	require.True(t, frozenHolder.stalled(now.Add(2*holderSilence), s, 2*holderSilence))
	require.False(t, callingHolder.stalled(now, s, 0))
	require.False(t, callingHolder.stalled(now.Add(maxStall/2), s, 0))
	require.True(t, callingHolder.stalled(now.Add(maxStall), s, 0))
}

// Guards against a step time that counts as unknown while a slow rank makes the steps longer
// than the time between two readings: the group is held many steps ahead then, and the map
// that relieves the rank comes seconds later.
func TestStepTimeOfLongSteps(t *testing.T) {
	const step = 700 * time.Millisecond
	var s stepTimer
	now := time.Unix(1000, 0)
	for at := time.Duration(0); at < 6*time.Second; at += idleInterval {
		s.observe(now.Add(at), 5+int64(at/step))
	}
	require.InDelta(t, float64(step), float64(s.mean), float64(step)/4)
	require.LessOrEqual(t, s.leadSteps(72), int64(2))
	for at := 6 * time.Second; at < 9*time.Second; at += idleInterval {
		s.observe(now.Add(at), 5+int64(6*time.Second/step))
	}
	require.Zero(t, s.mean, "an idle group has no step time")
}
