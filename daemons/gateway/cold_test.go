package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
)

// coldBounds allow a cold server 47 requests within a second at a rate of 28.
func coldBounds(f *fixture) {
	b := bounds()
	b.ColdOverage, b.ColdTolerance = 1.5, 5
	f.gateway.bounds.Store(&b)
}

// newColdFixture starts a gateway whose services have a limit for cold servers.
func newColdFixture(t *testing.T, perSecond float64, servers ...*platformtest.Server) *fixture {
	t.Helper()
	f := newFixture(t, servers...)
	coldBounds(f)
	f.deploy.ColdPerSecond, f.deploy.ColdSeconds = perSecond, 1
	version := f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	return f
}

// Guards against a gateway that has just started and sends a server, which may be cold, the
// requests that are meant for all gateways, and against a refusal without its reason.
func TestColdLimitOfServer(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newColdFixture(t, 28, s)
	const least, interval = 3, 1100 * time.Millisecond
	started, refused := time.Now(), 0
	f.eventually(func() bool {
		if f.send(http.MethodGet, lookupPath, "a").status == http.StatusServiceUnavailable {
			refused++
		}
		return s.RequestCount() > least
	})
	require.GreaterOrEqual(t, time.Since(started), least*interval)
	require.Positive(t, refused)
	require.True(t, f.logs.contains(`"reason":"cold"`, `"execution":"not_run"`, `"sent":0`))
}

// Guards against a limit of cold servers that isn't divided by what the store lists, and
// against one that is in force although the configuration states none.
func TestColdLimitFollowsGateways(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newColdFixture(t, 28, s)
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	interval := func() time.Duration {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		i, _ := svc.requestLimits.Interval(clock.Now(), loadshare.ServerKeyOf("s1"))
		return i
	}
	unknown := interval()
	f.gateway.services.setGateways(gatewayList{self: "10.1.0.1:7340", listed: true})
	require.Less(t, interval(), unknown/4)
	f.gateway.services.setGateways(gatewayList{self: "10.1.0.1:7340", known: make([]string, 42), listed: true})
	require.Equal(t, unknown, interval(), "silent gateways count")
	f.deploy.ColdPerSecond = 0
	f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool { return interval() == 0 })
	for n := range 20 {
		require.Equal(t, 200, f.send(http.MethodGet, lookupPath, fmt.Sprintf("b%d", n)).status)
	}
}

// Guards against cold servers that aren't known although they state it or have just
// started, and against servers that count as cold for ever.
func TestColdServersAreKnown(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newColdFixture(t, 28, s)
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	require.Zero(t, f.gateway.services.coldServers(), "nobody knows when the first servers started")
	expect := func(id string) {
		f.eventually(func() bool { return f.logs.contains(`"backend server is cold"`, id) })
		require.Equal(t, 1, f.gateway.services.coldServers())
		f.eventually(func() bool {
			svc.setGateways(clock.Now(), gatewayList{}) // the gateway does so at intervals
			return f.logs.contains("is no longer cold", id) && f.gateway.services.coldServers() == 0
		})
	}
	f.deploy.RegisterCold("s2", platformtest.PlainService, platformtest.LoopbackHost(9)+":80", 1500)
	expect("s2")
	f.deploy.Deregister("s2")
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.PlainService)) == 1 })
	s.SetCold("1500")
	f.eventually(func() bool { return f.send(http.MethodGet, lookupPath, "a").status == 200 })
	s.SetCold("")
	expect("s1")
	f.deploy.Register("s3", platformtest.PlainService, platformtest.LoopbackHost(9)+":81")
	expect("s3")
}

// Guards against a probe, or a request whose connection took long, that a server gets in
// addition to what its pace allows, and against taking that for a fault of the server.
func TestPaceOfProbesAndLateConnections(t *testing.T) {
	g := platformtest.NewGroup(1, 1, 4)
	g.SetUnreachable(0, true)
	address, stop := g.Serve(0, "127.0.0.1", 0)
	defer stop()
	x := newWatchedExchange(t, watchedKind{kind: fleet.Streaming, address: address, load: 4})
	setPace := func(interval time.Duration, allowed bool) {
		x.svc.mu.Lock()
		defer x.svc.mu.Unlock()
		x.svc.scheduler.SetPace(clock.Now(), "s1", interval, allowed)
	}
	moved := func() bool {
		x.check(false, true)
		return x.watch.hasMoved()
	}
	setPace(0, false)
	require.False(t, waitFor(moved))
	setPace(0, true)
	require.True(t, waitFor(moved))

	require.True(t, x.svc.confirmSend(clock.Now(), "s1"))
	setPace(time.Hour, true)
	err := x.connect(context.Background(), context.Background())
	require.ErrorIs(t, err, errPaced)
	require.Equal(t, errkind.NotRun, errkind.Of(err).Execution)
	require.True(t, x.result(err).notServerFault)
}

// Guards against shares by the live gateways only, although the list in the store has more.
func TestKnownGatewaysOfStore(t *testing.T) {
	f := newFixture(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(platformtest.LoopbackHost(1))})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	p := newPeerExchange(conn, f.gateway, nil, zerolog.Nop())
	p.expirePeers(clock.Now())
	require.False(t, f.gateway.services.gateways.listed)
	other := platformtest.LoopbackHost(9) + ":7340"
	p.addPeers([]platform.KeyedRecord{{Key: other, Value: []byte(other)}, {Key: p.self, Value: []byte(p.self)}, {Key: "x", Value: []byte("x")}})
	p.expirePeers(clock.Now())
	require.Equal(t, gatewayList{self: p.self, known: []string{other}, listed: true}, f.gateway.services.gateways)
}
