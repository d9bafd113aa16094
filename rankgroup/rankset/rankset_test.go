package rankset_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

// Guards against sets that lose or invent ranks, above all at the boundaries of their words.
func TestSetIsLikeMap(t *testing.T) {
	sizes := []int{1, 2, 63, 64, 65, 72, 320, 1024}
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.SampledFrom(sizes).Draw(t, "ranks")
		table := rankset.NewTable(3, ranks)
		set, other := table.Of(1), rankset.New(ranks)
		model, otherModel := map[int]bool{}, map[int]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			rank := rapid.IntRange(0, ranks-1).Draw(t, "rank")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				set.Add(rank)
				model[rank] = true
			case 1:
				set.Remove(rank)
				delete(model, rank)
			default:
				other.Add(rank)
				otherModel[rank] = true
			}
		}
		require.Equal(t, len(model), set.Len())
		within, intersects := true, false
		var members, either []int
		for rank := range ranks {
			require.Equal(t, model[rank], set.Has(rank))
			if model[rank] {
				members = append(members, rank)
				within = within && otherModel[rank]
				intersects = intersects || otherModel[rank]
			}
			if model[rank] || otherModel[rank] {
				either = append(either, rank)
			}
		}
		require.Equal(t, members, slices.Collect(set.All()))
		require.Equal(t, either, slices.Collect(rankset.AllOfEither(set, other)))
		require.Equal(t, within, set.Within(other))
		require.Equal(t, intersects, set.Intersects(other))
		if len(members) > 0 {
			require.Equal(t, members[0], set.First())
		} else {
			require.Equal(t, -1, set.First())
		}
		require.Zero(t, table.Of(0).Len()+table.Of(2).Len(), "the other sets of the table changed")
		require.Equal(t, len(members) == 0, set.Empty())
		union := rankset.New(ranks)
		union.AddAll(set)
		union.AddAll(other)
		require.Equal(t, either, slices.Collect(union.All()))
		clone := table.Clone()
		table.Clear()
		require.Zero(t, table.Of(1).Len())
		require.Equal(t, len(members), clone.Of(1).Len())
	})
}

// Guards against a nil set that isn't empty.
func TestNilSetIsEmpty(t *testing.T) {
	var none rankset.Set
	require.False(t, none.Has(200))
	require.Zero(t, none.Len())
	require.True(t, none.Empty())
	require.Empty(t, slices.Collect(none.All()))
}
