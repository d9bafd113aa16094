// Package mapdelta describes an expert map by its changes to another one.
//
// It is designed for large groups behind slow links: a map of 64 ranks with 12 layer
// sets of 256 experts takes 9 KB, and the holder of the group sends it to every rank. A
// plan changes few experts of a layer, so its changes take a tenth of that, and all
// ranks start to copy experts at the same time. Steps take longer while any rank copies,
// so ranks that start one after the other slow the group for much longer.
//
// The package is deterministic and does no I/O.
package mapdelta

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// None stands for no expert in a Change.
const None = -1

// Limits of an initial map, whose size another process states.
const (
	maxLayers  = 1024
	maxRanks   = 1024
	maxExperts = 4096
)

// Map lists the experts by layer and rank. The experts of a rank are in ascending order,
// because ranks may compare the lists.
type Map [][][]int32

// Initial returns the map of a group before its first switch: the experts of each layer
// are assigned to the ranks in turn.
func Initial(layers, ranks, experts int) (Map, error) {
	if layers < 1 || layers > maxLayers || ranks < 1 || ranks > maxRanks || experts < 1 || experts > maxExperts {
		return nil, errkind.New(errkind.InvalidMap, "no initial map has %d layers of %d experts on %d ranks", layers, experts, ranks)
	}
	m := make(Map, layers)
	for layer := range m {
		m[layer] = make([][]int32, ranks)
		for rank := range m[layer] {
			m[layer][rank] = make([]int32, 0, experts/ranks+1)
		}
		for e := range experts {
			m[layer][e%ranks] = append(m[layer][e%ranks], int32(e))
		}
	}
	return m, nil
}

// LayerExperts returns the number of experts of a layer.
func (m Map) LayerExperts() int {
	highest := -1
	for _, experts := range m[0] {
		for _, e := range experts {
			highest = max(highest, int(e))
		}
	}
	return highest + 1
}

// Len returns the number of experts on all ranks in all layers, each replica counted.
func (m Map) Len() int {
	n := 0
	for _, layer := range m {
		for _, experts := range layer {
			n += len(experts)
		}
	}
	return n
}

// Sort puts the experts of each rank in order.
func (m Map) Sort() {
	for _, layer := range m {
		for _, experts := range layer {
			slices.Sort(experts)
		}
	}
}

// Change replaces an expert of one rank in one layer.
type Change struct {
	Layer, Rank int
	// Removed and Added are experts, or None.
	Removed, Added int32
}

// Diff returns the changes from base to target, which must have the same layers and
// ranks.
func Diff(base, target Map) []Change {
	var changes []Change
	for layer := range target {
		for rank, experts := range target[layer] {
			added := without(experts, base[layer][rank])
			removed := without(base[layer][rank], experts)
			for i := range max(len(added), len(removed)) {
				changes = append(changes, Change{Layer: layer, Rank: rank, Removed: at(removed, i), Added: at(added, i)})
			}
		}
	}
	return changes
}

// without returns the elements of list that are not in other.
func without(list, other []int32) []int32 {
	var rest []int32
	for _, e := range list {
		if !slices.Contains(other, e) {
			rest = append(rest, e)
		}
	}
	return rest
}

func at(list []int32, i int) int32 {
	if i < len(list) {
		return list[i]
	}
	return None
}

// Apply returns a copy of m with the changes. It fails if a change doesn't fit m.
func (m Map) Apply(changes []Change) (Map, error) {
	out := m.clone()
	for _, c := range changes {
		if c.Layer < 0 || c.Layer >= len(out) || c.Rank < 0 || c.Rank >= len(out[c.Layer]) {
			return nil, errkind.New(errkind.InvalidMap, "change of rank %d in layer %d, which the map doesn't have", c.Rank, c.Layer)
		}
		experts := out[c.Layer][c.Rank]
		if c.Removed != None {
			i := slices.Index(experts, c.Removed)
			if i < 0 {
				return nil, errkind.New(errkind.InvalidMap, "rank %d has no expert %d in layer %d", c.Rank, c.Removed, c.Layer)
			}
			experts = slices.Delete(experts, i, i+1)
		}
		if c.Added != None {
			experts = append(experts, c.Added)
		}
		out[c.Layer][c.Rank] = experts
	}
	out.Sort()
	return out, nil
}

func (m Map) clone() Map {
	out := make(Map, len(m))
	for layer := range m {
		out[layer] = make([][]int32, len(m[layer]))
		for rank, experts := range m[layer] {
			// An empty list stays distinct from a missing one.
			out[layer][rank] = append(make([]int32, 0, len(experts)+1), experts...)
		}
	}
	return out
}

// Digest returns a hash of the content.
func (m Map) Digest() uint64 {
	h := fnv.New64a()
	var buffer []byte
	for _, layer := range m {
		for _, experts := range layer {
			buffer = binary.AppendUvarint(buffer[:0], uint64(len(experts)))
			for _, e := range experts {
				buffer = binary.AppendVarint(buffer, int64(e))
			}
			_, _ = h.Write(buffer) // never fails
		}
	}
	return h.Sum64()
}

// Pack encodes changes of base in the order of Diff. A change of a large group takes
// about three bytes.
func Pack(base Map, changes []Change) []byte {
	var out []byte
	last := 0
	for _, c := range changes {
		list := c.Layer*len(base[c.Layer]) + c.Rank
		out = binary.AppendUvarint(out, uint64(list-last))
		last = list
		// The place of the removed expert takes fewer bits than the expert.
		removed := slices.Index(base[c.Layer][c.Rank], c.Removed)
		out = binary.AppendUvarint(out, uint64(removed+1))
		out = binary.AppendUvarint(out, uint64(c.Added+1))
	}
	return out
}

// Unpack decodes changes of base. It returns an InvalidMap error if they don't fit it.
func Unpack(base Map, packed []byte) ([]Change, error) {
	var changes []Change
	list := uint64(0)
	for len(packed) > 0 {
		var fields [3]uint64
		for i := range fields {
			value, n := binary.Uvarint(packed)
			if n <= 0 || value > math.MaxInt32 {
				return nil, errkind.New(errkind.InvalidMap, "packed changes can't be decoded")
			}
			fields[i], packed = value, packed[n:]
		}
		list += fields[0]
		ranks := uint64(len(base[0]))
		if list >= ranks*uint64(len(base)) {
			return nil, errkind.New(errkind.InvalidMap, "packed change of list %d of a map with %d layers of %d ranks", list, len(base), ranks)
		}
		c := Change{Layer: int(list / ranks), Rank: int(list % ranks), Removed: None, Added: int32(fields[2]) - 1}
		experts := base[c.Layer][c.Rank]
		if place := int(fields[1]); place > len(experts) {
			return nil, errkind.New(errkind.InvalidMap, "packed change removes expert %d of %d", place, len(experts))
		} else if place > 0 {
			c.Removed = experts[place-1]
		}
		changes = append(changes, c)
	}
	return changes, nil
}
