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
	tracker.Sign(start, "frozen")
	tracker.Sign(start, "full")
	asked := map[string]int{}
	verdicts := map[string]liveness.Verdict{}
	for at := 500 * time.Millisecond; at < 1300*time.Millisecond; at += 50 * time.Millisecond {
		now := start.Add(at)
		for _, id := range []string{"frozen", "full"} {
			for range 8 { // streams that wait there
				verdicts[id] = tracker.Judge(now, id)
				if verdicts[id] == liveness.Unknown {
					asked[id]++
				}
			}
		}
		if at >= 600*time.Millisecond && asked["full"] > 0 {
			tracker.Answered(now, "full", true)
		}
		if at == 700*time.Millisecond {
			tracker.Answered(now, "frozen", false)
		}
	}
	require.Equal(t, liveness.Silent, verdicts["frozen"])
	require.Equal(t, liveness.Alive, verdicts["full"])
	require.Equal(t, map[string]int{"frozen": 1, "full": 1}, asked)
}

// Guards against a server that stays silent for good after it woke up.
func TestServerWakes(t *testing.T) {
	tracker := liveness.New()
	now := time.Unix(1000, 0)
	require.Equal(t, liveness.Unknown, tracker.Judge(now, "s"))
	require.Equal(t, liveness.Asked, tracker.Judge(now, "s"))
	tracker.Answered(now, "s", false)
	require.Equal(t, liveness.Silent, tracker.Judge(now.Add(time.Millisecond), "s"))
	tracker.Sign(now.Add(2*time.Millisecond), "s")
	require.Equal(t, liveness.Alive, tracker.Judge(now.Add(3*time.Millisecond), "s"))
	tracker.Retain(func(string) bool { return false })
	require.Equal(t, liveness.Unknown, tracker.Judge(now.Add(4*time.Millisecond), "s"))
}
