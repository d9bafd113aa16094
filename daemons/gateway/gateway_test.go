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
	streamPath  = platformtest.StreamPath + "x"
	bookingPath = platformtest.BookingPath + "x?n=%201"
	lookupPath  = platformtest.LookupPath + "x"
	openPath    = platformtest.OpenPath + "x"
)

// Guards against a request or a response that is modified by forwarding, and
// against an API key that reaches the backend server.
func TestForwardsUnchanged(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	resp := f.send(http.MethodPost, bookingPath, "a1", platformtest.WithOrganisation("other"))
	require.Equal(t, 200, resp.status)
	require.Equal(t, "answer to a1", resp.body)
	require.Equal(t, "sig-s1", platformtest.Signature(resp.header))
	runs := s.ExecutedRequests()
	require.Len(t, runs, 1)
	require.Equal(t, bookingPath, runs[0].Target)
	require.Equal(t, "body of a1", runs[0].Body)
	require.Equal(t, platformtest.Organisation, runs[0].Organisation())
	require.Empty(t, runs[0].Key())
	left, err := strconv.Atoi(runs[0].Deadline())
	require.NoError(t, err)
	require.LessOrEqual(t, left, 2000, "the route's timeout is below the caller's deadline")
	require.Greater(t, left, 1000)
}

// Guards against rejections with a wrong status and against forwarding a rejected
// request.
func TestRefusals(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	require.Equal(t, 401, f.send(http.MethodGet, lookupPath, "a", platformtest.WithoutKey).status)
	require.Equal(t, 200, f.send(http.MethodGet, openPath, "b", platformtest.WithoutKey).status)
	require.Equal(t, 404, f.send(http.MethodGet, "/none/x", "c").status)
	invalid := f.send(http.MethodPost, bookingPath, "d", platformtest.WithDeadline("soon"))
	require.Equal(t, 400, invalid.status)
	require.Len(t, s.ExecutedRequests(), 1)
}

// Guards against a 4xx response that is based on an outdated configuration, and
// against accepting a key that may have been revoked.
func TestStaleConfiguration(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	f.store.SetFault(platformtest.Unresponsive)
	now := clock.Now()
	f.gateway.state.mu.Lock()
	f.gateway.state.freshness.RecordRead(now, now)
	f.gateway.state.mu.Unlock()
	// Shorter bounds make the configuration stale without a long wait.
	b := bounds()
	b.RevocationTime, b.ConfigApplyTime = 400*time.Millisecond, 200*time.Millisecond
	f.gateway.bounds.Store(&b)
	time.Sleep(250 * time.Millisecond)
	for path, want := range map[string]int{lookupPath: 503, "/none/x": 503, openPath: 200} {
		resp := f.send(http.MethodGet, path, "a"+strconv.Itoa(want)+path[1:3])
		require.Equal(t, want, resp.status, path)
		if want == 503 {
			require.NotEmpty(t, resp.header.Get("Retry-After"))
		}
	}
	ready, reason := f.gateway.Ready()
	require.False(t, ready, reason)
	f.store.SetFault(platformtest.NoFault)
	original := bounds()
	f.gateway.bounds.Store(&original)
	f.eventually(func() bool { age, _ := f.gateway.state.ConfigFreshness(clock.Now()); return age < 2*configPollTimeout })
	ready, reason = f.gateway.Ready()
	require.True(t, ready, reason)
	require.Equal(t, 404, f.send(http.MethodGet, "/none/x", "z").status)
}

// Guards against refusing requests with keys early in an outage of the store,
// because the configuration was last confirmed long before the outage.
func TestKeysServedEarlyInStoreOutage(t *testing.T) {
	const servedFor = 3 * time.Second
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	// The longest time since the last confirmation is just before a poll returns.
	f.eventually(func() bool {
		age, _ := f.gateway.state.ConfigFreshness(clock.Now())
		return age > 3*configPollTimeout/2
	})
	f.store.SetFault(platformtest.Unresponsive)
	time.Sleep(servedFor)
	require.Equal(t, 200, f.send(http.MethodGet, lookupPath, "a").status)
}

// Guards against accepting a revoked key and against rejecting a new one.
func TestAPIKeyRotation(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	version := f.deploy.PublishConfig([]string{"key-2"}, nil)
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	require.Equal(t, 401, f.send(http.MethodGet, lookupPath, "a").status)
	require.Equal(t, 200, f.send(http.MethodGet, lookupPath, "b", platformtest.WithKey("key-2")).status)
}

// Guards against running a non-idempotent request twice, and against a status that
// states that the request did not run although it may have.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for behaviour, want := range map[platformtest.Behaviour]int{
		platformtest.ResetBeforeResponse: 502, platformtest.TruncatedBody: 502, platformtest.Malformed: 502,
		platformtest.Unsigned: 502, platformtest.AtCapacity: 503, platformtest.ServerError: 500,
		platformtest.ResetCloseDelimited: 502, platformtest.CloseDelimited: 200, platformtest.ExtraResponse: 200,
		platformtest.OtherResponseFirst: 200, platformtest.GroupBroken: 503,
	} {
		s := platformtest.NewServer("s1", behaviour)
		other := platformtest.NewServer("s2", behaviour)
		f := newFixture(t, s, other)
		resp := f.send(http.MethodPost, bookingPath, "a1")
		require.Equal(t, want, resp.status, behaviour)
		if want == 200 {
			require.Equal(t, "answer to a1", resp.body, behaviour)
		}
		runs := len(s.ExecutedRequests()) + len(other.ExecutedRequests())
		require.LessOrEqual(t, runs, 1, behaviour)
		if resp.status == 503 {
			require.Zero(t, runs, behaviour)
			require.NotEmpty(t, resp.header.Get("Retry-After"))
		}
		if resp.status == 502 || resp.status == 503 {
			require.Empty(t, platformtest.Signature(resp.header))
		}
		s.Close()
		other.Close()
	}
}

// Guards against retrying a non-idempotent request that may have run, on a route
// that allows several attempts.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	for _, behaviour := range []platformtest.Behaviour{platformtest.ResetBeforeResponse, platformtest.ServerError, platformtest.Unsigned} {
		s := platformtest.NewServer("s1", behaviour, behaviour)
		other := platformtest.NewServer("s2", behaviour, behaviour)
		f := newFixture(t, s, other)
		version := f.deploy.PublishConfig([]string{platformtest.Key}, func(_ string, r map[string]any) { r["maxAttempts"] = 3 })
		f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
		f.send(http.MethodPost, bookingPath, "a1")
		require.Equal(t, 1, s.RequestCount()+other.RequestCount(), behaviour)
		s.Close()
		other.Close()
	}
}

// Guards against more attempts than the route allows while there are untried
// servers.
func TestRouteMaxAttempts(t *testing.T) {
	var servers []*platformtest.Server
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		servers = append(servers, platformtest.NewServer(id, platformtest.ResetBeforeResponse, platformtest.ResetBeforeResponse))
	}
	f := newFixture(t, servers...)
	require.Equal(t, 502, f.send(http.MethodGet, lookupPath, "a1").status)
	requests := 0
	for _, s := range servers {
		requests += s.RequestCount()
		s.Close()
	}
	require.Equal(t, 2, requests)
}

// Guards against a stream that ends within an event but looks complete to the
// caller.
func TestStreamTruncatedWithinEvent(t *testing.T) {
	s := platformtest.NewServer("m-s1", platformtest.EndInsideEvent, platformtest.EndInsideEvent)
	defer s.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == 1 })
	resp := f.send(http.MethodPost, streamPath, "a1")
	require.False(t, resp.complete)
	require.Equal(t, events(0)[:len(events(0))-len(events(2))], resp.body)
}

// Guards against an idempotent request that fails although another server can run
// it, and against more attempts than the route allows.
func TestIdempotentIsRetried(t *testing.T) {
	for _, behaviour := range []platformtest.Behaviour{
		platformtest.ResetBeforeResponse, platformtest.TruncatedBody, platformtest.Malformed, platformtest.Unsigned,
		platformtest.AtCapacity, platformtest.ServerError, platformtest.ResetCloseDelimited, platformtest.NoResponse,
	} {
		s := platformtest.NewServer("s1", behaviour)
		other := platformtest.NewServer("s2")
		f := newFixture(t, s, other)
		for _, id := range []string{"a1", "a2"} {
			resp := f.send(http.MethodGet, lookupPath, id)
			require.Equal(t, 200, resp.status, behaviour)
			require.Equal(t, "answer to "+id, resp.body, behaviour)
		}
		require.LessOrEqual(t, s.RequestCount()+other.RequestCount(), 3, behaviour)
		s.Close()
		other.Close()
	}
}

// Guards against a 503, which states that the request did not run, after an
// earlier attempt that may have run.
func TestRefusalAfterUnknownAttempt(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.ResetBeforeResponse, platformtest.AtCapacity)
	other := platformtest.NewServer("s2", platformtest.AtCapacity, platformtest.ResetBeforeResponse)
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	for _, id := range []string{"a1", "a2"} {
		resp := f.send(http.MethodGet, lookupPath, id)
		ran := 0
		for _, r := range append(s.ExecutedRequests(), other.ExecutedRequests()...) {
			if r.ID == id {
				ran++
			}
		}
		require.Equal(t, ran > 0, resp.status != 503, "status %d after %d runs", resp.status, ran)
	}
}

// Guards against a stream that is truncated, or that has lost or duplicate events
// after it was resumed on another server.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	s := platformtest.NewServer("m-s1", platformtest.TruncatedEvent)
	other := platformtest.NewServer("m-s2", platformtest.TruncatedEvent)
	defer s.Close()
	defer other.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.deploy.Register(other.ID, platformtest.ModelService, other.Address())
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == 2 })
	// Both servers truncate the stream once, and the second attempt is the last.
	resp := f.send(http.MethodPost, streamPath, "a1")
	require.Equal(t, 200, resp.status)
	require.False(t, resp.complete, "a truncated response must not look complete")
	require.Equal(t, events(0)[:len(events(0))-len(events(4))], resp.body)
	// From now on the servers send complete responses.
	resp = f.send(http.MethodPost, streamPath, "a2")
	require.True(t, resp.complete)
	require.Equal(t, events(0), resp.body)
	// One server truncates the stream and the other one resumes it.
	s.SetBehaviours(platformtest.TruncatedEvent)
	for _, id := range []string{"a3", "a4"} {
		resp = f.send(http.MethodPost, streamPath, id)
		require.True(t, resp.complete)
		require.Equal(t, events(0), resp.body)
	}
	resp = f.send(http.MethodPost, streamPath, "a5", platformtest.WithLastEventID("4"))
	require.Equal(t, events(4), resp.body)
}

// Guards against a long stream that occupies a slot until its deadline although
// the gaps between events are too long for it to finish, and against rejecting a
// short stream as well.
func TestStreamThatCannotMeetDeadline(t *testing.T) {
	s := platformtest.NewServer("m-s1")
	defer s.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == 1 })
	s.SetDelay(180 * time.Millisecond)
	require.True(t, f.send(http.MethodPost, streamPath, "a1").complete)
	requests := s.RequestCount()
	resp := f.send(http.MethodPost, streamPath, "a2", platformtest.WithLengthHint("200"))
	require.Equal(t, 503, resp.status)
	require.NotEmpty(t, resp.header.Get("Retry-After"))
	require.Equal(t, requests, s.RequestCount())
	require.Equal(t, 200, f.send(http.MethodPost, streamPath, "a3", platformtest.WithLengthHint("30")).status)
}

// Guards against a stream that keeps running after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	s := platformtest.NewServer("m-s1", platformtest.NoResponse)
	defer s.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := f.trySend(ctx, http.MethodPost, streamPath, "a1")
	require.Error(t, err)
	f.eventually(func() bool { return s.CancelledCount() == 1 })
}

// Guards against a caller that waits beyond its deadline.
func TestRequestTimeout(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.NoResponse)
	defer s.Close()
	f := newFixture(t, s)
	start := time.Now()
	resp := f.send(http.MethodPost, bookingPath, "a1", platformtest.WithDeadline("300"))
	require.Equal(t, 504, resp.status)
	require.Less(t, time.Since(start), 600*time.Millisecond)
}

// Guards against requests to a draining server, and to a server whose address now
// belongs to another one.
func TestDrainingServersGetNoRequests(t *testing.T) {
	s := platformtest.NewServer("s1")
	other := platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	f.deploy.RegisterDraining("s1", platformtest.PlainService, s.Address())
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.PlainService)) == 1 })
	before := s.RequestCount()
	for i := range 5 {
		require.Equal(t, 200, f.send(http.MethodPost, bookingPath, "a"+strconv.Itoa(i)).status)
	}
	require.Equal(t, before, s.RequestCount())
	// The address of s2 now belongs to a server that isn't registered yet.
	other.ID = "s3"
	require.Equal(t, 503, f.send(http.MethodPost, bookingPath, "b1").status)
	require.Equal(t, 503, f.send(http.MethodPost, bookingPath, "b2").status)
	require.Equal(t, 6, other.RequestCount(), "a server that lost its address gets no further requests")
	f.deploy.Register("s3", platformtest.PlainService, other.Address())
	f.eventually(func() bool {
		return f.send(http.MethodPost, bookingPath, "c"+strconv.Itoa(other.RequestCount())).status == 200
	})
}

// Guards against a service without servers after a store outage: registrations
// expire in an outage although the servers are alive.
func TestServersKeptAfterStoreOutage(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	f.store.SetFault(platformtest.Unavailable)
	f.eventually(func() bool { return f.logs.contains(`"topic":"keyed.servers"`, "store lost") })
	f.deploy.Deregister("s1")
	f.store.SetFault(platformtest.NoFault)
	f.eventually(func() bool { return f.logs.contains("missing after an outage") })
	require.Equal(t, 200, f.send(http.MethodPost, bookingPath, "a1").status)
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.PlainService)) == 0 })
	require.Equal(t, 503, f.send(http.MethodPost, bookingPath, "a2").status)
}

// Guards against replacing the configuration by an older version.
func TestConfigVersionNeverDecreases(t *testing.T) {
	f := newFixture(t)
	index := f.gateway.state.Index()
	old := *index.Config
	old.Version--
	require.False(t, f.gateway.state.InstallConfig(&old))
	require.Same(t, index, f.gateway.state.Index())
}

// Guards against statuses that state that a request did not run although it may
// have.
func TestResponseStatus(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		for _, execution := range []errkind.Execution{errkind.Unknown, errkind.NotRun, errkind.Done} {
			err := errkind.New(kind, "x")
			err.Execution = execution
			status := responseStatus(err)
			if execution != errkind.NotRun {
				require.False(t, impliesNotRun(status), "%s %s: %d", kind, execution, status)
			}
		}
	}
}

// Guards against retries of all gateways together that exceed the shared bound,
// also with more gateways than are deployed.
func TestRetryBudgetIsShared(t *testing.T) {
	const extra = 184
	for _, gateways := range []int{1, 10, 16, 40, 120} {
		total := float64(max(gateways, 10)) * retryBurst(extra, gateways)
		require.LessOrEqual(t, total, float64(extra), "%d gateways", gateways)
	}
	f := newFixture(t)
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	f.gateway.services.setGateways(gatewayList{self: "g1", live: make([]string, 59)})
	granted := 0
	for range 100 {
		failed := retry.Attempt{Err: errkind.New(errkind.BackendFailed, "x"), Number: 1, Idempotent: true}
		if svc.decideRetry(clock.Now(), failed).Retry {
			granted++
		}
	}
	require.Equal(t, int(retryBurst(bounds().RetryExtra, 60)), granted)
}

// Guards against a log volume that grows with the load, and against dropping lines
// without reporting their number.
func TestLogVolumeIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLogLimiter(func() time.Time { return now })
	written := 0
	for range 500 {
		if ok, _ := l.allow(logSuccess); ok {
			written++
		}
	}
	require.Equal(t, maxLogsPerSecond[logSuccess], written)
	ok, _ := l.allow(logFailure)
	require.True(t, ok, "failures have a limit of their own")
	now = now.Add(time.Second)
	ok, dropped := l.allow(logSuccess)
	require.True(t, ok)
	require.Equal(t, 500-maxLogsPerSecond[logSuccess], dropped)
}

// Guards against a failed request whose cause can't be found in the log.
func TestFailureIsLogged(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.ResetBeforeResponse)
	defer s.Close()
	f := newFixture(t, s)
	f.send(http.MethodPost, bookingPath, "id-of-the-complaint")
	text := f.logs.String()
	for _, part := range []string{
		`"request_id":"id-of-the-complaint"`, `"execution":"unknown"`, `"servers":["s1"]`, `"config_version":3`,
		`"config_age_ms"`, `"no_retry":"not_repeatable"`, `"outcome":"backend_failed"`, `"status":502`,
	} {
		require.Contains(t, text, part)
	}
}
