package quarantine_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/serve/quarantine"
)

var tallyStart = time.Unix(1000, 0)

func tallied(body string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("m", "o", "POST", "/p", []byte(body))
}

// Replays a request that crashes each server and comes again at all gateways,
// beside requests that are in flight at the same crashes. Guards against a request
// that takes down one server after another, against reports of one crash that count
// several times, and against refusing the innocent ones.
func TestRequestThatCrashesEachServer(t *testing.T) {
	tally := quarantine.NewCrashCounter()
	bad, innocent := tallied("bad"), tallied("innocent")
	for crash := range 3 {
		require.False(t, tally.Refuses(tallyStart, bad))
		name := "server-" + strconv.Itoa(crash)
		require.True(t, tally.RecordCrash(tallyStart, bad, name))
		require.False(t, tally.RecordCrash(tallyStart, bad, name))
		tally.RecordCrash(tallyStart, innocent, name)
		if crash == 1 {
			tally.RecordAnswer(innocent)
		}
	}
	require.True(t, tally.Refuses(tallyStart, bad))
	require.False(t, tally.Refuses(tallyStart, innocent))
	require.False(t, tally.Refuses(tallyStart.Add(2*time.Minute), bad), "it may run again after a while")
}

// Guards against memory that grows with the crashes of a long day.
func TestTallyIsBounded(t *testing.T) {
	tally := quarantine.NewCrashCounter()
	for i := range 10_000 {
		now := tallyStart.Add(time.Duration(i) * time.Millisecond)
		tally.RecordCrash(now, tallied(strconv.Itoa(i)), "server-1")
	}
	require.LessOrEqual(t, tally.Len(), 4096)
	last := tallied("9999")
	require.True(t, tally.RecordCrash(tallyStart.Add(time.Minute), last, "server-2"), "the newest are kept")
	require.True(t, tally.RecordCrash(tallyStart.Add(time.Minute), last, "server-3"))
	require.True(t, tally.Refuses(tallyStart.Add(time.Minute), last))
}
