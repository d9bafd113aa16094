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
		isNew, _ := counter.RecordCrash(counterStart, crashID, poison)
		require.True(t, isNew)
		isNew, _ = counter.RecordCrash(counterStart, crashID, poison)
		require.False(t, isNew)
		counter.RecordCrash(counterStart, crashID, innocent)
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
		counter.RecordCrash(counterStart, strconv.Itoa(i), poison)
	}
	later := counterStart.Add(11 * time.Minute)
	require.False(t, counter.Refuses(later, poison))
	counter.RecordCrash(later, "again", poison)
	require.True(t, counter.Refuses(later, poison))
}

// Guards against requests that share one part of their prompt, and nothing else, and
// against the refusal of requests that share their other parts.
func TestCrashCounterRefusesPromptPart(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	now := counterStart
	for i := range 3 {
		now = now.Add(5 * time.Second)
		counter.RecordCrash(now, strconv.Itoa(i), counterFeatures("bad"+strconv.Itoa(i), "shared", "bad"))
		counter.RecordCrash(now, strconv.Itoa(i), counterFeatures("good"+strconv.Itoa(i), "shared"))
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
		counter.RecordCrash(now, id, counterFeatures("body of "+id, parts...))
	}
	for range 3 {
		crash("shared", "bad")
	}
	require.True(t, counter.Refuses(now, counterFeatures("new", "shared", "bad")))
	require.False(t, counter.Refuses(now, counterFeatures("new", "shared")))
	require.False(t, counter.Refuses(now, counterFeatures("new", "bad")))

	narrowed := quarantine.NewCrashCounter()
	for i := range 3 {
		narrowed.RecordCrash(now, strconv.Itoa(i), counterFeatures("b"+strconv.Itoa(i), "shared", "bad"))
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
		counter.RecordCrash(now, id, counterFeatures("body of "+id, "part of "+id))
		if server%4 == 0 {
			counter.RecordCrash(now, id, counterFeatures("popular at "+id, "popular"))
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
			counter.RecordCrash(now, id, counterFeatures("body of "+id, "shared", part))
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
		counter.RecordCrash(counterStart, strconv.Itoa(i), counterFeatures("body"+strconv.Itoa(i), "part"+strconv.Itoa(i), "bad"))
	}
	require.True(t, counter.Refuses(counterStart, counterFeatures("new", "bad")))
}

// Guards against memory that grows with the number of crashes.
func TestCrashCounterIsBounded(t *testing.T) {
	counter := quarantine.NewCrashCounter()
	for i := range 10_000 {
		now := counterStart.Add(time.Duration(i) * time.Millisecond)
		counter.RecordCrash(now, "server-1", counterFeatures(strconv.Itoa(i)))
	}
	require.LessOrEqual(t, counter.Len(), 4096)
	last := counterFeatures("9999")
	for i, at := range []time.Duration{time.Minute, 2 * time.Minute} {
		isNew, _ := counter.RecordCrash(counterStart.Add(at), fmt.Sprintf("server-%d", i+2), last)
		require.True(t, isNew, "the newest features are kept")
	}
	require.True(t, counter.Refuses(counterStart.Add(2*time.Minute), last))
}
