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
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

const host = "h.example"

// fixture is a gateway in front of stand-ins.
type fixture struct {
	t       *testing.T
	store   *platformtest.Store
	deploy  *platformtest.Deployment
	gateway *Gateway
	server  *httptest.Server
	lines   *lines
}

// lines collects the log.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// has reports whether a line has all parts.
func (l *lines) has(parts ...string) bool {
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
		StablePeriod: 3 * time.Second, DrainTime: 2 * time.Second, TerminationGrace: 2 * time.Second, ConfigApplyTime: 2 * time.Second,
		StrictRevocation: true, RevocationTime: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 200,
	}
}

// count returns the number of log lines with a text.
func (f *fixture) count(text string) int {
	return strings.Count(f.lines.String(), text)
}

func settings() platform.Settings {
	return platform.Settings{Instance: "g1", FailureDomain: "zone-1", Bounds: bounds()}
}

// newFixture starts a gateway whose plain service has the given servers. It waits
// until the gateway is ready.
func newFixture(t *testing.T, servers ...*platformtest.Server) *fixture {
	t.Helper()
	f := &fixture{t: t, store: platformtest.NewStore(), lines: &lines{}}
	f.deploy = &platformtest.Deployment{Store: f.store, Host: host}
	f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	for _, s := range servers {
		f.deploy.Register(s.ID, platformtest.PlainService, s.Address())
		f.deploy.Register("m-"+s.ID, platformtest.ModelService, s.ModelAddress())
	}
	log := zerolog.New(zerolog.SyncWriter(f.lines))
	view := NewClusterState()
	f.gateway = New(settings(), view, telemetry.NewMetrics(Role, "g1", log), log)
	client := platform.NewStoreClient(f.store.Address())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() {
		_ = FollowConfig(ctx, client, view, log)
		done <- struct{}{}
	}()
	go func() {
		_ = FollowServers(ctx, client, view, log, f.gateway.bounds.Load, f.gateway.kick, func() { f.gateway.services.refresh(view) })
		done <- struct{}{}
	}()
	f.server = httptest.NewServer(f.gateway)
	t.Cleanup(func() {
		cancel()
		f.server.Close()
		f.store.Close()
		<-done
		<-done
	})
	f.eventually(func() bool { ready, _ := f.gateway.Ready(); return ready })
	return f
}

func (f *fixture) eventually(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, 8*time.Second, 5*time.Millisecond)
}

type answer struct {
	status int
	header http.Header
	body   string
	// whole says that the body ended as it should.
	whole bool
}

// ask sends a request with the key of the organisation.
func (f *fixture) ask(method, path, id string, change ...platformtest.HeaderOption) answer {
	f.t.Helper()
	a, err := f.try(context.Background(), method, path, id, change...)
	require.NoError(f.t, err)
	return a
}

func (f *fixture) try(ctx context.Context, method, path, id string, change ...platformtest.HeaderOption) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader("body of "+id))
	require.NoError(f.t, err)
	req.Host = host
	platformtest.WithAttempt(id)(req.Header)
	platformtest.WithKey(platformtest.Key)(req.Header)
	platformtest.WithDeadline("3000")(req.Header)
	if strings.HasPrefix(path, platformtest.StreamPath) {
		platformtest.WithTokenUsage("100,30")(req.Header)
	}
	for _, c := range change {
		c(req.Header)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil}, nil
}

// events returns the stream that a server sends after an event.
func events(after int) string {
	var b strings.Builder
	for id := after + 1; id <= platformtest.StreamEvents; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}
