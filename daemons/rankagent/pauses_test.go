package rankagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a lead of seconds in a group whose steps are slow, and against a
// pause that is measured over a time without work.
func TestPauses(t *testing.T) {
	var p pauses
	now := time.Unix(1000, 0)
	require.EqualValues(t, leadSteps, p.lead())
	require.InDelta(t, 1, p.relative(120*time.Millisecond), 0)
	step := int64(0)
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		step += 4
		p.note(now, step)
	}
	require.InDelta(t, 0.42, p.relative(120*time.Millisecond), 0.01)
	require.EqualValues(t, leadSteps, p.lead())
	for range 20 {
		now = now.Add(600 * time.Millisecond)
		step++
		p.note(now, step)
	}
	require.EqualValues(t, 1, p.lead())
	p.note(now.Add(time.Second), step)
	require.InDelta(t, 1, p.relative(120*time.Millisecond), 0, "no work, no pause")
}
