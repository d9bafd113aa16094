package entry

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
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
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/sidecar"
	"github.com/filbertmux/filbertmux/examples"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/serve/claimlog"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/quarantine"
	"github.com/filbertmux/filbertmux/serve/stream"
)

const (
	crashPrompt = "CRASH"
	// runTime is how long a backend server runs a request. Duplicates that arrive
	// within it are in flight together.
	runTime = 50 * time.Millisecond
	// restartTime is how long a backend server stays down after the first failed
	// health check of its sidecar. The sidecar would not notice a crash if the
	// server were up again before that check.
	restartTime = 100 * time.Millisecond
)

// crashingBackend is a backend server that crashes on a request whose body
// contains crashPrompt. While it is down it aborts every connection.
type crashingBackend struct {
	mu      sync.Mutex
	crashed chan struct{} // closed at the next crash
	down    bool
	upAt    time.Time // end of the downtime, zero until a health check has failed
	crashes int
}

func (b *crashingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	healthCheck := r.Method == http.MethodGet
	crashed, up := b.status(healthCheck)
	if !up {
		panic(http.ErrAbortHandler)
	}
	if healthCheck {
		return
	}
	select {
	case <-time.After(runTime):
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
	if bytes.Contains(body, []byte(crashPrompt)) {
		b.crash(crashed)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, completeEventStream)
}

// status returns the channel that is closed at the next crash, and whether the
// server is up.
func (b *crashingBackend) status(healthCheck bool) (chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down && !b.upAt.IsZero() && !time.Now().Before(b.upAt) {
		b.down = false
	}
	if b.down && healthCheck && b.upAt.IsZero() {
		b.upAt = time.Now().Add(restartTime)
	}
	return b.crashed, !b.down
}

func (b *crashingBackend) crash(crashed chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed != crashed {
		return
	}
	b.crashes++
	b.down, b.upAt = true, time.Time{}
	close(b.crashed)
	b.crashed = make(chan struct{})
}

// emptyTable is the table of a sidecar. These tests need no rows in it.
type emptyTable struct{ tablesync.Peer }

func (emptyTable) Offset() infra.Offset { return 0 }

func (emptyTable) View() *table.View { return table.NewState().View() }

func (emptyTable) Learn(infra.Offset) {}

// startBackends starts n crashing backend servers with their sidecars.
func startBackends(t *testing.T, n int) ([]*crashingBackend, fixedInstances) {
	t.Helper()
	var servers []*crashingBackend
	var list fixedInstances
	for i := range n {
		backend := &crashingBackend{crashed: make(chan struct{})}
		backendServer := httptest.NewServer(backend)
		t.Cleanup(backendServer.Close)
		incarnation := uuid.NewString()
		claims := claimlog.New(standin.NewPlatform(standin.PlatformConfig{}), incarnation, time.Now, claimlog.DefaultSettings())
		t.Cleanup(func() { _ = claims.Shutdown(context.Background()) })
		s, err := sidecar.NewServer(settings.Sidecar{
			Common: settings.Common{MaxBodyBytes: 1 << 20}, BackendURL: backendServer.URL, Service: "text-desk",
			MaxInFlight: 100, ReplayBytes: 1 << 16, ChunkBytes: 1 << 10,
			HeartbeatInterval: time.Hour, ResumeWindow: time.Hour, BackendTimeout: time.Hour,
		}, daemon.Incarnation(incarnation), claims, emptyTable{}, drain.NewGate(), zerolog.Nop(),
			telemetry.NewMetrics("sidecar", "s", zerolog.Nop()))
		require.NoError(t, err)
		mux := http.NewServeMux()
		mux.Handle(filbertmuxv1connect.NewSidecarServiceHandler(s))
		frontend := httptest.NewServer(mux)
		t.Cleanup(frontend.Close)
		t.Cleanup(s.Abort)
		servers = append(servers, backend)
		list = append(list, infra.Instance{
			ID: fmt.Sprintf("s%d", i), Role: infra.RoleBackend, Service: "text-desk", State: infra.StateLive,
			Address: frontend.Listener.Addr().String(),
		})
	}
	return servers, list
}

// duplicatesResult is the result of simultaneous sends of one crashing request. The
// field names are part of the printed result.
type duplicatesResult struct {
	lost             int           // crashed servers
	sends            int           // of the crashing request, including repeated ones
	innocent         int           // harmless requests with other fingerprints
	innocentRefused  int           // responses that refused one as a suspect
	innocentAnswered int           // with a complete response
	took             time.Duration // until the last request ended
}

// sendDuplicates sends n duplicates of a crashing request at once through the
// given number of entries, while harmless requests run. Each duplicate is sent
// again until it is refused as a suspect.
func sendDuplicates(t *testing.T, entries, n int) duplicatesResult {
	t.Helper()
	servers, list := startBackends(t, 12)
	var fixtures []*fixture
	for range entries {
		f := newFixtureWithInstances(t, func(c *settings.Entry) { c.QueueSize = 1000 }, deleteLimits, list)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = f.entry.prober.Run(ctx) }()
		fixtures = append(fixtures, f)
	}
	var result duplicatesResult
	var attempts, refused, answered atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	crashingBody := strings.Replace(completionBody, "hello", crashPrompt, 1)
	for i := range n {
		callers.Go(func() {
			for range 100 {
				attempts.Add(1)
				r := fixtures[i%entries].chat(t, crashingBody)
				if strings.Contains(r.body, errkind.SuspectRequest.String()) {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	const harmlessRequests = 24
	for i := range harmlessRequests {
		callers.Go(func() {
			for range 100 {
				r := fixtures[i%entries].chat(t, strings.Replace(completionBody, "hello", fmt.Sprintf("hello %d", i), 1))
				switch {
				case r.status == http.StatusOK && r.body == completeEventStream:
					answered.Add(1)
					return
				case strings.Contains(r.body, errkind.SuspectRequest.String()):
					refused.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	result.took = time.Since(start)
	result.sends, result.innocent = int(attempts.Load()), harmlessRequests
	result.innocentRefused, result.innocentAnswered = int(refused.Load()), int(answered.Load())
	for _, backend := range servers {
		backend.mu.Lock()
		result.lost += backend.crashes
		backend.mu.Unlock()
	}
	return result
}

// TestSimultaneousDuplicates measures how many servers simultaneous duplicates of
// a crashing request crash. On a busy machine late probes move duplicates to other
// servers, so it asserts only what does not depend on timing.
func TestSimultaneousDuplicates(t *testing.T) {
	if os.Getenv("FILBERTMUX_MEASURE") == "" {
		t.Skip("FILBERTMUX_MEASURE is not set")
	}
	for _, entries := range []int{1, 3} {
		for _, n := range []int{2, 8, 32} {
			result := sendDuplicates(t, entries, n)
			t.Logf("%d entries, %d duplicates: %+v", entries, n, result)
			require.Zero(t, result.innocentRefused)
		}
	}
}

// newThreeServerFixture starts an entry with round-robin routing and three
// sidecars.
func newThreeServerFixture(t *testing.T, script func(*connect.ServerStream[pb.Chunk], *stream.Sender)) (*fixture, []*fakeSidecar) {
	t.Helper()
	var sidecars []*fakeSidecar
	for _, id := range []string{"a", "b", "c"} {
		sidecars = append(sidecars, newFakeSidecar(t, id, script))
	}
	roundRobin := func(c *settings.Entry) { c.RoutingPolicy = "round_robin" }
	return newFixtureWith(t, roundRobin, deleteLimits, sidecars...), sidecars
}

// Guards against a crashing request that crashes one server for each duplicate in
// flight.
func TestDuplicatesRunOnOneServer(t *testing.T) {
	const n = 8
	started, unblock := make(chan struct{}, n), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release() // a failed test must not wait for its sidecars
	f, sidecars := newThreeServerFixture(t, blockingScript(started, unblock))
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() { f.complete(t) })
		<-started
	}
	counts := []int{sidecars[0].callCount(), sidecars[1].callCount(), sidecars[2].callCount()}
	slices.Sort(counts)
	require.Equal(t, []int{0, 0, n}, counts)
	release()
	callers.Wait()
}

// Guards against concurrent duplicates of a suspect that each run alone on another
// server and crash it.
func TestSuspectDuplicatesRunOneAtATime(t *testing.T) {
	const n = 4
	started, unblock := make(chan struct{}, n), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release()
	f, sidecars := newThreeServerFixture(t, blockingScript(started, unblock))
	organisation, _ := f.entry.table.View().OrganisationByKeyHash(table.HashAPIKey(examples.DevKey("mureseni-desk")))
	suspect := quarantine.NewFingerprint("text-desk", organisation.Name, http.MethodPost, completionsPath, []byte(completionBody))
	f.entry.dispatcher.clients.suspects.recordReports(&pb.End{SuspectReports: quarantine.ToProto([]quarantine.Report{{
		Op: quarantine.OpCrashed, EventID: "c1", Fingerprint: suspect, Time: time.Now(),
	}})})
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() { f.complete(t) })
	}
	tracker := f.entry.dispatcher.duplicates
	require.Eventually(t, func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return tracker.groups[suspect] != nil && tracker.groups[suspect].attempts == n
	}, time.Minute, time.Millisecond)
	<-started
	require.Equal(t, 1, sidecars[0].callCount()+sidecars[1].callCount()+sidecars[2].callCount())
	tracker.mu.Lock()
	require.Len(t, tracker.groups[suspect].servers, 1)
	for _, inFlight := range tracker.groups[suspect].servers {
		require.Equal(t, 1, inFlight)
	}
	tracker.mu.Unlock()
	release()
	callers.Wait()
}

// Guards against many harmless duplicates that overload the server of the first
// one, and against a duplicate that keeps waiting after its caller disconnected.
func TestDuplicatesOverflowToAnotherServer(t *testing.T) {
	handling := quarantine.Normal
	tracker := newDuplicateTracker(func(quarantine.Fingerprint) quarantine.Handling { return handling }, func() int { return 2 })
	f := quarantine.Fingerprint{BodyHash: "x"}
	var preferredServers []string
	var releases []func()
	acquire := func(ctx context.Context, id string) error {
		release, err := tracker.acquire(ctx, f, func(preferred string, _ bool) (string, error) {
			preferredServers = append(preferredServers, preferred)
			return cmp.Or(preferred, id), nil
		})
		releases = append(releases, release)
		return err
	}
	for _, id := range []string{"a", "", "b", ""} {
		require.NoError(t, acquire(t.Context(), id))
	}
	require.Equal(t, []string{"", "a", "", "b"}, preferredServers)
	handling = quarantine.Alone
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	err := acquire(canceled, "c")
	require.Equal(t, errkind.NotRun, errkind.Of(err).Execution)
	for _, release := range releases[:4] {
		release()
	}
	require.Empty(t, tracker.groups)
	require.NoError(t, acquire(t.Context(), "c"), "a suspect runs once no duplicate is in flight")
}

func (f *fixture) chat(t *testing.T, body string) reply {
	t.Helper()
	return f.send(t, http.MethodPost, completionsPath, examples.DevKey("mureseni-desk"), "", body)
}
