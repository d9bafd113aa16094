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
	crashMarker = "CRASH"
	// runTime is how long a backend server works on a request. Copies that
	// arrive within it are in flight together.
	runTime = 50 * time.Millisecond
	// restartTime is how long a backend server is down after its sidecar saw
	// that it died. A server that is back before that goes unnoticed.
	restartTime = 100 * time.Millisecond
)

// mortal is a backend server that dies of requests with the crash marker. While
// it is down it breaks every connection.
type mortal struct {
	mu      sync.Mutex
	died    chan struct{} // closed at the death
	down    bool
	back    time.Time // end of the time down, zero before a health check failed
	crashes int
}

func (m *mortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	check := r.Method == http.MethodGet
	died, up := m.run(check)
	if !up {
		panic(http.ErrAbortHandler)
	}
	if check {
		return
	}
	select {
	case <-time.After(runTime):
	case <-died:
		panic(http.ErrAbortHandler)
	}
	if bytes.Contains(body, []byte(crashMarker)) {
		m.die(died)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, wholeEvents)
}

// run returns the channel that closes at the next death, and whether the server
// is up.
func (m *mortal) run(check bool) (chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down && !m.back.IsZero() && !time.Now().Before(m.back) {
		m.down = false
	}
	if m.down && check && m.back.IsZero() {
		m.back = time.Now().Add(restartTime)
	}
	return m.died, !m.down
}

func (m *mortal) die(run chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.died != run {
		return
	}
	m.crashes++
	m.down, m.back = true, time.Time{}
	close(m.died)
	m.died = make(chan struct{})
}

// ownTable is the table of a sidecar, which needs no rows here.
type ownTable struct{ tablesync.Peer }

func (ownTable) Offset() infra.Offset { return 0 }

func (ownTable) View() *table.View { return table.NewState().View() }

func (ownTable) Learn(infra.Offset) {}

// replicas starts sidecars with mortal backend servers.
func replicas(t *testing.T, n int) ([]*mortal, fixedList) {
	t.Helper()
	var servers []*mortal
	var list fixedList
	for i := range n {
		m := &mortal{died: make(chan struct{})}
		backend := httptest.NewServer(m)
		t.Cleanup(backend.Close)
		incarnation := uuid.NewString()
		claims := claimlog.New(standin.NewPlatform(standin.PlatformConfig{}), incarnation, time.Now, claimlog.DefaultSettings())
		t.Cleanup(func() { _ = claims.Shutdown(context.Background()) })
		s, err := sidecar.NewServer(settings.Sidecar{
			Common: settings.Common{MaxBodyBytes: 1 << 20}, BackendURL: backend.URL, Service: "text-desk",
			MaxInFlight: 100, ReplayBytes: 1 << 16, ChunkBytes: 1 << 10,
			HeartbeatInterval: time.Hour, ResumeWindow: time.Hour, BackendTimeout: time.Hour,
		}, daemon.Incarnation(incarnation), claims, ownTable{}, drain.NewGate(), zerolog.Nop(),
			telemetry.NewMetrics("sidecar", "s", zerolog.Nop()))
		require.NoError(t, err)
		mux := http.NewServeMux()
		mux.Handle(filbertmuxv1connect.NewSidecarServiceHandler(s))
		front := httptest.NewServer(mux)
		t.Cleanup(front.Close)
		t.Cleanup(s.Abort)
		servers = append(servers, m)
		list = append(list, infra.Instance{
			ID: fmt.Sprintf("s%d", i), Role: infra.RoleBackend, Service: "text-desk", State: infra.StateLive,
			Address: front.Listener.Addr().String(),
		})
	}
	return servers, list
}

// copyResult is the result of simultaneous sends of one crashing request.
type copyResult struct {
	lost             int           // servers
	sends            int           // by the callers, with repetitions
	innocent         int           // requests with other fingerprints
	innocentRefused  int           // as suspects
	innocentAnswered int           // in full
	took             time.Duration // until the last copy was refused
}

// sendCopies sends n copies at once through some entries, each of them again
// until it is refused, beside other requests.
func sendCopies(t *testing.T, entries, n int) copyResult {
	t.Helper()
	servers, list := replicas(t, 12)
	var fronts []*fixture
	for range entries {
		f := newFixtureOf(t, func(c *settings.Entry) { c.QueueSize = 1000 }, withoutLimit, list)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = f.entry.prober.Run(ctx) }()
		fronts = append(fronts, f)
	}
	var c copyResult
	var sends, refused, answered atomic.Int64
	var callers sync.WaitGroup
	began := time.Now()
	poison := strings.Replace(completion, "hello", crashMarker, 1)
	for i := range n {
		callers.Go(func() {
			for range 100 {
				sends.Add(1)
				r := fronts[i%entries].chat(t, poison)
				if strings.Contains(r.body, errkind.SuspectRequest.String()) {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	const innocents = 24
	for i := range innocents {
		callers.Go(func() {
			for range 100 {
				r := fronts[i%entries].chat(t, strings.Replace(completion, "hello", fmt.Sprintf("hello %d", i), 1))
				switch {
				case r.status == http.StatusOK && r.body == wholeEvents:
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
	c.took = time.Since(began)
	c.sends, c.innocent = int(sends.Load()), innocents
	c.innocentRefused, c.innocentAnswered = int(refused.Load()), int(answered.Load())
	for _, m := range servers {
		m.mu.Lock()
		c.lost += m.crashes
		m.mu.Unlock()
	}
	return c
}

// TestSimultaneousCopies measures the servers that simultaneous copies of a
// crashing request cost. Probes that are late on a busy machine move copies to
// other servers, so it asserts only what does not depend on time.
func TestSimultaneousCopies(t *testing.T) {
	if os.Getenv("FILBERTMUX_MEASURE") == "" {
		t.Skip("FILBERTMUX_MEASURE is not set")
	}
	for _, entries := range []int{1, 3} {
		for _, n := range []int{2, 8, 32} {
			c := sendCopies(t, entries, n)
			t.Logf("%d entries, %d copies: %+v", entries, n, c)
			require.Zero(t, c.innocentRefused)
		}
	}
}

// copiesFixture starts an entry that spreads requests over three sidecars.
func copiesFixture(t *testing.T, script func(*connect.ServerStream[pb.Chunk], *stream.Sender)) (*fixture, []*fakeSidecar) {
	t.Helper()
	var sidecars []*fakeSidecar
	for _, id := range []string{"a", "b", "c"} {
		sidecars = append(sidecars, newFakeSidecar(t, id, script))
	}
	spread := func(c *settings.Entry) { c.RoutingPolicy = "round_robin" }
	return newFixtureWith(t, spread, withoutLimit, sidecars...), sidecars
}

// Guards against a crashing request that costs one server for each copy that
// was sent at the same time.
func TestCopiesRunOnOneServer(t *testing.T) {
	const n = 8
	started, gate := make(chan struct{}, n), make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	defer release() // a failed test must not wait for its sidecars
	f, sidecars := copiesFixture(t, held(started, gate))
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() { f.complete(t) })
		<-started
	}
	counts := []int{sidecars[0].count(), sidecars[1].count(), sidecars[2].count()}
	slices.Sort(counts)
	require.Equal(t, []int{0, 0, n}, counts)
	release()
	callers.Wait()
}

// Guards against copies of a suspect that each run alone on a server of their
// own and crash it.
func TestCopiesOfASuspectRunOneAtATime(t *testing.T) {
	const n = 4
	started, gate := make(chan struct{}, n), make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	defer release()
	f, sidecars := copiesFixture(t, held(started, gate))
	organisation, _ := f.entry.table.View().OrganisationByKeyHash(table.HashAPIKey(examples.DevKey("mureseni-desk")))
	suspect := quarantine.NewFingerprint("text-desk", organisation.Name, http.MethodPost, completionsPath, []byte(completion))
	f.entry.dispatcher.clients.carrier.learn(&pb.End{SuspectReports: quarantine.ToProto([]quarantine.Report{{
		Op: quarantine.OpCrashed, EventID: "c1", Fingerprint: suspect, Time: time.Now(),
	}})})
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() { f.complete(t) })
	}
	c := f.entry.dispatcher.copies
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.groups[suspect] != nil && c.groups[suspect].attempts == n
	}, time.Minute, time.Millisecond)
	<-started
	require.Equal(t, 1, sidecars[0].count()+sidecars[1].count()+sidecars[2].count())
	c.mu.Lock()
	require.Len(t, c.groups[suspect].servers, 1)
	for _, inFlight := range c.groups[suspect].servers {
		require.Equal(t, 1, inFlight)
	}
	c.mu.Unlock()
	release()
	callers.Wait()
}

// Guards against many innocent copies that overload the server of the first
// one, and against a copy that waits although its caller is gone.
func TestCopiesLeaveAFullServer(t *testing.T) {
	handling := quarantine.Normal
	c := newCopies(func(quarantine.Fingerprint) quarantine.Handling { return handling }, func() int { return 2 })
	f := quarantine.Fingerprint{BodyHash: "x"}
	var running []string
	var leave []func()
	enter := func(ctx context.Context, id string) error {
		l, err := c.enter(ctx, f, func(copyAt string, _ bool) (string, error) {
			running = append(running, copyAt)
			return cmp.Or(copyAt, id), nil
		})
		leave = append(leave, l)
		return err
	}
	for _, id := range []string{"a", "", "b", ""} {
		require.NoError(t, enter(t.Context(), id))
	}
	require.Equal(t, []string{"", "a", "", "b"}, running)
	handling = quarantine.Alone
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	err := enter(gone, "c")
	require.Equal(t, errkind.NotRun, errkind.Of(err).Execution)
	for _, l := range leave[:4] {
		l()
	}
	require.Empty(t, c.groups)
	require.NoError(t, enter(t.Context(), "c"), "a suspect runs when no copy runs")
}

func (f *fixture) chat(t *testing.T, body string) reply {
	t.Helper()
	return f.send(t, http.MethodPost, completionsPath, examples.DevKey("mureseni-desk"), "", body)
}
