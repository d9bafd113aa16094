package liveness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/liveness"
)

// Streams wait in the queues of two full servers, one of which is frozen. There
// must be one probe per server, not one per stream. The frozen server must be found
// unresponsive, and the other one must stay alive.
func TestFrozenServerInFullService(t *testing.T) {
	tracker := liveness.New()
	start := time.Unix(1000, 0)
	tracker.RecordActivity(start, "frozen")
	tracker.RecordActivity(start, "full")
	probes := map[string]int{}
	states := map[string]liveness.State{}
	for at := 500 * time.Millisecond; at < 1300*time.Millisecond; at += 50 * time.Millisecond {
		now := start.Add(at)
		for _, id := range []string{"frozen", "full"} {
			for range 8 { // streams that wait on the server
				states[id] = tracker.Check(now, id)
				if states[id] == liveness.NeedsProbe {
					probes[id]++
				}
			}
		}
		if at >= 600*time.Millisecond && probes["full"] > 0 {
			tracker.RecordProbe(now, "full", true)
		}
		if at == 700*time.Millisecond {
			tracker.RecordProbe(now, "frozen", false)
		}
	}
	require.Equal(t, liveness.Unresponsive, states["frozen"])
	require.Equal(t, liveness.Alive, states["full"])
	require.Equal(t, map[string]int{"frozen": 1, "full": 1}, probes)
}

// A server that resumes after it was frozen must not stay unresponsive.
func TestUnresponsiveServerRecovers(t *testing.T) {
	tracker := liveness.New()
	now := time.Unix(1000, 0)
	require.Equal(t, liveness.NeedsProbe, tracker.Check(now, "s"))
	require.Equal(t, liveness.Probing, tracker.Check(now, "s"))
	tracker.RecordProbe(now, "s", false)
	require.Equal(t, liveness.Unresponsive, tracker.Check(now.Add(time.Millisecond), "s"))
	tracker.RecordActivity(now.Add(2*time.Millisecond), "s")
	require.Equal(t, liveness.Alive, tracker.Check(now.Add(3*time.Millisecond), "s"))
	tracker.Retain(func(string) bool { return false })
	require.Equal(t, liveness.NeedsProbe, tracker.Check(now.Add(4*time.Millisecond), "s"))
}
