package experts

import (
	"math"
	"slices"

	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

// matchRanks renumbers the ranks of a planned layer so that as many experts as
// possible stay on their rank in the layer in force. Frozen ranks keep their number.
func matchRanks(t *Topology, inForce, planned Layer, frozen rankset.Set) Layer {
	hosts := hostSets(t, inForce)
	n := t.Ranks()
	cost := make([][]float64, n)
	for from := range cost {
		cost[from] = make([]float64, n)
		for to := range cost[from] {
			cost[from][to] = matchCost(t, hosts, planned, from, to, frozen)
		}
	}
	out := make(Layer, len(planned))
	for from, to := range solveAssignment(cost) {
		copy(out[to*t.SlotsPerRank:(to+1)*t.SlotsPerRank], planned[from*t.SlotsPerRank:])
	}
	return out
}

// matchCost returns the number of experts to fetch if the slots planned for rank from
// go to rank to. If that would renumber a frozen rank, it returns a cost higher than
// that of any other choice.
func matchCost(t *Topology, hosts rankset.Table, planned Layer, from, to int, frozen rankset.Set) float64 {
	if from != to && (frozen.Has(from) || frozen.Has(to)) {
		return float64(t.Slots())
	}
	cost := 0
	for _, e := range planned[from*t.SlotsPerRank : (from+1)*t.SlotsPerRank] {
		if e != EmptySlot && !hosts.Has(int(e), to) {
			cost++
		}
	}
	return float64(cost)
}

// solveAssignment solves the assignment problem with the Hungarian algorithm and
// returns the column of each row. It takes O(n³) time.
func solveAssignment(cost [][]float64) []int {
	n := len(cost)
	rowPotential := make([]float64, n+1)
	columnPotential := make([]float64, n+1)
	rowOf := make([]int, n+1)
	for row := 1; row <= n; row++ {
		rowOf[0] = row
		augment(cost, rowPotential, columnPotential, rowOf)
	}
	columns := make([]int, n)
	for c := 1; c <= n; c++ {
		columns[rowOf[c]-1] = c - 1
	}
	return columns
}

// augment adds the row in rowOf[0] to the matching along a shortest path.
// Rows and columns are numbered from 1.
func augment(cost [][]float64, rowPotential, columnPotential []float64, rowOf []int) {
	n := len(cost)
	slack := make([]float64, n+1)
	previous := make([]int, n+1)
	used := make([]bool, n+1)
	for c := range slack {
		slack[c] = math.Inf(1)
	}
	column := 0
	for rowOf[column] != 0 {
		used[column] = true
		row, next, delta := rowOf[column], 0, math.Inf(1)
		for c := 1; c <= n; c++ {
			if used[c] {
				continue
			}
			if reduced := cost[row-1][c-1] - rowPotential[row] - columnPotential[c]; reduced < slack[c] {
				slack[c], previous[c] = reduced, column
			}
			if slack[c] < delta {
				delta, next = slack[c], c
			}
		}
		for c := 0; c <= n; c++ {
			if used[c] {
				rowPotential[rowOf[c]] += delta
				columnPotential[c] -= delta
			} else {
				slack[c] -= delta
			}
		}
		column = next
	}
	for column != 0 {
		rowOf[column] = rowOf[previous[column]]
		column = previous[column]
	}
}

// alignSlots keeps each expert that stays on its rank in its slot, and places the
// other experts of the rank in the free slots in order.
func alignSlots(t *Topology, inForce, planned Layer) Layer {
	out := make(Layer, len(planned))
	for rank := range t.Ranks() {
		first := rank * t.SlotsPerRank
		end := first + t.SlotsPerRank
		alignRank(out[first:end], inForce[first:end], planned[first:end])
	}
	return out
}

// alignRank is alignSlots for the slots of one rank.
func alignRank(out, old, planned Layer) {
	pending := make(map[Expert]bool, len(planned))
	for _, e := range planned {
		pending[e] = e != EmptySlot
	}
	for i, e := range old {
		out[i] = EmptySlot
		if pending[e] {
			out[i] = e
			pending[e] = false
		}
	}
	next := 0
	for _, e := range planned {
		if !pending[e] {
			continue
		}
		for out[next] != EmptySlot {
			next++
		}
		out[next] = e
	}
}

// spreadOverDomains swaps experts that must be fetched anyway, so that the replicas of
// an expert are in more than one failure domain. It raises neither the maximum load nor
// the number of moves.
func (w *layout) spreadOverDomains() {
	for slot, e := range w.slots {
		rank := w.topo.RankOf(slot)
		if e == EmptySlot || w.fetches(e, rank) == 0 || !w.inOneDomain(w.hostsOf(e)) {
			continue
		}
		w.spreadReplica(slot, rank, e)
	}
}

// spreadReplica swaps the replica of e at slot with one in another failure domain, if
// there is a suitable one.
func (w *layout) spreadReplica(slot, rank int, e Expert) {
	limit := maxOf(w.rankLoad)
	for other, f := range w.slots {
		target := w.topo.RankOf(other)
		if f == EmptySlot || f == e || w.domainOf[rank].Has(target) || w.fetches(f, target) == 0 {
			continue
		}
		if w.hosted(e, target) || w.hosted(f, rank) {
			continue
		}
		d := w.loadPerReplica(e) - w.loadPerReplica(f)
		if w.rankLoad[rank]-d > limit || w.rankLoad[target]+d > limit {
			continue
		}
		moved := slices.Clone(w.hostsOf(f))
		moved.Remove(target)
		moved.Add(rank)
		if w.inOneDomain(moved) {
			continue
		}
		w.slots[slot], w.slots[other] = f, e
		w.recompute()
		return
	}
}
