package standin_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/errkind"
	"github.com/filbertmux/filbertmux/standin"
)

func command(t *testing.T, g *standin.RankGroup, replica int, c standin.RankCommand) {
	t.Helper()
	_, err := g.Command(replica, c)
	require.NoError(t, err)
}

// Guards against a stand-in that hides a mixed step: an activation on only one
// replica must be counted.
func TestMixedStepIsCounted(t *testing.T) {
	g := standin.NewRankGroup(standin.RankGroupConfig{RanksPerReplica: []int{8, 8}, Layers: 1, Experts: 4})
	command(t, g, 0, standin.RankCommand{Kind: standin.LoadMap, Epoch: 1})
	command(t, g, 0, standin.RankCommand{Kind: standin.ActivateMap, Epoch: 1, Step: 2})
	require.True(t, g.Advance())
	require.Zero(t, g.MixedSteps())
	require.True(t, g.Advance())
	require.Equal(t, 1, g.MixedSteps())
	require.Equal(t, []uint64{1, 0}, g.Epochs())
}

// Guards against a hold that one replica's ranks step past, and against an
// activation of weights that are not loaded.
func TestHoldStopsTheGroup(t *testing.T) {
	g := standin.NewRankGroup(standin.RankGroupConfig{RanksPerReplica: []int{8, 8}, ChecksFencing: true})
	command(t, g, 1, standin.RankCommand{Kind: standin.HoldStep, Step: 2, FencingToken: 7})
	require.True(t, g.Advance())
	require.False(t, g.Advance())
	_, err := g.Command(1, standin.RankCommand{Kind: standin.ActivateMap, Epoch: 9, Step: 2, FencingToken: 7})
	require.True(t, errkind.Is(err, errkind.InvalidMap))
	_, err = g.Command(1, standin.RankCommand{Kind: standin.ReleaseHold, FencingToken: 6})
	require.True(t, errkind.Is(err, errkind.StaleFencingToken))
	command(t, g, 1, standin.RankCommand{Kind: standin.ReleaseHold, FencingToken: 7})
	require.True(t, g.Advance())
}
