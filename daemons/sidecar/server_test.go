package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/serve/claimlog"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/stream"
)

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	require.NoError(t, err)
	return key.String()
}

type emptyTable struct{ tablesync.Peer }

func (emptyTable) Offset() infra.Offset { return 7 }

func (emptyTable) View() *table.View { return table.NewState().View() }

func (emptyTable) Learn(infra.Offset) {}

type fixture struct {
	server  *Server
	address string
	client  filbertmuxv1connect.SidecarServiceClient
}

func newFixture(t *testing.T, backend http.Handler) *fixture {
	t.Helper()
	b := httptest.NewServer(backend)
	t.Cleanup(b.Close)
	return newFixtureAt(t, b.URL)
}

func newFixtureAt(t *testing.T, backendURL string) *fixture {
	t.Helper()
	s := settings.Sidecar{
		Common:     settings.Common{MaxBodyBytes: 1 << 20},
		BackendURL: backendURL, Service: "svc", MaxInFlight: 4, ReplayBytes: 1 << 16, ChunkBytes: 1 << 10,
		HeartbeatInterval: time.Hour, ResumeWindow: time.Hour, BackendTimeout: time.Hour,
	}
	incarnation := uuid.NewString()
	claims := claimlog.New(standin.NewPlatform(standin.PlatformConfig{}), incarnation, time.Now, claimlog.DefaultSettings())
	t.Cleanup(func() { _ = claims.Shutdown(context.Background()) })
	metrics := telemetry.NewMetrics("sidecar", "s1", zerolog.Nop())
	server, err := NewServer(s, daemon.Incarnation(incarnation), claims, emptyTable{}, drain.NewGate(), zerolog.Nop(), metrics)
	require.NoError(t, err)
	httpServer := httptest.NewUnstartedServer(server.Handler())
	httpServer.Listener = server.connections.Listen(httpServer.Listener)
	server.connections.Observe(httpServer.Config)
	httpServer.Start()
	t.Cleanup(httpServer.Close)
	t.Cleanup(server.Abort)
	return &fixture{server, httpServer.Listener.Addr().String(), filbertmuxv1connect.NewSidecarServiceClient(httpServer.Client(), httpServer.URL)}
}

func newCall(id string, idempotent bool) *pb.CallRequest {
	return &pb.CallRequest{
		Id: &pb.AttemptId{RequestId: id, Attempt: 1}, Service: "svc", Organisation: "org",
		Method: http.MethodPost, Path: "/x", Body: []byte("body"), Idempotent: idempotent,
	}
}

func newReceiver(id string) *stream.Receiver {
	cfg := stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Hour, ProgressTimeout: time.Hour}
	return stream.NewReceiver(&pb.AttemptId{RequestId: id, Attempt: 1}, cfg, time.Now())
}

// readChunks passes at most limit chunks to the receiver, up to the end chunk, and
// returns their data.
func readChunks(in *connect.ServerStreamForClient[pb.Chunk], r *stream.Receiver, limit int) string {
	var data []byte
	for i := 0; i < limit && !r.Finished() && in.Receive(); i++ {
		for _, c := range r.Receive(time.Now(), in.Msg()) {
			data = append(data, c.GetData()...)
		}
	}
	return string(data)
}

const allChunks = 1 << 20

func (f *fixture) runToEnd(t *testing.T, request *pb.CallRequest) *stream.Receiver {
	t.Helper()
	in, err := f.client.Call(context.Background(), connect.NewRequest(request))
	require.NoError(t, err)
	defer func() { _ = in.Close() }()
	r := newReceiver(request.GetId().GetRequestId())
	readChunks(in, r, allChunks)
	return r
}

// gatedEventStream sends one event, waits until gate is closed and sends the rest.
func gatedEventStream(gate <-chan struct{}, closing string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: one\n\n")
		_ = http.NewResponseController(w).Flush()
		<-gate
		_, _ = fmt.Fprint(w, "data: two\n\n"+closing)
	})
}

// Guards against a response that is lost or truncated when its connection breaks.
func TestResumeOnNewConnection(t *testing.T) {
	gate := make(chan struct{})
	f := newFixture(t, gatedEventStream(gate, "data: [DONE]\n\n"))
	ctx, disconnect := context.WithCancel(context.Background())
	in, err := f.client.Call(ctx, connect.NewRequest(newCall("r1", true)))
	require.NoError(t, err)
	r := newReceiver("r1")
	got := readChunks(in, r, 2)
	disconnect()
	close(gate)
	resumed, err := f.client.Resume(context.Background(), connect.NewRequest(&pb.ResumeRequest{Id: r.ID(), NextSeq: r.NextSeq()}))
	require.NoError(t, err)
	got += readChunks(resumed, r, allChunks)
	require.NoError(t, r.Err())
	require.True(t, r.Complete())
	require.Equal(t, "data: one\n\ndata: two\n\ndata: [DONE]\n\n", got)
	require.NoError(t, resumed.Close())
}

// Guards against reporting a stream as complete that the backend server truncated.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	gate := make(chan struct{})
	close(gate)
	f := newFixture(t, gatedEventStream(gate, ""))
	r := f.runToEnd(t, newCall("r1", true))
	require.False(t, r.Complete())
	require.True(t, errkind.Is(r.Err(), errkind.StreamIncomplete))

	f = newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	r = f.runToEnd(t, newCall("r2", true))
	require.True(t, errkind.Is(r.Err(), errkind.BackendFailed))
	require.Equal(t, errkind.Unknown, errkind.Of(r.Err()).Execution)
}

// Guards against running a non-idempotent call twice: when http.Transport retries
// it because the connection broke after the backend server had run it, and when the
// caller retries it with the same idempotency key.
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	var runs atomic.Int32
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	f.runToEnd(t, newCall("warm-up", true))
	nonIdempotent := newCall("r1", false)
	nonIdempotent.IdempotencyKey = newIdempotencyKey(t)
	r := f.runToEnd(t, nonIdempotent)
	require.Equal(t, errkind.Unknown, errkind.Of(r.Err()).Execution)
	nonIdempotent.Id.RequestId = "r2"
	r = f.runToEnd(t, nonIdempotent)
	require.Equal(t, errkind.Unknown, errkind.Of(r.Err()).Execution)
	require.Equal(t, int32(1), runs.Load())
}

// Guards against a reused connection. When it breaks, http.Transport retries requests
// with an Idempotency-Key header.
func TestCallUsesItsOwnConnection(t *testing.T) {
	var connections atomic.Int32
	backend := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	backend.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	backend.Start()
	defer backend.Close()
	f := newFixtureAt(t, backend.URL)
	connections.Store(0)
	for _, id := range []string{"r1", "r2"} {
		for _, idempotent := range []bool{true, false} {
			call := newCall(fmt.Sprintf("%s-%t", id, idempotent), idempotent)
			if !idempotent {
				call.IdempotencyKey = newIdempotencyKey(t)
			}
			require.NoError(t, f.runToEnd(t, call).Err())
		}
	}
	require.Equal(t, int32(4), connections.Load())
}

// Guards against execution status unknown for a call that the backend server did
// not receive.
func TestRefusedConnectionReportsNotRun(t *testing.T) {
	f := newFixture(t, http.NotFoundHandler())
	closedServer := httptest.NewServer(http.NotFoundHandler())
	closedServer.Close()
	b, err := newBackendClient(closedServer.URL)
	require.NoError(t, err)
	f.server.backend, f.server.admission.backend = b, b
	nonIdempotent := newCall("r2", false)
	nonIdempotent.IdempotencyKey = newIdempotencyKey(t)
	for _, request := range []*pb.CallRequest{newCall("r1", true), nonIdempotent} {
		r := f.runToEnd(t, request)
		require.True(t, errkind.Is(r.Err(), errkind.BackendUnavailable), "%v", r.Err())
		require.Equal(t, errkind.NotRun, errkind.Of(r.Err()).Execution)
	}
}

// Guards against a shutdown that truncates a response or admits new calls.
func TestDrain(t *testing.T) {
	gate := make(chan struct{})
	f := newFixture(t, gatedEventStream(gate, "data: [DONE]\n\n"))
	ctx, disconnect := context.WithCancel(context.Background())
	in, err := f.client.Call(ctx, connect.NewRequest(newCall("r1", true)))
	require.NoError(t, err)
	r := newReceiver("r1")
	readChunks(in, r, 2)
	f.server.gate.Terminate()
	f.server.gate.Terminate()
	require.True(t, in.Receive(), "the sidecar did not announce at once that it is draining")
	require.True(t, in.Msg().GetLoad().GetLeaving())
	refused := f.runToEnd(t, newCall("r2", true))
	require.True(t, errkind.Is(refused.Err(), errkind.Leaving))
	require.Equal(t, errkind.NotRun, errkind.Of(refused.Err()).Execution)
	probe, err := f.client.Probe(context.Background(), connect.NewRequest(&pb.ProbeRequest{}))
	require.NoError(t, err)
	require.True(t, probe.Msg.GetLoad().GetLeaving())
	require.Equal(t, uint64(7), probe.Msg.GetTableOffset())
	close(gate)
	readChunks(in, r, allChunks)
	require.True(t, r.Complete())
	disconnect() // as the entry does
	<-f.server.gate.Stopped()
	_ = in.Close()
}

// Guards against a cancelled attempt that keeps running on the backend server.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	in, err := f.client.Call(context.Background(), connect.NewRequest(newCall("r1", true)))
	require.NoError(t, err)
	r := newReceiver("r1")
	readChunks(in, r, 1)
	response, err := f.client.Cancel(context.Background(), connect.NewRequest(&pb.CancelRequest{Id: r.ID()}))
	require.NoError(t, err)
	require.True(t, response.Msg.GetFound())
	<-ended
	readChunks(in, r, allChunks)
	require.False(t, r.Complete())
	require.NoError(t, in.Close())
}
