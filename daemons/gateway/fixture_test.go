package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

const host = "h.example"

// fixture is a gateway with a fake metadata store and fake backend servers.
type fixture struct {
	t      *testing.T
	store  *platformtest.Store
	deploy *platformtest.Deployment
	// settings are those of the gateways that the fixture starts.
	settings platform.Settings
	gateway  *Gateway
	server   *httptest.Server
	logs     *logBuffer
	// link is the way to the store of gateways that share their reads, and peers their
	// exchange with the others; both are nil for a gateway that polls for itself.
	link  *platformtest.StoreLink
	peers *peerExchange
	// stop ends the gateway.
	stop func()
}

// logBuffer collects the log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// contains reports whether a single line contains all parts.
func (l *logBuffer) contains(parts ...string) bool {
	for line := range strings.Lines(l.String()) {
		found := 0
		for _, p := range parts {
			if strings.Contains(line, p) {
				found++
			}
		}
		if found == len(parts) {
			return true
		}
	}
	return false
}

func bounds() platform.Bounds {
	return platform.Bounds{
		StablePeriod: 3 * time.Second, DrainTime: 2 * time.Second, TerminationGrace: 2 * time.Second,
		ConfigApplyTime:  2 * time.Second,
		StrictRevocation: true, RevocationTime: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 200,
		EvacuationTime: 5 * time.Second,
	}
}

// countLogs counts the occurrences of a text in the log.
func (f *fixture) countLogs(text string) int {
	return strings.Count(f.logs.String(), text)
}

func settings() platform.Settings {
	return platform.Settings{
		Instance: "g1", FailureDomain: "zone-1", Bounds: bounds(),
		Regions: fleet.Regions{"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-2"},
	}
}

// newFixture starts a gateway whose plain service has the given servers. It waits
// until the gateway is ready.
func newFixture(t *testing.T, servers ...*platformtest.Server) *fixture {
	t.Helper()
	return newFixtureWith(t, settings(), 0, servers...)
}

// newFixtureWith is newFixture with other settings and another largest body; 0 stands for
// the usual one.
func newFixtureWith(t *testing.T, s platform.Settings, maxBody int, servers ...*platformtest.Server) *fixture {
	t.Helper()
	f := &fixture{t: t, store: platformtest.NewStore(), settings: s}
	t.Cleanup(f.store.Close)
	f.deploy = &platformtest.Deployment{Store: f.store, Host: host, MaxBodyBytes: maxBody}
	f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	for _, server := range servers {
		f.deploy.Register(server.ID, platformtest.PlainService, server.Address())
		f.deploy.Register("m-"+server.ID, platformtest.ModelService, server.ModelAddress())
	}
	f.startGateway()
	f.eventually(func() bool { ready, _ := f.gateway.Ready(); return ready })
	return f
}

// startGateway starts a gateway that reads from the store. It ends with the test.
func (f *fixture) startGateway() {
	t := f.t
	f.logs = &logBuffer{}
	logs := f.logs
	log := zerolog.New(zerolog.SyncWriter(logs))
	state := NewClusterState()
	gateway := New(f.settings, state, telemetry.NewMetrics(Role, "g1", log), log)
	client := platform.NewStoreClient(f.store.Address())
	ctx, cancel := context.WithCancel(context.Background())
	var proofs *proofExchange
	if f.link != nil {
		client = platform.NewStoreClient(f.link.Address())
		proofs = f.listenForProofs(ctx, gateway, log)
	}
	done := make(chan struct{}, 3)
	go func() {
		_ = followConfig(ctx, client, state, log, gateway.evacuations.applyRead, proofs)
		done <- struct{}{}
	}()
	go func() {
		_ = gateway.evacuations.watch(ctx)
		done <- struct{}{}
	}()
	go func() {
		_ = FollowServers(ctx, client, state, log, gateway.bounds.Load, gateway.serverRefresh,
			func() { gateway.services.refreshServers(state) })
		done <- struct{}{}
	}()
	server := httptest.NewUnstartedServer(gateway)
	server.Listener = gateway.connections.Listen(server.Listener)
	gateway.connections.Observe(server.Config)
	server.Start()
	f.stop = sync.OnceFunc(func() {
		cancel()
		server.Close()
		for range cap(done) {
			<-done
		}
	})
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
		f.stop()
	})
	f.gateway, f.server = gateway, server
}

func (f *fixture) eventually(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, 8*time.Second, 5*time.Millisecond)
}

type response struct {
	status int
	header http.Header
	body   string
	// complete means that the body was read without an error.
	complete bool
	// closes means that the response announces the end of its connection.
	closes bool
}

// send sends a request with the key of the organisation and requires a response.
func (f *fixture) send(method, path, id string, options ...platformtest.HeaderOption) response {
	f.t.Helper()
	resp, err := f.trySend(context.Background(), method, path, id, options...)
	require.NoError(f.t, err)
	return resp
}

func (f *fixture) trySend(
	ctx context.Context, method, path, id string, options ...platformtest.HeaderOption,
) (response, error) {
	resp, err := f.call(ctx, method, path, id, options...)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil}, nil
}

// discardResponse sends a GET request and discards the body of its response. The error
// says why the body is incomplete.
func (f *fixture) discardResponse(path, id string, options ...platformtest.HeaderOption) (response, error) {
	f.t.Helper()
	resp, err := f.call(context.Background(), http.MethodGet, path, id, options...)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return response{status: resp.StatusCode, header: resp.Header}, err
}

func (f *fixture) call(
	ctx context.Context, method, path, id string, options ...platformtest.HeaderOption,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader("body of "+id))
	require.NoError(f.t, err)
	req.Host = host
	platformtest.WithAttempt(id)(req.Header)
	platformtest.WithKey(platformtest.Key)(req.Header)
	platformtest.WithDeadline("3000")(req.Header)
	if strings.HasPrefix(path, platformtest.StreamPath) {
		platformtest.WithTokenUsage("100,30")(req.Header)
	}
	for _, c := range options {
		c(req.Header)
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
}

// events returns the stream that a server sends after the event with the ID after.
func events(after int) string {
	var b strings.Builder
	for id := after + 1; id <= platformtest.StreamEvents; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}
