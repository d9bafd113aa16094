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
	"github.com/filbertmux/filbertmux/config/table"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// fakeSidecars is a set of sidecars with an injected clock and an instance list that
// never changes.
type fakeSidecars struct {
	now     time.Time
	leaving map[string]bool
	dead    map[string]bool
	load    map[string]uint32
	servers *Servers
	prober  *Prober
	// pickInterval is the time between two picks.
	pickInterval time.Duration
	view         *table.View
}

func newFakeSidecars(policy string, seed uint64, count int) *fakeSidecars {
	f := &fakeSidecars{
		now: time.Unix(1000, 0), leaving: map[string]bool{}, dead: map[string]bool{}, load: map[string]uint32{},
		view: table.NewState().View(),
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
		View:         func() *table.View { return f.view },
		InstanceList: func() *[]infra.Instance { return &list },
	})
	f.prober = NewProber(f.servers, f.probe)
	return f
}

func (f *fakeSidecars) probe(_ context.Context, server infra.Instance) (*pb.ProbeResponse, error) {
	if f.dead[server.ID] {
		return nil, errors.New("connection refused")
	}
	return &pb.ProbeResponse{Load: &pb.Load{
		Incarnation: server.ID, Leaving: f.leaving[server.ID], InFlight: f.load[server.ID],
		LatencyUs: uint64(f.load[server.ID]) * 1000,
	}}, nil
}

// advance advances the clock in steps of the probe interval and sends the due
// probes.
func (f *fakeSidecars) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(probeInterval) {
		<-f.prober.start(context.Background(), f.servers.dueProbes())
	}
}

// countPicks picks a server n times, ends each attempt at once, and returns the
// number of picks by server.
func (f *fakeSidecars) countPicks(t *testing.T, n int, r Request) map[string]int {
	t.Helper()
	r.Service = "desk"
	counts := make(map[string]int)
	for range n {
		<-f.prober.start(context.Background(), f.servers.policyProbes(r))
		server, err := f.servers.Pick(r)
		require.NoError(t, err)
		f.servers.EndAttempt(server)
		counts[server.ID]++
		f.now = f.now.Add(f.pickInterval)
	}
	return counts
}

// Guards against new requests for a leaving or dead server that a stale instance
// list still contains as live.
func TestLeavingAndDeadServersGetNoRequestsWithStaleList(t *testing.T) {
	for _, policy := range []string{DefaultPolicy, "round_robin"} {
		f := newFakeSidecars(policy, 1, 4)
		f.advance(time.Second)
		f.leaving["s0"], f.dead["s2"] = true, true
		f.advance(2 * time.Second)
		counts := f.countPicks(t, 50, Request{})
		require.Zero(t, counts["s0"], policy)
		require.Zero(t, counts["s2"], policy)
		delete(f.dead, "s2")
		f.advance(3 * time.Second)
		require.NotZero(t, f.countPicks(t, 50, Request{})["s2"], "a server that responds again gets requests")
	}
}

// Guards against a request that is not retried on a suspect server after the only
// usable server has failed it.
func TestSuspectServerIsUsedLast(t *testing.T) {
	f := newFakeSidecars(DefaultPolicy, 1, 2)
	f.advance(time.Second)
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

// Guards against a dead backend server with a live sidecar that attracts all
// requests because it fails them quickly.
func TestUnavailableBackendIsAvoidedTemporarily(t *testing.T) {
	f := newFakeSidecars("round_robin", 1, 2)
	f.advance(time.Second)
	f.servers.MarkBackendUnavailable(infra.Instance{ID: "s0", Service: "desk"})
	f.advance(backendUnavailableTimeout / 2)
	require.Zero(t, f.countPicks(t, 10, Request{})["s0"])
	f.advance(backendUnavailableTimeout)
	require.NotZero(t, f.countPicks(t, 10, Request{})["s0"])
}

// Guards against entries that send the same idempotency key to different sidecars:
// the second sidecar may not have read the outcome of the key yet.
func TestIdempotencyKeySelectsServerAtEveryEntry(t *testing.T) {
	a, b := newFakeSidecars(DefaultPolicy, 1, 6), newFakeSidecars(DefaultPolicy, 2, 6)
	a.advance(time.Second)
	b.advance(time.Second)
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

// Guards against a default policy that lacks one of its parts: prefix affinity, the
// preference for the entry's failure domain, or the load from probes.
func TestPolicyStack(t *testing.T) {
	f := newFakeSidecars(DefaultPolicy, 1, 8)
	for i := range 8 {
		f.load["s"+strconv.Itoa(i)] = 10 // low enough for prefix affinity
	}
	// Requests sent since the last load report count as in flight, so the interval
	// between picks leaves time for rate-limited probes.
	f.pickInterval = 250 * time.Millisecond
	f.advance(time.Second)
	require.Len(t, f.countPicks(t, 40, Request{Prefix: 7}), 1, "all requests with one prefix go to one server")

	localPolicy := newFakeSidecars("probe_based+domain", 1, 8)
	localPolicy.advance(time.Second)
	for id := range localPolicy.countPicks(t, 40, Request{}) {
		require.Contains(t, []string{"s0", "s2", "s4", "s6"}, id)
	}

	loaded := newFakeSidecars(DefaultPolicy, 1, 4)
	loaded.load["s0"] = 100
	loaded.pickInterval = f.pickInterval
	loaded.advance(time.Second)
	require.Less(t, loaded.countPicks(t, 100, Request{})["s0"], 10)
}

// Guards against a policy name that selects another policy.
func TestPolicyNames(t *testing.T) {
	for _, name := range []string{
		DefaultPolicy, "probe_based+domain", "power_of_two+domain", "least_reported+domain", "round_robin",
	} {
		require.Equal(t, name, newPolicy(name, "d0").Name())
	}
}

// Guards against a server that responds to probes, fails each request and still gets
// requests, and against a server that is ejected because of errors that it did not
// cause.
func TestServerThatFailsRequestsIsEjected(t *testing.T) {
	f := newFakeSidecars("round_robin", 1, 4)
	f.advance(time.Second)
	failing := infra.Instance{ID: "s1"}
	for range 20 {
		f.servers.RecordRequestFailure(failing, errkind.QueueFull)
		f.servers.RecordRequestFailure(failing, errkind.LogUnavailable)
	}
	require.Positive(t, f.countPicks(t, 40, Request{})["s1"])
	for range membership.DefaultOutlierConfig().ConsecutiveFailures {
		f.servers.RecordRequestFailure(failing, errkind.BackendFailed)
	}
	require.Zero(t, f.countPicks(t, 40, Request{})["s1"])
	f.advance(2 * membership.DefaultOutlierConfig().BaseEjectionTime)
	require.Positive(t, f.countPicks(t, 40, Request{})["s1"])
}

// Guards against a suspect request that crashes one server for each entry through
// which it is sent.
func TestSuspectHashSelectsServerAtEveryEntry(t *testing.T) {
	a, b := newFakeSidecars("round_robin", 1, 6), newFakeSidecars("round_robin", 2, 6)
	a.advance(time.Second)
	b.advance(time.Second)
	b.countPicks(t, 1, Request{}) // the round-robin positions of the two entries differ
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
