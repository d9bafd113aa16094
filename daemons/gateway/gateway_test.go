package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	stream  = platformtest.StreamPath + "x"
	booking = platformtest.BookingPath + "x?n=%201"
	lookup  = platformtest.LookupPath + "x"
	open    = platformtest.OpenPath + "x"
)

// Guards against a request or an answer that changes on its way, and against a
// key that reaches the backend server.
func TestForwardsUnchanged(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	a := f.ask(http.MethodPost, booking, "a1", platformtest.WithOrganisation("other"))
	require.Equal(t, 200, a.status)
	require.Equal(t, "answer to a1", a.body)
	require.Equal(t, "sig-s1", platformtest.Signature(a.header))
	runs := s.ExecutedRequests()
	require.Len(t, runs, 1)
	require.Equal(t, booking, runs[0].Target)
	require.Equal(t, "body of a1", runs[0].Body)
	require.Equal(t, platformtest.Organisation, runs[0].Organisation())
	require.Empty(t, runs[0].Key())
	left, err := strconv.Atoi(runs[0].Deadline())
	require.NoError(t, err)
	require.LessOrEqual(t, left, 2000, "the route's timeout is below the caller's deadline")
	require.Greater(t, left, 1000)
}

// Guards against refusals that are wrong or don't promise what they should.
func TestRefusals(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	require.Equal(t, 401, f.ask(http.MethodGet, lookup, "a", platformtest.WithoutKey).status)
	require.Equal(t, 200, f.ask(http.MethodGet, open, "b", platformtest.WithoutKey).status)
	require.Equal(t, 404, f.ask(http.MethodGet, "/none/x", "c").status)
	big := f.ask(http.MethodPost, booking, "d", platformtest.WithDeadline("soon"))
	require.Equal(t, 400, big.status)
	require.Len(t, s.ExecutedRequests(), 1)
}

// Guards against a gateway that answers 4xx from an old configuration, or serves a
// key that may have been withdrawn.
func TestStaleConfiguration(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	f.store.SetFault(platformtest.Unresponsive)
	now := clock.Now()
	f.gateway.view.mu.Lock()
	f.gateway.view.freshness.RecordRead(now, now)
	f.gateway.view.mu.Unlock()
	// The time passes by an older proof, not by waiting.
	b := bounds()
	b.RevocationTime, b.ConfigApplyTime = 400*time.Millisecond, 200*time.Millisecond
	f.gateway.bounds.Store(&b)
	time.Sleep(250 * time.Millisecond)
	for path, want := range map[string]int{lookup: 503, "/none/x": 503, open: 200} {
		a := f.ask(http.MethodGet, path, "a"+strconv.Itoa(want)+path[1:3])
		require.Equal(t, want, a.status, path)
		if want == 503 {
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
	}
	ready, reason := f.gateway.Ready()
	require.False(t, ready, reason)
	f.store.SetFault(platformtest.NoFault)
	usual := bounds()
	f.gateway.bounds.Store(&usual)
	f.eventually(func() bool { age, _ := f.gateway.view.ConfigFreshness(clock.Now()); return age < 2*configWait })
	ready, reason = f.gateway.Ready()
	require.True(t, ready, reason)
	require.Equal(t, 404, f.ask(http.MethodGet, "/none/x", "z").status)
}

// Guards against a withdrawn key that passes, and a new one that doesn't.
func TestKeysFollowTheConfiguration(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	version := f.deploy.PublishConfig([]string{"key-2"}, nil)
	f.eventually(func() bool { return f.gateway.view.Index().Config.Version == version })
	require.Equal(t, 401, f.ask(http.MethodGet, lookup, "a").status)
	require.Equal(t, 200, f.ask(http.MethodGet, lookup, "b", platformtest.WithKey("key-2")).status)
}

// Guards against a booking that runs twice, and against an answer that promises
// that it did not run although it may have.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for answer, want := range map[platformtest.Response]int{
		platformtest.ResetBeforeResponse: 502, platformtest.TruncatedBody: 502, platformtest.Malformed: 502,
		platformtest.Unsigned: 502, platformtest.AtCapacity: 503, platformtest.ServerError: 500,
		platformtest.ResetCloseDelimited: 502, platformtest.CloseDelimited: 200, platformtest.ExtraResponse: 200,
		platformtest.OtherResponseFirst: 200, platformtest.GroupBroken: 503,
	} {
		s := platformtest.NewServer("s1", answer)
		other := platformtest.NewServer("s2", answer)
		f := newFixture(t, s, other)
		a := f.ask(http.MethodPost, booking, "a1")
		require.Equal(t, want, a.status, answer)
		if want == 200 {
			require.Equal(t, "answer to a1", a.body, answer)
		}
		runs := len(s.ExecutedRequests()) + len(other.ExecutedRequests())
		require.LessOrEqual(t, runs, 1, answer)
		if a.status == 503 {
			require.Zero(t, runs, answer)
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
		if a.status == 502 || a.status == 503 {
			require.Empty(t, platformtest.Signature(a.header))
		}
		s.Close()
		other.Close()
	}
}

// Guards against a booking that is repeated after it may have run, on a route that
// allows several attempts.
func TestBookingIsNotRepeatedWithinTheRoute(t *testing.T) {
	for _, answer := range []platformtest.Response{platformtest.ResetBeforeResponse, platformtest.ServerError, platformtest.Unsigned} {
		s := platformtest.NewServer("s1", answer, answer)
		other := platformtest.NewServer("s2", answer, answer)
		f := newFixture(t, s, other)
		version := f.deploy.PublishConfig([]string{platformtest.Key}, func(_ string, r map[string]any) { r["maxAttempts"] = 3 })
		f.eventually(func() bool { return f.gateway.view.Index().Config.Version == version })
		f.ask(http.MethodPost, booking, "a1")
		require.Equal(t, 1, s.RequestCount()+other.RequestCount(), answer)
		s.Close()
		other.Close()
	}
}

// Guards against more attempts than the route allows while servers are left.
func TestAttemptsOfTheRoute(t *testing.T) {
	var servers []*platformtest.Server
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		servers = append(servers, platformtest.NewServer(id, platformtest.ResetBeforeResponse, platformtest.ResetBeforeResponse))
	}
	f := newFixture(t, servers...)
	require.Equal(t, 502, f.ask(http.MethodGet, lookup, "a1").status)
	arrivals := 0
	for _, s := range servers {
		arrivals += s.RequestCount()
		s.Close()
	}
	require.Equal(t, 2, arrivals)
}

// Guards against a stream that ends within an event and looks complete.
func TestStreamThatEndsWithinAnEvent(t *testing.T) {
	s := platformtest.NewServer("m-s1", platformtest.EndInsideEvent, platformtest.EndInsideEvent)
	defer s.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.eventually(func() bool { return len(f.gateway.view.UsableServers(platformtest.ModelService)) == 1 })
	a := f.ask(http.MethodPost, stream, "a1")
	require.False(t, a.whole)
	require.Equal(t, events(0)[:len(events(0))-len(events(2))], a.body)
}

// Guards against an idempotent request that fails although another server can
// answer it, and against more attempts than the route allows.
func TestIdempotentIsRepeated(t *testing.T) {
	for _, answer := range []platformtest.Response{
		platformtest.ResetBeforeResponse, platformtest.TruncatedBody, platformtest.Malformed, platformtest.Unsigned,
		platformtest.AtCapacity, platformtest.ServerError, platformtest.ResetCloseDelimited, platformtest.NoResponse,
	} {
		s := platformtest.NewServer("s1", answer)
		other := platformtest.NewServer("s2")
		f := newFixture(t, s, other)
		for _, id := range []string{"a1", "a2"} {
			a := f.ask(http.MethodGet, lookup, id)
			require.Equal(t, 200, a.status, answer)
			require.Equal(t, "answer to "+id, a.body, answer)
		}
		require.LessOrEqual(t, s.RequestCount()+other.RequestCount(), 3, answer)
		s.Close()
		other.Close()
	}
}

// Guards against a refusal that says "not run" after an attempt that may have run.
func TestRefusalAfterUnknownAttempt(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.ResetBeforeResponse, platformtest.AtCapacity)
	other := platformtest.NewServer("s2", platformtest.AtCapacity, platformtest.ResetBeforeResponse)
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	for _, id := range []string{"a1", "a2"} {
		a := f.ask(http.MethodGet, lookup, id)
		ran := 0
		for _, r := range append(s.ExecutedRequests(), other.ExecutedRequests()...) {
			if r.ID == id {
				ran++
			}
		}
		require.Equal(t, ran > 0, a.status != 503, "status %d after %d runs", a.status, ran)
	}
}

// Guards against a stream that is cut, joined wrongly or held back.
func TestStreamGoesOnAtAnotherServer(t *testing.T) {
	s := platformtest.NewServer("m-s1", platformtest.TruncatedEvent)
	other := platformtest.NewServer("m-s2", platformtest.TruncatedEvent)
	defer s.Close()
	defer other.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.deploy.Register(other.ID, platformtest.ModelService, other.Address())
	f.eventually(func() bool { return len(f.gateway.view.UsableServers(platformtest.ModelService)) == 2 })
	// Both servers break off once: the second attempt is the last one.
	a := f.ask(http.MethodPost, stream, "a1")
	require.Equal(t, 200, a.status)
	require.False(t, a.whole, "an answer that breaks off must not look complete")
	require.Equal(t, events(0)[:len(events(0))-len(events(4))], a.body)
	// From now on the servers answer whole.
	a = f.ask(http.MethodPost, stream, "a2")
	require.True(t, a.whole)
	require.Equal(t, events(0), a.body)
	// One server breaks off and the other one goes on.
	s.SetResponses(platformtest.TruncatedEvent)
	for _, id := range []string{"a3", "a4"} {
		a = f.ask(http.MethodPost, stream, id)
		require.True(t, a.whole)
		require.Equal(t, events(0), a.body)
	}
	a = f.ask(http.MethodPost, stream, "a5", platformtest.WithLastEventID("4"))
	require.Equal(t, events(4), a.body)
}

// Guards against a long stream that takes a place until its deadline while pauses
// are so long that it can't finish, and against a short one that is refused too.
func TestStreamThatCannotFinish(t *testing.T) {
	s := platformtest.NewServer("m-s1")
	defer s.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.eventually(func() bool { return len(f.gateway.view.UsableServers(platformtest.ModelService)) == 1 })
	s.SetDelay(180 * time.Millisecond)
	require.True(t, f.ask(http.MethodPost, stream, "a1").whole)
	arrivals := s.RequestCount()
	a := f.ask(http.MethodPost, stream, "a2", platformtest.WithLengthHint("200"))
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Equal(t, arrivals, s.RequestCount())
	require.Equal(t, 200, f.ask(http.MethodPost, stream, "a3", platformtest.WithLengthHint("30")).status)
}

// Guards against work that goes on after its caller left.
func TestCallerLeaves(t *testing.T) {
	s := platformtest.NewServer("m-s1", platformtest.NoResponse)
	defer s.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.eventually(func() bool { return len(f.gateway.view.UsableServers(platformtest.ModelService)) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := f.try(ctx, http.MethodPost, stream, "a1")
	require.Error(t, err)
	f.eventually(func() bool { return s.CancelledCount() == 1 })
}

// Guards against a caller that is kept waiting past the route's timeout.
func TestTimeout(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.NoResponse)
	defer s.Close()
	f := newFixture(t, s)
	began := time.Now()
	a := f.ask(http.MethodPost, booking, "a1", platformtest.WithDeadline("300"))
	require.Equal(t, 504, a.status)
	require.Less(t, time.Since(began), 600*time.Millisecond)
}

// Guards against work for a server that drains, and for one whose address belongs
// to another server now.
func TestLeavingServersGetNoWork(t *testing.T) {
	s := platformtest.NewServer("s1")
	other := platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	f.deploy.RegisterDraining("s1", platformtest.PlainService, s.Address())
	f.eventually(func() bool { return len(f.gateway.view.UsableServers(platformtest.PlainService)) == 1 })
	before := s.RequestCount()
	for i := range 5 {
		require.Equal(t, 200, f.ask(http.MethodPost, booking, "a"+strconv.Itoa(i)).status)
	}
	require.Equal(t, before, s.RequestCount())
	// The address of s2 now belongs to a server that isn't listed yet.
	other.ID = "s3"
	require.Equal(t, 503, f.ask(http.MethodPost, booking, "b1").status)
	require.Equal(t, 503, f.ask(http.MethodPost, booking, "b2").status)
	require.Equal(t, 6, other.RequestCount(), "a server that moved is not asked again")
	f.deploy.Register("s3", platformtest.PlainService, other.Address())
	f.eventually(func() bool {
		return f.ask(http.MethodPost, booking, "c"+strconv.Itoa(other.RequestCount())).status == 200
	})
}

// Guards against a service without servers after the store was away: entries
// lapse in an outage although their servers live.
func TestLapsedEntriesCountForAWhile(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	f.store.SetFault(platformtest.Unavailable)
	f.eventually(func() bool { return f.lines.has(`"topic":"keyed.servers"`, "store lost") })
	f.deploy.Deregister("s1")
	f.store.SetFault(platformtest.NoFault)
	f.eventually(func() bool { return f.lines.has("missing after an outage") })
	require.Equal(t, 200, f.ask(http.MethodPost, booking, "a1").status)
	f.eventually(func() bool { return len(f.gateway.view.UsableServers(platformtest.PlainService)) == 0 })
	require.Equal(t, 503, f.ask(http.MethodPost, booking, "a2").status)
}

// Guards against a version that steps back.
func TestVersionNeverStepsBack(t *testing.T) {
	f := newFixture(t)
	index := f.gateway.view.Index()
	old := *index.Config
	old.Version--
	require.False(t, f.gateway.view.InstallConfig(&old))
	require.Same(t, index, f.gateway.view.Index())
}

// Guards against statuses that promise more than is known.
func TestAnswerStatus(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		for _, execution := range []errkind.Execution{errkind.Unknown, errkind.NotRun, errkind.Done} {
			err := errkind.New(kind, "x")
			err.Execution = execution
			status := answerStatus(err)
			if execution != errkind.NotRun {
				require.False(t, promisesNotRun(status), "%s %s: %d", kind, execution, status)
			}
		}
	}
}

// Guards against retries of all gateways together beyond the shared bound, also
// in a fleet that is larger than today's.
func TestRetriesAreShared(t *testing.T) {
	const extra = 184
	for _, gateways := range []int{1, 10, 16, 40, 120} {
		together := float64(max(gateways, 10)) * retryBurst(extra, gateways)
		require.LessOrEqual(t, together, float64(extra), "%d gateways", gateways)
	}
	f := newFixture(t)
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.view)
	f.gateway.services.setGateways(60)
	granted := 0
	for range 100 {
		failed := retry.Attempt{Err: errkind.New(errkind.BackendFailed, "x"), Number: 1, Idempotent: true}
		if svc.decideRetry(clock.Now(), failed).Retry {
			granted++
		}
	}
	require.Equal(t, int(retryBurst(bounds().RetryExtra, 60)), granted)
}

// Guards against a log that grows with the load without bound, and against lines
// that vanish without a word.
func TestLogVolumeIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLineLimiter(func() time.Time { return now })
	written := 0
	for range 500 {
		if ok, _ := l.allow(lineAnswered); ok {
			written++
		}
	}
	require.Equal(t, maxLines[lineAnswered], written)
	ok, _ := l.allow(lineFailed)
	require.True(t, ok, "failures have a limit of their own")
	now = now.Add(time.Second)
	ok, dropped := l.allow(lineAnswered)
	require.True(t, ok)
	require.Equal(t, 500-maxLines[lineAnswered], dropped)
}

// Guards against a failed request whose cause is not in the log.
func TestFailureIsExplainedInTheLog(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.ResetBeforeResponse)
	defer s.Close()
	f := newFixture(t, s)
	f.ask(http.MethodPost, booking, "id-of-the-complaint")
	text := f.lines.String()
	for _, part := range []string{
		`"request_id":"id-of-the-complaint"`, `"execution":"unknown"`, `"servers":["s1"]`, `"config_version":3`,
		`"config_age_ms"`, `"no_retry":"not_repeatable"`, `"outcome":"backend_failed"`, `"status":502`,
	} {
		require.Contains(t, text, part)
	}
}
