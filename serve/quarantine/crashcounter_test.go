package quarantine_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/serve/quarantine"
)

var counterStart = time.Unix(1000, 0)

// counterFeatures returns the features of a request with this body and these shared
// prompt parts.
func counterFeatures(body string, parts ...string) []quarantine.Feature {
	return quarantine.Features(quarantine.NewFingerprint("m", "o", "POST", "/p", []byte(body)), parts)
}

// Guards against a request that crashes one server after another, against
// repeated reports of one crash that count several times, and against the refusal
// of other requests that were in flight at the same crashes.
func TestCrashCounterRefusesPoisonRequest(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	poison, innocent := counterFeatures("bad"), counterFeatures("innocent")
	for i := range 3 {
		require.False(t, counter.Refuses(counterStart, poison))
		crashID := "server-" + strconv.Itoa(i)
		isNew, _ := counter.RecordCrash(counterStart, crashID, poison, 0)
		require.True(t, isNew)
		isNew, _ = counter.RecordCrash(counterStart, crashID, poison, 0)
		require.False(t, isNew)
		counter.RecordCrash(counterStart, crashID, innocent, 0)
		if i == 1 {
			counter.RecordResponse(innocent)
		}
	}
	require.True(t, counter.Refuses(counterStart, poison))
	require.False(t, counter.Refuses(counterStart, innocent))
	require.False(t, counter.Refuses(counterStart.Add(11*time.Minute), poison), "a refused request may run again later")
}

// Guards against a refused request that needs as many crashes as at first when it runs
// again after the refusal.
func TestCrashCounterRemembersAfterRefusal(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	poison := counterFeatures("bad")
	for i := range 3 {
		counter.RecordCrash(counterStart, strconv.Itoa(i), poison, 0)
	}
	later := counterStart.Add(11 * time.Minute)
	require.False(t, counter.Refuses(later, poison))
	counter.RecordCrash(later, "again", poison, 0)
	require.True(t, counter.Refuses(later, poison))
}

// Guards against requests that share one part of their prompt, and nothing else, and
// against the refusal of requests that share their other parts.
func TestCrashCounterRefusesPromptPart(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	now := counterStart
	for i := range 3 {
		now = now.Add(5 * time.Second)
		counter.RecordCrash(now, strconv.Itoa(i), counterFeatures("bad"+strconv.Itoa(i), "shared", "bad"), 0)
		counter.RecordCrash(now, strconv.Itoa(i), counterFeatures("good"+strconv.Itoa(i), "shared"), 0)
		counter.RecordResponse(counterFeatures("other"+strconv.Itoa(i), "shared"))
	}
	require.True(t, counter.Refuses(now, counterFeatures("new", "another", "bad")))
	require.False(t, counter.Refuses(now, counterFeatures("new", "shared")))
	require.False(t, counter.Refuses(now, counterFeatures("good1", "shared")))
}

// Guards against refusing all requests with one of two parts that were never seen
// apart, and against serving those with the cause once they were seen apart.
func TestCrashCounterSeparatesCompanions(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	now := counterStart
	crash := func(parts ...string) {
		now = now.Add(5 * time.Second)
		id := now.String()
		counter.RecordCrash(now, id, counterFeatures("body of "+id, parts...), 0)
	}
	for range 3 {
		crash("shared", "bad")
	}
	require.True(t, counter.Refuses(now, counterFeatures("new", "shared", "bad")))
	require.False(t, counter.Refuses(now, counterFeatures("new", "shared")))
	require.False(t, counter.Refuses(now, counterFeatures("new", "bad")))

	narrowed := quarantine.NewCrashCounter()
	for i := range 3 {
		narrowed.RecordCrash(now, strconv.Itoa(i), counterFeatures("b"+strconv.Itoa(i), "shared", "bad"), 0)
	}
	narrowed.RecordResponse(counterFeatures("new", "shared"))
	require.True(t, narrowed.Refuses(now, counterFeatures("new", "bad")), "a response shows that the other part is sound")

	crash("other", "bad")
	require.True(t, counter.Refuses(now, counterFeatures("new", "bad")), "the other part was not at the last crash")
	require.False(t, counter.Refuses(now, counterFeatures("new", "shared")))
}

// Guards against refusing a part that many requests have when a failure domain is
// lost: it is in flight at some of the servers.
func TestCrashCounterLossOfFailureDomain(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	popular := counterFeatures("new", "popular")
	for server := range 40 {
		now := counterStart.Add(time.Duration(server) * 10 * time.Millisecond)
		id := strconv.Itoa(server)
		counter.RecordCrash(now, id, counterFeatures("body of "+id, "part of "+id), 0)
		if server%4 == 0 {
			counter.RecordCrash(now, id, counterFeatures("popular at "+id, "popular"), 0)
		}
	}
	require.False(t, counter.Refuses(counterStart, popular))
}

// Guards against two bad parts that hide each other, because each one's crashes come
// with those of the other one.
func TestCrashCounterTwoBadParts(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	now := counterStart
	for i := range 3 {
		now = now.Add(5 * time.Second)
		for _, part := range []string{"bad", "worse"} {
			id := part + strconv.Itoa(i)
			counter.RecordCrash(now, id, counterFeatures("body of "+id, "shared", part), 0)
		}
		counter.RecordResponse(counterFeatures("sound"+strconv.Itoa(i), "shared"))
	}
	require.True(t, counter.Refuses(now, counterFeatures("new", "bad")))
	require.True(t, counter.Refuses(now, counterFeatures("new", "worse")))
	require.False(t, counter.Refuses(now, counterFeatures("new", "shared")))
}

// Guards against a part that crashes several servers at the same time and is only
// refused after further crashes.
func TestCrashCounterSimultaneousCrashes(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	for i := range 5 {
		counter.RecordCrash(counterStart, strconv.Itoa(i), counterFeatures("body"+strconv.Itoa(i), "part"+strconv.Itoa(i), "bad"), 0)
	}
	require.True(t, counter.Refuses(counterStart, counterFeatures("new", "bad")))
}

// Guards against memory that grows with the number of crashes.
func TestCrashCounterIsBounded(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	for i := range 10_000 {
		now := counterStart.Add(time.Duration(i) * time.Millisecond)
		counter.RecordCrash(now, "server-1", counterFeatures(strconv.Itoa(i)), 0)
	}
	require.LessOrEqual(t, counter.Len(), 4096)
	last := counterFeatures("9999")
	for i, at := range []time.Duration{time.Minute, 2 * time.Minute} {
		isNew, _ := counter.RecordCrash(counterStart.Add(at), fmt.Sprintf("server-%d", i+2), last, 0)
		require.True(t, isNew, "the newest features are kept")
	}
	require.True(t, counter.Refuses(counterStart.Add(2*time.Minute), last))
}

// Guards against a request that crashes servers late, and that clears its own crashes by what
// its stream has got before, and against waiting for the end of long streams to clear a part
// that sound requests share.
func TestCrashCounterProgress(t *testing.T) {
	const crashAfter = 9
	counter := quarantine.NewCrashCounter()
	now := counterStart
	poison := func(i int) []quarantine.Feature { return counterFeatures("bad"+strconv.Itoa(i), "shared", "bad") }
	for i := range 3 {
		now = now.Add(5 * time.Second)
		counter.RecordProgress(poison(i), crashAfter)
		counter.RecordCrash(now, strconv.Itoa(i), poison(i), crashAfter)
		counter.RecordProgress(poison(i), crashAfter)
		require.Empty(t, counter.RecordProgress(counterFeatures("good", "shared"), crashAfter).Features)
		require.Len(t, counter.RecordProgress(counterFeatures("good", "shared"), 2*crashAfter).Features, 1)
	}
	require.True(t, counter.Refuses(now, counterFeatures("new", "bad")))
	require.False(t, counter.Refuses(now, counterFeatures("new", "shared")))
}

// Guards against a request that is cleared by a long stream of its own: it may crash each
// server, though not always after as many events.
func TestCrashCounterProgressOfSameRequest(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	for i, events := range []int{1, 20, 60} {
		counter.RecordProgress(counterFeatures("bad"), events)
		counter.RecordCrash(counterStart, strconv.Itoa(i), counterFeatures("bad"), events)
	}
	require.True(t, counter.Refuses(counterStart, counterFeatures("bad")))
}

// Guards against refusing a sound part for minutes because the report on the request with the
// bad part arrived last.
func TestCrashCounterReconsiders(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	now := counterStart
	for i := range 3 {
		now = now.Add(5 * time.Second)
		id := strconv.Itoa(i)
		sound, bad := counterFeatures("good"+id, "popular"), counterFeatures("bad"+id, "bad")
		if i < 2 {
			counter.RecordCrash(now, id, bad, 0)
		}
		counter.RecordCrash(now, id, sound, 0)
		if i == 2 {
			require.True(t, counter.Refuses(now, counterFeatures("new", "popular")), "it alone explains all crashes so far")
			counter.RecordCrash(now, id, bad, 0)
		}
		counter.Reconsider(now)
	}
	require.False(t, counter.Refuses(now, counterFeatures("new", "popular")))
	now = now.Add(5 * time.Second)
	counter.RecordCrash(now, "last", counterFeatures("bad last", "bad"), 0)
	require.True(t, counter.Refuses(now, counterFeatures("new", "bad")), "the next crash tells them apart")
	require.False(t, counter.Refuses(now, counterFeatures("new", "popular")))
}
