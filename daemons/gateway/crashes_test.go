package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// Guards against a request that takes down one server after another, and against
// refusing other requests of its caller.
func TestRequestThatCrashesServers(t *testing.T) {
	servers := make([]*platformtest.Server, 3)
	for i := range servers {
		servers[i] = platformtest.NewServer(fmt.Sprintf("s%d", i), platformtest.Crash)
		defer servers[i].Close()
	}
	f := newFixture(t, servers...)
	for n := 1; n <= len(servers); n++ {
		require.Equal(t, 502, f.ask(http.MethodPost, booking, "bad").status, "it may have run")
		f.eventually(func() bool { return f.count("backend server lost with a request in flight") == n })
	}
	sound := platformtest.NewServer("s9")
	defer sound.Close()
	f.deploy.Register(sound.ID, platformtest.PlainService, sound.Address())
	f.eventually(func() bool { return f.ask(http.MethodPost, booking, "good").status == http.StatusOK })
	a := f.ask(http.MethodPost, booking, "bad")
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	for _, run := range sound.ExecutedRequests() {
		require.NotEqual(t, "bad", run.ID)
	}
}

// Guards against a server that resets connections and is taken for a crashed one:
// its requests would be refused although other servers can run them.
func TestResetIsNoCrash(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.ResetBeforeResponse, platformtest.ResetBeforeResponse, platformtest.ResetBeforeResponse)
	defer s.Close()
	f := newFixture(t, s)
	for range 3 {
		require.Equal(t, 502, f.ask(http.MethodPost, booking, "a").status)
	}
	time.Sleep(2 * crashCheckDelay)
	require.Equal(t, 200, f.ask(http.MethodPost, booking, "a").status)
	require.Zero(t, f.count("backend server lost"))
}

// Guards against a crash that only one gateway knows: the request comes again at
// another one.
func TestCrashesAreTold(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	var all []*peers
	var gateways []*Gateway
	for range 2 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		g := New(settings(), NewClusterState(), nil, zerolog.Nop())
		p := newPeers(conn, g, nil, zerolog.Nop())
		defer func() { _ = conn.Close() }()
		go p.receive()
		all, gateways = append(all, p), append(gateways, g)
	}
	all[0].table.AddPeer(clock.Now(), all[1].self)
	bad := quarantine.NewFingerprint("m", "o", "POST", "/p", []byte("bad"))
	for crash := range 3 {
		require.NoError(t, gateways[1].crashes.check(bad))
		gateways[0].crashes.tell(bad, fmt.Sprintf("server-%d", crash))
	}
	require.Eventually(t, func() bool { return gateways[1].crashes.check(bad) != nil }, 3*time.Second, 10*time.Millisecond)
}
