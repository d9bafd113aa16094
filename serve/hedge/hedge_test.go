package hedge_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/serve/hedge"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// propertyCases is the number of cases of each property, unless the flag sets another one.
const propertyCases = "1000"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", propertyCases); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func candidate(t require.TestingT, route string, promptTokens int) hedge.Candidate {
	c, ok := hedge.NewCandidate(&fleet.Route{Name: route, Kind: fleet.Idempotent}, promptTokens)
	require.True(t, ok)
	return c
}

// idle are conditions under which nothing but the share limits hedges.
func idle() hedge.Conditions {
	return hedge.Conditions{
		Pool: hedge.Pool{InFlight: 10, Slots: 100}, Retries: 8, RetryBurst: 8, AttemptsLeft: 1, TimeLeft: time.Minute,
	}
}

// observe records n latencies of a candidate, spread evenly up to longest.
func observe(h *hedge.Hedger, c hedge.Candidate, n int, longest time.Duration) {
	for i := range n {
		h.RecordLatency(start, c, longest*time.Duration(i+1)/time.Duration(n))
	}
}

// newHedger returns a hedger that knows the latencies of the candidates and has a full window
// of the first one's requests.
func newHedger(share float64, candidates ...hedge.Candidate) *hedge.Hedger {
	h := hedge.New(hedge.Config{Share: share, Quantile: 0.95})
	for _, c := range candidates {
		observe(h, c, 100, 100*time.Millisecond)
	}
	for range hedge.Window {
		h.RecordRequest(candidates[0])
	}
	return h
}

// Guards against a candidate of a request that must not run twice, and against a hedge, or
// anything recorded, for the zero value.
func TestOnlyRetryableRoutesHaveCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &fleet.Route{
			Name:      rapid.String().Draw(t, "name"),
			Kind:      fleet.RouteKind(rapid.IntRange(0, 4).Draw(t, "kind")),
			Resumable: rapid.Bool().Draw(t, "resumable"),
			// Neither of these allows a second run.
			MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts"),
			Public:      rapid.Bool().Draw(t, "public"),
		}
		c, ok := hedge.NewCandidate(route, rapid.IntRange(-1, 1<<20).Draw(t, "prompt"))
		repeatable := route.Kind == fleet.Idempotent || route.Kind == fleet.Streaming && route.Resumable
		require.Equal(t, repeatable, ok)
		if ok {
			return
		}
		h := hedge.New(hedge.Config{Share: 1, Quantile: 0.95})
		for range 100 {
			h.RecordRequest(c)
			h.RecordLatency(start, c, time.Millisecond)
		}
		_, known := h.Delay(start, c, 1)
		require.False(t, known)
		require.Equal(t, hedge.NotRetryable, h.Decide(start, c, idle()))
	})
}

// Guards against more hedges than the share allows in any window, for any mix of routes and
// any order of requests and hedges.
func TestShareHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.2).Draw(t, "share")
		routes := rapid.IntRange(1, 5).Draw(t, "routes")
		burst := rapid.IntRange(1, 300).Draw(t, "burst")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		h := hedge.New(hedge.Config{Share: share, Quantile: 0.95})
		candidates := make([]hedge.Candidate, routes)
		for i := range candidates {
			candidates[i] = candidate(t, fmt.Sprint(i), 0)
			observe(h, candidates[i], 100, 100*time.Millisecond)
		}
		// hedgesAfter[i] is the number of hedges after request i and before the next one.
		var hedgesAfter []int
		for range hedge.Window * 3 / 2 {
			h.RecordRequest(candidates[rng.IntN(routes)])
			hedgesAfter = append(hedgesAfter, 0)
			if rng.IntN(burst) > 0 {
				continue
			}
			for range burst {
				if c := candidates[rng.IntN(routes)]; h.Decide(start, c, idle()) == hedge.Allowed {
					h.RecordHedge(c)
					hedgesAfter[len(hedgesAfter)-1]++
				}
			}
		}
		hedges := 0
		for i, n := range hedgesAfter {
			hedges += n
			if i >= hedge.Window {
				hedges -= hedgesAfter[i-hedge.Window]
			}
			require.LessOrEqual(t, float64(hedges), share*float64(min(i+1, hedge.Window))+1)
		}
	})
}

// hedgeAll makes hedges until they are refused, and returns their number and the reason.
func hedgeAll(h *hedge.Hedger, c hedge.Candidate) (int, hedge.Reason) {
	for n := 0; ; n++ {
		if reason := h.Decide(start, c, idle()); reason != hedge.Allowed {
			return n, reason
		}
		h.RecordHedge(c)
	}
}

// Guards against a share that is never used, and against a route that uses all of it although
// others need theirs.
func TestRoutesShareHedges(t *testing.T) {
	a, b := candidate(t, "a", 0), candidate(t, "b", 0)
	n, reason := hedgeAll(newHedger(0.05, a, b), a)
	require.Equal(t, 50, n, "the only route may use all")
	require.Equal(t, hedge.ShareUsed, reason)

	h := newHedger(0.05, a, b)
	for range hedge.Window / 10 {
		h.RecordRequest(b)
	}
	n, reason = hedgeAll(h, b)
	require.Equal(t, 25, n, "half of what the other one leaves")
	require.Equal(t, hedge.RouteShareUsed, reason)
	n, _ = hedgeAll(h, a)
	require.Equal(t, 25, n)

	h = newHedger(0.05, a, b)
	for range hedge.Window / 10 {
		h.RecordRequest(b)
	}
	n, _ = hedgeAll(h, a)
	require.Equal(t, 45, n, "its own part")
	n, _ = hedgeAll(h, b)
	require.Equal(t, 5, n, "its own part is left")

	for range hedge.Window {
		h.RecordRequest(a)
	}
	n, _ = hedgeAll(h, a)
	require.Equal(t, 50, n, "earlier hedges have left the window")
}

// Guards against hedges that take capacity, retries, attempts or time that others need.
func TestReasonsAgainstHedges(t *testing.T) {
	c := candidate(t, "a", 0)
	for want, change := range map[hedge.Reason]func(s *hedge.Conditions){
		hedge.Allowed:          func(s *hedge.Conditions) { s.Pool.InFlight, s.Retries, s.TimeLeft = 69, 5.1, 100*time.Millisecond },
		hedge.NoSpareRoom:      func(s *hedge.Conditions) { s.Pool.InFlight = 70 },
		hedge.RequestsWaiting:  func(s *hedge.Conditions) { s.Pool.Waiting = 1 },
		hedge.BatchLimited:     func(s *hedge.Conditions) { s.Pool.BatchLimited = true },
		hedge.Overload:         func(s *hedge.Conditions) { s.Pool.Overloaded = true },
		hedge.RetriesNeeded:    func(s *hedge.Conditions) { s.Retries = 5 },
		hedge.SuspectRequest:   func(s *hedge.Conditions) { s.Suspected = true },
		hedge.AttemptsUsed:     func(s *hedge.Conditions) { s.AttemptsLeft = 0 },
		hedge.DeadlineTooClose: func(s *hedge.Conditions) { s.TimeLeft = 90 * time.Millisecond },
	} {
		s := idle()
		change(&s)
		require.Equal(t, want, newHedger(0.05, c).Decide(start, c, s))
	}
	noSlots := idle()
	noSlots.Pool = hedge.Pool{}
	require.Equal(t, hedge.NoSpareRoom, newHedger(0.05, c).Decide(start, c, noSlots))
	require.Equal(t, hedge.ShareUsed, newHedger(0, c).Decide(start, c, idle()))
}

// Guards against a delay that isn't the quantile of requests of the same kind, or that is
// taken from too few or old ones, and against one that a server in doubt doesn't shorten.
func TestDelay(t *testing.T) {
	const precision = 0.07
	h := hedge.New(hedge.Config{Share: 0.05, Quantile: 0.95})
	small, large := candidate(t, "a", 100), candidate(t, "a", 5000)
	observe(h, small, 29, 100*time.Millisecond)
	_, ok := h.Delay(start, small, 1)
	require.False(t, ok, "too few values")
	require.Equal(t, hedge.TooFewValues, h.Decide(start, small, idle()))
	observe(h, small, 1000, 100*time.Millisecond)
	observe(h, large, 1000, 800*time.Millisecond)
	for _, c := range []struct {
		candidate hedge.Candidate
		slowdown  float64
		want      time.Duration
	}{
		{small, 1, 95 * time.Millisecond},
		{small, 1.5, 95 * time.Millisecond},
		{small, 1.6, 95 * time.Millisecond / 2},
		{large, 1, 760 * time.Millisecond},
		{candidate(t, "a", 256), 1, 95 * time.Millisecond},
		{candidate(t, "a", 4097), 1, 760 * time.Millisecond},
	} {
		delay, ok := h.Delay(start, c.candidate, c.slowdown)
		require.True(t, ok)
		require.InEpsilon(t, c.want, delay, precision)
	}
	_, ok = h.Delay(start, candidate(t, "b", 100), 1)
	require.False(t, ok, "another route")

	later := start.Add(2 * time.Minute)
	for range 200 {
		h.RecordLatency(later, small, 10*time.Millisecond)
	}
	delay, ok := h.Delay(later, small, 1)
	require.True(t, ok)
	require.InDelta(t, 80*time.Millisecond, delay, float64(5*time.Millisecond), "13 of 262 are above it, all of them old")
	delay, ok = h.Delay(later.Add(2*time.Minute), small, 1)
	require.False(t, ok, "%s of few values", delay)

	high := hedge.New(hedge.Config{Share: 0.05, Quantile: 0.999})
	observe(high, small, 1000, time.Second)
	_, ok = high.Delay(start, small, 1)
	require.False(t, ok, "the quantile would be the longest value")
	low := hedge.New(hedge.Config{Share: 0.05, Quantile: 0.5})
	observe(low, small, 29, time.Second)
	_, ok = low.Delay(start, small, 1)
	require.False(t, ok, "too few values for any quantile")
}

// Guards against memory that grows with the kinds of requests, and against dropping those in
// use.
func TestKeysAreBounded(t *testing.T) {
	h := hedge.New(hedge.Config{Share: 0.05, Quantile: 0.95})
	used := candidate(t, "used", 0)
	for i := range 500 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for range 40 {
			h.RecordLatency(now, used, time.Millisecond)
			h.RecordLatency(now, candidate(t, fmt.Sprint(i), 0), time.Millisecond)
		}
	}
	now := start.Add(500 * time.Millisecond)
	known := 0
	for i := range 500 {
		if _, ok := h.Delay(now, candidate(t, fmt.Sprint(i), 0), 1); ok {
			known++
		}
	}
	require.Equal(t, 63, known)
	_, ok := h.Delay(now, used, 1)
	require.True(t, ok)
}
