package rankagent

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/rankagent/agentconn"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	ranks     = 3
	layers    = 2
	perLayer  = 6
	agentPort = 39871
	rankPort  = 39872
)

// fixture is a group of three ranks with their agents. Each rank has its own loopback
// address.
type fixture struct {
	t      *testing.T
	store  *platformtest.Store
	group  *platformtest.Group
	agents []*testAgent
}

// testAgent is a running agent.
type testAgent struct {
	agent    *Agent
	election *election
	stop     func()
}

// hostOf returns the address of a rank. The agents of a group share a port, so their
// addresses differ.
func hostOf(rank int) string { return platformtest.LoopbackHost(rank + 1) }

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: platformtest.NewStore(), group: platformtest.NewGroup(ranks, layers, perLayer)}
	d := &platformtest.Deployment{Store: f.store, Host: "h.example"}
	d.PublishConfig([]string{platformtest.Key}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	for r := range ranks {
		address, stop := f.group.Serve(r, hostOf(r), rankPort)
		t.Cleanup(stop)
		d.RegisterRank(fmt.Sprintf("i-%d", r), address, r, ranks)
	}
	for r := range ranks {
		f.agents = append(f.agents, f.startAgent(r))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.runSteps(ctx)
	}()
	t.Cleanup(func() {
		for _, a := range f.agents {
			a.stop()
		}
		cancel()
		<-done
		f.store.Close()
		require.Empty(t, f.group.Violations())
	})
	return f
}

// runSteps runs the group at about 50 steps per second. Experts 0 and 3 receive most
// of the load.
func (f *fixture) runSteps(ctx context.Context) {
	for ctx.Err() == nil {
		if f.group.StartStep() {
			for r := range ranks {
				for i := range layers * perLayer {
					f.group.AddCount(r, i, 4000)
				}
				f.group.AddCount(r, 0, 40_000)
				f.group.AddCount(r, 3, 30_000)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startAgent starts the agent of a rank with the same tasks as the module.
func (f *fixture) startAgent(r int) *testAgent {
	client := platform.NewStoreClient(f.store.Address())
	log := zerolog.Nop()
	rank := platform.NewRankClient(fmt.Sprintf("%s:%d", hostOf(r), rankPort))
	o := Options{Log: log, Settings: platform.Settings{
		IP: hostOf(r), PeerPort: agentPort, BackendService: platformtest.ModelService,
	}}
	a := &testAgent{agent: NewAgent(rank, log), election: newElection(client, hostOf(r), log)}
	stopServer := serveTestAgent(a.agent, fmt.Sprintf("%s:%d", hostOf(r), agentPort))
	ctx, cancel := context.WithCancel(context.Background())
	h := &holder{group: newGroupClient(o, a.agent, client), agent: a.agent, election: a.election, log: log, planner: newPlanner()}
	watcher := &rankWatcher{
		agent: a.agent, rank: rank, states: make(chan platform.RankState, 1),
		slowdownReporter: &slowdownReporter{store: client, log: log},
	}
	recovery := &recoverer{agent: a.agent, group: newGroupClient(o, a.agent, client), log: log, states: watcher.states}
	tasks := []func(){
		func() { _ = h.run(ctx) },
		func() { _ = watcher.watch(ctx) },
		func() { _ = recovery.run(ctx) },
		func() {
			_ = a.election.run(ctx, a.agent.candidate)
		},
	}
	done := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() {
			task()
			done <- struct{}{}
		}()
	}
	a.stop = func() {
		cancel()
		stopServer()
		for range tasks {
			<-done
		}
		a.stop = func() {}
	}
	return a
}

// serveTestAgent serves the calls of other agents and returns a function that stops it.
func serveTestAgent(agent *Agent, address string) (stop func()) {
	calls := agentconn.NewServer(agent)
	server := &http.Server{Addr: address, Handler: agentHandler(agent, calls), ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.ListenAndServe()
	}()
	return func() {
		calls.Close()
		_ = server.Close()
		<-done
	}
}

func (f *fixture) inForce() int64 { return f.group.Report(0).InForce }

func (f *fixture) eventually(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, 15*time.Second, 10*time.Millisecond)
}

func (f *fixture) holder() int {
	for r, a := range f.agents {
		if _, ok := a.election.token(); ok {
			return r
		}
	}
	return -1
}

// Guards against a group that stays on map 0, a switch that doesn't end, and a group
// that gets no new map after it has restarted.
func TestGroupSwitchesMaps(t *testing.T) {
	f := newFixture(t)
	f.eventually(func() bool { return f.inForce() > 0 && f.group.Report(0).HoldStep == 0 })
	f.group.Reform()
	require.Zero(t, f.inForce())
	f.eventually(func() bool { return f.inForce() > 0 })
}

// Guards against a group that stays held when the holder's instance freezes right
// after the hold order.
func TestFrozenHolder(t *testing.T) {
	f := newFixture(t)
	f.eventually(func() bool { return f.holder() >= 0 && f.inForce() > 0 })
	frozen := f.holder()
	f.agents[frozen].stop()
	f.group.SetUnreachable(frozen, true)
	holdRank := (frozen + 1) % ranks
	held := f.group.Report(holdRank).Step + 3
	status := f.group.Order(switchover.Order{Rank: holdRank, Kind: switchover.Hold, Epoch: 1, Step: held}, 1<<40, nil)
	require.Equal(t, http.StatusOK, status)
	// The agents learn the issuer of the last order from the orders that they
	// forward. The hold order of this test does not pass an agent.
	for r, a := range f.agents {
		if r != frozen {
			a.agent.recordIssuer(1<<40, uint32(frozen))
		}
	}
	start := time.Now()
	f.eventually(func() bool { return f.group.Report(holdRank).Step >= held })
	require.Less(t, time.Since(start), 3*time.Second)
	f.group.SetUnreachable(frozen, false)
}

// Guards against an agent that can't release its group, because it read the members
// before all ranks had registered and doesn't read them again for a minute.
func TestRecovererFindsLateRanks(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	d := &platformtest.Deployment{Store: store, Host: "h.example"}
	d.PublishConfig([]string{platformtest.Key}, nil)
	d.RegisterRank("i-0", hostOf(0)+":1", 0, ranks)
	agent := NewAgent(nil, zerolog.Nop())
	agent.identity = identity{group: platformtest.GroupName, size: ranks}
	o := Options{Log: zerolog.Nop(), Settings: platform.Settings{PeerPort: agentPort, BackendService: platformtest.ModelService}}
	r := &recoverer{agent: agent, group: newGroupClient(o, agent, platform.NewStoreClient(store.Address())), log: zerolog.Nop()}
	r.refresh(t.Context())
	require.False(t, r.group.membersKnown())
	for i := 1; i < ranks; i++ {
		d.RegisterRank(fmt.Sprintf("i-%d", i), hostOf(i)+":1", i, ranks)
	}
	require.Eventually(t, func() bool {
		r.refresh(t.Context())
		return r.group.membersKnown()
	}, 3*incompleteRefreshInterval, incompleteRefreshInterval/10)
}

// Guards against a group that stays without a holder after the holder has stopped,
// and against two holders at a time.
func TestHolderStops(t *testing.T) {
	f := newFixture(t)
	f.eventually(func() bool { return f.holder() >= 0 })
	first := f.holder()
	f.agents[first].stop()
	f.eventually(func() bool { h := f.holder(); return h >= 0 && h != first })
}

// Guards against a map whose experts change when an order is encoded and decoded.
func TestOrderRoundTrip(t *testing.T) {
	topo := &experts.Topology{Experts: 4, SlotsPerRank: 3, Domains: []string{"a", "b"}}
	m := &experts.Map{Layers: []experts.Layer{{0, 1, experts.EmptySlot, 2, 3, 0}, {3, 2, 1, 0, experts.EmptySlot, experts.EmptySlot}}}
	o := switchover.Order{Rank: 1, Kind: switchover.Prepare, Epoch: 2, Version: 9, Map: m}
	encoded := encodeOrder("g", o, switchover.Holder{Token: 5, Rank: 1}, 5)
	sender := newMapSender()
	sender.add(o.Version, expertLists(topo, m))
	sender.encode(encoded, o.Rank, o.Version)
	decoded := decodeOrder(encoded)
	o.Map = nil
	require.Equal(t, o, decoded)
	require.Equal(t, mapdelta.Map{{{0, 1}, {0, 2, 3}}, {{1, 2, 3}, {0}}}, decodeLayers(encoded))
}

// Guards against an agent that restarts and then has its rank armed for a switch that
// it had cancelled before. Its rank doesn't check fencing tokens.
func TestRestartedAgentRefusesToArm(t *testing.T) {
	agent := NewAgent(nil, zerolog.Nop())
	state := platform.RankState{Group: "g", Size: ranks, Report: switchover.Report{Epoch: 2, Step: 10}}
	agent.updateIdentity(state)
	held := state.Report.Step + 1 + maxLeadSteps(ranks)
	arm := switchover.Order{Kind: switchover.Arm, Epoch: 2, Version: 5, Step: held}
	require.False(t, agent.admitOrder(arm))
	report := &pb.ReadRankResponse{Epoch: 2}
	agent.addOrderState(report)
	require.Equal(t, held, report.GetCancelledStep(), "the holder must learn that it has to cancel the switch")
	require.Zero(t, report.GetCancelledVersion())
	agent.admitOrder(switchover.Order{Kind: switchover.Prepare, Epoch: 2, Version: 9, CancelsStep: held})
	agent.recordAccepted(switchover.Order{Epoch: 2, Version: 9, CancelsStep: held})
	agent.addOrderState(report)
	require.EqualValues(t, 9, report.GetCancelledVersion())

	arm.Step++
	require.True(t, agent.admitOrder(arm), "a later switch")
	state.Report.Step = 100
	agent.updateIdentity(state)
	require.True(t, agent.admitOrder(arm), "only the start of the agent cancels switches")
	require.True(t, agent.admitOrder(switchover.Order{Kind: switchover.Arm, Epoch: 3, Step: 1}), "a later epoch")
}

// Guards against a map that an agent assembles wrongly from changes, and against an
// agent that never gets a map because it lacks the base of the changes.
func TestMapsAreSentAsChanges(t *testing.T) {
	sender, agent := newMapSender(), NewAgent(nil, zerolog.Nop())
	first := mapdelta.Map{{{0, 1}, {2, 3}}, {{1}, {0, 2, 3}}}
	second := mapdelta.Map{{{0, 1}, {1, 3}}, {{1, 3}, {0, 2}}}
	send := func(version int64, m mapdelta.Map) (*pb.OrderRankRequest, mapdelta.Map, error) {
		report := &pb.ReadRankResponse{}
		agent.addOrderState(report)
		sender.observe([]*pb.ReadRankResponse{report})
		sender.add(version, m)
		request := &pb.OrderRankRequest{Version: version, Kind: pb.RankOrderKind_RANK_ORDER_KIND_PREPARE}
		sender.encode(request, 0, version)
		received, err := agent.receiveMap(request)
		return request, received, err
	}
	request, received, err := send(7, first)
	require.NoError(t, err)
	require.NotEmpty(t, request.GetLayersRanks())
	require.Equal(t, first, received)

	request, received, err = send(8, second)
	require.NoError(t, err)
	require.Empty(t, request.GetLayersRanks())
	require.NotEmpty(t, request.GetChanges())
	require.Equal(t, second, received, "ranks that got the whole map compare the lists")

	// The agent has another map of the version than the holder believes.
	agent.knownMap = first
	_, _, err = send(9, first)
	require.Error(t, err)
	request, received, err = send(9, first)
	require.NoError(t, err)
	require.NotEmpty(t, request.GetLayersRanks())
	require.Equal(t, first, received)
}

// Guards against a new group whose first map is sent whole to all ranks, which takes
// seconds on a slow link, and against an agent of an earlier build that gets changes.
func TestFirstMapIsSentAsChanges(t *testing.T) {
	const ranks, layerExperts = 8, 32
	initial, err := mapdelta.Initial(2, ranks, layerExperts)
	require.NoError(t, err)
	target, err := initial.Apply([]mapdelta.Change{
		{Layer: 0, Rank: 3, Removed: mapdelta.None, Added: 2}, {Layer: 1, Rank: 0, Removed: 8, Added: 9}, {Layer: 1, Rank: 1, Removed: 9, Added: 8},
	})
	require.NoError(t, err)
	for _, accepts := range []bool{true, false} {
		sender, agent := newMapSender(), NewAgent(nil, zerolog.Nop())
		report := &pb.ReadRankResponse{}
		agent.addOrderState(report)
		report.AcceptsChanges = accepts
		sender.observe([]*pb.ReadRankResponse{report})
		sender.add(7, target)
		request := &pb.OrderRankRequest{Version: 7, Kind: pb.RankOrderKind_RANK_ORDER_KIND_PREPARE}
		sender.encode(request, 0, 7)
		require.Equal(t, accepts, len(request.GetLayersRanks()) == 0)
		received, err := agent.receiveMap(request)
		require.NoError(t, err)
		require.Equal(t, target, received)
	}
	_, err = NewAgent(nil, zerolog.Nop()).receiveMap(&pb.OrderRankRequest{Kind: pb.RankOrderKind_RANK_ORDER_KIND_PREPARE})
	require.Error(t, err, "a map is missing")
}

// Guards against an agent that ends, or takes an entry that another writer has left among
// the servers for a rank of its group.
func TestInvalidRegistrationsAreNoRanks(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	d := &platformtest.Deployment{Store: store, Host: "h.example"}
	d.PublishConfig([]string{platformtest.Key}, nil)
	d.RegisterRank("i-1", hostOf(1)+":1", 1, ranks)
	agent := NewAgent(nil, zerolog.Nop())
	agent.identity = identity{group: platformtest.GroupName, size: ranks}
	o := Options{Log: zerolog.Nop(), Settings: platform.Settings{PeerPort: agentPort, BackendService: platformtest.ModelService}}
	g := newGroupClient(o, agent, platform.NewStoreClient(store.Address()))
	for rank := range ranks {
		for name, entry := range platformtest.InvalidRegistrations(platformtest.ModelService, rank, ranks) {
			store.Put(platform.ServerTopic, fmt.Sprintf("z odd %d %.100s", rank, name), []byte(entry))
		}
	}
	d.RegisterRank("z-4", hostOf(4)+":1", ranks+1, 0)
	// A busy machine may take longer for a call to the store than the client waits.
	read := func() bool {
		g.refreshedAt = time.Time{}
		return g.refresh(t.Context(), false) == nil
	}
	require.Eventually(t, read, time.Minute, 10*time.Millisecond)
	require.False(t, g.membersKnown())
	require.Len(t, g.peers, 1)
	require.Equal(t, hostOf(1)+":1", g.peers[1].address)
}

// Guards against calls to the address that a rank had before its restart, because the store has
// executed an earlier write of it late.
func TestOlderRegistrationOfRank(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	agent := NewAgent(nil, zerolog.Nop())
	agent.identity = identity{size: ranks}
	o := Options{Log: zerolog.Nop(), Settings: platform.Settings{PeerPort: agentPort, BackendService: platformtest.ModelService}}
	g := newGroupClient(o, agent, platform.NewStoreClient(store.Address()))
	d := &platformtest.Deployment{Store: store}
	register := func(host int, p platformtest.Process) {
		d.RegisterProcess("i-1", platformtest.ModelService, hostOf(host)+":1", p)
		require.NoError(t, g.readPeers(t.Context()))
	}
	agent.identity.rank = 1
	register(1, platformtest.Process{StartedUnixMs: 1000, Sequence: 7})
	require.Equal(t, hostOf(1)+":1", g.peers[0].address)
	register(2, platformtest.Process{StartedUnixMs: 9000, Sequence: 1})
	require.Equal(t, hostOf(2)+":1", g.peers[0].address)
	register(1, platformtest.Process{StartedUnixMs: 1000, Sequence: 8})
	require.Equal(t, hostOf(2)+":1", g.peers[0].address)
}

// Guards against an agent that ends because the configuration states more layers than fit
// into its memory, and against one that plans with a configuration that no process can serve.
func TestConfigurationsWithoutPlannableMaps(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	logs := &bytes.Buffer{}
	o := Options{Log: zerolog.New(logs), Settings: platform.Settings{PeerPort: agentPort, BackendService: platformtest.ModelService}}
	g := newGroupClient(o, NewAgent(nil, zerolog.Nop()), platform.NewStoreClient(store.Address()))
	d := &platformtest.Deployment{Store: store, Host: "h.example", MaxHeaderBytes: math.MaxInt}
	d.PublishConfig(nil, nil)
	for range 2 {
		require.Error(t, g.readEngine(t.Context()))
	}
	require.Nil(t, g.engine)
	require.Equal(t, 1, strings.Count(logs.String(), "can't be decoded or served"), "once for each record")
	d.MaxHeaderBytes, d.ExpertLayers = 0, math.MaxInt
	d.PublishConfig(nil, nil)
	require.NoError(t, g.readEngine(t.Context()))
	require.NotNil(t, g.engine)
	require.Nil(t, g.engine.Experts)
	require.Contains(t, logs.String(), "exceed what can be planned")
	d.ExpertLayers = 0
	d.PublishConfig(nil, nil)
	require.NoError(t, g.readEngine(t.Context()))
	require.NotNil(t, g.engine.Experts)
}
