package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/serve/hedge"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const (
	// usualOutput is the usual time to the first output in these tests, and slowOutput that of
	// a slow server. The silence limit of a lookup is 600 ms.
	usualOutput = 20 * time.Millisecond
	slowOutput  = 300 * time.Millisecond
	// withoutStandby is a time within which no standby is made.
	withoutStandby = 500 * time.Millisecond
)

// hedgingFixture is a gateway that hedges requests to servers of one service. The first
// request goes to slow and its hedge to other, unless a test changes that.
type hedgingFixture struct {
	*fixture
	service     string
	slow, other *platformtest.Server
	svc         *service
}

// newHedgingFixture starts a gateway with servers for the requests to a path.
func newHedgingFixture(t *testing.T, path string) *hedgingFixture {
	t.Helper()
	f := &hedgingFixture{slow: platformtest.NewServer("s1"), other: platformtest.NewServer("s2")}
	t.Cleanup(f.slow.Close)
	t.Cleanup(f.other.Close)
	if path == streamPath {
		f.fixture, f.service = newFixture(t), platformtest.ModelService
		f.register(f.service, f.slow, f.other)
	} else {
		f.fixture, f.service = newFixture(t, f.slow, f.other), platformtest.PlainService
	}
	f.gateway.EnableHedging(hedge.Config{Share: 0.2, Quantile: 0.95})
	f.svc = f.gateway.services.get(f.service, f.gateway.state)
	f.setPeerLoad(map[string]int{"s2": 1})
	f.learn(path)
	return f
}

// learn makes the latencies of a route known, and its share of extra requests available.
func (f *hedgingFixture) learn(path string) {
	route, ok := f.gateway.state.Index().Route(host, path)
	require.True(f.t, ok)
	c, _ := hedge.NewCandidate(route, 0)
	f.svc.mu.Lock()
	defer f.svc.mu.Unlock()
	for range 100 {
		f.svc.hedger.RecordRequest(c)
		f.svc.hedger.RecordLatency(clock.Now(), c, usualOutput)
		f.svc.outputTimes.Observe(usualOutput)
	}
}

// useShare records hedges of lookups.
func (f *hedgingFixture) useShare(hedges int) {
	route, _ := f.gateway.state.Index().Route(host, lookupPath)
	c, _ := hedge.NewCandidate(route, 0)
	f.svc.mu.Lock()
	defer f.svc.mu.Unlock()
	for range hedges {
		f.svc.hedger.RecordHedge(c)
	}
}

// requireLog waits for a line with all parts. A request is logged after its response.
func (f *fixture) requireLog(parts ...string) {
	f.t.Helper()
	f.eventually(func() bool { return f.logs.contains(parts...) })
}

// requireNoLoad waits until all slots are free.
func (f *hedgingFixture) requireNoLoad() {
	f.t.Helper()
	f.eventually(func() bool { return len(f.gateway.services.ownLoad()) == 0 })
}

// Guards against a late request that is left at a slow server, against a head of a stream that
// counts as output, and against a first attempt that goes on after its hedge has won, or that
// counts as a failure of its server.
func TestHedgeReplacesSlowServer(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		behaviour platformtest.Behaviour
		body      string
	}{
		"lookup":               {lookupPath, platformtest.NoResponse, "answer to a1"},
		"stream":               {streamPath, platformtest.NoResponse, events(0)},
		"stream without event": {streamPath, platformtest.SilentStream, events(0)},
		"lookup that fails":    {lookupPath, platformtest.ServerError, "answer to a1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgingFixture(t, c.path)
			f.slow.SetBehaviours(c.behaviour)
			if c.behaviour == platformtest.ServerError {
				f.slow.SetDelay(3 * usualOutput)
				f.other.SetDelay(6 * usualOutput)
			}
			started := time.Now()
			resp := f.send(http.MethodPost, c.path, "a1")
			require.Less(t, time.Since(started), withoutStandby)
			require.Equal(t, http.StatusOK, resp.status)
			require.True(t, resp.complete)
			require.Equal(t, c.body, resp.body)
			f.requireNoLoad()
			require.Equal(t, 1, f.slow.RequestCount())
			require.Equal(t, 1, f.other.RequestCount())
			f.requireLog(`"request_id":"a1"`, `"hedge":"won"`, `"servers":["s1","s2"]`, `"sent":2`)
			if c.behaviour == platformtest.ServerError {
				return
			}
			require.Zero(t, f.countLogs("attempt failed"))
			f.svc.mu.Lock()
			defer f.svc.mu.Unlock()
			require.Greater(t, f.svc.scheduler.Slowdown(clock.Now(), "s1"), 1.0)
			require.Equal(t, 8, f.svc.scheduler.SpareRoom(clock.Now(), placement.Constraint{}, hedge.DoubtfulSlowdown).Slots, "no cooldown")
			require.Eventually(t, func() bool { return f.slow.CancelledCount() == 1 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against a hedge that goes on after the first server has answered, and against one
// that replaces a valid answer with something else.
func TestFirstServerWinsBeforeHedge(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		behaviour platformtest.Behaviour
	}{
		"lookup":                  {lookupPath, platformtest.NoResponse},
		"stream":                  {streamPath, platformtest.NoResponse},
		"hedge without event":     {streamPath, platformtest.SilentStream},
		"hedge with comments":     {streamPath, platformtest.EndlessComments},
		"hedge with endless one":  {streamPath, platformtest.EndlessEvent},
		"hedge is refused":        {lookupPath, platformtest.AtCapacity},
		"hedge finds nothing":     {lookupPath, platformtest.NotFound},
		"hedge fails":             {lookupPath, platformtest.ServerError},
		"hedge of another server": {lookupPath, platformtest.WrongServer},
		"hedge isn't signed":      {lookupPath, platformtest.Unsigned},
		"hedge isn't a stream":    {streamPath, platformtest.EmptyStream},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgingFixture(t, c.path)
			f.other.SetBehaviours(c.behaviour)
			f.slow.SetDelay(5 * usualOutput)
			resp := f.send(http.MethodPost, c.path, "a1")
			require.Equal(t, http.StatusOK, resp.status)
			require.True(t, resp.complete)
			f.requireNoLoad()
			require.Equal(t, 1, f.slow.RequestCount())
			require.Equal(t, 1, f.other.RequestCount())
			f.requireLog(`"request_id":"a1"`, `"hedge":"lost"`, `"sent":2`)
			if c.behaviour == platformtest.NoResponse || c.behaviour == platformtest.SilentStream {
				f.eventually(func() bool { return f.other.CancelledCount() == 1 })
			}
		})
	}
}

// Guards against a hedge that holds its slot until the response of the first server is
// complete.
func TestLostHedgeEndsAtOnce(t *testing.T) {
	for path, behaviour := range map[string]platformtest.Behaviour{
		lookupPath: platformtest.PausedBody, streamPath: platformtest.PausedStream,
	} {
		t.Run(path, func(t *testing.T) {
			f := newHedgingFixture(t, path)
			f.slowRoutes()
			f.other.SetBehaviours(platformtest.NoResponse)
			f.slow.SetBehaviours(behaviour)
			f.slow.SetDelay(5 * usualOutput)
			done := make(chan response, 1)
			go func() { done <- f.send(http.MethodPost, path, "a1", platformtest.WithDeadline("20000")) }()
			f.eventually(func() bool { return f.other.CancelledCount() == 1 })
			require.Empty(t, done)
			f.eventually(func() bool { return f.gateway.services.ownLoad()["s2"] == 0 })
			require.Equal(t, 1, f.gateway.services.ownLoad()["s1"])
			require.True(t, (<-done).complete)
		})
	}
}

// Guards against hedges that aren't counted against the share, or that operators can't see.
func TestHedgeUsesShare(t *testing.T) {
	f := newHedgingFixture(t, lookupPath)
	f.slow.SetDelay(5 * usualOutput)
	f.other.SetDelay(5 * usualOutput)
	f.useShare(19) // of 20 for 101 requests
	for _, id := range []string{"a1", "a2"} {
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, lookupPath, id).status)
	}
	f.requireLog(`"request_id":"a1"`, `"sent":2`)
	f.requireLog(`"request_id":"a2"`, `"hedge":"refused: share_used"`, `"sent":1`)
	f.eventually(func() bool {
		w := httptest.NewRecorder()
		f.gateway.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		lines := w.Body.String()
		return strings.Contains(lines, "filbertmux_hedged_attempts{") && strings.Contains(lines, "filbertmux_hedges_refused{") &&
			strings.Contains(lines, `reason="share_used"`)
	})
}

// Guards against a request that reaches more servers than its route allows, because a hedge
// isn't counted.
func TestHedgeCountsAsAttempt(t *testing.T) {
	f := newHedgingFixture(t, lookupPath)
	third := platformtest.NewServer("s3")
	defer third.Close()
	f.register(f.service, f.slow, f.other, third)
	f.setPeerLoad(map[string]int{"s2": 1, "s3": 1})
	f.slow.SetDelay(5 * usualOutput)
	f.slow.SetBehaviours(platformtest.ServerError)
	f.other.SetBehaviours(platformtest.ResetBeforeResponse)
	third.SetBehaviours(platformtest.ResetBeforeResponse)
	resp := f.send(http.MethodPost, lookupPath, "a1")
	require.GreaterOrEqual(t, resp.status, http.StatusInternalServerError)
	require.Equal(t, 2, f.slow.RequestCount()+f.other.RequestCount()+third.RequestCount())
	f.requireNoLoad()
}

// Guards against a second run of a request that must not run twice, whatever is known of its
// route.
func TestNonRetryableRequestsAreNotHedged(t *testing.T) {
	for _, path := range []string{bookingPath, streamPath} {
		t.Run(path, func(t *testing.T) {
			f := newHedgingFixture(t, path)
			version := f.deploy.PublishConfig([]string{platformtest.Key}, func(_ string, r map[string]any) {
				r["maxAttempts"], r["resumable"] = 2, false
			})
			f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
			for n := range 100 {
				require.Equal(t, http.StatusOK, f.send(http.MethodPost, path, fmt.Sprintf("a%d", n)).status)
			}
			f.slow.SetDelay(5 * usualOutput)
			f.other.SetDelay(5 * usualOutput)
			seen := f.slow.RequestCount() + f.other.RequestCount()
			require.Equal(t, http.StatusOK, f.send(http.MethodPost, path, "b").status)
			require.Equal(t, seen+1, f.slow.RequestCount()+f.other.RequestCount())
			require.Zero(t, f.countLogs(`"hedge":`))
		})
	}
}

// Guards against a gateway that never hedges because it learns nothing of its own requests.
func TestGatewayLearnsUsualLatency(t *testing.T) {
	servers := []*platformtest.Server{platformtest.NewServer("s1"), platformtest.NewServer("s2")}
	for _, s := range servers {
		defer s.Close()
	}
	f := newFixture(t, servers...)
	f.gateway.EnableHedging(hedge.Config{Share: 0.2, Quantile: 0.95})
	for n := range 60 {
		require.Equal(t, http.StatusOK, f.send(http.MethodGet, lookupPath, fmt.Sprintf("a%d", n)).status)
	}
	seen := servers[0].RequestCount() + servers[1].RequestCount()
	for _, s := range servers {
		s.SetDelay(slowOutput)
	}
	require.Equal(t, http.StatusOK, f.send(http.MethodGet, lookupPath, "b").status)
	require.Equal(t, seen+2, servers[0].RequestCount()+servers[1].RequestCount())
}

// Guards against a second attempt of a stream of which the caller has a part, only because its
// next event is late.
func TestStreamThatHasBegunIsNotHedged(t *testing.T) {
	f := newHedgingFixture(t, streamPath)
	f.slow.SetBehaviours(platformtest.PausedStream)
	resp := f.send(http.MethodPost, streamPath, "a1")
	require.True(t, resp.complete)
	require.Equal(t, events(0), resp.body)
	require.Equal(t, 1, f.slow.RequestCount())
	require.Zero(t, f.other.RequestCount())
	require.Zero(t, f.countLogs(`"hedge":`))
}

// Guards against hedges with the setting that switches them off.
func TestNoHedgesWithoutShare(t *testing.T) {
	s, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	f.gateway.EnableHedging(hedge.Config{Share: 0, Quantile: 0.95})
	f.setPeerLoad(map[string]int{"s2": 1})
	for n := range 60 {
		require.Equal(t, http.StatusOK, f.send(http.MethodGet, lookupPath, fmt.Sprintf("a%d", n)).status)
	}
	seen := other.RequestCount()
	s.SetDelay(slowOutput)
	require.Equal(t, http.StatusOK, f.send(http.MethodGet, lookupPath, "b").status)
	require.Equal(t, seen, other.RequestCount())
	require.Zero(t, f.countLogs(`"hedge":`))
	require.Nil(t, f.gateway.services.get(platformtest.PlainService, f.gateway.state).hedger)
}

// Guards against a hedge that goes where no request may go, or that takes what the operators
// or other requests need.
func TestReasonsAgainstHedges(t *testing.T) {
	later := func() time.Time { return clock.Now().Add(time.Minute) }
	locked := func(f *hedgingFixture, do func(s *placement.Scheduler[*waiter])) {
		f.svc.mu.Lock()
		defer f.svc.mu.Unlock()
		do(f.svc.scheduler)
	}
	edit := func(f *hedgingFixture, edit platformtest.RouteEdit) {
		version := f.deploy.PublishConfig([]string{platformtest.Key}, edit)
		f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	}
	// answerOther makes the other server answer a request, in which it states something.
	answerOther := func(f *hedgingFixture) {
		f.setPeerLoad(map[string]int{"s1": 1})
		f.send(http.MethodPost, lookupPath, "first")
		require.Equal(f.t, 1, f.other.RequestCount())
		f.setPeerLoad(map[string]int{"s2": 1})
	}
	for name, c := range map[string]struct {
		prepare func(f *hedgingFixture)
		reason  hedge.Reason
	}{
		"allowed": {func(*hedgingFixture) {}, hedge.Allowed},
		"known to be cold": {func(f *hedgingFixture) {
			f.other.SetCold("60000")
			answerOther(f)
		}, hedge.NoServer},
		"registered as cold": {func(f *hedgingFixture) {
			f.deploy.RegisterCold("s2", f.service, f.other.Address(), 60_000)
			f.eventually(func() bool { return f.gateway.services.coldServers() == 1 })
		}, hedge.NoServer},
		"leaving": {func(f *hedgingFixture) {
			f.other.SetLeaving()
			answerOther(f)
		}, hedge.NoServer},
		"paused": {func(f *hedgingFixture) {
			f.other.SetPause("60")
			f.other.SetBehaviours(platformtest.AtCapacity)
			answerOther(f)
		}, hedge.NoServer},
		"evacuated": {func(f *hedgingFixture) {
			f.deploy.RegisterIn("zone-2", "s2", f.service, f.other.Address())
			f.eventually(func() bool { n, _ := f.svc.domainLoad("zone-2"); return n == 1 })
			f.evacuate("zone-2")
		}, hedge.NoServer},
		"another region": {func(f *hedgingFixture) {
			f.deploy.RegisterIn("zone-3", "s2", f.service, f.other.Address())
			f.eventually(func() bool { n, _ := f.svc.domainLoad("zone-3"); return n == 1 })
			edit(f, platformtest.WithRegions("", "region-1"))
		}, hedge.NoServer},
		"states a limit": {func(f *hedgingFixture) {
			f.other.SetRequestLimit(100)
			answerOther(f)
		}, hedge.NoServer},
		"avoided":       {func(f *hedgingFixture) { locked(f, func(s *placement.Scheduler[*waiter]) { s.Avoid("s2", later()) }) }, hedge.NoServer},
		"slots taken":   {func(f *hedgingFixture) { f.setPeerLoad(map[string]int{"s2": 4}) }, hedge.NoServer},
		"no spare room": {func(f *hedgingFixture) { f.setPeerLoad(map[string]int{"s1": 2, "s2": 3}) }, hedge.NoSpareRoom},
		"batch limit": {func(f *hedgingFixture) {
			locked(f, func(s *placement.Scheduler[*waiter]) { s.SetBatchLimit("s2", 3) })
		}, hedge.BatchLimited},
		"overload": {func(f *hedgingFixture) {
			f.svc.mu.Lock()
			defer f.svc.mu.Unlock()
			f.svc.budget.RecordOverload(clock.Now())
		}, hedge.Overload},
		"retry budget": {func(f *hedgingFixture) { f.svc.setRetryBurst(1) }, hedge.RetriesNeeded},
		"attempts": {func(f *hedgingFixture) {
			edit(f, func(_ string, r map[string]any) { r["maxAttempts"] = 1 })
		}, hedge.AttemptsUsed},
		"share": {func(f *hedgingFixture) { f.useShare(20) }, hedge.ShareUsed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgingFixture(t, lookupPath)
			c.prepare(f)
			seen := f.other.RequestCount()
			f.slow.SetDelay(slowOutput)
			require.Equal(t, http.StatusOK, f.send(http.MethodPost, lookupPath, "a1").status)
			if c.reason == hedge.Allowed {
				require.Equal(t, seen+1, f.other.RequestCount())
				return
			}
			require.Equal(t, seen, f.other.RequestCount())
			f.requireLog(`"request_id":"a1"`, `"hedge":"refused: `+string(c.reason)+`"`, `"sent":1`)
		})
	}
}

// Guards against a hedge of a request that may be what crashes servers: it would crash two at
// once.
func TestSuspectRequestIsNotHedged(t *testing.T) {
	f := newHedgingFixture(t, streamPath)
	f.slow.SetDelay(5 * usualOutput)
	features := []quarantine.Feature{{Service: f.service, Kind: quarantine.PromptPart, ID: "part"}}
	f.gateway.crashes.recordCrash(features, 0, "crash")
	require.True(t, f.send(http.MethodPost, streamPath, "a1", platformtest.WithPrompt("part", "own")).complete)
	require.Zero(t, f.other.RequestCount())
	f.requireLog(`"request_id":"a1"`, `"hedge":"refused: suspect_request"`)
}

// Guards against an attempt that goes on after the caller has left.
func TestCallerLeavesDuringHedge(t *testing.T) {
	for _, path := range []string{lookupPath, streamPath} {
		t.Run(path, func(t *testing.T) {
			f := newHedgingFixture(t, path)
			f.slow.SetBehaviours(platformtest.NoResponse)
			f.other.SetBehaviours(platformtest.NoResponse)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = f.trySend(ctx, http.MethodPost, path, "a1")
			}()
			f.eventually(func() bool { return f.other.RequestCount() == 1 })
			cancel()
			<-done
			f.eventually(func() bool { return f.slow.CancelledCount() == 1 && f.other.CancelledCount() == 1 })
			f.requireNoLoad()
			require.Equal(t, 1, f.slow.RequestCount())
			require.Equal(t, 1, f.other.RequestCount())
		})
	}
}

// Guards against a server that is left out as faulty because a hedge got a response that
// can't replace the first attempt: a status that callers may get from any server.
func TestUnusedHedgeIsNoServerFault(t *testing.T) {
	x := newWatchedExchange(t, watchedKind{kind: fleet.Idempotent, load: 1})
	err := x.awaitOutput(&http.Response{StatusCode: http.StatusNotFound})
	require.Error(t, err)
	require.True(t, x.result(err).notServerFault)
}
