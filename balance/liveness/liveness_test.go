package liveness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/liveness"
)

// Replays a full service whose streams wait in the queues of two servers, one of
// which is frozen. Guards against a question for each of the streams, against
// work that stays at the frozen server, and against moving that of the other one.
func TestFullServiceWithFrozenServer(t *testing.T) {
	tracker := liveness.New()
	start := time.Unix(1000, 0)
	tracker.RecordActivity(start, "frozen")
	tracker.RecordActivity(start, "full")
	asked := map[string]int{}
	verdicts := map[string]liveness.State{}
	for at := 500 * time.Millisecond; at < 1300*time.Millisecond; at += 50 * time.Millisecond {
		now := start.Add(at)
		for _, id := range []string{"frozen", "full"} {
			for range 8 { // streams that wait there
				verdicts[id] = tracker.Check(now, id)
				if verdicts[id] == liveness.NeedsProbe {
					asked[id]++
				}
			}
		}
		if at >= 600*time.Millisecond && asked["full"] > 0 {
			tracker.RecordProbe(now, "full", true)
		}
		if at == 700*time.Millisecond {
			tracker.RecordProbe(now, "frozen", false)
		}
	}
	require.Equal(t, liveness.Unresponsive, verdicts["frozen"])
	require.Equal(t, liveness.Alive, verdicts["full"])
	require.Equal(t, map[string]int{"frozen": 1, "full": 1}, asked)
}

// Guards against a server that stays silent for good after it woke up.
func TestServerWakes(t *testing.T) {
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
