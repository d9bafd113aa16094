package groupcontrol_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/experts"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/groupcontrol"
	"github.com/filbertmux/filbertmux/leaselog"
	"github.com/filbertmux/filbertmux/mapswitch"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankapi"
	"github.com/filbertmux/filbertmux/standin"
)

const (
	members        = 4
	ranksPerMember = 2
	layers         = 2
	expertCount    = 16
	stepTime       = 10 * time.Millisecond
	// deadline is far above the time that any condition takes, so that a
	// busy machine does not fail a test.
	deadline = 90 * time.Second
)

// gate stops the traffic of a paused process. Requests that were on their way
// are sent after the pause, even if their sender gave up.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil unless paused
	// holderOnly pauses only the commands of a holder and its renewals.
	holderOnly bool
	bytes      int64 // to and from other instances, with headers, without weights
}

func (g *gate) pause(holderOnly bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened, g.holderOnly = make(chan struct{}), holderOnly
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
	}
	g.opened = nil
}

// wait blocks while a request of a holder, or of another kind, is paused.
func (g *gate) wait(ofHolder bool) {
	g.mu.Lock()
	opened := g.opened
	if g.holderOnly && !ofHolder {
		opened = nil
	}
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// RoundTrip implements http.RoundTripper.
func (g *gate) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	type result struct {
		resp *http.Response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		g.wait(ofHolder(r, body))
		resp, err := http.DefaultTransport.RoundTrip(late)
		if err == nil {
			answer, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			resp.Body = io.NopCloser(bytes.NewReader(answer))
			if !strings.HasPrefix(r.URL.Path, rankapi.Path) && !strings.HasPrefix(r.URL.Path, platform.WeightPath) {
				g.count(len(body) + len(answer) + headerBytes(r.Header) + headerBytes(resp.Header))
			}
		}
		done <- result{resp, err}
	}()
	select {
	case d := <-done:
		return d.resp, d.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func (g *gate) count(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes += int64(n)
}

func (g *gate) counted() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}

// headerBytes adds 60 bytes for the request or status line and the headers
// that the client sets itself.
func headerBytes(h http.Header) int {
	n := 60
	for key, values := range h {
		n += len(key) + len(strings.Join(values, ",")) + 4
	}
	return n
}

// ofHolder reports whether a request is a command of a holder or an append.
func ofHolder(r *http.Request, body []byte) bool {
	if strings.HasPrefix(r.URL.Path, platform.StreamPath) {
		return r.Method == http.MethodPost
	}
	var d pb.DeliverRequest
	if !strings.HasSuffix(r.URL.Path, "/Deliver") || proto.Unmarshal(body, &d) != nil {
		return false
	}
	for _, m := range d.GetMessages() {
		if m.GetTakeOver() != nil || m.GetPrepare() != nil || m.GetPropose() != nil {
			return true
		}
	}
	return false
}

// node is the place of one sidecar. It outlives the sidecar process.
type node struct {
	id      mapswitch.MemberID
	gate    *gate
	backend *httptest.Server
	front   *httptest.Server

	mu      sync.Mutex
	control *groupcontrol.Control // nil while no sidecar runs
	kill    func()
}

// ServeHTTP passes a request to the sidecar that runs at this place.
func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.gate.wait(false)
	control := n.running()
	if control == nil {
		http.Error(w, "no sidecar", http.StatusServiceUnavailable)
		return
	}
	n.gate.count(int(r.ContentLength) + headerBytes(r.Header))
	_, h := filbertmuxv1connect.NewGroupServiceHandler(control)
	h.ServeHTTP(w, r)
}

func (n *node) running() *groupcontrol.Control {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control
}

type fixture struct {
	t        *testing.T
	platform *standin.Platform
	url      string
	ranks    *standin.RankGroup
	nodes    []*node
	starts   uint64
	lease    leaselog.Settings
	adjust   func(groupcontrol.Options) groupcontrol.Options
}

type rankOption func(*standin.RankGroupConfig)

// newFixture starts a group whose first experts are the most popular ones. No
// backend server checks tokens.
func newFixture(t *testing.T, options ...rankOption) *fixture {
	t.Parallel()
	cfg := standin.RankGroupConfig{
		Replicas: members, RanksPerReplica: ranksPerMember, Layers: layers, Experts: expertCount, SlotsPerRank: 3,
		StepTime: stepTime, Seed: 1, CountEvery: 5, Popularity: standin.DriftingPopularity(expertCount, 1, 1<<40),
	}
	for _, o := range options {
		o(&cfg)
	}
	ranks, err := standin.NewRankGroup(cfg)
	require.NoError(t, err)
	f := &fixture{t: t, ranks: ranks, platform: standin.NewPlatform(standin.PlatformConfig{})}
	f.adjust = func(o groupcontrol.Options) groupcontrol.Options { return o }
	f.lease = leaselog.DefaultSettings()
	f.lease.Lease.TTL, f.lease.Lease.RenewEvery, f.lease.Lease.Margin = 2*time.Second, 400*time.Millisecond, 300*time.Millisecond
	f.lease.Lease.GuardStale, f.lease.ReadWait = 2*time.Second, 100*time.Millisecond
	server := httptest.NewServer(f.platform)
	t.Cleanup(server.Close)
	f.url = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = ranks.Run(ctx) }()
	for id := range members {
		n := &node{id: mapswitch.MemberID(id), gate: &gate{}}
		n.backend = httptest.NewServer(ranks.Handler(id))
		n.front = httptest.NewServer(n)
		t.Cleanup(n.backend.Close)
		t.Cleanup(n.front.Close)
		t.Cleanup(n.gate.resume)
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *fixture) startAll() {
	for _, n := range f.nodes {
		f.start(n)
	}
}

type fixedTable struct{}

func (fixedTable) Offset() platform.Offset { return 7 }

func (fixedTable) Learn(platform.Offset) {}

func (f *fixture) options(n *node, lease groupcontrol.Lease, client *http.Client) groupcontrol.Options {
	o := groupcontrol.Options{
		Group: "g", Member: n.id, Members: members, Incarnation: f.starts,
		FailureDomain: "domain-" + strconv.Itoa(int(n.id)), Model: "m", RankURL: n.backend.URL,
		Peers: client, Backend: client, Lease: lease, Table: fixedTable{}, Log: zerolog.Nop(),
		Weights: func() (experts.Weights, bool) { return experts.Weights{Skew: 1, Cost: 1}, true },
		Addresses: func(id mapswitch.MemberID) []string {
			return []string{strings.TrimPrefix(f.nodes[id].front.URL, "http://")}
		},
	}.WithDefaults()
	for i := range ranksPerMember {
		o.Ranks = append(o.Ranks, mapswitch.RankID(int(n.id)*ranksPerMember+i))
	}
	o.Timing.Plan = 200 * time.Millisecond
	o.Holder.StepTime = stepTime
	// A vote that takes longer than usual on a busy machine must neither hold
	// the group nor be refused.
	o.Holder.Lead, o.Switch.ResolveAfter = time.Second, time.Second
	o.Holder.Poll = 200 * time.Millisecond
	o.Planner.StepTime, o.Planner.MoveCost = stepTime, time.Millisecond
	o.Planner.MinInterval, o.Planner.StoreRate = 300*time.Millisecond, 1000
	return f.adjust(o)
}

// start starts a sidecar process at a place.
func (f *fixture) start(n *node) {
	f.starts++
	client := &http.Client{Transport: n.gate}
	store, err := platform.NewHTTPClient(f.url, client)
	require.NoError(f.t, err)
	lease := leaselog.New(store, strconv.FormatUint(f.starts, 10), time.Now, rand.New(rand.NewPCG(f.starts, 0)), f.lease)
	o := f.options(n, lease, client)
	o.Store = store
	control, err := groupcontrol.New(o)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = control.Run(ctx)
	}()
	killed := sync.OnceFunc(func() {
		n.set(nil, nil)
		cancel()
		<-done
		// The ended context keeps the lease from being released.
		lease.Close(ctx)
	})
	n.set(control, killed)
	f.t.Cleanup(killed)
}

func (n *node) set(c *groupcontrol.Control, kill func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.control, n.kill = c, kill
}

// stop kills the sidecar at a place.
func (n *node) stop() {
	n.mu.Lock()
	kill := n.kill
	n.mu.Unlock()
	kill()
}

// eventually waits for a condition.
func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	end := time.Now().Add(deadline)
	for !ok() {
		if time.Now().After(end) {
			require.FailNow(f.t, "not reached: "+what, "epochs %v, step %d, holding %d, %+v",
				f.ranks.Epochs(), f.ranks.Step(), f.ranks.Holding(), f.stats())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (f *fixture) stats() []groupcontrol.Stats {
	var all []groupcontrol.Stats
	for _, n := range f.nodes {
		if c := n.running(); c != nil {
			all = append(all, c.Stats())
		}
	}
	return all
}

// holder returns the place of the holder among some places, or nil.
func (f *fixture) holder(except *node) *node {
	for _, n := range f.nodes {
		if c := n.running(); n != except && c != nil && c.Stats().Holding {
			return n
		}
	}
	return nil
}

func (f *fixture) awaitHolder(except *node) *node {
	f.t.Helper()
	var n *node
	f.eventually("a holder", func() bool { n = f.holder(except); return n != nil })
	return n
}

// epoch returns the epoch in use, and false while ranks differ, hold, or have
// a map that is not in use yet.
func (f *fixture) epoch() (uint64, bool) {
	epochs := f.ranks.Epochs()
	for _, e := range epochs {
		if e != epochs[0] {
			return 0, false
		}
	}
	for id := range members {
		for _, r := range f.ranks.State(id).Ranks {
			if r.State.Hold != nil || r.State.Step < r.State.ActiveFrom {
				return 0, false
			}
		}
	}
	return epochs[0], true
}

// drift makes other experts popular, so that a new plan is worth it.
func (f *fixture) drift() {
	next := 3 * int(f.ranks.Step()%5+1)
	p := standin.DriftingPopularity(expertCount, 1, 1<<40)
	f.ranks.SetPopularity(func(step uint64, layer, expert int) float64 {
		return p(step, layer, expert+next)
	})
}

// goesOn requires another finished switch, further steps, and that no step was
// mixed.
func (f *fixture) goesOn() time.Duration {
	f.t.Helper()
	began := time.Now()
	epoch, step := f.ranks.Epochs()[0], f.ranks.Step()
	f.drift()
	f.eventually("another switch", func() bool {
		now, settled := f.epoch()
		return settled && now > epoch
	})
	f.eventually("further steps", func() bool { return f.ranks.Step() > step+20 })
	require.Zero(f.t, f.ranks.MixedSteps(), "mixed steps")
	return time.Since(began)
}
