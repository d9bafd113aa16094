package quarantine_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/serve/quarantine"
)

var counterStart = time.Unix(1000, 0)

func counterFingerprint(body string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("m", "o", "POST", "/p", []byte(body))
}

// Guards against a request that crashes one server after another, against
// repeated reports of one crash that count several times, and against the refusal
// of other requests that were in flight at the same crashes.
func TestCrashCounterRefusesPoisonRequest(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	poison, innocent := counterFingerprint("bad"), counterFingerprint("innocent")
	for i := range 3 {
		require.False(t, counter.Refuses(counterStart, poison))
		crashID := "server-" + strconv.Itoa(i)
		require.True(t, counter.RecordCrash(counterStart, poison, crashID))
		require.False(t, counter.RecordCrash(counterStart, poison, crashID))
		counter.RecordCrash(counterStart, innocent, crashID)
		if i == 1 {
			counter.RecordResponse(innocent)
		}
	}
	require.True(t, counter.Refuses(counterStart, poison))
	require.False(t, counter.Refuses(counterStart, innocent))
	require.False(t, counter.Refuses(counterStart.Add(2*time.Minute), poison), "a refused request may run again after the retention")
}

// Guards against memory that grows with the number of crashes.
func TestCrashCounterIsBounded(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	for i := range 10_000 {
		now := counterStart.Add(time.Duration(i) * time.Millisecond)
		counter.RecordCrash(now, counterFingerprint(strconv.Itoa(i)), "server-1")
	}
	require.LessOrEqual(t, counter.Len(), 4096)
	last := counterFingerprint("9999")
	require.True(t, counter.RecordCrash(counterStart.Add(time.Minute), last, "server-2"), "the newest fingerprints are kept")
	require.True(t, counter.RecordCrash(counterStart.Add(time.Minute), last, "server-3"))
	require.True(t, counter.Refuses(counterStart.Add(time.Minute), last))
}
