package rankagent

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Guards against agents that repeat the experts of their ranks in each round, and against
// agents that leave them out although the caller doesn't have them: a caller of an earlier
// build, or one that names another map.
func TestExpertsAreLeftOutIfKnown(t *testing.T) {
	group := platformtest.NewGroup(ranks, layers, perLayer)
	address, stop := group.Serve(1, hostOf(1), 0)
	defer stop()
	agent := NewAgent(platform.NewRankClient(address), zerolog.Nop())
	read := func(known *pb.RankMap) *pb.ReadRankResponse {
		r, err := agent.read(t.Context(), &pb.ReadRankRequest{KnownExperts: known})
		require.NoError(t, err)
		return r
	}
	for _, unknown := range []*pb.RankMap{nil, {Epoch: 1, Version: 5}, {Epoch: 2}} {
		r := read(unknown)
		require.False(t, r.GetExpertsKnown())
		require.Len(t, r.GetExperts(), layers)
	}
	view := newMapView()
	require.Nil(t, view.known(1))
	whole := read(nil)
	view.complete([]*pb.ReadRankResponse{whole})
	short := read(view.known(1))
	require.True(t, short.GetExpertsKnown())
	require.Empty(t, short.GetExperts())
	require.Len(t, view.complete([]*pb.ReadRankResponse{short}), 1)
	require.Equal(t, whole.GetExperts(), short.GetExperts())
}

// Guards against a map in force that is made up of the experts of another map or of an
// earlier run of a rank, and against a holder that assembles the same map in each round.
func TestMapInForceIsAssembledOnce(t *testing.T) {
	topology := &experts.Topology{Experts: 2, SlotsPerRank: 1, Domains: []string{"a", "b"}}
	report := func(epoch, version, started int64, lists ...int32) []*pb.ReadRankResponse {
		var responses []*pb.ReadRankResponse
		for rank := range uint32(2) {
			r := &pb.ReadRankResponse{Rank: rank, Epoch: epoch, InForce: version, Born: started, ExpertsKnown: lists == nil}
			if lists != nil {
				r.Experts = []*pb.RankExperts{{Experts: lists[rank : rank+1]}}
			}
			responses = append(responses, r)
		}
		return responses
	}
	view := newMapView()
	inForce := func(responses []*pb.ReadRankResponse) *experts.Map {
		responses = view.complete(responses)
		require.Len(t, responses, 2)
		m, err := view.inForce(topology, 1, responses)
		require.NoError(t, err)
		return m
	}
	first := inForce(report(1, 0, 9, 0, 1))
	require.Equal(t, []experts.Layer{{0, 1}}, first.Layers)
	require.Same(t, first, inForce(report(1, 0, 9)))
	second := inForce(report(1, 7, 9, 1, 0))
	require.Equal(t, []experts.Layer{{1, 0}}, second.Layers)
	require.Equal(t, []experts.Layer{{0, 1}}, inForce(report(2, 7, 9, 0, 1)).Layers, "another epoch")
	for name, other := range map[string][]*pb.ReadRankResponse{
		"map": report(2, 8, 9), "epoch": report(3, 7, 9), "run of the ranks": report(2, 7, 10),
	} {
		inForce(report(2, 7, 9, 0, 1))
		require.Empty(t, view.complete(other), name)
		require.Nil(t, view.known(0), name)
	}
	larger := &experts.Topology{Experts: 3, SlotsPerRank: 2, Domains: topology.Domains}
	inForce(report(1, 0, 9, 0, 1))
	_, err := view.inForce(larger, 1, view.complete(report(1, 0, 9)))
	require.Error(t, err, "an expert of the other shape has no slot")
}

// Guards against an agent that ends because its rank has left the group: after a restart, a
// rank reports no group and a size of 0 until it belongs to one again.
func TestNoMapInForceWithoutGroup(t *testing.T) {
	agent := NewAgent(nil, zerolog.Nop())
	g := newGroupClient(Options{Log: zerolog.Nop()}, agent, nil)
	g.engine = &fleet.Engine{Experts: &fleet.Experts{LayerSets: layers, ExpertsPerLayer: perLayer, SlotsPerRank: 3}}
	responses := g.readAll(t.Context(), callOptions{})
	require.Empty(t, responses)
	_, err := g.currentMap(topology(g.engine.Experts, g.failureDomains()), responses)
	require.Error(t, err)
}

// Guards against a division by the size of a group of which the own rank is no longer a part.
func TestCountAgeWithoutGroup(t *testing.T) {
	agent := NewAgent(nil, zerolog.Nop())
	h := &holder{agent: agent, group: newGroupClient(Options{Log: zerolog.Nop()}, agent, nil)}
	h.group.engine = &fleet.Engine{Experts: &fleet.Experts{LayerSets: layers, ExpertsPerLayer: perLayer, SlotsPerRank: 3}}
	require.GreaterOrEqual(t, h.maxCountAge(), minCountAge)
	h.planner = newPlanner()
	require.Empty(t, h.selectCountReaders(clock.Now(), true))
}
