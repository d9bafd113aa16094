package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/examples"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// evacuationTable is a tableSource whose evacuations change.
type evacuationTable struct {
	t    *testing.T
	view atomic.Pointer[table.View]
}

func newEvacuationTable(t *testing.T) *evacuationTable {
	t.Helper()
	e := &evacuationTable{t: t}
	e.evacuate()
	return e
}

func (e *evacuationTable) View() *table.View { return e.view.Load() }

func (*evacuationTable) Loaded() bool { return true }

func (*evacuationTable) Learn(infra.Offset) {}

// evacuate puts a table into force in which exactly these failure domains are evacuated.
func (e *evacuationTable) evacuate(domains ...string) {
	e.t.Helper()
	csvTable, err := table.LoadDir(examples.Demo())
	require.NoError(e.t, err)
	for i := range csvTable.Rows {
		deleteLimits(&csvTable.Rows[i])
	}
	for _, domain := range domains {
		row := table.Row{Office: "sibiu", Evacuation: &table.Evacuation{FailureDomain: domain}}
		csvTable.Rows = append(csvTable.Rows, table.CSVRow{Row: row})
	}
	view, err := table.ViewFromCSV(csvTable)
	require.NoError(e.t, err)
	e.view.Store(view)
}

// evacuationFixture is an entry with round-robin routing and sidecars whose failure
// domains have their ids.
type evacuationFixture struct {
	*fixture
	table *evacuationTable
}

func newEvacuationFixture(t *testing.T, edit func(*settings.Entry), sidecars ...*fakeSidecar) *evacuationFixture {
	t.Helper()
	var list fixedInstances
	for _, s := range sidecars {
		for _, service := range []string{"text-desk", "order-book"} {
			list = append(list, infra.Instance{
				ID: s.id + service, Role: infra.RoleBackend, Service: service, State: infra.StateLive,
				Address: s.server.Listener.Addr().String(), FailureDomain: s.id,
			})
		}
	}
	source := newEvacuationTable(t)
	roundRobin := func(c *settings.Entry) {
		c.RoutingPolicy = "round_robin"
		edit(c)
	}
	return &evacuationFixture{newFixtureWithTable(t, roundRobin, source, list), source}
}

func noEdit(*settings.Entry) {}

// chatNumber sends a completion that differs from those with other numbers, so that they
// aren't routed as duplicates of each other.
func (f *evacuationFixture) chatNumber(t *testing.T, n int) reply {
	t.Helper()
	return f.chat(t, strings.Replace(completionBody, "hello", fmt.Sprint("hello ", n), 1))
}

func (f *evacuationFixture) orderWithKey(t *testing.T, key string) reply {
	t.Helper()
	return f.send(t, http.MethodPost, "/order-book/orders", examples.DevKey("mureseni-desk"), key, "order")
}

// blockFirstCall returns a script that completes the first call when unblock is closed and
// the others at once.
func blockFirstCall(started chan<- struct{}, unblock <-chan struct{}) func(*connect.ServerStream[pb.Chunk], *stream.Sender) {
	var calls atomic.Int64
	block := blockingScript(started, unblock)
	return func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		if calls.Add(1) == 1 {
			block(out, s)
			return
		}
		sendEvents(out, s)
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// Guards against a new call for a sidecar in an evacuated failure domain, against calls in
// flight there that are cut off, and against a domain that stays unused after the
// evacuation was taken back.
func TestEvacuatedDomainGetsNoNewCalls(t *testing.T) {
	started, unblock := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release() // a failed test must not wait for its sidecar
	a, b := newFakeSidecar(t, "a", blockFirstCall(started, unblock)), newFakeSidecar(t, "b", sendEvents)
	f := newEvacuationFixture(t, noEdit, a, b)
	f.table.evacuate("b")
	inFlight := make(chan reply, 1)
	go func() { inFlight <- f.chatNumber(t, 0) }()
	<-started
	f.table.evacuate("a")
	for n := range 6 {
		require.Equal(t, completeEventStream, f.chatNumber(t, n+1).body)
		require.Equal(t, completeEventStream, f.getStock(t).body)
		require.Equal(t, http.StatusOK, f.orderWithKey(t, newKey()).status)
	}
	require.Equal(t, completeEventStream, f.chatNumber(t, 0).body, "a duplicate of the call in flight")
	require.Equal(t, 1, a.callCount())
	require.Equal(t, 19, b.callCount())
	release()
	require.Equal(t, completeEventStream, (<-inFlight).body)
	f.table.evacuate()
	for n := range 4 {
		require.Equal(t, completeEventStream, f.chatNumber(t, n+100).body)
	}
	require.Equal(t, 3, a.callCount())
}

// Guards against calls that wait, or go to an evacuated failure domain, when no other
// sidecar is left, and against a refusal that doesn't say what is the matter, when to come
// back, or that a booking may have run before.
func TestCallsAreRefusedIfAllDomainsAreEvacuated(t *testing.T) {
	started, unblock := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release()
	a, b := newFakeSidecar(t, "a", blockFirstCall(started, unblock)), newFakeSidecar(t, "b", sendEvents)
	// The timeout ends the test if calls wait.
	f := newEvacuationFixture(t, func(c *settings.Entry) { c.MaxConcurrent, c.RequestTimeout = 1, time.Minute }, a, b)
	requireRefused := func(r reply, execution string) {
		t.Helper()
		refusal := r.errorDetail(t)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, "no_backend_server", refusal.Kind)
		require.Equal(t, execution, refusal.Execution)
		require.Equal(t, "7", r.header.Get("Retry-After"))
		require.Contains(t, refusal.Message, "evacuated failure domains: a, b")
	}
	f.table.evacuate("b")
	inFlight, waiting := make(chan reply, 1), make(chan reply, 1)
	go func() { inFlight <- f.chatNumber(t, 0) }()
	<-started
	go func() { waiting <- f.chatNumber(t, 1) }()
	require.Eventually(t, func() bool { return f.entry.admission.QueueLength() == 1 }, time.Minute, time.Millisecond)
	f.table.evacuate("a", "b")
	once, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, f.entry.refresh(once))
	requireRefused(<-waiting, "not_run")
	requireRefused(f.chatNumber(t, 2), "not_run")
	requireRefused(f.getStock(t), "not_run")
	requireRefused(f.orderWithKey(t, newKey()), "unknown")
	require.Equal(t, 1, a.callCount())
	require.Zero(t, b.callCount())
	require.Zero(t, f.entry.usableServers()["text-desk"])
	release()
	require.Equal(t, completeEventStream, (<-inFlight).body)
	require.NoError(t, f.entry.metrics.Close())
	require.Regexp(t, `filbertmux_evacuated_domains\{[^}]*\} 2\n`, f.send(t, http.MethodGet, "/metrics", "", "", "").body)
}

// Guards against a retry in an evacuated failure domain.
func TestRetriesAvoidEvacuatedDomain(t *testing.T) {
	failed := failingScript(errkind.New(errkind.BackendUnavailable, "unreachable"))
	a, b, c := newFakeSidecar(t, "a", sendEvents), newFakeSidecar(t, "b", failed), newFakeSidecar(t, "c", sendEvents)
	f := newEvacuationFixture(t, noEdit, a, b, c)
	f.table.evacuate("a", "c")
	require.Equal(t, "backend_unavailable", f.chatNumber(t, 0).errorDetail(t).Kind)
	f.table.evacuate("a")
	for n := range 6 {
		require.Equal(t, completeEventStream, f.chatNumber(t, n+1).body)
		require.Equal(t, http.StatusOK, f.orderWithKey(t, newKey()).status)
	}
	require.Zero(t, a.callCount())
	require.Equal(t, 12, c.callCount())
}

// lostConnection is a call whose connection to sidecar a is lost after the failure domain
// of a was evacuated. The sidecar still has the response.
type lostConnection struct {
	evacuate []string
	started  bool // the caller has a part of the response
	send     func(*evacuationFixture) reply
	resumes  int // at a
	moves    int // calls at b
}

// Guards against an idempotent call that stays in an evacuated failure domain when it
// needs another connection. It stays if the caller has a part of the response or no other
// sidecar is left, since a call in flight is not cut off; a booking stays, because another
// sidecar would not run it.
func TestLostConnectionInEvacuatedDomain(t *testing.T) {
	chat := func(f *evacuationFixture) reply { return f.chatNumber(t, 0) }
	order := func(f *evacuationFixture) reply { return f.orderWithKey(t, newKey()) }
	for name, c := range map[string]lostConnection{
		"not evacuated": {nil, false, chat, 1, 0},
		"moves":         {[]string{"a"}, false, chat, 0, 1},
		"no other":      {[]string{"a", "b"}, false, chat, 1, 0},
		"has begun":     {[]string{"a"}, true, chat, 1, 0},
		"booking":       {[]string{"a"}, false, order, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var f *evacuationFixture
			a := newFakeSidecar(t, "a", func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
				sendEventsHead(s)
				s.Data([]byte("data: one\n\n"))
				if c.started {
					flush(out, s)
				}
				s.Data([]byte("data: [DONE]\n\n"))
				s.End(nil)
				f.table.evacuate(c.evacuate...)
			})
			b := newFakeSidecar(t, "b", sendEvents)
			f = newEvacuationFixture(t, noEdit, a, b)
			f.table.evacuate("b")
			require.Equal(t, completeEventStream, c.send(f).body)
			require.Equal(t, 1, a.callCount())
			require.Equal(t, c.resumes, a.resumes)
			require.Equal(t, c.moves, b.callCount())
		})
	}
}

// Guards against a booking that runs twice because its key goes to another sidecar during
// an evacuation: that sidecar finds the claim, and its answer stands. The key returns with
// the end of the evacuation.
func TestBookingSentAgainDuringEvacuation(t *testing.T) {
	script := make(map[string]func(*connect.ServerStream[pb.Chunk], *stream.Sender))
	var sidecars []*fakeSidecar
	for _, id := range []string{"a", "b"} {
		script[id] = sendEvents
		sidecars = append(sidecars, newFakeSidecar(t, id, func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) { script[id](out, s) }))
	}
	f := newEvacuationFixture(t, noEdit, sidecars...)
	key := newKey()
	require.Equal(t, http.StatusOK, f.orderWithKey(t, key).status)
	first, second := sidecars[0], sidecars[1]
	if first.callCount() == 0 {
		first, second = second, first
	}
	f.table.evacuate(first.id)
	script[second.id] = failingScript(errkind.New(errkind.InProgress, "the claim has no outcome"))
	refusal := f.orderWithKey(t, key).errorDetail(t)
	require.Equal(t, "in_progress", refusal.Kind)
	require.Equal(t, "unknown", refusal.Execution)
	require.Equal(t, 1, first.callCount())
	require.Equal(t, 1, second.callCount())
	require.Equal(t, key, second.lastCall().GetIdempotencyKey())
	f.table.evacuate()
	require.Equal(t, http.StatusOK, f.orderWithKey(t, key).status)
	require.Equal(t, 2, first.callCount())
}

// recordingConn records what is written to a connection.
type recordingConn struct {
	net.Conn
	mu      sync.Mutex
	written []byte
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = append(c.written, p...)
	return c.Conn.Write(p)
}

// sentBody returns what was written after the head of the only request.
func (c *recordingConn) sentBody() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, body, _ := bytes.Cut(c.written, []byte("\r\n\r\n"))
	return body
}

// Guards against a call that was picked before the evacuation and sent after it, because
// the connection took that long, and against its loss: it goes on elsewhere, a booking as
// well, or is refused as one that was not sent.
func TestEvacuationDuringWaitForConnection(t *testing.T) {
	for name, evacuated := range map[string][]string{"other domain left": {"a"}, "none left": {"a", "b"}} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeSidecar(t, "a", sendEvents), newFakeSidecar(t, "b", sendEvents)
			f := newEvacuationFixture(t, noEdit, a, b)
			dialStarted, connect := make(chan struct{}), make(chan struct{})
			connections := make(chan *recordingConn, 2)
			tokens := f.entry.dispatcher.clients.pooled.Transport.(daemon.TokenTransport)
			transport := tokens.Base.(sendCheckTransport).base.(*http.Transport)
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				if address != a.server.Listener.Addr().String() {
					return dial(ctx, network, address)
				}
				dialStarted <- struct{}{}
				<-connect
				conn, err := dial(ctx, network, address)
				recording := &recordingConn{Conn: conn}
				connections <- recording
				return recording, err
			}
			for n, send := range []func() reply{
				func() reply { return f.chatNumber(t, 0) },
				func() reply { return f.orderWithKey(t, newKey()) },
			} {
				f.table.evacuate("b")
				replies := make(chan reply, 1)
				go func() { replies <- send() }()
				<-dialStarted
				f.table.evacuate(evacuated...)
				connect <- struct{}{}
				r := <-replies
				require.Empty(t, (<-connections).sentBody(), "no call is sent to the evacuated domain")
				if len(evacuated) == 1 {
					require.Equal(t, completeEventStream, r.body)
					continue
				}
				refusal := r.errorDetail(t)
				require.Equal(t, []string{"not_run", "unknown"}[n], refusal.Execution)
				require.Contains(t, refusal.Message, "the failure domain a was evacuated")
				require.Equal(t, "7", r.header.Get("Retry-After"))
			}
			require.Zero(t, a.callCount())
		})
	}
}

// Guards against an evacuation that begins or ends without a log line, a line for each
// refresh, and a gauge that doesn't count the domains.
func TestEvacuationsAreReported(t *testing.T) {
	var log bytes.Buffer
	metrics := telemetry.NewMetrics("entry", "e1", zerolog.Nop())
	source := newEvacuationTable(t)
	count := func(domain string) int { return map[string]int{"a": 3}[domain] }
	r := newEvacuationReporter(source.View, count, zerolog.New(&log), metrics)
	lines := func() []string {
		defer log.Reset()
		return strings.Split(strings.TrimSpace(log.String()), "\n")
	}
	r.refresh()
	require.Equal(t, []string{""}, lines())
	source.evacuate("a", "typo")
	r.refresh()
	r.refresh()
	began := lines()
	require.Len(t, began, 2)
	require.JSONEq(t, `{"level":"info","failure_domain":"a","office":"sibiu","row_version":1,"backend_servers":3,
		"message":"failure domain evacuated; sending no more requests to its backend servers"}`, began[0])
	require.Contains(t, began[1], `"level":"warn","failure_domain":"typo"`)
	source.evacuate("a")
	r.refresh()
	ended := lines()
	require.Len(t, ended, 1)
	require.Contains(t, ended[0], `"failure_domain":"typo"`)
	require.Contains(t, ended[0], "evacuation taken back")
	require.NoError(t, metrics.Close())
	w := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	require.Regexp(t, `filbertmux_evacuated_domains\{[^}]*\} 1\n`, w.Body.String())
}
