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

const wholeEvents = "data: one\n\ndata: [DONE]\n\n"

// Guards against a bad call that reaches a backend server, or that the caller
// can't tell from one that may have run.
func TestBadCallsAreNotForwarded(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", events)
	f := newFixture(t, sidecar)
	key := examples.DevKey("mureseni-desk")
	const chat = "/v1/chat/completions"
	for name, c := range map[string]struct {
		method, path, key, body string
		kind                    errkind.Kind
	}{
		"no key":               {"POST", chat, "", completion, errkind.Unauthenticated},
		"unknown organisation": {"POST", chat, "other", completion, errkind.Unauthenticated},
		"no JSON":              {"POST", chat, key, "{", errkind.InvalidRequest},
		"no messages":          {"POST", chat, key, `{"model":"text-desk"}`, errkind.InvalidRequest},
		"unknown model":        {"POST", chat, key, strings.Replace(completion, "text-desk", "x", 1), errkind.UnknownService},
		"plain as model":       {"POST", chat, key, strings.Replace(completion, "text-desk", "order-book", 1), errkind.UnknownService},
		"large body":           {"POST", chat, key, strings.Repeat(" ", 1001), errkind.RequestTooLarge},
		"large prompt":         {"POST", chat, key, strings.Replace(completion, "hello", strings.Repeat("a", 600), 1), errkind.RequestTooLarge},
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
			refusal := r.refusal(t)
			require.Equal(t, c.kind.String(), refusal.Kind, refusal.Message)
			require.Equal(t, c.kind.Attributes().HTTPStatus, r.status)
			require.Less(t, r.status, 500)
			require.Equal(t, "not_run", refusal.Execution)
		})
	}
	require.Zero(t, sidecar.count())
}

// Guards against headers that must not leave the entry, and against a wrong
// path, method or idempotency at the sidecar.
func TestForwardedCall(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", events)
	f := newFixture(t, sidecar)
	r := f.send(t, http.MethodGet, "/order-book/stock/a%20b?max=3", examples.DevKey("mureseni-desk"), "", "")
	require.Equal(t, wholeEvents, r.body)
	call := sidecar.last()
	require.Equal(t, "/stock/a%20b?max=3", call.GetPath())
	require.True(t, call.GetIdempotent())
	require.Equal(t, "mureseni-desk", call.GetOrganisation())
	require.Equal(t, "desk", call.GetClass())
	for _, h := range call.GetHeaders() {
		require.NotEqual(t, "Authorization", h.GetName())
	}
	require.Equal(t, http.StatusOK, f.book(t).status)
	require.False(t, sidecar.last().GetIdempotent())
	require.NotEmpty(t, sidecar.last().GetIdempotencyKey())
}

// Guards against an answer that is cut when the connection to the sidecar ends
// in the middle.
func TestLostConnectionIsResumed(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		eventsHead(s)
		s.Data([]byte("data: one\n\n"))
		flush(out, s)
		s.Data([]byte("data: [DONE]\n\n"))
		s.End(nil)
	})
	r := newFixture(t, sidecar).complete(t)
	require.Equal(t, wholeEvents, r.body)
	require.NoError(t, r.err)
	require.Equal(t, 1, sidecar.count())
	require.Equal(t, 1, sidecar.resumes)
}

// Guards against a clean end of a stream that is not whole: the caller gets an
// error event and never [DONE], even if the last event had arrived.
func TestIncompleteStreamEndsWithAnErrorEvent(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		eventsHead(s)
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

// Guards against a long plain answer that ends cleanly although it is not whole.
func TestIncompletePlainAnswerBreaksTheConnection(t *testing.T) {
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.Head(&pb.Head{Status: 200})
		for range 3 {
			s.Data(make([]byte, maxHeldBytes/2))
			flush(out, s)
		}
		s.End(errkind.New(errkind.BackendFailed, "connection reset"))
		flush(out, s)
	})
	r := newFixture(t, sidecar).complete(t)
	require.Error(t, r.err)
}

// Guards against a caller who gets an error although another sidecar can
// answer, and against a repeated call that may have run.
func TestRepeatedAttempts(t *testing.T) {
	whole := func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.Head(&pb.Head{Status: 200})
		s.Data([]byte("done"))
		s.End(nil)
		flush(out, s)
	}
	for name, c := range map[string]struct {
		err      error
		repeated bool // a booking
		lookup   bool // an idempotent call
	}{
		"leaving": {errkind.New(errkind.Leaving, ""), true, true},
		"not run": {errkind.New(errkind.BackendUnavailable, ""), true, true},
		"unknown": {errkind.New(errkind.BackendFailed, ""), false, true},
		"refused": {errkind.New(errkind.IdempotencyKeyReused, ""), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeSidecar(t, "a", whole), newFakeSidecar(t, "b", whole)
			f := newFixture(t, a, b)
			once := make(chan struct{}, 1)
			once <- struct{}{}
			script := func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
				select {
				case <-once:
					failing(c.err)(out, s)
				default:
					whole(out, s)
				}
			}
			a.script, b.script = script, script
			r := f.book(t)
			require.Equal(t, c.repeated, r.status == http.StatusOK, r.body)
			if !c.repeated {
				require.Equal(t, 1, a.count()+b.count())
				require.Equal(t, errkind.Of(c.err).Execution.String(), r.refusal(t).Execution)
			}
			before := a.count() + b.count()
			once <- struct{}{}
			r = f.complete(t)
			require.Equal(t, c.lookup, r.status == http.StatusOK, r.body)
			require.Equal(t, c.lookup, a.count()+b.count() == before+2)
		})
	}
}

// Guards against "not run" for a request whose earlier attempt may have run.
func TestLaterRefusalDoesNotHideAnEarlierRun(t *testing.T) {
	a := newFakeSidecar(t, "a", failing(errkind.New(errkind.BackendFailed, "")))
	r := newFixture(t, a).complete(t)
	require.Equal(t, 1, a.count())
	require.Equal(t, "unknown", r.refusal(t).Execution)
}

// Guards against a reason that is lost because no other sidecar is left to try.
func TestLastReasonIsReported(t *testing.T) {
	a := newFakeSidecar(t, "a", failing(errkind.New(errkind.LogUnavailable, "log is down")))
	r := newFixture(t, a).book(t)
	require.Equal(t, "log_unavailable", r.refusal(t).Kind)
	require.Equal(t, "not_run", r.refusal(t).Execution)
}

// Guards against "may have run" for a lookup that reached no sidecar, and
// against "not run" for a booking whose key no sidecar has looked up.
func TestUnreachableSidecar(t *testing.T) {
	a := newFakeSidecar(t, "a", events)
	f := newFixture(t, a)
	a.server.Close()
	r := f.complete(t)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not_run", r.refusal(t).Execution)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	r = f.book(t)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "unknown", r.refusal(t).Execution)
	require.Contains(t, r.refusal(t).Message, notRunForKey)
	require.NotEmpty(t, r.header.Get("Retry-After"))
}

// Guards against a shutdown that cuts off a stream or that takes new work.
func TestDrain(t *testing.T) {
	started, gate := make(chan struct{}), make(chan struct{})
	sidecar := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		eventsHead(s)
		s.Data([]byte("data: one\n\n"))
		flush(out, s)
		close(started)
		<-gate
		s.Data([]byte("data: [DONE]\n\n"))
		s.End(nil)
		flush(out, s)
	})
	f := newFixture(t, sidecar)
	require.Equal(t, http.StatusOK, f.send(t, http.MethodGet, "/readyz", "", "", "").status)
	answers := make(chan reply, 1)
	go func() { answers <- f.complete(t) }()
	<-started
	f.entry.gate.Terminate()
	f.entry.gate.Terminate()
	require.Equal(t, http.StatusServiceUnavailable, f.send(t, http.MethodGet, "/readyz", "", "", "").status)
	refused := f.complete(t)
	require.Equal(t, "leaving", refused.refusal(t).Kind)
	require.Equal(t, "not_run", refused.refusal(t).Execution)
	require.Contains(t, f.send(t, http.MethodGet, "/statusz", "", "", "").body, `"in_flight":1`)
	close(gate)
	require.Equal(t, wholeEvents, (<-answers).body)
	<-f.entry.gate.Stopped()
	require.Equal(t, 1, sidecar.count())
}
