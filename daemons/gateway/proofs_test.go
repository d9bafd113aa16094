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
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/topicproof"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// listenForProofs starts the exchange of proofs of a gateway.
func (f *fixture) listenForProofs(ctx context.Context, g *Gateway, log zerolog.Logger) *proofExchange {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(f.t, err)
	peers := newPeerExchange(conn, g, nil, log)
	peers.shareReads(g)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go peers.receive()
	go func() { _ = peers.proofs.run(ctx) }()
	f.peers = peers
	return peers.proofs
}

// reportToPeers makes the gateway send load reports, by which the others know that it lives.
func (f *fixture) reportToPeers(peers ...*fixture) {
	own := f.peers
	own.mu.Lock()
	for _, p := range peers {
		own.table.AddPeer(clock.Now(), p.peers.self)
	}
	own.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
	stop := f.stop
	f.stop = func() {
		cancel()
		stop()
	}
	go func() { _ = own.send(ctx) }()
}

func (f *fixture) isPoller() bool {
	p := f.peers.proofs
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pollers.Poller
}

// readsFor returns the number of reads for a reason.
func (f *fixture) readsFor(reason topicproof.ReadReason) int {
	p := f.peers.proofs
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads[reason]
}

// sharingGateways starts gateways that share their reads, each with a link of its own to the
// same store. It waits until they agree on the pollers. The pollers come first.
func sharingGateways(t *testing.T, n int) []*fixture {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	server := platformtest.NewServer("s1")
	t.Cleanup(server.Close)
	deploy := &platformtest.Deployment{Store: store, Host: host}
	deploy.PublishConfig([]string{platformtest.Key}, nil)
	deploy.Register(server.ID, platformtest.PlainService, server.Address())
	var all []*fixture
	for range n {
		f := &fixture{t: t, store: store, deploy: deploy, settings: settings(), link: platformtest.NewStoreLink(store)}
		t.Cleanup(f.link.Close)
		f.startGateway()
		all = append(all, f)
	}
	for _, f := range all {
		f.reportToPeers(all...)
		f.eventually(func() bool { ready, _ := f.gateway.Ready(); return ready })
	}
	var pollers, others []*fixture
	all[0].eventually(func() bool {
		pollers, others = split(all)
		return len(pollers) == min(n, 3)
	})
	return append(pollers, others...)
}

func split(all []*fixture) (pollers, others []*fixture) {
	for _, f := range all {
		if f.isPoller() {
			pollers = append(pollers, f)
		} else {
			others = append(others, f)
		}
	}
	return pollers, others
}

// requireSharedReads requires that after a while the others don't read the configuration while
// each of the pollers does so several times.
func requireSharedReads(pollers, others []*fixture) {
	const reads = 5
	count := func(list []*fixture) []int {
		var counts []int
		for _, f := range list {
			counts = append(counts, f.link.ReadCount(platform.ConfigTopic))
		}
		return counts
	}
	polled, other := count(pollers), count(others)
	pollers[0].eventuallyWithin(30*time.Second, func() bool {
		if now := count(others); fmt.Sprint(now) != fmt.Sprint(other) {
			polled, other = count(pollers), now
			return false
		}
		for i, n := range count(pollers) {
			if n < polled[i]+reads {
				return false
			}
		}
		return true
	})
}

func (f *fixture) eventuallyWithin(limit time.Duration, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, limit, 5*time.Millisecond)
}

// Guards against gateways that all poll the store, against one that learns no new
// configuration or evacuation because it doesn't poll, and against a report of a process of
// another deployment that it believes for good.
func TestOnlyPollersReadTheStore(t *testing.T) {
	t.Parallel()
	all := sharingGateways(t, 6)
	pollers, others := all[:3], all[3:]
	requireSharedReads(pollers, others)

	version := all[0].deploy.PublishConfig([]string{"key-2"}, nil)
	all[0].deploy.Evacuate("zone-2")
	for _, f := range all {
		f.eventually(func() bool {
			return f.gateway.state.Index().Config.Version == version && f.gateway.evacuations.includes("zone-2")
		})
	}
	requireSharedReads(pollers, others)

	wrong := others[0]
	wrong.gateway.evacuations.receive(&pb.LoadReport{
		Sender: "1.2.3.4:5", EvacuationsEnd: 1 << 40, Evacuations: []*pb.Evacuation{{FailureDomain: "zone-3"}},
	})
	wrong.eventually(func() bool { return !wrong.gateway.evacuations.includes("zone-3") })
	require.True(t, wrong.gateway.evacuations.includes("zone-2"))
	require.Equal(t, http.StatusOK, wrong.send(http.MethodGet, openPath, "a").status)
}

// Guards against gateways that go on without current knowledge after the loss of a poller.
func TestNextGatewayPollsAfterLossOfPoller(t *testing.T) {
	t.Parallel()
	all := sharingGateways(t, 5)
	lost, left := all[0], all[1:]
	lost.stop()
	var pollers, others []*fixture
	left[0].eventuallyWithin(20*time.Second, func() bool {
		pollers, others = split(left)
		return len(pollers) == 3
	})
	requireSharedReads(pollers, others)
	version := lost.deploy.PublishConfig([]string{platformtest.Key}, nil)
	for _, f := range left {
		f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	}
}

// Guards against a gateway that refuses requests with keys although others prove that its
// configuration is current, against one that accepts a revoked key beyond the bound because
// it can't read the new configuration, and against one that doesn't recover.
func TestProofsReplaceAStoreThatTurnsGatewaysAway(t *testing.T) {
	for name, cut := range map[string][]int{"poller": {0}, "another gateway": {4}, "all pollers": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			all := sharingGateways(t, 5)
			for _, n := range cut {
				all[n].link.SetCut(true)
			}
			f, poller := all[cut[0]], cut[0] == 0
			cutAt := clock.Now()
			bound := f.settings.Bounds.RevocationTime
			// Without proofs, the gateway refuses requests with keys after that.
			time.Sleep(bound)
			f.eventually(func() bool { return f.send(http.MethodGet, lookupPath, "a").status == http.StatusOK })
			age, _ := f.gateway.state.ConfigFreshness(clock.Now())
			require.Less(t, age, clock.Now().Sub(cutAt))
			if poller {
				require.True(t, f.logs.contains("relying on their proofs"))
			}

			version := f.deploy.PublishConfig([]string{"key-2"}, nil)
			published := clock.Now()
			f.requireRevoked(published, bound)
			require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodGet, lookupPath, "c", platformtest.WithKey("key-2")).status)
			require.Less(t, f.gateway.state.Index().Config.Version, version)
			if poller {
				require.True(t, f.logs.contains("no longer relying on proofs"))
			}

			f.link.SetCut(false)
			f.eventually(func() bool {
				return f.send(http.MethodGet, lookupPath, "d", platformtest.WithKey("key-2")).status == http.StatusOK
			})
			require.Equal(t, http.StatusUnauthorized, f.send(http.MethodGet, lookupPath, "e").status)
		})
	}
}

// requireRevoked requires that the gateway, which can't read the configuration that was
// published, never counts its own one as current after that, and that no request with a
// revoked key that begins after the bound is served.
func (f *fixture) requireRevoked(published time.Time, bound time.Duration) {
	f.t.Helper()
	f.eventuallyWithin(20*time.Second, func() bool {
		now := clock.Now()
		age, _ := f.gateway.state.ConfigFreshness(now)
		require.False(f.t, now.Add(-age).After(published))
		status := f.send(http.MethodGet, lookupPath, "b").status
		if now.Sub(published) > bound {
			require.Equal(f.t, http.StatusServiceUnavailable, status)
			return now.Sub(published) > bound+time.Second
		}
		return false
	})
}

// Guards against gateways that take each other's proofs for new when nobody can read the
// store.
func TestProofsAgeInOutageOfStore(t *testing.T) {
	t.Parallel()
	all := sharingGateways(t, 5)
	all[0].store.SetFault(platformtest.Unresponsive)
	lost := clock.Now()
	bound := all[0].settings.Bounds.RevocationTime
	for clock.Now().Sub(lost) < bound+time.Second {
		for _, f := range all {
			now := clock.Now()
			age, _ := f.gateway.state.ConfigFreshness(now)
			require.False(t, now.Add(-age).After(lost))
			if status := f.send(http.MethodGet, lookupPath, "a").status; now.Sub(lost) > bound {
				require.Equal(t, http.StatusServiceUnavailable, status)
			}
		}
	}
	all[0].store.SetFault(platformtest.NoFault)
	for _, f := range all {
		f.eventually(func() bool { return f.send(http.MethodGet, lookupPath, "b").status == http.StatusOK })
	}
}

// Guards against gateways that keep a configuration, or accept its revoked keys, because the
// same offset stands for other records since the store has started over.
func TestStoreStartsOver(t *testing.T) {
	t.Parallel()
	all := sharingGateways(t, 5)
	requireSharedReads(all[:3], all[3:])
	deploy := all[0].deploy
	deploy.Evacuate("zone-2")
	deploy.Evacuate("zone-3")
	version := deploy.PublishConfig([]string{platformtest.Key}, nil)
	for _, f := range all {
		f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	}
	all[0].store.StartOver(platform.ConfigTopic)
	version = deploy.PublishConfig([]string{"key-2"}, nil)
	for _, f := range all {
		f.eventually(func() bool {
			return f.gateway.state.Index().Config.Version == version && !f.gateway.evacuations.includes("zone-2")
		})
		require.Equal(t, http.StatusUnauthorized, f.send(http.MethodGet, lookupPath, "a").status)
	}
	requireSharedReads(all[:3], all[3:])
}

// Guards against a gateway that waits for proofs of gateways of an earlier build, which don't
// answer.
func TestGatewayWithoutAnswersPolls(t *testing.T) {
	t.Parallel()
	f := sharingGateways(t, 1)[0]
	f.stop()
	// The new one sends no load reports, which would replace its peers.
	f.startGateway()
	var silent []string
	for n := 0; len(silent) < 3; n++ {
		peer := fmt.Sprintf("127.1.%d.%d:1", n/250, n%250)
		if xxh3.HashString(peer) > xxh3.HashString(f.peers.self) {
			silent = append(silent, peer)
		}
	}
	f.peers.proofs.setLive(silent)
	require.False(t, f.isPoller())
	f.eventually(func() bool { return f.readsFor(topicproof.NoProof) > 3 })
	version := f.deploy.PublishConfig([]string{"key-2"}, nil)
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
}

// Guards against messages that take a poller at 330 gateways beyond its share of the link
// (docs/CAPACITY.md).
func TestProofMessagesAreSmall(t *testing.T) {
	request := &pb.Datagram{Kind: &pb.Datagram_ProofRequest{ProofRequest: &pb.ProofRequest{Number: 1 << 63}}}
	response := &pb.Datagram{Kind: &pb.Datagram_ProofResponse{ProofResponse: &pb.ProofResponse{
		Number: 1 << 63,
		Topics: []*pb.TopicProof{{Next: 1 << 20, Digest: 1 << 63, AgeMs: 1600, ResponseAgeMs: 1600}},
	}}}
	t.Logf("request %d bytes, response %d bytes", proto.Size(request), proto.Size(response))
	require.LessOrEqual(t, proto.Size(request), 11)
	require.LessOrEqual(t, proto.Size(response), 32)
}
