package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const crashMarker = "CRASH"

// crashable is an engine whose process a request can end. While it is down its
// address refuses connections.
type crashable struct {
	t       *testing.T
	address string
	engine  *standin.Engine

	mu     sync.Mutex
	server *http.Server
	deaths int
}

func newCrashable(t *testing.T, tokenInterval time.Duration) *crashable {
	t.Helper()
	c := &crashable{t: t, address: "127.0.0.1:0"}
	c.engine = standin.NewEngine(standin.EngineConfig{CrashMarker: crashMarker, OnCrash: c.die, TokenInterval: tokenInterval})
	c.start()
	t.Cleanup(c.die)
	return c
}

func (c *crashable) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil {
		return
	}
	l, err := net.Listen("tcp", c.address)
	require.NoError(c.t, err)
	c.address = l.Addr().String()
	c.server = &http.Server{Handler: c.engine, ReadHeaderTimeout: time.Hour}
	go func(s *http.Server) { _ = s.Serve(l) }(c.server)
}

func (c *crashable) die() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil {
		return
	}
	c.deaths++
	_ = c.server.Close()
	c.server = nil
	c.engine.Crash()
}

func prompt(id, text string) *pb.CallRequest {
	request := call(id, true)
	request.Path = "/v1/chat/completions"
	request.Body = fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"max_tokens":4,"stream":true}`, text)
	return request
}

// outcome is the end of one attempt.
type outcome struct {
	err     error
	reports []*pb.SuspectReport
}

func (f *fixture) attempt(t *testing.T, request *pb.CallRequest) outcome {
	t.Helper()
	in, err := f.client.Call(context.Background(), connect.NewRequest(request))
	require.NoError(t, err)
	defer func() { _ = in.Close() }()
	r := newReceiver(request.GetId().GetRequestId())
	var reports []*pb.SuspectReport
	for in.Receive() {
		r.Receive(time.Now(), in.Msg())
		reports = append(reports, in.Msg().GetEnd().GetSuspectReports()...)
	}
	require.True(t, r.Finished(), "the answer has no end chunk")
	return outcome{r.Err(), reports}
}

// Guards against a request that is sent again and again and takes down one
// server after another, and against innocent requests that pay for it.
func TestCrashingRequestCostsTwoServers(t *testing.T) {
	const servers, sends = 6, 100
	var engines []*crashable
	var sidecars []*fixture
	for range servers {
		engine := newCrashable(t, 0)
		engines = append(engines, engine)
		sidecars = append(sidecars, newFixtureAt(t, "http://"+engine.address))
	}
	var known []*pb.SuspectReport
	refused, answered := 0, 0
	for i := range sends {
		request := prompt(fmt.Sprintf("poison-%d", i), crashMarker)
		request.SuspectReports = known // as the entry does
		result := sidecars[i%servers].attempt(t, request)
		known = append(known, result.reports...)
		if errkind.Is(result.err, errkind.SuspectRequest) {
			require.Equal(t, errkind.NotRun, errkind.Of(result.err).Execution)
			refused++
		}
		for _, e := range engines {
			e.start()
		}
		if sidecars[i%servers].attempt(t, prompt(fmt.Sprintf("innocent-%d", i), "hello")).err == nil {
			answered++
		}
	}
	deaths := 0
	for _, e := range engines {
		deaths += e.deaths
	}
	t.Logf("%d sends: %d servers lost, %d sends refused, %d of %d innocent requests answered", sends, deaths, refused, answered, sends)
	require.LessOrEqual(t, deaths, 2)
	require.Equal(t, sends-deaths, refused)
	require.Equal(t, sends, answered)
}

// Guards against an innocent request that was in flight beside a crashing one
// and is then refused, and against new work on a server that is down.
func TestRequestsInFlightAtACrash(t *testing.T) {
	engine := newCrashable(t, time.Hour)
	f := newFixtureAt(t, "http://"+engine.address)
	in, err := f.client.Call(context.Background(), connect.NewRequest(prompt("innocent", "hello")))
	require.NoError(t, err)
	require.True(t, in.Receive(), "no head: %v", in.Err())
	require.True(t, errkind.Is(f.attempt(t, prompt("poison", crashMarker)).err, errkind.BackendFailed))
	for in.Receive() {
		continue
	}
	require.NoError(t, in.Close())
	for _, body := range [][]byte{prompt("", "hello").GetBody(), prompt("", crashMarker).GetBody()} {
		require.Equal(t, quarantine.Alone, f.handling(body))
	}

	down := f.attempt(t, prompt("early", "other"))
	require.True(t, errkind.Is(down.err, errkind.BackendUnavailable), "%v", down.err)
	require.Equal(t, errkind.NotRun, errkind.Of(down.err).Execution)

	revived := newCrashable(t, 0)
	b, err := newBackend("http://" + revived.address)
	require.NoError(t, err)
	f.server.backend, f.server.guard.backend = b, b
	require.NoError(t, f.attempt(t, prompt("again", "hello")).err)
	require.Equal(t, quarantine.Normal, f.handling(prompt("", "hello").GetBody()))
}

func (f *fixture) handling(body []byte) quarantine.Handling {
	g := f.server.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.register.Handling(time.Now(), quarantine.NewFingerprint("svc", "org", http.MethodPost, "/v1/chat/completions", body))
}

// Guards against work for a backend server that accepts connections again but
// is not ready.
func TestNoWorkBeforeTheHealthCheckIsAnswered(t *testing.T) {
	var ready atomic.Bool
	var calls atomic.Int32
	f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == healthPath && !ready.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Path != healthPath && calls.Add(1) == 1:
			panic(http.ErrAbortHandler)
		}
	}))
	require.True(t, errkind.Is(f.attempt(t, call("r1", true)).err, errkind.BackendFailed))
	booking := call("r2", false)
	booking.IdempotencyKey = newKey(t)
	for _, request := range []*pb.CallRequest{call("r3", true), booking} {
		refused := f.attempt(t, request).err
		require.True(t, errkind.Is(refused, errkind.BackendUnavailable), "%v", refused)
		require.Equal(t, errkind.NotRun, errkind.Of(refused).Execution)
	}
	require.Equal(t, int32(1), calls.Load())
	ready.Store(true)
	booking.Id.RequestId = "r4"
	require.NoError(t, f.attempt(t, booking).err)
}

// Guards against a lookup that http.Transport repeats on its own on a new
// connection, so that the sidecar doesn't see that the first one broke.
func TestLookupIsNotRepeatedByTheTransport(t *testing.T) {
	var calls atomic.Int32
	f := newFixture(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != healthPath && calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	lookup := call("r1", true)
	lookup.Method, lookup.Body = http.MethodGet, nil
	require.NoError(t, f.attempt(t, lookup).err)
	lookup.Id.RequestId = "r2"
	require.True(t, errkind.Is(f.attempt(t, lookup).err, errkind.BackendFailed))
	require.Equal(t, int32(2), calls.Load())
}

// Guards against a request that ran when its server died and is answered
// not_run, because the health check found the address closed.
func TestDeathIsNoProofOfNotRun(t *testing.T) {
	b, err := newBackend("http://127.0.0.1:1")
	require.NoError(t, err)
	g := newGuard(b, "inc", time.Now, zerolog.Nop())
	ctx, r, err := g.enter(context.Background(), quarantine.Fingerprint{})
	require.NoError(t, err)
	require.True(t, g.died(r))
	require.False(t, proxyhttp.IsDialError(context.Cause(ctx)))
	require.Equal(t, errkind.Unknown, backendError(ctx, context.Cause(ctx)).Execution)
}
