package groupcontrol_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/infra"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/internal/memnet"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/groupcontrol"
	"github.com/filbertmux/filbertmux/rankgroup/leaselog"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

const (
	members        = 4
	ranksPerMember = 2
	layers         = 2
	expertCount    = 16
	stepTime       = 10 * time.Millisecond
	// latency is the time of a message in one direction, as between failure
	// domains.
	latency = 500 * time.Microsecond
	// planEvery is the interval of the planner.
	planEvery = 200 * time.Millisecond

	leaseTTL    = 2 * time.Second
	leaseRenew  = 400 * time.Millisecond
	leaseMargin = 300 * time.Millisecond

	// holderWithin bounds the time to the next holder: the lease of the last
	// one ends, one candidate waits for a random part of the margin, and a
	// claim that was too early is repeated.
	holderWithin = leaseTTL + leaseMargin + leaseRenew
	// callTimeout and lead are settings of the daemons.
	callTimeout = 2 * time.Second
	lead        = 270 * time.Millisecond
	// settledWithin bounds the time in which an open switch is finished or
	// undone while its members run. A vote whose outcome is unknown is asked
	// for after 150 ms, and the promised step is up to lead away.
	settledWithin = lead + 150*time.Millisecond
	// stagedWithin bounds the time in which one member after the other
	// fetches the weights of a plan.
	stagedWithin = 100 * time.Millisecond
	// switchWithin bounds a switch after a drift: the planner sees the drift
	// within four polls.
	switchWithin = 4*planEvery + stagedWithin + settledWithin

	// exchanged bounds an exchange of a few messages.
	exchanged = 20 * latency

	// pollEvery is the interval at which a test looks at a condition.
	// pollBeforeNews is below the latency, so that the test sees a state ahead
	// of the members.
	pollEvery      = 2 * time.Millisecond
	pollBeforeNews = latency / 5

	platformAddress = "platform:80"
)

// gate stops the traffic of a paused process. Requests that were on their way
// are sent after the pause, even if their sender gave up.
type gate struct {
	transport http.RoundTripper
	requests  sync.WaitGroup

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
	g.requests.Go(func() {
		g.wait(ofHolder(r, body))
		time.Sleep(latency)
		resp, err := g.transport.RoundTrip(late)
		if err == nil {
			answer, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			resp.Body = io.NopCloser(bytes.NewReader(answer))
			if !strings.HasPrefix(r.URL.Path, rankapi.RanksPath) && !strings.HasPrefix(r.URL.Path, infra.WeightPath) {
				g.count(len(body) + len(answer) + headerBytes(r.Header) + headerBytes(resp.Header))
			}
			time.Sleep(latency)
		}
		done <- result{resp, err}
	})
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
	if strings.HasPrefix(r.URL.Path, infra.StreamPath) {
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
	id   mapswitch.MemberID
	gate *gate
	// backend and front are the addresses of the ranks and of the sidecar.
	backend string
	front   string

	mu      sync.Mutex
	control *groupcontrol.Controller // nil while no sidecar runs
	handler http.Handler             // of control
	kill    func()
}

// ServeHTTP passes a request to the sidecar that runs at this place.
func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.gate.wait(false)
	n.mu.Lock()
	h := n.handler
	n.mu.Unlock()
	if h == nil {
		http.Error(w, "no sidecar", http.StatusServiceUnavailable)
		return
	}
	n.gate.count(int(r.ContentLength) + headerBytes(r.Header))
	h.ServeHTTP(w, r)
}

func (n *node) running() *groupcontrol.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control
}

type fixture struct {
	t        *testing.T
	platform *standin.Platform
	network  *memnet.Network
	ranks    *standin.RankGroup
	nodes    []*node
	starts   uint64
	drifts   int
	poll     time.Duration
	lease    leaselog.Settings
	adjust   func(groupcontrol.Options) groupcontrol.Options
}

type rankOption func(*standin.RankGroupConfig)

// inBubble runs a test in virtual time, in which a machine with other load
// cannot make a message late.
func inBubble(t *testing.T, test func(f *fixture), options ...rankOption) {
	synctest.Test(t, func(t *testing.T) { test(newFixture(t, options...)) })
}

// newFixture starts a group whose first experts are the most popular ones. No
// backend server checks tokens.
func newFixture(t *testing.T, options ...rankOption) *fixture {
	cfg := standin.RankGroupConfig{
		Replicas: members, RanksPerReplica: ranksPerMember, Layers: layers, Experts: expertCount, SlotsPerRank: 3,
		StepTime: stepTime, Seed: 1, CountIntervalSteps: 5, Popularity: standin.DriftingPopularity(expertCount, 1, 1<<40),
	}
	for _, o := range options {
		o(&cfg)
	}
	ranks, err := standin.NewRankGroup(cfg)
	require.NoError(t, err)
	f := &fixture{
		t: t, ranks: ranks, network: memnet.New(), poll: pollEvery,
		platform: standin.NewPlatform(standin.PlatformConfig{}),
	}
	f.adjust = func(o groupcontrol.Options) groupcontrol.Options { return o }
	f.lease = leaselog.DefaultSettings()
	f.lease.Lease.TTL, f.lease.Lease.RenewInterval, f.lease.Lease.SafetyMargin = leaseTTL, leaseRenew, leaseMargin
	f.lease.Lease.MaxViewAge, f.lease.ReadWait = leaseTTL, 100*time.Millisecond
	f.serve(platformAddress, f.platform)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = ranks.Run(ctx) }()
	for id := range members {
		transport := f.network.Transport()
		t.Cleanup(transport.CloseIdleConnections)
		n := &node{
			id: mapswitch.MemberID(id), gate: &gate{transport: transport},
			backend: "ranks-" + strconv.Itoa(id) + ":80", front: "sidecar-" + strconv.Itoa(id) + ":80",
		}
		f.serve(n.backend, ranks.Handler(id))
		f.serve(n.front, n)
		t.Cleanup(func() {
			n.gate.resume()
			n.gate.requests.Wait()
		})
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *fixture) serve(address string, h http.Handler) {
	stop, err := f.network.Serve(address, h)
	require.NoError(f.t, err)
	f.t.Cleanup(stop)
}

func (f *fixture) startAll() {
	for _, n := range f.nodes {
		f.start(n)
	}
}

type fixedTable struct{}

func (fixedTable) Offset() infra.Offset { return 7 }

func (fixedTable) Learn(infra.Offset) {}

func (f *fixture) options(n *node, lease groupcontrol.LeaseClient, client *http.Client) groupcontrol.Options {
	o := groupcontrol.Options{
		Group: "g", MemberID: n.id, MemberCount: members, Incarnation: f.starts,
		FailureDomain: "domain-" + strconv.Itoa(int(n.id)), Model: "m", RankURL: "http://" + n.backend,
		PeerClient: client, BackendClient: client, Lease: lease, Table: fixedTable{}, Log: zerolog.Nop(),
		PlannerWeights: func() (experts.Weights, bool) { return experts.Weights{Skew: 1, Cost: 1}, true },
		Addresses: func(id mapswitch.MemberID) []string {
			return []string{f.nodes[id].front}
		},
	}.WithDefaults()
	for i := range ranksPerMember {
		o.Ranks = append(o.Ranks, mapswitch.RankID(int(n.id)*ranksPerMember+i))
	}
	o.Timing.PlanInterval = planEvery
	o.CoordinatorSettings.StepTime = stepTime
	o.CoordinatorSettings.PollInterval = 200 * time.Millisecond
	o.PlannerSettings.StepTime, o.PlannerSettings.MoveCost = stepTime, time.Millisecond
	o.PlannerSettings.MinInterval, o.PlannerSettings.StoreRate = 300*time.Millisecond, 1000
	return f.adjust(o)
}

// start starts a sidecar process at a place.
func (f *fixture) start(n *node) {
	f.starts++
	client := &http.Client{Transport: n.gate}
	store, err := infra.NewHTTPClient("http://"+platformAddress, client)
	require.NoError(f.t, err)
	lease := leaselog.New(store, strconv.FormatUint(f.starts, 10), time.Now, rand.New(rand.NewPCG(f.starts, 0)), f.lease)
	o := f.options(n, lease, client)
	o.WeightStore = store
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

func (n *node) set(c *groupcontrol.Controller, kill func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.control, n.handler, n.kill = c, nil, kill
	if c != nil {
		_, n.handler = filbertmuxv1connect.NewGroupServiceHandler(c)
	}
}

// stop kills the sidecar at a place.
func (n *node) stop() {
	n.mu.Lock()
	kill := n.kill
	n.mu.Unlock()
	kill()
}

// eventually waits for a condition that has to hold within a virtual time.
func (f *fixture) eventually(what string, within time.Duration, ok func() bool) {
	f.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > within {
			require.FailNow(f.t, "not reached: "+what, "within %s: epochs %v, step %d, holding %d, %+v",
				within, f.ranks.Epochs(), f.ranks.Step(), f.ranks.HoldingRanks(), f.stats())
		}
		time.Sleep(f.poll)
	}
	f.t.Logf("%s after %s", what, time.Since(began))
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
		if c := n.running(); n != except && c != nil && c.Stats().IsCoordinator {
			return n
		}
	}
	return nil
}

func (f *fixture) awaitHolder(except *node, within time.Duration) *node {
	f.t.Helper()
	var n *node
	f.eventually("a holder", within, func() bool { n = f.holder(except); return n != nil })
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
		for _, r := range f.ranks.RankStatuses(id).Ranks {
			if r.State.Hold != nil || r.State.Step < r.State.ActiveFrom {
				return 0, false
			}
		}
	}
	return epochs[0], true
}

// drift makes other experts popular, so that a new plan is worth it.
func (f *fixture) drift() {
	f.drifts++
	next := 3 * f.drifts
	p := standin.DriftingPopularity(expertCount, 1, 1<<40)
	f.ranks.SetPopularity(func(step uint64, layer, expert int) float64 {
		return p(step, layer, expert+next)
	})
}

// goesOn requires another finished switch within a time, further steps, and
// that no step was mixed.
func (f *fixture) goesOn(within time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	epoch, step := f.ranks.Epochs()[0], f.ranks.Step()
	f.drift()
	f.eventually("another switch", within, func() bool {
		now, settled := f.epoch()
		return settled && now > epoch
	})
	took := time.Since(began)
	f.eventually("further steps", 21*stepTime, func() bool { return f.ranks.Step() > step+20 })
	require.Zero(f.t, f.ranks.MixedSteps(), "mixed steps")
	return took
}
