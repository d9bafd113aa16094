package experts

import (
	"math/bits"
	"slices"
)

// layout is a layer under construction, with its derived loads.
type layout struct {
	topo     *Topology
	load     []float64
	slots    Layer
	hosts    []uint64
	origin   []uint64
	rankLoad []float64
	// frozen is the set of ranks whose slots may not change.
	frozen uint64
	// handicap is added to the load of each rank, nil without slow ranks. It is
	// chosen such that ranks of equal load, handicap included, take equally
	// long.
	handicap []float64
	// domainOf maps a rank to the set of ranks in its failure domain.
	domainOf []uint64
	// risk is the part by which the load of a replica as large as a mean rank
	// is raised; smaller replicas are raised in proportion to their load.
	risk float64
	// total is the load of the layer; it is set with risk.
	total float64
	// replicaLoad holds the loads that the search asks for most often. It is
	// indexed by expert.
	replicaLoad []replicaLoad
}

// replicaLoad is the load of one replica of an expert with the present number
// of replicas, with one more and with one fewer.
type replicaLoad struct {
	replicas         int
	now, more, fewer float64
}

func newLayout(t *Topology, slots Layer, load []float64, frozen uint64) *layout {
	w := &layout{topo: t, load: load, slots: slices.Clone(slots), frozen: frozen}
	w.hosts = hostSets(t, slots)
	w.origin = slices.Clone(w.hosts)
	w.rankLoad = make([]float64, t.Ranks())
	w.replicaLoad = make([]replicaLoad, t.Experts)
	w.domainOf = domainSets(t)
	w.handicap = handicaps(t, sum(load))
	w.recompute()
	return w
}

// handicaps returns the handicap of each rank. With paces p and a load L, ranks
// are balanced if rank r carries m/p[r], where m is L over the sum of all 1/p.
func handicaps(t *Topology, load float64) []float64 {
	if t.Pace == nil {
		return nil
	}
	speed := 0.0
	for _, p := range t.Pace {
		speed += 1 / max(p, 1)
	}
	out := make([]float64, len(t.Pace))
	for r, p := range t.Pace {
		out[r] = load / speed * (1 - 1/max(p, 1))
	}
	return out
}

func domainSets(t *Topology) []uint64 {
	byName := make(map[string]uint64)
	for rank, d := range t.Domains {
		byName[d] |= 1 << rank
	}
	sets := make([]uint64, t.Ranks())
	for rank, d := range t.Domains {
		sets[rank] = byName[d]
	}
	return sets
}

// recompute derives hosts and rank loads from the slots. It also removes the
// rounding that incremental updates accumulate.
func (w *layout) recompute() {
	clear(w.hosts)
	clear(w.rankLoad)
	copy(w.rankLoad, w.handicap)
	for slot, e := range w.slots {
		if e != EmptySlot {
			w.hosts[e] |= 1 << w.topo.RankOf(slot)
		}
	}
	for e, hosts := range w.hosts {
		n := bits.OnesCount64(hosts)
		if l := &w.replicaLoad[e]; l.replicas != n {
			*l = replicaLoad{n, w.replica(Expert(e), n), w.replica(Expert(e), n+1), w.replica(Expert(e), n-1)}
		}
	}
	for rank := range w.rankLoad {
		first, end := w.slotsOf(rank)
		for _, e := range w.slots[first:end] {
			if e != EmptySlot {
				w.rankLoad[rank] += w.replicaLoad[e].now
			}
		}
	}
}

func (w *layout) replicas(e Expert) int { return w.replicaLoad[e].replicas }

// share returns the load of one replica of e.
func (w *layout) share(e Expert) float64 { return w.replicaLoad[e].now }

// replica returns the load of one of n replicas of e.
func (w *layout) replica(e Expert, n int) float64 {
	share := w.load[e] / float64(n)
	if w.risk == 0 {
		return share
	}
	// Dividing by the total first keeps very small and large loads finite.
	return share * (1 + w.risk*float64(w.topo.Ranks())*(share/w.total))
}

// addRisk raises the loads of replicas; see riskFactor.
func (w *layout) addRisk(factor float64) {
	w.total = sum(w.load)
	if w.total > 0 {
		w.risk = factor
		clear(w.replicaLoad)
		w.recompute()
	}
}

// target returns the rank load at which the search stops.
func (w *layout) target() float64 {
	return sum(w.rankLoad) / float64(w.topo.Ranks()) * SkewLowerBound(w.topo, w.load) * (1 + PackTolerance)
}

func (w *layout) hosted(e Expert, rank int) bool { return w.hosts[e]>>rank&1 == 1 }

func (w *layout) isFrozen(rank int) bool { return w.frozen>>rank&1 == 1 }

// fetches returns 1 if e on rank must be fetched, and 0 otherwise.
func (w *layout) fetches(e Expert, rank int) int {
	if e == EmptySlot || w.origin[e]>>rank&1 == 1 {
		return 0
	}
	return 1
}

// hottest returns the rank with the most load among those that may change.
func (w *layout) hottest() int {
	best := -1
	for rank, l := range w.rankLoad {
		if w.isFrozen(rank) {
			continue
		}
		if best < 0 || l > w.rankLoad[best] {
			best = rank
		}
	}
	return best
}

// maxLoad returns the largest load among the ranks that may change, so that a
// frozen rank does not hide an improvement among the others.
func (w *layout) maxLoad() float64 {
	if rank := w.hottest(); rank >= 0 {
		return w.rankLoad[rank]
	}
	return 0
}

// slotsOf returns the first slot of the rank and the one after the last.
func (w *layout) slotsOf(rank int) (first, end int) {
	first = rank * w.topo.SlotsPerRank
	return first, first + w.topo.SlotsPerRank
}

// oneDomain reports whether e has several replicas in one failure domain only.
func (w *layout) oneDomain(hosts uint64) bool {
	if bits.OnesCount64(hosts) < 2 {
		return false
	}
	return hosts&^w.domainOf[bits.TrailingZeros64(hosts)] == 0
}
