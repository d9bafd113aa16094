package servers

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// fleet is a set of sidecars under an injected clock, with one instance list
// that never changes.
type fleet struct {
	now     time.Time
	leaving map[string]bool
	dead    map[string]bool
	load    map[string]uint32
	servers *Servers
	prober  *Prober
	// gap is the time between two picks.
	gap time.Duration
}

func newFleet(policy string, seed uint64, count int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), leaving: map[string]bool{}, dead: map[string]bool{}, load: map[string]uint32{},
	}
	var list []infra.Instance
	for i := range count {
		list = append(list, infra.Instance{
			ID: "s" + strconv.Itoa(i), Role: infra.RoleBackend, Service: "desk",
			FailureDomain: "d" + strconv.Itoa(i%2), State: infra.StateLive,
		})
	}
	f.servers = New(Config{
		Policy: policy, FailureDomain: "d0", Membership: membership.DefaultConfig(),
		Rand:         rand.New(rand.NewPCG(seed, 0)),
		Now:          func() time.Time { return f.now },
		InstanceList: func() *[]infra.Instance { return &list },
	})
	f.prober = NewProber(f.servers, f.probe)
	return f
}

func (f *fleet) probe(_ context.Context, server infra.Instance) (*pb.ProbeResponse, error) {
	if f.dead[server.ID] {
		return nil, errors.New("connection refused")
	}
	return &pb.ProbeResponse{Load: &pb.Load{
		Incarnation: server.ID, Leaving: f.leaving[server.ID], InFlight: f.load[server.ID],
		LatencyUs: uint64(f.load[server.ID]) * 1000,
	}}, nil
}

// pass runs the prober over a time in steps of its tick.
func (f *fleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(probeTick) {
		<-f.prober.start(context.Background(), f.servers.due())
	}
}

// pick makes n picks that each end at once, and counts them by server.
func (f *fleet) pick(t *testing.T, n int, r Request) map[string]int {
	t.Helper()
	r.Service = "desk"
	counts := make(map[string]int)
	for range n {
		<-f.prober.start(context.Background(), f.servers.probesFor(r))
		server, err := f.servers.Pick(r)
		require.NoError(t, err)
		f.servers.EndAttempt(server)
		counts[server.ID]++
		f.now = f.now.Add(f.gap)
	}
	return counts
}

// Guards against new work for a server that leaves or is dead while the
// instance list is frozen and still shows it as live.
func TestFrozenListKeepsNoLeavingOrDeadServer(t *testing.T) {
	for _, policy := range []string{DefaultPolicy, "round_robin"} {
		f := newFleet(policy, 1, 4)
		f.pass(time.Second)
		f.leaving["s0"], f.dead["s2"] = true, true
		f.pass(2 * time.Second)
		counts := f.pick(t, 50, Request{})
		require.Zero(t, counts["s0"], policy)
		require.Zero(t, counts["s2"], policy)
		delete(f.dead, "s2")
		f.pass(3 * time.Second)
		require.NotZero(t, f.pick(t, 50, Request{})["s2"], "a server that came back gets work again")
	}
}

// Guards against a request that fails because the only usable server failed it,
// although a suspect one is left.
func TestSuspectServerIsTheLastResort(t *testing.T) {
	f := newFleet(DefaultPolicy, 1, 2)
	f.pass(time.Second)
	first, err := f.servers.Pick(Request{Service: "desk"})
	require.NoError(t, err)
	other := map[string]string{"s0": "s1", "s1": "s0"}[first.ID]
	f.servers.RecordConnectionFailure(infra.Instance{ID: other, Service: "desk"}, f.now, false)
	server, err := f.servers.Pick(Request{Service: "desk", Tried: []string{first.ID}})
	require.NoError(t, err)
	require.Equal(t, other, server.ID)
	_, err = f.servers.Pick(Request{Service: "desk", Tried: []string{"s0", "s1"}})
	require.True(t, errkind.Is(err, errkind.NoBackendServer))
}

// Guards against a dead backend server beside a live sidecar that attracts all
// requests because it fails them quickly.
func TestServerWithoutBackendIsAvoidedForAWhile(t *testing.T) {
	f := newFleet("round_robin", 1, 2)
	f.pass(time.Second)
	f.servers.MarkBackendUnavailable(infra.Instance{ID: "s0", Service: "desk"})
	f.pass(unavailableHold / 2)
	require.Zero(t, f.pick(t, 10, Request{})["s0"])
	f.pass(unavailableHold)
	require.NotZero(t, f.pick(t, 10, Request{})["s0"])
}

// Guards against entries that send one booking key to different sidecars, so
// that the second send meets an outcome that was not read yet.
func TestBookingsFollowTheKeyAtEveryEntry(t *testing.T) {
	a, b := newFleet(DefaultPolicy, 1, 6), newFleet(DefaultPolicy, 2, 6)
	a.pass(time.Second)
	b.pass(time.Second)
	used := make(map[string]bool)
	for i := range 40 {
		r := Request{Service: "desk", IdempotencyKey: strconv.Itoa(i)}
		first, err := a.servers.Pick(r)
		require.NoError(t, err)
		second, err := b.servers.Pick(r)
		require.NoError(t, err)
		require.Equal(t, first.ID, second.ID)
		used[first.ID] = true
	}
	require.Len(t, used, 6)
}

// Guards against a policy stack without one of its parts: prefix affinity, the
// preference for the own failure domain, or the load from probes.
func TestPolicyStack(t *testing.T) {
	f := newFleet(DefaultPolicy, 1, 8)
	for i := range 8 {
		f.load["s"+strconv.Itoa(i)] = 10 // room below the bound of the affinity
	}
	// Requests that were sent since the last report count as in flight, so
	// the picks leave time for probes within their rate.
	f.gap = 250 * time.Millisecond
	f.pass(time.Second)
	require.Len(t, f.pick(t, 40, Request{Prefix: 7}), 1, "one prefix stays at one server")

	local := newFleet("probe_based+domain", 1, 8)
	local.pass(time.Second)
	for id := range local.pick(t, 40, Request{}) {
		require.Contains(t, []string{"s0", "s2", "s4", "s6"}, id)
	}

	loaded := newFleet(DefaultPolicy, 1, 4)
	loaded.load["s0"] = 100
	loaded.gap = f.gap
	loaded.pass(time.Second)
	require.Less(t, loaded.pick(t, 100, Request{})["s0"], 10)
}

// Guards against a setting that selects another policy than it names.
func TestSettingNamesThePolicy(t *testing.T) {
	for _, name := range []string{
		DefaultPolicy, "probe_based+domain", "power_of_two+domain", "least_reported+domain", "round_robin",
	} {
		require.Equal(t, name, newPolicy(name, "d0").Name())
	}
}

// Guards against a server that answers probes, fails each request and still
// gets work, and against one that is avoided because of errors that say nothing
// about it.
func TestServerThatFailsRequestsIsEjected(t *testing.T) {
	f := newFleet("round_robin", 1, 4)
	f.pass(time.Second)
	bad := infra.Instance{ID: "s1"}
	for range 20 {
		f.servers.RecordRequestFailure(bad, errkind.QueueFull)
		f.servers.RecordRequestFailure(bad, errkind.LogUnavailable)
	}
	require.Positive(t, f.pick(t, 40, Request{})["s1"])
	for range membership.DefaultOutlierConfig().ConsecutiveFailures {
		f.servers.RecordRequestFailure(bad, errkind.BackendFailed)
	}
	require.Zero(t, f.pick(t, 40, Request{})["s1"])
	f.pass(2 * membership.DefaultOutlierConfig().BaseEjectionTime)
	require.Positive(t, f.pick(t, 40, Request{})["s1"])
}

// Guards against a suspect that crashes another server through each entry.
func TestSuspectsFollowTheirHashAtEveryEntry(t *testing.T) {
	a, b := newFleet("round_robin", 1, 6), newFleet("round_robin", 2, 6)
	a.pass(time.Second)
	b.pass(time.Second)
	b.pick(t, 1, Request{}) // the two are at different places of their rounds
	used := make(map[string]bool)
	for i := range 40 {
		r := Request{Service: "desk", SuspectHash: strconv.Itoa(i)}
		first, err := a.servers.Pick(r)
		require.NoError(t, err)
		second, err := b.servers.Pick(r)
		require.NoError(t, err)
		require.Equal(t, first.ID, second.ID)
		used[first.ID] = true
	}
	require.Len(t, used, 6)
}
