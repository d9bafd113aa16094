// Package experts plans which ranks of a group host which experts.
//
// It computes an expert map with replicas from expert counts, which arrive with a
// delay, and decides whether the switch to that map is worth its cost. All functions
// are deterministic and have no side effects. Values are not safe for concurrent
// modification.
package experts

import (
	"slices"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

// Limits of the planner.
const (
	// MaxRanks is the maximum number of ranks of a group.
	MaxRanks = 1024
	// MaxExperts is the maximum number of experts of one layer.
	MaxExperts = 1024
	// MaxSlotsPerRank is the maximum number of expert slots of one rank in one layer.
	MaxSlotsPerRank = 256
	// MaxLayers is the maximum number of layers of a map.
	MaxLayers = 1024
)

// CheckSizes checks what can be checked of the sizes of a map before the ranks of its group
// are known.
func CheckSizes(layers, experts, slotsPerRank int) error {
	if layers < 1 || layers > MaxLayers {
		return errkind.New(errkind.InvalidMap, "%d layers, allowed are 1 to %d", layers, MaxLayers)
	}
	return checkLayerSizes(experts, slotsPerRank)
}

func checkLayerSizes(experts, slotsPerRank int) error {
	if experts < 1 || experts > MaxExperts {
		return errkind.New(errkind.InvalidMap, "%d experts in a layer, allowed are 1 to %d", experts, MaxExperts)
	}
	if slotsPerRank < 1 || slotsPerRank > MaxSlotsPerRank {
		return errkind.New(errkind.InvalidMap, "%d experts on a rank, allowed are 1 to %d", slotsPerRank, MaxSlotsPerRank)
	}
	return nil
}

// Expert is the index of an expert inside its layer.
type Expert int32

// EmptySlot marks a slot that hosts no expert.
const EmptySlot Expert = -1

// Topology describes the ranks of a group.
type Topology struct {
	// Experts is the number of experts in each layer.
	Experts int
	// SlotsPerRank is the number of experts that a rank hosts in each layer.
	// Slots beyond Experts/len(Domains) are the spare replica slots.
	SlotsPerRank int
	// Domains holds the failure domain of each rank.
	Domains []string
	// MaxNewPerRank is the maximum number of experts of a layer that a new map may
	// add to a rank; 0 means no limit. Some engines have memory for only a few
	// experts besides those in use.
	MaxNewPerRank int
	// Slowdown is how many times longer each rank takes for the same work than a
	// normal rank. It is nil if all ranks are equally fast. A slow rank gets less
	// load.
	Slowdown []float64
}

// Ranks returns the number of ranks.
func (t *Topology) Ranks() int { return len(t.Domains) }

// Slots returns the number of slots in each layer.
func (t *Topology) Slots() int { return t.Ranks() * t.SlotsPerRank }

// RankOf returns the rank that owns a slot.
func (t *Topology) RankOf(slot int) int { return slot / t.SlotsPerRank }

// Validate checks the limits of the topology, and that it can host every expert.
func (t *Topology) Validate() error {
	if t.Ranks() < 1 || t.Ranks() > MaxRanks {
		return errkind.New(errkind.InvalidMap, "topology has %d ranks, allowed are 1 to %d", t.Ranks(), MaxRanks)
	}
	if err := checkLayerSizes(t.Experts, t.SlotsPerRank); err != nil {
		return err
	}
	if t.Slots() < t.Experts {
		return errkind.New(errkind.InvalidMap, "%d slots cannot host %d experts", t.Slots(), t.Experts)
	}
	return nil
}

// Layer holds the expert of each slot. Slot s belongs to rank s/SlotsPerRank.
type Layer []Expert

// Map is the expert map of a group: one Layer for each layer of the model.
type Map struct {
	Epoch  uint64
	Layers []Layer
}

// Clone returns a deep copy.
func (m *Map) Clone() Map {
	c := Map{Epoch: m.Epoch, Layers: make([]Layer, len(m.Layers))}
	for i, l := range m.Layers {
		c.Layers[i] = slices.Clone(l)
	}
	return c
}

// Validate checks the map against the topology. Each layer must host every
// expert, and no rank may host an expert twice in a layer.
func (m *Map) Validate(t *Topology) error {
	if err := t.Validate(); err != nil {
		return err
	}
	if len(m.Layers) == 0 {
		return errkind.New(errkind.InvalidMap, "map has no layers")
	}
	for i, l := range m.Layers {
		if err := l.validate(t, i); err != nil {
			return err
		}
	}
	return nil
}

func (l Layer) validate(t *Topology, index int) error {
	if len(l) != t.Slots() {
		return errkind.New(errkind.InvalidMap, "layer %d has %d slots, the group has %d", index, len(l), t.Slots())
	}
	hosts := rankset.NewTable(t.Experts, t.Ranks())
	for slot, e := range l {
		if e == EmptySlot {
			continue
		}
		if e < 0 || int(e) >= t.Experts {
			return errkind.New(errkind.InvalidMap, "layer %d slot %d hosts expert %d, the layer has %d experts", index, slot, e, t.Experts)
		}
		rank := t.RankOf(slot)
		if hosts.Has(int(e), rank) {
			return errkind.New(errkind.InvalidMap, "layer %d rank %d hosts expert %d twice", index, rank, e)
		}
		hosts.Of(int(e)).Add(rank)
	}
	for e := range t.Experts {
		if hosts.Of(e).Len() == 0 {
			return errkind.New(errkind.InvalidMap, "layer %d has no slot for expert %d", index, e)
		}
	}
	return nil
}

// RankLoads returns the load of each rank of a valid layer. The load of an
// expert is split evenly over its replicas.
func (l Layer) RankLoads(t *Topology, load []float64) []float64 {
	return newLayout(t, l, load, nil).rankLoad
}

// UniformMap returns the map that places the experts in order and gives the spare
// slots to the lowest-numbered experts. It is used before the first counts.
func UniformMap(t *Topology, layers int) (Map, error) {
	if err := t.Validate(); err != nil {
		return Map{}, err
	}
	m := Map{Layers: make([]Layer, layers)}
	for i := range m.Layers {
		m.Layers[i] = uniformLayer(t)
	}
	return m, m.Validate(t)
}

func uniformLayer(t *Topology) Layer {
	l := make(Layer, t.Slots())
	for slot := range l {
		rank, column := t.RankOf(slot), slot%t.SlotsPerRank
		n := column*t.Ranks() + rank
		switch {
		case n < t.Experts:
			l[slot] = Expert(n)
		case n < 2*t.Experts && t.Experts%t.Ranks() == 0 && t.Ranks() > 1:
			// The second replica is shifted by one rank, so that no rank
			// hosts both.
			row := (n - t.Experts) / t.Ranks()
			l[slot] = Expert(row*t.Ranks() + (rank+1)%t.Ranks())
		default:
			l[slot] = EmptySlot
		}
	}
	return l
}

// Move is an expert that a rank must fetch before a map can be activated.
type Move struct {
	Layer  int
	Slot   int
	Rank   int
	Expert Expert
}

// Moves lists the experts that ranks must fetch to switch from one valid map to
// another. A change of slot within a rank needs no fetch.
func Moves(t *Topology, from, to *Map) []Move {
	var moves []Move
	for i := range to.Layers {
		moves = append(moves, layerMoves(t, i, from.Layers[i], to.Layers[i])...)
	}
	return moves
}

func layerMoves(t *Topology, index int, from, to Layer) []Move {
	hosts := hostSets(t, from)
	var moves []Move
	for slot, e := range to {
		if e == EmptySlot || hosts.Has(int(e), t.RankOf(slot)) {
			continue
		}
		moves = append(moves, Move{Layer: index, Slot: slot, Rank: t.RankOf(slot), Expert: e})
	}
	return moves
}

// respectsMaxNew reports whether a layer adds at most MaxNewPerRank experts to each
// rank.
func respectsMaxNew(t *Topology, from, to Layer) bool {
	if t.MaxNewPerRank == 0 {
		return true
	}
	added := make([]int, t.Ranks())
	for _, m := range layerMoves(t, 0, from, to) {
		added[m.Rank]++
	}
	return slices.Max(added) <= t.MaxNewPerRank
}

// hostSets returns the set of ranks that host each expert.
func hostSets(t *Topology, l Layer) rankset.Table {
	hosts := rankset.NewTable(t.Experts, t.Ranks())
	for slot, e := range l {
		if e != EmptySlot {
			hosts.Of(int(e)).Add(t.RankOf(slot))
		}
	}
	return hosts
}
