package standin_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

func newGroup(t *testing.T, checks bool) *standin.RankGroup {
	t.Helper()
	g, err := standin.NewRankGroup(standin.RankGroupConfig{
		Replicas: 2, RanksPerReplica: 1, Layers: 1, Experts: 2, SlotsPerRank: 1,
		ChecksFencing: func(int) bool { return checks },
	})
	require.NoError(t, err)
	return g
}

var seq uint64

func command(t *testing.T, g *standin.RankGroup, replica int, c rankapi.Command) mapswitch.RankState {
	t.Helper()
	seq++
	c.Ranks = []mapswitch.RankID{mapswitch.RankID(replica)}
	a, err := g.ExecuteBatch(replica, rankapi.Batch{Session: 1, Seq: seq, Commands: []rankapi.Command{c}})
	require.NoError(t, err)
	return a.Ranks[0].State
}

func attempt(token infra.Offset) mapswitch.Attempt { return mapswitch.Attempt{Token: token, Seq: 1} }

// stage stages a map that swaps the experts, and loads the weights.
func stage(t *testing.T, g *standin.RankGroup, replica int, token infra.Offset) {
	t.Helper()
	target := experts.Map{Epoch: 1, Layers: []experts.Layer{{1, 0}}}
	plan := mapswitch.Plan{Attempt: attempt(token), Epoch: 1, Target: &target}
	s := command(t, g, replica, rankapi.Command{Stage: &mapswitch.StageRank{Token: token, Plan: plan}})
	require.Zero(t, s.Staged)
	// A hold without the weights must not be granted.
	require.Nil(t, hold(t, g, replica, token, 2).Hold)
	missing := g.RankStatuses(replica).Ranks[0].Missing
	require.Len(t, missing, 1)
	require.NoError(t, g.PutWeights(replica, missing[0]))
	require.Equal(t, attempt(token), g.RankStatuses(replica).Ranks[0].State.Staged)
}

func hold(t *testing.T, g *standin.RankGroup, replica int, token infra.Offset, step uint64) mapswitch.RankState {
	t.Helper()
	return command(t, g, replica, rankapi.Command{Hold: &mapswitch.HoldRank{
		Token: token, Hold: mapswitch.Hold{Attempt: attempt(token), Step: step},
	}})
}

func release(t *testing.T, g *standin.RankGroup, replica int, token infra.Offset, commit bool) mapswitch.RankState {
	t.Helper()
	return command(t, g, replica, rankapi.Command{Release: &mapswitch.ReleaseRank{Token: token, Attempt: attempt(token), Commit: commit}})
}

// Guards against a stand-in that hides a mixed step: an activation on only one
// replica must be counted.
func TestMixedStepIsCounted(t *testing.T) {
	g := newGroup(t, false)
	stage(t, g, 0, 1)
	require.NotNil(t, hold(t, g, 0, 1, 2).Hold)
	release(t, g, 0, 1, true)
	require.True(t, g.Advance())
	require.Zero(t, g.MixedSteps())
	require.True(t, g.Advance())
	require.Equal(t, 1, g.MixedSteps())
	require.Equal(t, []uint64{1, 0}, g.Epochs())
}

// Guards against a hold that one replica's ranks step past, a hold without
// weights, and a release with a stale token.
func TestHoldStopsTheGroup(t *testing.T) {
	g := newGroup(t, true)
	stage(t, g, 1, 7)
	require.NotNil(t, hold(t, g, 1, 7, 2).Hold)
	require.True(t, g.Advance())
	require.False(t, g.Advance())
	require.Equal(t, 1, g.HeldSteps())
	stale := rankapi.Command{Release: &mapswitch.ReleaseRank{Token: 6, Attempt: attempt(7)}}
	require.NotNil(t, command(t, g, 1, stale).Hold)
	require.Nil(t, release(t, g, 1, 7, false).Hold)
	require.True(t, g.Advance())
	require.Equal(t, []uint64{0, 0}, g.Epochs())
}

// Guards against commands of an earlier sidecar, or overtaken ones, that take
// effect, and against a late command that is not counted.
func TestLateBatchesAreRefused(t *testing.T) {
	g := newGroup(t, false)
	_, err := g.ExecuteBatch(0, rankapi.Batch{Session: 5, Seq: 2})
	require.NoError(t, err)
	for _, b := range []rankapi.Batch{{Session: 4, Seq: 9}, {Session: 5, Seq: 1}, {Session: 5, Seq: 2}} {
		_, err = g.ExecuteBatch(0, b)
		require.True(t, errkind.Is(err, errkind.StaleFencingToken), "%+v", b)
	}
	stage(t, g, 1, 9)
	require.Zero(t, g.LateCommands())
	plan := mapswitch.Plan{Attempt: attempt(3), Epoch: 1, Target: &experts.Map{Epoch: 1, Layers: []experts.Layer{{1, 0}}}}
	command(t, g, 1, rankapi.Command{Stage: &mapswitch.StageRank{Token: 3, Plan: plan}})
	require.Equal(t, 1, g.LateCommands())
}
