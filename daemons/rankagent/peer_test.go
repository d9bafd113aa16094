package rankagent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a holder that can't call agents of earlier builds, and against one that
// opens a connection in vain before each call to them.
func TestAgentOfEarlierBuild(t *testing.T) {
	group := platformtest.NewGroup(ranks, layers, perLayer)
	address, stop := group.Serve(1, hostOf(1), 0)
	defer stop()
	mux := http.NewServeMux()
	mux.Handle(filbertmuxv1connect.NewRankAgentServiceHandler(NewAgent(platform.NewRankClient(address), zerolog.Nop())))
	server := httptest.NewServer(mux)
	defer server.Close()
	host, port, err := net.SplitHostPort(server.Listener.Addr().String())
	require.NoError(t, err)
	o := Options{Log: zerolog.Nop()}
	o.Settings.PeerPort, err = strconv.Atoi(port)
	require.NoError(t, err)
	g := newGroupClient(o, NewAgent(nil, zerolog.Nop()), nil)
	var opened atomic.Int64
	dial := g.dial
	g.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened.Add(1)
		return dial(ctx, network, address)
	}
	g.addPeer(&fleet.Server{Address: net.JoinHostPort(host, "1"), Rank: 1})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for range 3 {
		r, err := g.peers[1].read(ctx, &pb.ReadRankRequest{})
		require.NoError(t, err)
		require.Len(t, r.GetExperts(), layers)
		o, err := g.peers[1].order(ctx, &pb.OrderRankRequest{
			Group: platformtest.GroupName, Rank: 1, Kind: pb.RankOrderKind_RANK_ORDER_KIND_HOLD, Epoch: 1, Step: 3,
		})
		require.NoError(t, err)
		require.True(t, o.GetAccepted())
	}
	require.EqualValues(t, 1, opened.Load())
}

// Guards against counts of all ranks that take half of a slow link in each round although
// they are used in few rounds, and against a rank that isn't read before the counts are used.
func TestCountsAreReadBeforeTheyAreUsed(t *testing.T) {
	agent := NewAgent(nil, zerolog.Nop())
	agent.identity = identity{group: "g", size: largeRanks}
	o := Options{Log: zerolog.Nop(), Settings: platform.Settings{LinkBytesPerSecond: 1e6}}
	for _, rate := range []float64{1e6, 5e5} {
		o.Settings.LinkBytesPerSecond = rate
		h := &holder{group: newGroupClient(o, agent, nil), agent: agent, planner: newPlanner()}
		h.group.engine = &fleet.Engine{Experts: &largeExperts}
		counts := make([]float64, largeLayers*largePerLayer)
		read, totals := 0, 0
		const rounds = 40
		for round := range rounds {
			now := time.Unix(1000, 0).Add(time.Duration(round) * h.readInterval(idleInterval))
			for rank, selected := range h.selectCountReaders(now, true) {
				if selected {
					read++
					h.planner.recent.Set(rank, now, counts, 300*time.Millisecond)
				}
			}
			if _, ok := h.planner.recent.Total(now, largeRanks, h.maxCountAge()); ok {
				totals++
			}
		}
		require.Nil(t, h.selectCountReaders(time.Unix(2000, 0), false), "the group may be held")
		require.Equal(t, rounds/2, totals, "one total in each 0.3 s")
		n := h.group.link.CountReadings(h.readInterval(idleInterval), largeRanks, len(counts))
		perTotal := ((largeRanks-1)/n + 1) * n
		require.LessOrEqual(t, read, (totals+1)*perTotal)
	}
}
