package mapdelta_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
)

func drawMap(t *rapid.T, layers, ranks int) mapdelta.Map {
	m := make(mapdelta.Map, layers)
	for layer := range m {
		for range ranks {
			experts := rapid.SliceOfNDistinct(rapid.Int32Range(0, 20), 0, 5, rapid.ID[int32]).Draw(t, "experts")
			m[layer] = append(m[layer], experts)
		}
	}
	m.Sort()
	return m
}

// Guards against a rank that prepares another map than the planned one, because the
// changes were computed or applied wrongly.
func TestApplyDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, ranks := rapid.IntRange(1, 3).Draw(t, "layers"), rapid.IntRange(1, 4).Draw(t, "ranks")
		base, target := drawMap(t, layers, ranks), drawMap(t, layers, ranks)
		before := base.Digest()
		got, err := base.Apply(mapdelta.Diff(base, target))
		require.NoError(t, err)
		require.Equal(t, target.Digest(), got.Digest())
		require.Equal(t, before, base.Digest(), "the base must not change")
		require.Equal(t, target, got, "also the order of the experts")
		require.Empty(t, mapdelta.Diff(target, got))
	})
}

// Guards against equal digests of different maps.
func TestDigest(t *testing.T) {
	a := mapdelta.Map{{{1, 2}, {3}}}
	reordered := mapdelta.Map{{{2, 1}, {3}}}
	reordered.Sort()
	require.Equal(t, a.Digest(), reordered.Digest())
	for _, other := range []mapdelta.Map{{{{1}, {2, 3}}}, {{{1, 2}, {4}}}, {{{1, 2}}}, {{{3}, {1, 2}}}} {
		require.NotEqual(t, a.Digest(), other.Digest())
	}
}

// Guards against a crash of an agent by changes that don't fit its map.
func TestApplyRejectsForeignChanges(t *testing.T) {
	m := mapdelta.Map{{{1, 2}, {3}}}
	for _, c := range []mapdelta.Change{
		{Layer: 1, Removed: mapdelta.None, Added: 1},
		{Rank: 2, Removed: mapdelta.None, Added: 1},
		{Rank: -1, Removed: mapdelta.None, Added: 1},
		{Rank: 1, Removed: 1, Added: 2},
	} {
		_, err := m.Apply([]mapdelta.Change{c})
		require.True(t, errkind.Is(err, errkind.InvalidMap))
	}
}

// Guards against packed changes that are decoded to other ones, against bytes that make
// the decoder fail or allocate without bound, and against a change that takes as much as
// three numbers of four bytes.
func TestPackedChanges(t *testing.T) {
	base, err := mapdelta.Initial(12, 64, 256)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		var changes []mapdelta.Change
		for list := range 12 * 64 {
			if rapid.IntRange(0, 3).Draw(t, "changed") > 0 {
				continue
			}
			c := mapdelta.Change{Layer: list / 64, Rank: list % 64, Removed: mapdelta.None, Added: mapdelta.None}
			experts := base[c.Layer][c.Rank]
			if place := rapid.IntRange(0, len(experts)).Draw(t, "place"); place < len(experts) {
				c.Removed = experts[place]
			}
			c.Added = int32(rapid.IntRange(-1, 255).Draw(t, "added"))
			changes = append(changes, c)
		}
		packed := mapdelta.Pack(base, changes)
		require.LessOrEqual(t, len(packed), 4*len(changes)+2)
		unpacked, err := mapdelta.Unpack(base, packed)
		require.NoError(t, err)
		require.Equal(t, changes, unpacked)
		if damaged, err := mapdelta.Unpack(base, rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "bytes")); err == nil {
			_, _ = base.Apply(damaged)
		}
	})
	for _, size := range [][3]int{{0, 1, 1}, {1, 0, 1}, {1, 1, 0}, {1 << 30, 1, 1}, {1, 1 << 30, 1}, {1, 1, 1 << 30}} {
		_, err := mapdelta.Initial(size[0], size[1], size[2])
		require.Error(t, err)
	}
}
