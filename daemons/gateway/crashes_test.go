package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// Guards against a poison request that crashes one server after another, and
// against refusing other requests of its caller.
func TestRequestThatCrashesServers(t *testing.T) {
	servers := make([]*platformtest.Server, 3)
	for i := range servers {
		servers[i] = platformtest.NewServer(fmt.Sprintf("s%d", i), platformtest.Crash)
		defer servers[i].Close()
	}
	f := newFixture(t, servers...)
	for n := 1; n <= len(servers); n++ {
		require.Equal(t, 502, f.send(http.MethodPost, bookingPath, "bad").status, "it may have run")
		f.eventually(func() bool { return f.countLogs("backend server lost with a request in flight") == n })
	}
	healthy := platformtest.NewServer("s9")
	defer healthy.Close()
	f.deploy.Register(healthy.ID, platformtest.PlainService, healthy.Address())
	f.eventually(func() bool { return f.send(http.MethodPost, bookingPath, "good").status == http.StatusOK })
	resp := f.send(http.MethodPost, bookingPath, "bad")
	require.Equal(t, 503, resp.status)
	require.NotEmpty(t, resp.header.Get("Retry-After"))
	for _, run := range healthy.ExecutedRequests() {
		require.NotEqual(t, "bad", run.ID)
	}
}

// Guards against counting a connection reset as a crash: the request would be
// refused although other servers can run it.
func TestConnectionResetIsNotACrash(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.ResetBeforeResponse, platformtest.ResetBeforeResponse, platformtest.ResetBeforeResponse)
	defer s.Close()
	f := newFixture(t, s)
	for range 3 {
		require.Equal(t, 502, f.send(http.MethodPost, bookingPath, "a").status)
	}
	time.Sleep(2 * crashCheckDelay)
	require.Equal(t, 200, f.send(http.MethodPost, bookingPath, "a").status)
	require.Zero(t, f.countLogs("backend server lost"))
}

// Guards against a crash that only one gateway knows of: the caller may send the
// request again through another gateway.
func TestCrashesAreBroadcast(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	var exchanges []*peerExchange
	var gateways []*Gateway
	for range 2 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		g := New(settings(), NewClusterState(), telemetry.NewMetrics(Role, "g1", zerolog.Nop()), zerolog.Nop())
		p := newPeerExchange(conn, g, nil, zerolog.Nop())
		defer func() { _ = conn.Close() }()
		go p.receive()
		exchanges, gateways = append(exchanges, p), append(gateways, g)
	}
	exchanges[0].table.AddPeer(clock.Now(), exchanges[1].self)
	bad := lostRequest{
		fingerprint: quarantine.NewFingerprint("m", "o", "POST", "/p", []byte("bad")), promptParts: []string{"a"},
	}
	for crash := range 3 {
		require.NoError(t, gateways[1].crashes.check(bad.features()))
		gateways[0].crashes.reportCrash(bad, fmt.Sprintf("server-%d", crash))
	}
	refused := func() bool { return gateways[1].crashes.check(bad.features()) != nil }
	require.Eventually(t, refused, 3*time.Second, 10*time.Millisecond)
	// A response at one gateway clears the request at the other one as well.
	gateways[0].crashes.reportResponse(bad.features())
	require.Eventually(t, func() bool { return !refused() }, 3*time.Second, 10*time.Millisecond)
}

// Guards against requests that share one part of their prompt, and nothing else, and
// crash one server after another, at once or after some events of their streams, against
// the same request that comes again, and against refusing sound requests that share
// another part with them.
func TestPromptPartThatCrashesServers(t *testing.T) {
	const (
		bad            = "bad"
		shared         = "shared"
		poisonRequests = 10
		// maxCrashes is the number of crashes by which the part has to be known, and
		// maxLater the number of requests with it that may reach servers afterwards.
		maxCrashes = 5
		maxLater   = 3
	)
	for _, c := range []struct {
		// events is the number of events after which a server crashes.
		events      int
		sameRequest bool
	}{{}, {events: 1}, {events: 3}, {events: 5}, {events: 3, sameRequest: true}} {
		t.Run(fmt.Sprintf("events=%d,sameRequest=%t", c.events, c.sameRequest), func(t *testing.T) {
			servers := make([]*platformtest.Server, 24)
			for i := range servers {
				servers[i] = platformtest.NewServer(fmt.Sprintf("s%d", i))
				defer servers[i].Close()
				servers[i].CrashOnPromptPartAfter(bad, c.events)
				servers[i].SetDelay(5 * time.Millisecond)
			}
			f := newModelFixture(t, servers...)
			for n := range poisonRequests {
				own := fmt.Sprintf("own%d", n)
				request := own
				if c.sameRequest {
					request = "own"
				}
				f.send(http.MethodPost, streamPath, "bad"+request, platformtest.WithPrompt(shared, bad, request))
				f.deregisterCrashed(servers)
				sound := f.send(http.MethodPost, streamPath, "good"+own, platformtest.WithPrompt(shared, own))
				require.Equal(t, http.StatusOK, sound.status)
				require.True(t, sound.complete)
			}
			require.LessOrEqual(t, f.deregisterCrashed(servers), maxCrashes+maxLater, "requests with the part that reached a server")
			id, parts := "last", []string{"other", bad, "own"}
			if c.sameRequest {
				id, parts = "badown", []string{shared, bad, "own"}
			}
			resp := f.send(http.MethodPost, streamPath, id, platformtest.WithPrompt(parts...))
			require.Equal(t, http.StatusServiceUnavailable, resp.status)
			require.NotEmpty(t, resp.header.Get("Retry-After"))
		})
	}
}

// deregisterCrashed removes the crashed servers from the model service, waits until
// the gateway knows it, and returns their number.
func (f *fixture) deregisterCrashed(servers []*platformtest.Server) int {
	crashed := 0
	for _, s := range servers {
		if s.Crashed() {
			crashed++
			f.deploy.Deregister(s.ID)
		}
	}
	f.gateway.requestServerRefresh()
	f.eventually(func() bool {
		return len(f.gateway.state.UsableServers(platformtest.ModelService)) == len(servers)-crashed
	})
	return crashed
}

// Guards against a retry that crashes the next server before the crash of the first one
// is known.
func TestSuspectWaitsForCrashCheckBeforeRetry(t *testing.T) {
	s, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	s.CrashOnPromptPart("bad")
	other.CrashOnPromptPart("bad")
	f := newModelFixture(t, s, other)
	bad := []quarantine.Feature{{Service: platformtest.ModelService, Kind: quarantine.PromptPart, ID: "bad"}}
	f.gateway.crashes.recordCrash(bad, 0, "first")
	f.gateway.crashes.recordCrash(bad, 0, "second")
	resp := f.send(http.MethodPost, streamPath, "a1", platformtest.WithPrompt("bad", "own"))
	require.Equal(t, http.StatusBadGateway, resp.status, "it may have run")
	require.NotEqual(t, s.Crashed(), other.Crashed(), "only one server has crashed")
}

// newModelFixture starts a gateway whose model service has the given servers.
func newModelFixture(t *testing.T, servers ...*platformtest.Server) *fixture {
	t.Helper()
	f := newFixture(t)
	for _, s := range servers {
		f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	}
	f.eventually(func() bool {
		return len(f.gateway.state.UsableServers(platformtest.ModelService)) == len(servers)
	})
	return f
}

// Guards against a crash that goes unnoticed because the response has neither a length
// nor chunks, so that its end looks like that of the connection.
func TestCrashInsideCloseDelimitedStream(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.CrashInsideEvent)
	defer s.Close()
	f := newModelFixture(t, s)
	f.send(http.MethodPost, streamPath, "a1")
	f.eventually(func() bool { return f.countLogs("backend server lost with a request in flight") == 1 })
}

// Guards against a stream without events that is passed on as complete although its
// server may have crashed before the first one.
func TestEmptyCloseDelimitedStream(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.EmptyStream)
	other := platformtest.NewServer("s2", platformtest.EmptyStream)
	defer s.Close()
	defer other.Close()
	f := newModelFixture(t, s, other)
	resp := f.send(http.MethodPost, streamPath, "a1")
	require.Equal(t, http.StatusBadGateway, resp.status, "two servers sent nothing")
	s.SetBehaviours(platformtest.EmptyStream)
	other.SetBehaviours(platformtest.EmptyStream)
	resp = f.send(http.MethodPost, streamPath, "a3", platformtest.WithLastEventID("2"))
	require.Equal(t, http.StatusBadGateway, resp.status, "nor the rest of a stream")
	resp = f.send(http.MethodPost, streamPath, "a2")
	require.True(t, resp.complete)
	require.Equal(t, events(0), resp.body)
}

// Guards against a crash after the first events that clears its own cause, because the
// end of the connection looks like the end of the response, and against a sound part that
// is suspected for good because all servers end their responses in this way.
func TestCloseDelimitedStreamClearsOnlyIfServerLives(t *testing.T) {
	s, other := platformtest.NewServer("s1", platformtest.CrashAfterTwoEvents), platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	f := newModelFixture(t, s)
	features := []quarantine.Feature{{Service: platformtest.ModelService, Kind: quarantine.PromptPart, ID: "part"}}
	f.gateway.crashes.recordCrash(features, 0, "crash")
	require.True(t, f.send(http.MethodPost, streamPath, "a1", platformtest.WithPrompt("part", "own")).complete)
	f.eventually(func() bool { return f.countLogs("backend server lost with a request in flight") == 1 })
	require.True(t, f.gateway.crashes.suspects(features))

	f.deploy.Register(other.ID, platformtest.ModelService, other.Address())
	f.gateway.requestServerRefresh()
	f.eventually(func() bool { _, ok := f.gateway.state.Server(other.ID); return ok })
	f.deregisterCrashed([]*platformtest.Server{s, other})
	resp := f.send(http.MethodPost, streamPath, "a2", platformtest.WithPrompt("part", "own"))
	require.Equal(t, http.StatusOK, resp.status)
	require.Equal(t, events(0), resp.body)
	f.eventually(func() bool { return !f.gateway.crashes.suspects(features) })

	other.SetBehaviours(platformtest.TwoEventStream)
	f.gateway.crashes.recordCrash(features, 0, "another crash")
	require.True(t, f.send(http.MethodPost, streamPath, "a3", platformtest.WithPrompt("part", "own")).complete)
	f.eventually(func() bool { return !f.gateway.crashes.suspects(features) })
}

// Guards against an error of a failing server, which may not have run the request, that
// clears what crashes other servers.
func TestServerErrorClearsNothing(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.ServerError, platformtest.ServerError, platformtest.NotFound)
	defer s.Close()
	f := newFixture(t, s)
	require.Equal(t, http.StatusInternalServerError, f.send(http.MethodPost, bookingPath, "a").status)
	lost := lostRequest{fingerprint: quarantine.NewFingerprint(
		platformtest.PlainService, platformtest.Organisation, http.MethodPost, bookingPath, []byte("body of a"))}
	f.gateway.crashes.recordCrash(lost.features(), 0, "crash")
	require.Equal(t, http.StatusInternalServerError, f.send(http.MethodPost, bookingPath, "a").status)
	require.True(t, f.gateway.crashes.suspects(lost.features()))
	require.Equal(t, http.StatusNotFound, f.send(http.MethodPost, bookingPath, "a").status)
	f.eventually(func() bool { return !f.gateway.crashes.suspects(lost.features()) })
}

// startKeeper starts a gateway without servers that keeps its refusals in a store.
func startKeeper(t *testing.T, store *platformtest.Store) *Gateway {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	g := New(settings(), NewClusterState(), telemetry.NewMetrics(Role, "g1", zerolog.Nop()), zerolog.Nop())
	p := newPeerExchange(conn, g, platform.NewStoreClient(store.Address()), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.refusals.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = conn.Close()
	})
	return g
}

// Guards against gateways that forget at a restart what crashes servers: each of them
// would let the same crashes happen again. Also guards against a refusal that lives on
// in the store after a response has shown that it was wrong.
func TestRefusalsSurviveRestart(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	first := startKeeper(t, store)
	bad := []quarantine.Feature{{Service: "m", Kind: quarantine.PromptPart, ID: "bad"}}
	for n := range 3 {
		first.crashes.recordCrash(bad, 0, fmt.Sprintf("server-%d", n))
	}
	refused := func(g *Gateway) func() bool { return func() bool { return g.crashes.check(bad) != nil } }
	require.True(t, refused(first)())
	storedRefusals := func() int {
		records, _, err := platform.NewStoreClient(store.Address()).ReadNewest(t.Context(), platform.RefusalTopic)
		require.NoError(t, err)
		return len(slices.DeleteFunc(records, func(r platform.KeyedRecord) bool { return len(r.Value) == 0 }))
	}
	require.Eventually(t, func() bool { return storedRefusals() == 1 }, 3*time.Second, 10*time.Millisecond, "the refusal is stored")
	second := startKeeper(t, store)
	require.Eventually(t, refused(second), 3*time.Second, 10*time.Millisecond, "a gateway that starts later refuses as well")
	second.crashes.recordResponse(bad)
	require.False(t, refused(second)())
	require.Eventually(t, func() bool { return storedRefusals() == 0 }, 3*time.Second, 10*time.Millisecond, "it is removed from the store")
}
