package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// zonedServers returns servers of both services in failure domains: the server zone-N is
// registered in the failure domain of that name. It waits until the gateway uses them.
func (f *fixture) zonedServers(domains ...string) map[string]*platformtest.Server {
	servers := make(map[string]*platformtest.Server)
	for _, domain := range domains {
		s := platformtest.NewServer(domain)
		f.t.Cleanup(s.Close)
		f.deploy.RegisterIn(domain, s.ID, platformtest.PlainService, s.Address())
		servers[domain] = s
		m := platformtest.NewServer("m-" + domain)
		f.t.Cleanup(m.Close)
		f.deploy.RegisterIn(domain, m.ID, platformtest.ModelService, m.Address())
		servers[m.ID] = m
	}
	f.eventually(func() bool {
		return len(f.gateway.state.UsableServers(platformtest.PlainService)) == len(domains) &&
			len(f.gateway.state.UsableServers(platformtest.ModelService)) == len(domains)
	})
	return servers
}

// evacuate asks for the evacuation of failure domains and waits until it is in force.
func (f *fixture) evacuate(domains ...string) {
	for _, domain := range domains {
		f.deploy.Evacuate(domain)
		f.eventually(func() bool { return f.gateway.evacuations.includes(domain) })
	}
}

// sendKinds sends a request of each kind, and requires success.
func (f *fixture) sendKinds(id string) {
	f.t.Helper()
	for _, path := range []string{lookupPath, bookingPath, openPath, streamPath} {
		resp := f.send(http.MethodPost, path, id)
		require.Equal(f.t, http.StatusOK, resp.status, path)
		require.True(f.t, resp.complete, path)
	}
}

// slowRoutes publishes a configuration whose requests may wait for seconds.
func (f *fixture) slowRoutes() {
	version := f.deploy.PublishConfig([]string{platformtest.Key}, platformtest.WithTimeout(20*time.Second, 10*time.Second))
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
}

// setPeerLoad sets the requests of other gateways on servers.
func (f *fixture) setPeerLoad(load map[string]int) {
	keys := make(map[loadshare.ServerKey]int)
	for server, n := range load {
		keys[loadshare.ServerKeyOf(server)] = n
	}
	for _, service := range []string{platformtest.PlainService, platformtest.ModelService} {
		f.gateway.services.get(service, f.gateway.state).setPeerLoad(clock.Now(), keys, 0)
	}
}

// fullLoad is a load that leaves a server neither a slot nor a place in its queue. halfLoad
// lets a gateway prefer other servers.
const (
	fullLoad = 5
	halfLoad = 2
)

// Guards against requests of any kind that reach an evacuated failure domain, and against
// servers that are not used again after their return.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2")
	f.setPeerLoad(map[string]int{"zone-1": halfLoad, "m-zone-1": halfLoad})
	f.eventually(func() bool {
		f.sendKinds("a")
		return servers["zone-2"].RequestCount() > 0 && servers["m-zone-2"].RequestCount() > 0
	})
	f.evacuate("zone-2")
	seen := servers["zone-2"].RequestCount() + servers["m-zone-2"].RequestCount()
	for n := range 20 {
		f.sendKinds(fmt.Sprintf("b%d", n))
	}
	require.Equal(t, seen, servers["zone-2"].RequestCount()+servers["m-zone-2"].RequestCount())
	require.True(t, f.logs.contains("failure domain evacuated", `"failure_domain":"zone-2"`, `"source":"store"`, `"servers":2`, `"in_flight":0`))

	f.deploy.Return("zone-2")
	f.eventually(func() bool {
		f.sendKinds("c")
		return servers["zone-2"].RequestCount() > 1 && servers["m-zone-2"].RequestCount() > 1
	})
	require.True(t, f.logs.contains("evacuation taken back", `"failure_domain":"zone-2"`))
}

// Guards against a retry, the rest of a stream, or a standby at an evacuated server because
// all others have been tried or are silent.
func TestLaterAttemptsAvoidEvacuatedDomain(t *testing.T) {
	const failing = platformtest.ResetBeforeResponse
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2")
	f.evacuate("zone-2")
	servers["zone-1"].SetBehaviours(failing, failing, failing)
	require.Equal(t, http.StatusBadGateway, f.send(http.MethodGet, lookupPath, "retry").status)

	servers["m-zone-1"].SetBehaviours(platformtest.TruncatedEvent, platformtest.TruncatedEvent)
	require.False(t, f.send(http.MethodPost, streamPath, "resumed").complete)

	f.keepActive(platformtest.ModelService)
	servers["m-zone-1"].SetBehaviours(platformtest.PausedStream)
	resp := f.send(http.MethodPost, streamPath, "standby")
	require.True(t, resp.complete)
	require.Equal(t, events(0), resp.body)

	servers["zone-1"].SetBehaviours(platformtest.PausedBody)
	require.True(t, f.send(http.MethodGet, lookupPath, "plain standby").complete)

	require.Zero(t, servers["zone-2"].RequestCount()+servers["m-zone-2"].RequestCount())
}

// Guards against a request that was queued before the evacuation and starts there
// afterwards.
func TestQueuedRequestsAvoidEvacuatedDomain(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2")
	f.slowRoutes()
	f.setPeerLoad(map[string]int{"zone-1": fullLoad, "zone-2": fullLoad})
	done := make(chan response, 1)
	go func() { done <- f.send(http.MethodPost, bookingPath, "queued", platformtest.WithDeadline("20000")) }()
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	queued := func() bool { _, _, waiting := svc.load(); return waiting == 1 }
	f.eventually(queued)
	f.evacuate("zone-2")
	f.setPeerLoad(map[string]int{"zone-1": fullLoad})
	require.True(t, queued())
	f.setPeerLoad(nil)
	require.Equal(t, http.StatusOK, (<-done).status)
	require.Equal(t, 1, servers["zone-1"].RequestCount())
	require.Zero(t, servers["zone-2"].RequestCount())
}

// Guards against a request that is sent to an evacuated server because it got its slot
// before the evacuation and waited for a connection, and against counting that as a failure
// of the server.
func TestEvacuationDuringWaitForConnection(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2")
	x := newWatchedExchangeOf(f, servers["zone-2"])
	f.evacuate("zone-2")
	err := x.run(t.Context(), t.Context())
	require.ErrorIs(t, err, errEvacuated)
	require.True(t, retry.IsRetryable(retry.Attempt{Err: err}))
	require.True(t, x.result(err).notServerFault)
	require.Zero(t, x.r.trace.sent)
	require.Zero(t, servers["zone-2"].RequestCount())
}

// newWatchedExchangeOf returns an exchange of a lookup that has a slot on a server.
func newWatchedExchangeOf(f *fixture, s *platformtest.Server) *exchange {
	server, ok := f.gateway.state.Server(s.ID)
	require.True(f.t, ok)
	hr, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+host+lookupPath, http.NoBody)
	require.NoError(f.t, err)
	platformtest.WithAttempt("a1")(hr.Header)
	now := clock.Now()
	r := &request{
		http: hr, index: f.gateway.state.Index(), service: platformtest.PlainService, arrived: now, deadline: now.Add(5 * time.Second),
		route: &fleet.Route{Kind: fleet.Idempotent, MaxAttempts: 2},
	}
	r.call.AttemptID = "a1"
	return newExchange(exchange{
		g: f.gateway, r: r, svc: f.gateway.services.get(platformtest.PlainService, f.gateway.state), server: server, startedAt: now,
		out: newResponseWriter(httptest.NewRecorder(), ""),
	})
}

// Guards against requests that are cut because their server is evacuated, and against
// operators who can't see when the last one has ended.
func TestRequestsInFlightEndDuringEvacuation(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2")
	f.slowRoutes()
	f.setPeerLoad(map[string]int{"zone-1": fullLoad})
	servers["zone-2"].SetBehaviours(platformtest.PausedBody, platformtest.PausedBody)
	done := make(chan response, 2)
	for _, path := range []string{lookupPath, bookingPath} {
		go func() { done <- f.send(http.MethodPost, path, "a", platformtest.WithDeadline("20000")) }()
	}
	f.eventually(func() bool { return servers["zone-2"].RequestCount() == 2 })
	f.evacuate("zone-2")
	require.True(t, f.logs.contains("failure domain evacuated", `"in_flight":2`))
	for range cap(done) {
		resp := <-done
		require.Equal(t, http.StatusOK, resp.status)
		require.True(t, resp.complete)
	}
	f.eventually(func() bool {
		return f.logs.contains("no more requests are in flight", `"failure_domain":"zone-2"`, `"after_ms"`)
	})
}

// Guards against a probe of a server in an evacuated failure domain.
func TestWatchdogProbesNoEvacuatedServer(t *testing.T) {
	s := platformtest.NewServer("probed")
	defer s.Close()
	x := newWatchedExchange(t, watchedKind{kind: fleet.Streaming, address: s.Address(), load: 4})
	x.server.FailureDomain = "zone-2"
	x.g.evacuations.setDomains([]string{"zone-2"})
	require.False(t, waitFor(func() bool {
		x.check(false, true)
		return x.hasStandby()
	}))
	require.Zero(t, s.RequestCount())
}

// Guards against requests to the second one of two evacuated domains, against a refusal
// without the reason when no server is left, and against requests that are still refused
// after the return of one domain.
func TestTwoDomainsAndTheLastServer(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2", "zone-3")
	f.setPeerLoad(map[string]int{"zone-2": halfLoad, "m-zone-2": halfLoad})
	f.evacuate("zone-1", "zone-3")
	seen := servers["zone-1"].RequestCount() + servers["zone-3"].RequestCount()
	for n := range 10 {
		f.sendKinds(fmt.Sprintf("a%d", n))
	}
	f.evacuate("zone-2")
	resp := f.send(http.MethodPost, bookingPath, "b")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.NotEmpty(t, resp.header.Get("Retry-After"))
	require.True(t, f.logs.contains(`"request_id":"b"`, "evacuated failure domains (zone-1, zone-2, zone-3)", `"execution":"not_run"`))
	require.Equal(t, seen, servers["zone-1"].RequestCount()+servers["zone-3"].RequestCount())

	f.deploy.Return("zone-3")
	f.eventually(func() bool { return f.send(http.MethodPost, bookingPath, "c").status == http.StatusOK })
	require.Equal(t, 1, servers["zone-3"].RequestCount())
}

// Guards against a gateway that sends requests to an evacuated failure domain while it
// starts, and against one that doesn't know what was asked for long ago.
func TestRestartDuringEvacuation(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2")
	f.evacuate("zone-2")
	f.store.Trim(platform.ConfigTopic)
	seen := servers["zone-2"].RequestCount()
	f.startGateway()
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.PlainService)) == 2 })
	f.setPeerLoad(map[string]int{"zone-1": halfLoad})
	for served := 0; served < 20; {
		// While the gateway reads the store it refuses.
		if f.send(http.MethodPost, bookingPath, "a").status == http.StatusOK {
			served++
		}
	}
	require.Equal(t, seen, servers["zone-2"].RequestCount())
}

// Guards against a gateway that serves requests by its first configuration before it knows
// the evacuations.
func TestEvacuationsAreKnownBeforeRequestsAreServed(t *testing.T) {
	f := newFixture(t)
	f.evacuate("zone-2")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	state := NewClusterState()
	served, known := true, 0
	err := FollowConfig(ctx, platform.NewStoreClient(f.store.Address()), state, zerolog.Nop(), func(u topicUpdate) {
		served, known = state.Index() != nil, len(u.records)
		cancel()
	})
	require.NoError(t, err)
	require.False(t, served)
	require.Equal(t, 2, known, "the configuration and the evacuation")
}

// Guards against an evacuation that never ends, or never begins, because it was asked for
// while the store was away and its history is gone since.
func TestEvacuationsInLostHistory(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2", "zone-3")
	f.setPeerLoad(map[string]int{"zone-1": halfLoad, "m-zone-1": halfLoad})
	f.evacuate("zone-2")
	f.store.SetFault(platformtest.Unavailable)
	f.eventually(func() bool { return f.logs.contains(`"topic":"keyed.op"`, "store lost") })
	f.deploy.Return("zone-2")
	f.deploy.Evacuate("zone-3")
	f.store.Trim(platform.ConfigTopic)
	require.True(t, f.gateway.evacuations.includes("zone-2"), "it holds while the store is away")
	f.store.SetFault(platformtest.NoFault)
	f.eventually(func() bool { return f.gateway.evacuations.includes("zone-3") })
	seen := servers["zone-3"].RequestCount()
	f.eventually(func() bool {
		f.sendKinds("a")
		return servers["zone-2"].RequestCount() > 0
	})
	require.Equal(t, seen, servers["zone-3"].RequestCount())
}

// Guards against a failure domain that is emptied by a record that says nothing or names no
// known one, and against a configuration that is no longer applied because of it.
func TestInvalidEvacuationsAreIgnored(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2")
	// The gateway prefers its own domain while the loads are equal.
	f.setPeerLoad(map[string]int{"zone-1": halfLoad, "m-zone-1": halfLoad})
	f.deploy.EvacuateUnreadably("zone-2")
	f.deploy.Evacuate("nowhere")
	f.deploy.Evacuate("")
	version := f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	require.Equal(t, 2, f.countLogs("record of an evacuation can't be read"))
	require.True(t, f.logs.contains("unknown failure domain", `"failure_domain":"nowhere"`))
	f.eventually(func() bool {
		f.sendKinds("a")
		return servers["zone-2"].RequestCount() > 0
	})
}

// Guards against an ejection of servers that fail that spares none of those that are left:
// servers without requests don't prove that the others are at fault.
func TestEvacuatedServersAreNoProof(t *testing.T) {
	f := newFixture(t)
	f.zonedServers("zone-1", "zone-2", "zone-3")
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	f.evacuate("zone-2", "zone-3")
	for range 10 {
		svc.release(clock.Now(), attemptResult{server: "zone-1", err: errkind.New(errkind.BackendFailed, "x")})
	}
	f.gateway.services.refreshServers(f.gateway.state)
	servers, _ := svc.domainLoad("zone-1")
	require.Equal(t, 1, servers)
}
