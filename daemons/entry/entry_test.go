package entry

import (
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/examples"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

const completeEventStream = "data: one\n\ndata: [DONE]\n\n"

// Guards against an invalid request that reaches a backend server or is not
// reported as not_run.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", sendEvents)
	f := newFixture(t, sidecar)
	key := examples.DevKey("mureseni-desk")
	const chat = "/v1/chat/completions"
	for name, c := range map[string]struct {
		method, path, key, body string
		kind                    errkind.Kind
	}{
		"no key":               {"POST", chat, "", completionBody, errkind.Unauthenticated},
		"unknown organisation": {"POST", chat, "other", completionBody, errkind.Unauthenticated},
		"no JSON":              {"POST", chat, key, "{", errkind.InvalidRequest},
		"no messages":          {"POST", chat, key, `{"model":"text-desk"}`, errkind.InvalidRequest},
		"unknown model":        {"POST", chat, key, strings.Replace(completionBody, "text-desk", "x", 1), errkind.UnknownService},
		"plain as model":       {"POST", chat, key, strings.Replace(completionBody, "text-desk", "order-book", 1), errkind.UnknownService},
		"large body":           {"POST", chat, key, strings.Repeat(" ", 1001), errkind.RequestTooLarge},
		"large prompt":         {"POST", chat, key, strings.Replace(completionBody, "hello", strings.Repeat("a", 600), 1), errkind.RequestTooLarge},
		"unknown service":      {"GET", "/nothing/x", key, "", errkind.UnknownService},
		"no service":           {"GET", "/", key, "", errkind.UnknownService},
		"model as plain":       {"GET", "/text-desk/x", key, "", errkind.UnknownService},
		"unknown route":        {"DELETE", "/order-book/orders", key, "", errkind.UnknownRoute},
		"no idempotency key":   {"POST", "/order-book/orders", key, "order", errkind.MissingIdempotencyKey},
		"dot segments":         {"GET", "/order-book/stock/%2e%2e/orders", key, "", errkind.InvalidRequest},
		"encoded slash":        {"GET", "/order-book/stock/..%2Forders", key, "", errkind.InvalidRequest},
		"encoded service name": {"GET", "/order%2Dbook/stock/7", key, "", errkind.InvalidRequest},
	} {
		t.Run(name, func(t *testing.T) {
			r := f.send(t, c.method, c.path, c.key, "", c.body)
			refusal := r.errorDetail(t)
			require.Equal(t, c.kind.String(), refusal.Kind, refusal.Message)
			require.Equal(t, c.kind.Attributes().HTTPStatus, r.status)
			require.Less(t, r.status, 500)
			require.Equal(t, "not_run", refusal.Execution)
		})
	}
	require.Zero(t, sidecar.callCount())
}

// Guards against forwarded credentials, and against a call whose path, attributes
// or idempotency at the sidecar are wrong.
func TestForwardedCall(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", sendEvents)
	f := newFixture(t, sidecar)
	r := f.send(t, http.MethodGet, "/order-book/stock/a%20b?max=3", examples.DevKey("mureseni-desk"), "", "")
	require.Equal(t, completeEventStream, r.body)
	call := sidecar.lastCall()
	require.Equal(t, "/stock/a%20b?max=3", call.GetPath())
	require.True(t, call.GetIdempotent())
	require.Equal(t, "mureseni-desk", call.GetOrganisation())
	require.Equal(t, "desk", call.GetClass())
	for _, h := range call.GetHeaders() {
		require.NotEqual(t, "Authorization", h.GetName())
	}
	require.Equal(t, http.StatusOK, f.createOrder(t).status)
	require.False(t, sidecar.lastCall().GetIdempotent())
	require.NotEmpty(t, sidecar.lastCall().GetIdempotencyKey())
}

// Guards against a truncated response when the connection to the sidecar ends in the
// middle of it.
func TestLostConnectionIsResumed(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		sendEventsHead(s)
		s.Data([]byte("data: one\n\n"))
		flush(out, s)
		s.Data([]byte("data: [DONE]\n\n"))
		s.End(nil)
	})
	r := newFixture(t, sidecar).complete(t)
	require.Equal(t, completeEventStream, r.body)
	require.NoError(t, r.err)
	require.Equal(t, 1, sidecar.callCount())
	require.Equal(t, 1, sidecar.resumes)
}

// Guards against a regular end of an incomplete stream: the caller must get an
// error event and no [DONE], even if the [DONE] event arrived from the sidecar.
func TestIncompleteStreamEndsWithAnErrorEvent(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		sendEventsHead(s)
		s.Data([]byte("data: one\n\n"))
		s.Data([]byte("data: [DONE]\n\n"))
		s.End(nil)
		for c := s.Next(); c != nil; c = s.Next() {
			if c.GetEnd() != nil {
				c.GetEnd().Checksum++
			}
			_ = out.Send(c)
		}
	})
	r := newFixture(t, sidecar).complete(t)
	require.Contains(t, r.body, "data: one\n\n")
	require.Contains(t, r.body, "event: error\ndata: {")
	require.Contains(t, r.body, `"kind":"stream_incomplete"`)
	require.NotContains(t, r.body, "[DONE]")
}

// Guards against a long plain response that ends regularly although it is
// incomplete.
func TestIncompletePlainAnswerAbortsConnection(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.Head(&pb.Head{Status: 200})
		for range 3 {
			s.Data(make([]byte, maxBufferedBytes/2))
			flush(out, s)
		}
		s.End(errkind.New(errkind.BackendFailed, "connection reset"))
		flush(out, s)
	})
	r := newFixture(t, sidecar).complete(t)
	require.Error(t, r.err)
}

// Guards against an error response although another sidecar can respond, and
// against a retry of a non-idempotent request that may have run.
func TestRetriedAttempts(t *testing.T) {
	complete := func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.Head(&pb.Head{Status: 200})
		s.Data([]byte("done"))
		s.End(nil)
		flush(out, s)
	}
	for name, c := range map[string]struct {
		err                  error
		retriesNonIdempotent bool // a non-idempotent request succeeds on retry
		retriesIdempotent    bool // an idempotent request succeeds on retry
	}{
		"leaving": {errkind.New(errkind.Leaving, ""), true, true},
		"not run": {errkind.New(errkind.BackendUnavailable, ""), true, true},
		"unknown": {errkind.New(errkind.BackendFailed, ""), false, true},
		"refused": {errkind.New(errkind.IdempotencyKeyReused, ""), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeSidecar(t, "a", complete), newFakeSidecar(t, "b", complete)
			f := newFixture(t, a, b)
			once := make(chan struct{}, 1)
			once <- struct{}{}
			script := func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
				select {
				case <-once:
					failingScript(c.err)(out, s)
				default:
					complete(out, s)
				}
			}
			a.script, b.script = script, script
			r := f.createOrder(t)
			require.Equal(t, c.retriesNonIdempotent, r.status == http.StatusOK, r.body)
			if !c.retriesNonIdempotent {
				require.Equal(t, 1, a.callCount()+b.callCount())
				require.Equal(t, errkind.Of(c.err).Execution.String(), r.errorDetail(t).Execution)
			}
			before := a.callCount() + b.callCount()
			once <- struct{}{}
			r = f.complete(t)
			require.Equal(t, c.retriesIdempotent, r.status == http.StatusOK, r.body)
			require.Equal(t, c.retriesIdempotent, a.callCount()+b.callCount() == before+2)
		})
	}
}

// Guards against not_run for a request whose earlier attempt may have run.
func TestLaterRefusalDoesNotHideAnEarlierRun(t *testing.T) {
	a := newFakeSidecar(t, "a", failingScript(errkind.New(errkind.BackendFailed, "")))
	r := newFixture(t, a).complete(t)
	require.Equal(t, 1, a.callCount())
	require.Equal(t, "unknown", r.errorDetail(t).Execution)
}

// Guards against an error response without the reason of the last attempt because
// no other sidecar is left for a retry.
func TestLastErrorIsReported(t *testing.T) {
	a := newFakeSidecar(t, "a", failingScript(errkind.New(errkind.LogUnavailable, "log is down")))
	r := newFixture(t, a).createOrder(t)
	require.Equal(t, "log_unavailable", r.errorDetail(t).Kind)
	require.Equal(t, "not_run", r.errorDetail(t).Execution)
}

// Guards against unknown for an idempotent request that reached no sidecar, and
// against not_run for a non-idempotent request whose key no sidecar has looked up.
func TestUnreachableSidecar(t *testing.T) {
	a := newFakeSidecar(t, "a", sendEvents)
	f := newFixture(t, a)
	a.server.Close()
	r := f.complete(t)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not_run", r.errorDetail(t).Execution)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	r = f.createOrder(t)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "unknown", r.errorDetail(t).Execution)
	require.Contains(t, r.errorDetail(t).Message, keyMayHaveRunNote)
	require.NotEmpty(t, r.header.Get("Retry-After"))
}

// Guards against a shutdown that aborts a stream or accepts new requests.
func TestDrain(t *testing.T) {
	started, unblock := make(chan struct{}), make(chan struct{})
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		sendEventsHead(s)
		s.Data([]byte("data: one\n\n"))
		flush(out, s)
		close(started)
		<-unblock
		s.Data([]byte("data: [DONE]\n\n"))
		s.End(nil)
		flush(out, s)
	})
	f := newFixture(t, sidecar)
	require.Equal(t, http.StatusOK, f.send(t, http.MethodGet, "/readyz", "", "", "").status)
	replies := make(chan reply, 1)
	go func() { replies <- f.complete(t) }()
	<-started
	f.entry.gate.Terminate()
	f.entry.gate.Terminate()
	require.Equal(t, http.StatusServiceUnavailable, f.send(t, http.MethodGet, "/readyz", "", "", "").status)
	refused := f.complete(t)
	require.Equal(t, "leaving", refused.errorDetail(t).Kind)
	require.Equal(t, "not_run", refused.errorDetail(t).Execution)
	require.Contains(t, f.send(t, http.MethodGet, "/statusz", "", "", "").body, `"in_flight":1`)
	close(unblock)
	require.Equal(t, completeEventStream, (<-replies).body)
	<-f.entry.gate.Stopped()
	require.Equal(t, 1, sidecar.callCount())
}

// Guards against a request in flight at the end of the drain timeout that gets no response,
// or one that states that it did not run although it may have.
func TestRequestsAtEndOfDrainAreAnswered(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	f := newFixture(t, newFakeSidecar(t, "a", func(*connect.ServerStream[pb.Chunk], *stream.Sender) {
		close(started)
		<-release
	}))
	answered := make(chan reply, 1)
	go func() { answered <- f.createOrder(t) }()
	<-started
	f.entry.gate.Terminate()
	f.entry.Abort()
	r := <-answered
	require.NoError(t, r.err)
	require.GreaterOrEqual(t, r.status, http.StatusBadRequest)
	require.Equal(t, "unknown", r.errorDetail(t).Execution)
}
