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
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/examples"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// fixedTable is a tableSource with a table that never changes.
type fixedTable struct{ view *table.View }

func (f fixedTable) View() *table.View { return f.view }

func (fixedTable) Loaded() bool { return true }

func (fixedTable) Learn(infra.Offset) {}

// deleteLimits deletes the limits from the table. The token buckets of limits start
// empty, so a test that sends two requests at once would depend on the wall clock.
func deleteLimits(r *table.CSVRow) { r.Delete = r.Row.Limit != nil }

func newFixedTable(t *testing.T, edit func(*table.CSVRow)) fixedTable {
	t.Helper()
	csvTable, err := table.LoadDir(examples.Demo())
	require.NoError(t, err)
	for i := range csvTable.Rows {
		edit(&csvTable.Rows[i])
	}
	state := table.NewState()
	for _, office := range csvTable.Offices() {
		data, err := table.Diff(state.View(), csvTable, office, "first-"+office).Encode()
		require.NoError(t, err)
		require.Equal(t, table.OutcomeAccepted, state.Apply(infra.Record{Offset: state.Offset() + 1, Data: data}).Outcome)
	}
	return fixedTable{state.View()}
}

// fakeSidecar is a sidecar whose responses come from a script.
type fakeSidecar struct {
	filbertmuxv1connect.UnimplementedSidecarServiceHandler
	id     string
	server *httptest.Server
	script func(out *connect.ServerStream[pb.Chunk], s *stream.Sender)

	mu      sync.Mutex
	calls   []*pb.CallRequest
	sender  *stream.Sender
	replay  *stream.Sender // replaces sender in Resume, if set
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

func (f *fakeSidecar) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func (f *fakeSidecar) lastCall() *pb.CallRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[len(f.calls)-1]
}

func flush(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
	for c := s.Next(); c != nil; c = s.Next() {
		_ = out.Send(c)
	}
}

// sendEvents sends a complete event stream.
func sendEvents(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
	sendEventsHead(s)
	s.Data([]byte("data: one\n\n"))
	s.Data([]byte("data: [DONE]\n\n"))
	s.End(nil)
	flush(out, s)
}

func sendEventsHead(s *stream.Sender) {
	s.Head(&pb.Head{Status: 200, Headers: []*pb.Header{{Name: "Content-Type", Values: []string{"text/event-stream"}}}})
}

// failingScript returns a script that responds with an error.
func failingScript(err error) func(*connect.ServerStream[pb.Chunk], *stream.Sender) {
	return func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.End(err)
		flush(out, s)
	}
}

type fixture struct {
	entry    *Server
	frontend *httptest.Server
}

type fixedInstances []infra.Instance

func (l fixedInstances) Instances(context.Context) ([]infra.Instance, error) { return l, nil }

func newFixture(t *testing.T, sidecars ...*fakeSidecar) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*settings.Entry) {}, deleteLimits, sidecars...)
}

func newFixtureWith(t *testing.T, edit func(*settings.Entry), row func(*table.CSVRow), sidecars ...*fakeSidecar) *fixture {
	t.Helper()
	var list fixedInstances
	for _, s := range sidecars {
		for _, service := range []string{"text-desk", "order-book"} {
			list = append(list, infra.Instance{
				ID: s.id + service, Role: infra.RoleBackend, Service: service, State: infra.StateLive,
				Address: s.server.Listener.Addr().String(),
			})
		}
	}
	return newFixtureWithInstances(t, edit, row, list)
}

func newFixtureWithInstances(t *testing.T, edit func(*settings.Entry), row func(*table.CSVRow), list fixedInstances) *fixture {
	t.Helper()
	return newFixtureWithTable(t, edit, newFixedTable(t, row), list)
}

func newFixtureWithTable(t *testing.T, edit func(*settings.Entry), source tableSource, list fixedInstances) *fixture {
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
	e := NewServer(cfg, "inc", source, instances, drain.NewGate(), zerolog.Nop(), metrics)
	frontend := httptest.NewUnstartedServer(e.Handler())
	frontend.Listener = e.connections.Listen(frontend.Listener)
	e.connections.Observe(frontend.Config)
	frontend.Start()
	t.Cleanup(frontend.Close)
	return &fixture{e, frontend}
}

// newMemory returns what a request without a body takes.
func newMemory(t *testing.T, c *gin.Context) *inbound.Request {
	t.Helper()
	m := inbound.NewMemory(inbound.Divide(0, 1).Budget, telemetry.NewMetrics("entry", "e1", zerolog.Nop()))
	q, err := m.Read(c.Writer, c.Request, inbound.ReadOptions{})
	require.NoError(t, err)
	t.Cleanup(q.Close)
	return q
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (r reply) errorDetail(t *testing.T) ErrorDetail {
	t.Helper()
	var response ErrorResponse
	require.NoError(t, json.Unmarshal([]byte(r.body), &response), r.body)
	require.Equal(t, r.header.Get("X-Request-Id"), response.Error.RequestID)
	require.NotEmpty(t, response.Error.RequestID)
	return response.Error
}

func (f *fixture) send(t *testing.T, method, path, key, idempotencyKey, body string) reply {
	t.Helper()
	req, err := http.NewRequest(method, f.frontend.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := f.frontend.Client().Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

const completionBody = `{"model":"text-desk","stream":true,"messages":[{"role":"user","content":"hello"}]}`

func (f *fixture) complete(t *testing.T) reply {
	t.Helper()
	return f.send(t, http.MethodPost, "/v1/chat/completions", examples.DevKey("mureseni-desk"), "", completionBody)
}

func (f *fixture) createOrder(t *testing.T) reply {
	t.Helper()
	key := uuid.Must(uuid.NewV7()).String()
	return f.send(t, http.MethodPost, "/order-book/orders", examples.DevKey("mureseni-desk"), key, "order")
}
