package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
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

// crashableEngine is an engine that crashes on a request with the crash marker.
// While it is down, its address refuses connections.
type crashableEngine struct {
	t       *testing.T
	address string
	engine  *standin.Engine

	mu      sync.Mutex
	server  *http.Server
	crashes int
}

func newCrashableEngine(t *testing.T, tokenInterval time.Duration) *crashableEngine {
	t.Helper()
	c := &crashableEngine{t: t, address: "127.0.0.1:0"}
	c.engine = standin.NewEngine(standin.EngineConfig{CrashMarker: crashMarker, OnCrash: c.crash, TokenInterval: tokenInterval})
	c.start()
	t.Cleanup(c.crash)
	return c
}

// newCrashableSidecars returns n engines, each with a sidecar.
func newCrashableSidecars(t *testing.T, n int) ([]*crashableEngine, []*fixture) {
	t.Helper()
	var engines []*crashableEngine
	var sidecars []*fixture
	for range n {
		engine := newCrashableEngine(t, 0)
		engines = append(engines, engine)
		sidecars = append(sidecars, newFixtureAt(t, "http://"+engine.address))
	}
	return engines, sidecars
}

func (c *crashableEngine) start() {
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

func (c *crashableEngine) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil {
		return
	}
	c.crashes++
	_ = c.server.Close()
	c.server = nil
	c.engine.Crash()
}

func newChatCall(id, text string) *pb.CallRequest {
	request := newCall(id, true)
	request.Path = "/v1/chat/completions"
	request.Body = fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"max_tokens":4,"stream":true}`, text)
	return request
}

// attemptResult is the error and the suspect reports of the end chunk.
type attemptResult struct {
	err     error
	reports []*pb.SuspectReport
}

func (f *fixture) runWithReports(t *testing.T, request *pb.CallRequest) attemptResult {
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
	require.True(t, r.Finished(), "the stream has no end chunk")
	return attemptResult{r.Err(), reports}
}

// Guards against a crashing request that crashes one server after another when it
// is sent repeatedly, and against other requests that are refused because of it.
func TestCrashingRequestCrashesAtMostTwoServers(t *testing.T) {
	const servers, sends = 6, 100
	engines, sidecars := newCrashableSidecars(t, servers)
	var reports []*pb.SuspectReport
	refused, answered := 0, 0
	for i := range sends {
		request := newChatCall(fmt.Sprintf("poison-%d", i), crashMarker)
		request.SuspectReports = reports // as the entry does
		result := sidecars[i%servers].runWithReports(t, request)
		reports = append(reports, result.reports...)
		if errkind.Is(result.err, errkind.SuspectRequest) {
			require.Equal(t, errkind.NotRun, errkind.Of(result.err).Execution)
			refused++
		}
		for _, e := range engines {
			e.start()
		}
		if sidecars[i%servers].runWithReports(t, newChatCall(fmt.Sprintf("innocent-%d", i), "hello")).err == nil {
			answered++
		}
	}
	crashes := 0
	for _, e := range engines {
		crashes += e.crashes
	}
	t.Logf("%d sends: %d server crashes, %d sends refused, %d of %d innocent requests succeeded", sends, crashes, refused, answered, sends)
	require.LessOrEqual(t, crashes, 2)
	require.Equal(t, sends-crashes, refused)
	require.Equal(t, sends, answered)
}

// Guards against requests that share one message, and nothing else, and crash one
// server after another, and against refusing requests that share another message with
// them.
func TestPromptPartCrashesFewServers(t *testing.T) {
	const (
		servers, requests = 6, 20
		// maxCrashes is the number of crashes by which the part has to be known, and
		// maxLater the number of requests with it that may reach servers afterwards.
		maxCrashes, maxLater = 5, 3
	)
	engines, sidecars := newCrashableSidecars(t, servers)
	// The sidecars exchange their reports as they do through the log.
	for _, from := range sidecars {
		from.server.admission.publish = func(reports []quarantine.Report) {
			for _, to := range sidecars {
				if to != from {
					to.server.admission.applyReports(reports)
				}
			}
		}
	}
	call := func(id string, parts ...string) *pb.CallRequest {
		request := newChatCall(id, strings.Join(parts, " ")+" "+id)
		request.PromptParts = parts
		return request
	}
	for i := range requests {
		target := sidecars[i%servers]
		target.runWithReports(t, call(fmt.Sprintf("poison-%d", i), "shared", crashMarker))
		for _, e := range engines {
			e.start()
		}
		sound := target.runWithReports(t, call(fmt.Sprintf("sound-%d", i), "shared"))
		require.NoError(t, sound.err)
	}
	crashes := 0
	for _, e := range engines {
		crashes += e.crashes
	}
	require.LessOrEqual(t, crashes, maxCrashes+maxLater)
	last := sidecars[0].runWithReports(t, call("last", "other", crashMarker))
	require.True(t, errkind.Is(last.err, errkind.SuspectRequest), "%v", last.err)
	require.Equal(t, errkind.NotRun, errkind.Of(last.err).Execution)
}

// Guards against refusing a request that was in flight together with a crashing
// one, and against admitting requests to a server that is down.
func TestRequestsInFlightAtACrash(t *testing.T) {
	engine := newCrashableEngine(t, time.Hour)
	f := newFixtureAt(t, "http://"+engine.address)
	in, err := f.client.Call(context.Background(), connect.NewRequest(newChatCall("innocent", "hello")))
	require.NoError(t, err)
	require.True(t, in.Receive(), "no head received: %v", in.Err())
	require.True(t, errkind.Is(f.runWithReports(t, newChatCall("poison", crashMarker)).err, errkind.BackendFailed))
	for in.Receive() {
		continue
	}
	require.NoError(t, in.Close())
	for _, body := range [][]byte{newChatCall("", "hello").GetBody(), newChatCall("", crashMarker).GetBody()} {
		require.Equal(t, quarantine.Alone, f.handling(body))
	}

	early := f.runWithReports(t, newChatCall("early", "other"))
	require.True(t, errkind.Is(early.err, errkind.BackendUnavailable), "%v", early.err)
	require.Equal(t, errkind.NotRun, errkind.Of(early.err).Execution)

	restarted := newCrashableEngine(t, 0)
	b, err := newBackendClient("http://" + restarted.address)
	require.NoError(t, err)
	f.server.backend, f.server.admission.backend = b, b
	require.NoError(t, f.runWithReports(t, newChatCall("again", "hello")).err)
	require.Equal(t, quarantine.Normal, f.handling(newChatCall("", "hello").GetBody()))
}

func (f *fixture) handling(body []byte) quarantine.Handling {
	c := f.server.admission
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Handling(time.Now(), quarantine.NewFingerprint("svc", "org", http.MethodPost, "/v1/chat/completions", body))
}

// Guards against admitting requests to a restarted backend server that accepts
// connections but does not pass the health check yet.
func TestNoRequestBeforeHealthCheckSucceeds(t *testing.T) {
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
	require.True(t, errkind.Is(f.runWithReports(t, newCall("r1", true)).err, errkind.BackendFailed))
	nonIdempotent := newCall("r2", false)
	nonIdempotent.IdempotencyKey = newIdempotencyKey(t)
	for _, request := range []*pb.CallRequest{newCall("r3", true), nonIdempotent} {
		refused := f.runWithReports(t, request).err
		require.True(t, errkind.Is(refused, errkind.BackendUnavailable), "%v", refused)
		require.Equal(t, errkind.NotRun, errkind.Of(refused).Execution)
	}
	require.Equal(t, int32(1), calls.Load())
	ready.Store(true)
	nonIdempotent.Id.RequestId = "r4"
	require.NoError(t, f.runWithReports(t, nonIdempotent).err)
}

// Guards against http.Transport retrying an idempotent call on a new connection,
// which would hide the broken connection from the sidecar.
func TestTransportDoesNotRetryIdempotentCall(t *testing.T) {
	var calls atomic.Int32
	f := newFixture(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != healthPath && calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	idempotentCall := newCall("r1", true)
	idempotentCall.Method, idempotentCall.Body = http.MethodGet, nil
	require.NoError(t, f.runWithReports(t, idempotentCall).err)
	idempotentCall.Id.RequestId = "r2"
	require.True(t, errkind.Is(f.runWithReports(t, idempotentCall).err, errkind.BackendFailed))
	require.Equal(t, int32(2), calls.Load())
}

// Guards against reporting not_run for a request that was running when the server
// crashed. The refused connection of the health check must not be its cause.
func TestCrashDoesNotImplyNotRun(t *testing.T) {
	b, err := newBackendClient("http://127.0.0.1:1")
	require.NoError(t, err)
	c := newAdmissionController(b, "inc", time.Now, zerolog.Nop())
	ctx, r, err := c.acquire(context.Background(), quarantine.Fingerprint{}, nil)
	require.NoError(t, err)
	require.True(t, c.confirmCrash(r))
	require.False(t, proxyhttp.IsDialError(context.Cause(ctx)))
	require.Equal(t, errkind.Unknown, backendError(ctx, context.Cause(ctx)).Execution)
}
