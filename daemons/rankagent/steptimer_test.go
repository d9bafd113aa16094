package rankagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a hold that is seconds ahead in a group with slow steps, and against
// a step time that is measured over a time without active requests.
func TestStepTimer(t *testing.T) {
	var p stepTimer
	now := time.Unix(1000, 0)
	require.EqualValues(t, maxLeadSteps, p.leadSteps())
	require.InDelta(t, 1, p.relativeTo(120*time.Millisecond), 0)
	step := int64(0)
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		step += 4
		p.observe(now, step)
	}
	require.InDelta(t, 0.42, p.relativeTo(120*time.Millisecond), 0.01)
	require.EqualValues(t, maxLeadSteps, p.leadSteps())
	for range 20 {
		now = now.Add(600 * time.Millisecond)
		step++
		p.observe(now, step)
	}
	require.EqualValues(t, 1, p.leadSteps())
	p.observe(now.Add(time.Second), step)
	require.InDelta(t, 1, p.relativeTo(120*time.Millisecond), 0, "a group without work has no step time")
}
