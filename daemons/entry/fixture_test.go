package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/examples"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// demoTable serves the example table of the demo.
type demoTable struct{ view *table.View }

func (d demoTable) View() *table.View { return d.view }

func (demoTable) Loaded() bool { return true }

func (demoTable) Learn(infra.Offset) {}

// withoutLimit drops the limits. Their buckets start empty, so a test that makes
// two requests at once would depend on the wall clock.
func withoutLimit(r *table.CSVRow) { r.Delete = r.Row.Limit != nil }

func newDemoTable(t *testing.T, edit func(*table.CSVRow)) demoTable {
	t.Helper()
	sheet, err := table.LoadDir(examples.Demo())
	require.NoError(t, err)
	for i := range sheet.Rows {
		edit(&sheet.Rows[i])
	}
	f := table.NewState()
	for _, office := range sheet.Offices() {
		data, err := table.Diff(f.View(), sheet, office, "first-"+office).Encode()
		require.NoError(t, err)
		require.Equal(t, table.OutcomeAccepted, f.Apply(infra.Record{Offset: f.Offset() + 1, Data: data}).Outcome)
	}
	return demoTable{f.View()}
}

// fakeSidecar answers calls by a script.
type fakeSidecar struct {
	filbertmuxv1connect.UnimplementedSidecarServiceHandler
	id     string
	server *httptest.Server
	script func(out *connect.ServerStream[pb.Chunk], s *stream.Sender)

	mu      sync.Mutex
	calls   []*pb.CallRequest
	sender  *stream.Sender
	replay  *stream.Sender // answers a resume in place of sender, if set
	resumes int
}

func newFakeSidecar(t *testing.T, id string, script func(*connect.ServerStream[pb.Chunk], *stream.Sender)) *fakeSidecar {
	t.Helper()
	f := &fakeSidecar{id: id, script: script}
	mux := http.NewServeMux()
	mux.Handle(filbertmuxv1connect.NewSidecarServiceHandler(f))
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	return f
}

// Call implements SidecarServiceHandler.
func (f *fakeSidecar) Call(_ context.Context, req *connect.Request[pb.CallRequest], out *connect.ServerStream[pb.Chunk]) error {
	id := &pb.AttemptId{
		RequestId: req.Msg.GetId().GetRequestId(), Attempt: req.Msg.GetId().GetAttempt(), Incarnation: f.id,
	}
	f.mu.Lock()
	f.calls = append(f.calls, req.Msg)
	f.sender = stream.NewSender(id, 1<<20)
	sender := f.sender
	f.mu.Unlock()
	f.script(out, sender)
	return nil
}

// Resume implements SidecarServiceHandler.
func (f *fakeSidecar) Resume(_ context.Context, req *connect.Request[pb.ResumeRequest], out *connect.ServerStream[pb.Chunk]) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumes++
	sender := f.sender
	if f.replay != nil {
		sender = f.replay
	}
	if err := sender.Resume(req.Msg.GetNextSeq()); err != nil {
		return err
	}
	flush(out, sender)
	return nil
}

// Probe implements SidecarServiceHandler.
func (f *fakeSidecar) Probe(context.Context, *connect.Request[pb.ProbeRequest]) (*connect.Response[pb.ProbeResponse], error) {
	return connect.NewResponse(&pb.ProbeResponse{Load: &pb.Load{Incarnation: f.id}}), nil
}

func (f *fakeSidecar) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func (f *fakeSidecar) last() *pb.CallRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[len(f.calls)-1]
}

func flush(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
	for c := s.Next(); c != nil; c = s.Next() {
		_ = out.Send(c)
	}
}

// events answers with a whole stream of events.
func events(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
	eventsHead(s)
	s.Data([]byte("data: one\n\n"))
	s.Data([]byte("data: [DONE]\n\n"))
	s.End(nil)
	flush(out, s)
}

func eventsHead(s *stream.Sender) {
	s.Head(&pb.Head{Status: 200, Headers: []*pb.Header{{Name: "Content-Type", Values: []string{"text/event-stream"}}}})
}

// failing answers with an error.
func failing(err error) func(*connect.ServerStream[pb.Chunk], *stream.Sender) {
	return func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.End(err)
		flush(out, s)
	}
}

type fixture struct {
	entry *Server
	front *httptest.Server
}

type fixedList []infra.Instance

func (l fixedList) Instances(context.Context) ([]infra.Instance, error) { return l, nil }

func newFixture(t *testing.T, sidecars ...*fakeSidecar) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*settings.Entry) {}, withoutLimit, sidecars...)
}

func newFixtureWith(t *testing.T, edit func(*settings.Entry), row func(*table.CSVRow), sidecars ...*fakeSidecar) *fixture {
	t.Helper()
	var list fixedList
	for _, s := range sidecars {
		for _, service := range []string{"text-desk", "order-book"} {
			list = append(list, infra.Instance{
				ID: s.id + service, Role: infra.RoleBackend, Service: service, State: infra.StateLive,
				Address: s.server.Listener.Addr().String(),
			})
		}
	}
	return newFixtureOf(t, edit, row, list)
}

func newFixtureOf(t *testing.T, edit func(*settings.Entry), row func(*table.CSVRow), list fixedList) *fixture {
	t.Helper()
	cfg := settings.Entry{
		Common:         settings.Common{MaxBodyBytes: 1000, Instance: "e1"},
		MaxPromptBytes: 500, MaxStreams: 100, RequestTimeout: time.Hour, BodyTimeout: time.Hour,
		SilenceTimeout: time.Hour, ProgressTimeout: 2 * time.Hour, Seed: 1, QueueSize: 10, ServerConcurrency: 100,
	}
	edit(&cfg)
	metrics := telemetry.NewMetrics("entry", "e1", zerolog.Nop())
	instances := daemon.NewInstanceWatcher(list, time.Hour, time.Hour, zerolog.Nop())
	require.NoError(t, instances.Refresh(context.Background()))
	e := NewServer(cfg, "inc", newDemoTable(t, row), instances, drain.NewGate(), zerolog.Nop(), metrics)
	front := httptest.NewServer(e.Handler())
	t.Cleanup(front.Close)
	return &fixture{e, front}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (r reply) refusal(t *testing.T) ErrorDetail {
	t.Helper()
	var refusal ErrorResponse
	require.NoError(t, json.Unmarshal([]byte(r.body), &refusal), r.body)
	require.Equal(t, r.header.Get("X-Request-Id"), refusal.Error.RequestID)
	require.NotEmpty(t, refusal.Error.RequestID)
	return refusal.Error
}

func (f *fixture) send(t *testing.T, method, path, key, idempotencyKey, body string) reply {
	t.Helper()
	req, err := http.NewRequest(method, f.front.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := f.front.Client().Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

const completion = `{"model":"text-desk","stream":true,"messages":[{"role":"user","content":"hello"}]}`

func (f *fixture) complete(t *testing.T) reply {
	t.Helper()
	return f.send(t, http.MethodPost, "/v1/chat/completions", examples.DevKey("mureseni-desk"), "", completion)
}

func (f *fixture) book(t *testing.T) reply {
	t.Helper()
	key := uuid.Must(uuid.NewV7()).String()
	return f.send(t, http.MethodPost, "/order-book/orders", examples.DevKey("mureseni-desk"), key, "order")
}
