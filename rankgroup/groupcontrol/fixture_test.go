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
	memberCount    = 4
	ranksPerMember = 2
	layerCount     = 2
	expertCount    = 16
	stepTime       = 10 * time.Millisecond
	// latency is the one-way delay of a message, as between failure domains.
	latency      = 500 * time.Microsecond
	planInterval = 200 * time.Millisecond

	leaseTTL           = 2 * time.Second
	leaseRenewInterval = 400 * time.Millisecond
	leaseSafetyMargin  = 300 * time.Millisecond

	// takeOverTimeout bounds the time to the next coordinator: the old lease
	// expires, a candidate waits for a random part of the safety margin, and a
	// claim that was too early is repeated.
	takeOverTimeout = leaseTTL + leaseSafetyMargin + leaseRenewInterval
	// callTimeout and switchLead are those of the default settings.
	callTimeout = 2 * time.Second
	switchLead  = 270 * time.Millisecond
	// settleTimeout bounds the time in which an open switch is committed or
	// aborted while all members run. Missing votes are queried after 150 ms,
	// and the promised step is up to switchLead away.
	settleTimeout = switchLead + 150*time.Millisecond
	// stagingTimeout bounds the time in which the members stage the weights of
	// a plan one after the other.
	stagingTimeout = 100 * time.Millisecond
	// switchTimeout bounds the time from a shift of popularity to the end of
	// the switch. The planner detects the shift within four polls.
	switchTimeout = 4*planInterval + stagingTimeout + settleTimeout

	// exchangeTimeout bounds an exchange of a few messages.
	exchangeTimeout = 20 * latency

	// pollInterval is the interval at which a test checks a condition.
	// fastPollInterval is below the latency, so that the test sees a state
	// before the members do.
	pollInterval     = 2 * time.Millisecond
	fastPollInterval = latency / 5

	platformAddress = "platform:80"
)

// pausableTransport holds back the requests of a paused process. They are sent
// after the pause, even if the caller has given up.
type pausableTransport struct {
	transport http.RoundTripper
	requests  sync.WaitGroup

	mu      sync.Mutex
	resumed chan struct{} // nil unless paused
	// coordinatorOnly limits a pause to the commands of a coordinator and its
	// appends to the log.
	coordinatorOnly bool
	traffic         int64 // to and from other instances, with headers, without weights
}

func (t *pausableTransport) pause(coordinatorOnly bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumed, t.coordinatorOnly = make(chan struct{}), coordinatorOnly
}

func (t *pausableTransport) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumed != nil {
		close(t.resumed)
	}
	t.resumed = nil
}

// waitWhilePaused blocks while requests are paused, or only those of a
// coordinator if fromCoordinator is set.
func (t *pausableTransport) waitWhilePaused(fromCoordinator bool) {
	t.mu.Lock()
	resumed := t.resumed
	if t.coordinatorOnly && !fromCoordinator {
		resumed = nil
	}
	t.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// RoundTrip implements http.RoundTripper.
func (t *pausableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	forwarded := r.Clone(context.WithoutCancel(r.Context()))
	forwarded.Body = io.NopCloser(bytes.NewReader(body))
	type result struct {
		resp *http.Response
		err  error
	}
	done := make(chan result, 1)
	t.requests.Go(func() {
		t.waitWhilePaused(isFromCoordinator(r, body))
		time.Sleep(latency)
		resp, err := t.transport.RoundTrip(forwarded)
		if err == nil {
			answer, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			resp.Body = io.NopCloser(bytes.NewReader(answer))
			if !strings.HasPrefix(r.URL.Path, rankapi.RanksPath) && !strings.HasPrefix(r.URL.Path, infra.WeightPath) {
				t.addTraffic(len(body) + len(answer) + headerBytes(r.Header) + headerBytes(resp.Header))
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

func (t *pausableTransport) addTraffic(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.traffic += int64(n)
}

func (t *pausableTransport) trafficBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.traffic
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

// isFromCoordinator reports whether a request is a command of a coordinator or
// an append to the log.
func isFromCoordinator(r *http.Request, body []byte) bool {
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

// node is one member of the group. It outlives its sidecar processes.
type node struct {
	id        mapswitch.MemberID
	transport *pausableTransport
	// ranksAddress is the address of the rank API, address that of the sidecar.
	ranksAddress string
	address      string

	mu         sync.Mutex
	controller *groupcontrol.Controller // nil while no sidecar runs
	handler    http.Handler             // of controller
	kill       func()
}

// ServeHTTP passes a request to the running sidecar of this member.
func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.transport.waitWhilePaused(false)
	n.mu.Lock()
	h := n.handler
	n.mu.Unlock()
	if h == nil {
		http.Error(w, "no sidecar", http.StatusServiceUnavailable)
		return
	}
	n.transport.addTraffic(int(r.ContentLength) + headerBytes(r.Header))
	h.ServeHTTP(w, r)
}

func (n *node) running() *groupcontrol.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controller
}

type fixture struct {
	t                *testing.T
	platform         *standin.Platform
	network          *memnet.Network
	ranks            *standin.RankGroup
	nodes            []*node
	starts           uint64
	popularityShifts int
	pollInterval     time.Duration
	lease            leaselog.Settings
	adjustOptions    func(groupcontrol.Options) groupcontrol.Options
}

type rankOption func(*standin.RankGroupConfig)

// withFixture runs a test in virtual time, so that load on the host cannot delay
// messages.
func withFixture(t *testing.T, test func(f *fixture), options ...rankOption) {
	synctest.Test(t, func(t *testing.T) { test(newFixture(t, options...)) })
}

// newFixture starts the ranks of a group in which experts with low numbers are
// the most popular ones. No backend server checks tokens.
func newFixture(t *testing.T, options ...rankOption) *fixture {
	cfg := standin.RankGroupConfig{
		Replicas: memberCount, RanksPerReplica: ranksPerMember, Layers: layerCount, Experts: expertCount, SlotsPerRank: 3,
		StepTime: stepTime, Seed: 1, CountIntervalSteps: 5, Popularity: standin.DriftingPopularity(expertCount, 1, 1<<40),
	}
	for _, o := range options {
		o(&cfg)
	}
	ranks, err := standin.NewRankGroup(cfg)
	require.NoError(t, err)
	f := &fixture{
		t: t, ranks: ranks, network: memnet.New(), pollInterval: pollInterval,
		platform: standin.NewPlatform(standin.PlatformConfig{}),
	}
	f.adjustOptions = func(o groupcontrol.Options) groupcontrol.Options { return o }
	f.lease = leaselog.DefaultSettings()
	f.lease.Lease.TTL, f.lease.Lease.RenewInterval, f.lease.Lease.SafetyMargin = leaseTTL, leaseRenewInterval, leaseSafetyMargin
	f.lease.Lease.MaxViewAge, f.lease.ReadWait = leaseTTL, 100*time.Millisecond
	f.serve(platformAddress, f.platform)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = ranks.Run(ctx) }()
	for id := range memberCount {
		transport := f.network.Transport()
		t.Cleanup(transport.CloseIdleConnections)
		n := &node{
			id: mapswitch.MemberID(id), transport: &pausableTransport{transport: transport},
			ranksAddress: "ranks-" + strconv.Itoa(id) + ":80", address: "sidecar-" + strconv.Itoa(id) + ":80",
		}
		f.serve(n.ranksAddress, ranks.Handler(id))
		f.serve(n.address, n)
		t.Cleanup(func() {
			n.transport.resume()
			n.transport.requests.Wait()
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

func (f *fixture) startSidecars() {
	for _, n := range f.nodes {
		f.startSidecar(n)
	}
}

type fixedTable struct{}

func (fixedTable) Offset() infra.Offset { return 7 }

func (fixedTable) Learn(infra.Offset) {}

func (f *fixture) options(n *node, lease groupcontrol.LeaseClient, client *http.Client) groupcontrol.Options {
	o := groupcontrol.Options{
		Group: "g", MemberID: n.id, MemberCount: memberCount, Incarnation: f.starts,
		FailureDomain: "domain-" + strconv.Itoa(int(n.id)), Model: "m", RankURL: "http://" + n.ranksAddress,
		PeerClient: client, BackendClient: client, Lease: lease, Table: fixedTable{}, Log: zerolog.Nop(),
		PlannerWeights: func() (experts.Weights, bool) { return experts.Weights{Skew: 1, Cost: 1}, true },
		Addresses: func(id mapswitch.MemberID) []string {
			return []string{f.nodes[id].address}
		},
	}.WithDefaults()
	for i := range ranksPerMember {
		o.Ranks = append(o.Ranks, mapswitch.RankID(int(n.id)*ranksPerMember+i))
	}
	o.Timing.PlanInterval = planInterval
	o.CoordinatorSettings.StepTime = stepTime
	o.CoordinatorSettings.PollInterval = 200 * time.Millisecond
	o.PlannerSettings.StepTime, o.PlannerSettings.MoveCost = stepTime, time.Millisecond
	o.PlannerSettings.MinInterval, o.PlannerSettings.StoreRate = 300*time.Millisecond, 1000
	return f.adjustOptions(o)
}

// startSidecar starts a sidecar process of a member.
func (f *fixture) startSidecar(n *node) {
	f.starts++
	client := &http.Client{Transport: n.transport}
	store, err := infra.NewHTTPClient("http://"+platformAddress, client)
	require.NoError(f.t, err)
	lease := leaselog.New(store, strconv.FormatUint(f.starts, 10), time.Now, rand.New(rand.NewPCG(f.starts, 0)), f.lease)
	o := f.options(n, lease, client)
	o.WeightStore = store
	controller, err := groupcontrol.New(o)
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = controller.Run(ctx)
	}()
	kill := sync.OnceFunc(func() {
		n.setController(nil, nil)
		cancel()
		<-done
		// With the cancelled context, Close cannot release the lease.
		lease.Close(ctx)
	})
	n.setController(controller, kill)
	f.t.Cleanup(kill)
}

func (n *node) setController(c *groupcontrol.Controller, kill func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.controller, n.handler, n.kill = c, nil, kill
	if c != nil {
		_, n.handler = filbertmuxv1connect.NewGroupServiceHandler(c)
	}
}

// stop kills the sidecar process of the member.
func (n *node) stop() {
	n.mu.Lock()
	kill := n.kill
	n.mu.Unlock()
	kill()
}

// eventually waits for a condition that must hold within the given virtual time.
func (f *fixture) eventually(what string, within time.Duration, ok func() bool) {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > within {
			require.FailNow(f.t, "not reached: "+what, "within %s: epochs %v, step %d, holding %d, %+v",
				within, f.ranks.Epochs(), f.ranks.Step(), f.ranks.HoldingRanks(), f.stats())
		}
		time.Sleep(f.pollInterval)
	}
	f.t.Logf("%s after %s", what, time.Since(start))
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

// coordinator returns a node other than except that runs the coordinator, or
// nil.
func (f *fixture) coordinator(except *node) *node {
	for _, n := range f.nodes {
		if c := n.running(); n != except && c != nil && c.Stats().IsCoordinator {
			return n
		}
	}
	return nil
}

func (f *fixture) awaitCoordinator(except *node, within time.Duration) *node {
	f.t.Helper()
	var n *node
	f.eventually("a coordinator", within, func() bool { n = f.coordinator(except); return n != nil })
	return n
}

// settledEpoch returns the epoch in use. It reports false while ranks use
// different maps, hold, or have installed a map that is not in use yet.
func (f *fixture) settledEpoch() (uint64, bool) {
	epochs := f.ranks.Epochs()
	for _, e := range epochs {
		if e != epochs[0] {
			return 0, false
		}
	}
	for id := range memberCount {
		for _, r := range f.ranks.RankStatuses(id).Ranks {
			if r.State.Hold != nil || r.State.Step < r.State.ActiveFrom {
				return 0, false
			}
		}
	}
	return epochs[0], true
}

// shiftPopularity makes other experts popular, so that a new plan is worth its
// cost.
func (f *fixture) shiftPopularity() {
	f.popularityShifts++
	shift := 3 * f.popularityShifts
	p := standin.DriftingPopularity(expertCount, 1, 1<<40)
	f.ranks.SetPopularity(func(step uint64, layer, expert int) float64 {
		return p(step, layer, expert+shift)
	})
}

// requireNextSwitch shifts the popularity and requires another switch within the
// given time, further steps, and that no step ran on two maps. It returns the
// duration of the switch.
func (f *fixture) requireNextSwitch(within time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	epoch, step := f.ranks.Epochs()[0], f.ranks.Step()
	f.shiftPopularity()
	f.eventually("another switch", within, func() bool {
		now, settled := f.settledEpoch()
		return settled && now > epoch
	})
	elapsed := time.Since(start)
	f.eventually("further steps", 21*stepTime, func() bool { return f.ranks.Step() > step+20 })
	require.Zero(f.t, f.ranks.MixedSteps(), "mixed steps")
	return elapsed
}
