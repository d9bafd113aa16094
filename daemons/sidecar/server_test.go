package sidecar

import (
	"context"
	"fmt"
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

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	require.NoError(t, err)
	return key.String()
}

type noTable struct{ tablesync.Peer }

func (noTable) Offset() infra.Offset { return 7 }

func (noTable) View() *table.View { return table.NewState().View() }

func (noTable) Learn(infra.Offset) {}

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
	server, err := NewServer(s, daemon.Incarnation(incarnation), claims, noTable{}, drain.NewGate(), zerolog.Nop(), metrics)
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(filbertmuxv1connect.NewSidecarServiceHandler(server))
	front := httptest.NewServer(mux)
	t.Cleanup(front.Close)
	t.Cleanup(server.Abort)
	return &fixture{server, front.Listener.Addr().String(), filbertmuxv1connect.NewSidecarServiceClient(front.Client(), front.URL)}
}

func call(id string, idempotent bool) *pb.CallRequest {
	return &pb.CallRequest{
		Id: &pb.AttemptId{RequestId: id, Attempt: 1}, Service: "svc", Organisation: "org",
		Method: http.MethodPost, Path: "/x", Body: []byte("body"), Idempotent: idempotent,
	}
}

func newReceiver(id string) *stream.Receiver {
	cfg := stream.ReceiverConfig{MaxPending: 8, SilenceTimeout: time.Hour, ProgressTimeout: time.Hour}
	return stream.NewReceiver(&pb.AttemptId{RequestId: id, Attempt: 1}, cfg, time.Now())
}

// read feeds at most limit chunks to the receiver, up to the end chunk, and
// returns the data.
func read(in *connect.ServerStreamForClient[pb.Chunk], r *stream.Receiver, limit int) string {
	var data []byte
	for i := 0; i < limit && !r.Finished() && in.Receive(); i++ {
		for _, c := range r.Receive(time.Now(), in.Msg()) {
			data = append(data, c.GetData()...)
		}
	}
	return string(data)
}

const all = 1 << 20

func (f *fixture) run(t *testing.T, request *pb.CallRequest) *stream.Receiver {
	t.Helper()
	in, err := f.client.Call(context.Background(), connect.NewRequest(request))
	require.NoError(t, err)
	defer func() { _ = in.Close() }()
	r := newReceiver(request.GetId().GetRequestId())
	read(in, r, all)
	return r
}

// gatedEvents sends one event, waits for the gate and sends the rest.
func gatedEvents(gate <-chan struct{}, closing string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: one\n\n")
		_ = http.NewResponseController(w).Flush()
		<-gate
		_, _ = fmt.Fprint(w, "data: two\n\n"+closing)
	})
}

// Guards against an answer that is lost or cut when its connection breaks.
func TestResumeOnANewConnection(t *testing.T) {
	gate := make(chan struct{})
	f := newFixture(t, gatedEvents(gate, "data: [DONE]\n\n"))
	ctx, disconnect := context.WithCancel(context.Background())
	in, err := f.client.Call(ctx, connect.NewRequest(call("r1", true)))
	require.NoError(t, err)
	r := newReceiver("r1")
	got := read(in, r, 2)
	disconnect()
	close(gate)
	resumed, err := f.client.Resume(context.Background(), connect.NewRequest(&pb.ResumeRequest{Id: r.ID(), NextSeq: r.NextSeq()}))
	require.NoError(t, err)
	got += read(resumed, r, all)
	require.NoError(t, r.Err())
	require.True(t, r.Complete())
	require.Equal(t, "data: one\n\ndata: two\n\ndata: [DONE]\n\n", got)
	require.NoError(t, resumed.Close())
}

// Guards against a stream that the backend server cut being passed on as whole.
func TestCutStreamIsNotComplete(t *testing.T) {
	gate := make(chan struct{})
	close(gate)
	f := newFixture(t, gatedEvents(gate, ""))
	r := f.run(t, call("r1", true))
	require.False(t, r.Complete())
	require.True(t, errkind.Is(r.Err(), errkind.StreamIncomplete))

	f = newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	r = f.run(t, call("r2", true))
	require.True(t, errkind.Is(r.Err(), errkind.BackendFailed))
	require.Equal(t, errkind.Unknown, errkind.Of(r.Err()).Execution)
}

// Guards against a booking that http.Transport sends a second time on its own
// when the connection breaks after the backend server ran it, and against a
// second sender of the key running it again.
func TestBookingRunsOnce(t *testing.T) {
	var runs atomic.Int32
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	f.run(t, call("warm-up", true))
	booking := call("r1", false)
	booking.IdempotencyKey = newKey(t)
	r := f.run(t, booking)
	require.Equal(t, errkind.Unknown, errkind.Of(r.Err()).Execution)
	booking.Id.RequestId = "r2"
	r = f.run(t, booking)
	require.Equal(t, errkind.Unknown, errkind.Of(r.Err()).Execution)
	require.Equal(t, int32(1), runs.Load())
}

// Guards against a reused connection on which http.Transport would repeat a
// booking: the transport repeats requests with an Idempotency-Key.
func TestBookingUsesAConnectionOfItsOwn(t *testing.T) {
	b, err := newBackend("http://127.0.0.1:1")
	require.NoError(t, err)
	require.True(t, b.once.Transport.(*http.Transport).DisableKeepAlives)
}

// Guards against "may have run" for a call that the backend server never got.
func TestRefusedConnectionProvesNotRun(t *testing.T) {
	f := newFixture(t, http.NotFoundHandler())
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	b, err := newBackend(dead.URL)
	require.NoError(t, err)
	f.server.backend, f.server.guard.backend = b, b
	booking := call("r2", false)
	booking.IdempotencyKey = newKey(t)
	for _, request := range []*pb.CallRequest{call("r1", true), booking} {
		r := f.run(t, request)
		require.True(t, errkind.Is(r.Err(), errkind.BackendUnavailable), "%v", r.Err())
		require.Equal(t, errkind.NotRun, errkind.Of(r.Err()).Execution)
	}
}

// Guards against a shutdown that cuts off an answer or that takes new work.
func TestDrain(t *testing.T) {
	gate := make(chan struct{})
	f := newFixture(t, gatedEvents(gate, "data: [DONE]\n\n"))
	ctx, disconnect := context.WithCancel(context.Background())
	in, err := f.client.Call(ctx, connect.NewRequest(call("r1", true)))
	require.NoError(t, err)
	r := newReceiver("r1")
	read(in, r, 2)
	f.server.gate.Terminate()
	f.server.gate.Terminate()
	require.True(t, in.Receive(), "leaving is announced at once")
	require.True(t, in.Msg().GetLoad().GetLeaving())
	refused := f.run(t, call("r2", true))
	require.True(t, errkind.Is(refused.Err(), errkind.Leaving))
	require.Equal(t, errkind.NotRun, errkind.Of(refused.Err()).Execution)
	probe, err := f.client.Probe(context.Background(), connect.NewRequest(&pb.ProbeRequest{}))
	require.NoError(t, err)
	require.True(t, probe.Msg.GetLoad().GetLeaving())
	require.Equal(t, uint64(7), probe.Msg.GetTableOffset())
	close(gate)
	read(in, r, all)
	require.True(t, r.Complete())
	disconnect() // as the entry does
	<-f.server.gate.Stopped()
	_ = in.Close()
}

// Guards against a canceled attempt that keeps its backend server busy.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	in, err := f.client.Call(context.Background(), connect.NewRequest(call("r1", true)))
	require.NoError(t, err)
	r := newReceiver("r1")
	read(in, r, 1)
	answer, err := f.client.Cancel(context.Background(), connect.NewRequest(&pb.CancelRequest{Id: r.ID()}))
	require.NoError(t, err)
	require.True(t, answer.Msg.GetFound())
	<-ended
	read(in, r, all)
	require.False(t, r.Complete())
	require.NoError(t, in.Close())
}
