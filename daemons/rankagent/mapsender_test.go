package rankagent

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
)

// Guards against a holder of a large group that encodes the same map once for each rank,
// and against an encoding that is kept when a version stands for another map or the base
// has changed.
func TestMapIsEncodedOnceForEachBase(t *testing.T) {
	topology := &experts.Topology{Experts: 4, SlotsPerRank: 2, Domains: []string{"a", "b", "c"}}
	first := &experts.Map{Layers: []experts.Layer{{0, 1, 2, 3, 0, 2}}}
	second := &experts.Map{Layers: []experts.Layer{{0, 1, 2, 3, 1, 2}}}
	sender := newMapSender()
	encode := func(rank int, version int64) *pb.OrderRankRequest {
		m := &pb.OrderRankRequest{}
		sender.encode(m, rank, version)
		return m
	}
	sender.observe([]*pb.ReadRankResponse{{Rank: 0, KnownMap: 7, AcceptsChanges: true}, {Rank: 1, KnownMap: 7, AcceptsChanges: true}, {Rank: 2}})
	lists := sender.lists(topology, 7, first)
	require.Same(t, &lists[0], &sender.lists(topology, 7, first)[0], "the lists are derived once")
	sender.lists(topology, 8, second)
	changes := encode(0, 8)
	require.EqualValues(t, 7, changes.GetBaseVersion())
	require.Same(t, &changes.GetChanges()[0], &encode(1, 8).GetChanges()[0], "the changes are derived once")
	whole := encode(2, 8)
	require.Same(t, whole.GetLayersRanks()[0], encode(2, 8).GetLayersRanks()[0], "the lists are encoded once")

	// In another epoch, version 7 stands for the second map as well.
	require.Equal(t, mapdelta.Map{{{0, 1}, {2, 3}, {1, 2}}}, sender.lists(topology, 7, second))
	after := encode(0, 8)
	require.True(t, after.GetHasChanges())
	require.Empty(t, after.GetChanges(), "the base equals the map now")
	require.NotEqual(t, changes.GetBaseDigest(), after.GetBaseDigest())
}
