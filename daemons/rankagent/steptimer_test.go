package rankagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a group that pauses in each switch, because it reaches the held step
// before the holder has armed its many ranks.
func TestLeadTimeGrowsWithGroup(t *testing.T) {
	require.EqualValues(t, 3, maxLeadSteps(12))
	p := stepTimer{mean: 100 * time.Millisecond}
	require.EqualValues(t, 2, p.leadSteps(12))
	require.EqualValues(t, 3, p.leadSteps(64), "the arming was not measured yet")
	p.observeArming(200 * time.Millisecond)
	require.EqualValues(t, 3, p.leadSteps(64), "the ranks were armed in less time")
	p.observeArming(100 * time.Millisecond)
	require.EqualValues(t, 3, p.leadSteps(64))
	p.observeArming(time.Second)
	require.EqualValues(t, 5, p.leadSteps(64), "an arming that was late is no reason to hold seconds ahead")
}

// Guards against a hold that is seconds ahead in a group with slow steps, and against
// a step time that is measured over a time without active requests.
func TestStepTimer(t *testing.T) {
	var p stepTimer
	now := time.Unix(1000, 0)
	require.EqualValues(t, maxLeadSteps(ranks), p.leadSteps(ranks))
	require.InDelta(t, 1, p.relativeTo(120*time.Millisecond), 0)
	step := int64(0)
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		step += 4
		p.observe(now, step)
	}
	require.InDelta(t, 0.42, p.relativeTo(120*time.Millisecond), 0.01)
	require.EqualValues(t, maxLeadSteps(ranks), p.leadSteps(ranks))
	for range 20 {
		now = now.Add(600 * time.Millisecond)
		step++
		p.observe(now, step)
	}
	require.EqualValues(t, 1, p.leadSteps(ranks))
	p.observe(now.Add(time.Second), step)
	require.InDelta(t, 1, p.relativeTo(120*time.Millisecond), 0, "a group without work has no step time")
}

// Guards against a pass that waits for the end of a hold although arming takes no longer than
// the slowest recent time. The newest step may be about to end when the group is held.
func TestHoldDelaysNoPass(t *testing.T) {
	const ms = time.Millisecond
	for _, ranks := range []int{1, 8, 12, 24, 32, 63, 64, 72} {
		for step := shortStep; step <= maxLeadTime(ranks); step += 7 * ms {
			longest := min(time.Duration(maxLeadSteps(ranks)-1)*step, maxLeadTime(ranks))
			for arming := ms; arming <= longest; arming += 13 * ms {
				p := stepTimer{mean: step}
				p.observeArming(arming)
				const aboutToEnd = time.Microsecond
				untilHeld := time.Duration(p.leadSteps(ranks))*step - step + aboutToEnd
				require.Greater(t, untilHeld, arming, "%d ranks, steps of %s, arming takes %s", ranks, step, arming)
			}
		}
	}
}
