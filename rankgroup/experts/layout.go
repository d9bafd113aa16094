package experts

import (
	"slices"

	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

// layout is a layer under construction, with its derived loads.
type layout struct {
	topo *Topology
	// load is the load of each expert.
	load  []float64
	slots Layer
	// hosts is the set of ranks that host each expert.
	hosts rankset.Table
	// initialHosts is the same for the layer from which moves are counted.
	initialHosts rankset.Table
	rankLoad     []float64
	// hot is the most loaded rank that may change, or -1.
	hot int
	// frozen is the set of ranks whose slots may not change, and anyFrozen is true if
	// there is one.
	frozen    rankset.Set
	anyFrozen bool
	// baseLoad is added to the load of each rank; nil without slow ranks. It is
	// chosen so that ranks with equal load, including baseLoad, take the same time.
	baseLoad []float64
	// domainOf maps a rank to the set of ranks in its failure domain.
	domainOf []rankset.Set
	// risk is the fraction by which the load of a replica is raised if that load equals
	// the mean rank load. For smaller replicas, the fraction is proportional to their
	// load. See riskFactor.
	risk float64
	// total is the load of the layer; it is set with risk.
	total float64
	// ideal is the result of replicaCounts, or nil before its first use.
	ideal []int
	// replicaLoad caches the loads that the search uses most often. It is indexed by
	// expert.
	replicaLoad []replicaLoad
}

// replicaLoad is the load of one replica of an expert with the current number of
// replicas, with one more and with one fewer.
type replicaLoad struct {
	replicas         int
	now, more, fewer float64
}

func newLayout(t *Topology, slots Layer, load []float64, frozen rankset.Set) *layout {
	w := &layout{topo: t, load: load, slots: slices.Clone(slots), frozen: frozen, anyFrozen: !frozen.Empty()}
	w.hosts = hostSets(t, slots)
	w.initialHosts = w.hosts.Clone()
	w.rankLoad = make([]float64, t.Ranks())
	w.replicaLoad = make([]replicaLoad, t.Experts)
	w.domainOf = domainSets(t)
	w.baseLoad = baseLoads(t, sum(load))
	w.recompute()
	return w
}

// baseLoads returns the base load of each rank, or nil if no rank is slow. With
// slowdowns s and a total load L, the ranks are balanced if rank r carries m/s[r],
// where m is L divided by the sum of all 1/s. The base load makes up the rest of m.
func baseLoads(t *Topology, load float64) []float64 {
	if t.Slowdown == nil {
		return nil
	}
	speed := 0.0
	for _, s := range t.Slowdown {
		speed += 1 / max(s, 1)
	}
	out := make([]float64, len(t.Slowdown))
	for r, s := range t.Slowdown {
		out[r] = load / speed * (1 - 1/max(s, 1))
	}
	return out
}

// domainSets returns the set of ranks in the failure domain of each rank.
func domainSets(t *Topology) []rankset.Set {
	byName := make(map[string]rankset.Set)
	for rank, d := range t.Domains {
		if byName[d] == nil {
			byName[d] = rankset.New(t.Ranks())
		}
		byName[d].Add(rank)
	}
	sets := make([]rankset.Set, t.Ranks())
	for rank, d := range t.Domains {
		sets[rank] = byName[d]
	}
	return sets
}

// recompute derives the hosts and the rank loads from the slots.
func (w *layout) recompute() {
	w.hosts.Clear()
	for slot, e := range w.slots {
		if e != EmptySlot {
			w.hostsOf(e).Add(w.topo.RankOf(slot))
		}
	}
	for e := range w.replicaLoad {
		w.recomputeReplicas(Expert(e))
	}
	for rank := range w.rankLoad {
		w.recomputeRank(rank)
	}
	w.hot = w.findMostLoaded()
}

// recomputeReplicas derives the load of a replica of e from its hosts.
func (w *layout) recomputeReplicas(e Expert) {
	n := w.hostsOf(e).Len()
	if l := &w.replicaLoad[e]; l.replicas != n {
		*l = replicaLoad{n, w.loadWithReplicas(e, n), w.loadWithReplicas(e, n+1), w.loadWithReplicas(e, n-1)}
	}
}

// recomputeRank derives the load of a rank from its slots. The sum is made anew, so that
// rounding errors don't accumulate.
func (w *layout) recomputeRank(rank int) {
	load := 0.0
	if w.baseLoad != nil {
		load = w.baseLoad[rank]
	}
	first, end := w.slotsOf(rank)
	for _, e := range w.slots[first:end] {
		if e != EmptySlot {
			load += w.replicaLoad[e].now
		}
	}
	w.rankLoad[rank] = load
}

func (w *layout) replicas(e Expert) int { return w.replicaLoad[e].replicas }

// loadPerReplica returns the load of one replica of e.
func (w *layout) loadPerReplica(e Expert) float64 { return w.replicaLoad[e].now }

// loadWithReplicas returns the load of one replica of e if e has n replicas.
func (w *layout) loadWithReplicas(e Expert, n int) float64 {
	load := w.load[e] / float64(n)
	if w.risk == 0 {
		return load
	}
	// Dividing by the total first avoids overflow and underflow.
	return load * (1 + w.risk*float64(w.topo.Ranks())*(load/w.total))
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

// targetLoad returns the maximum rank load at which the search stops.
func (w *layout) targetLoad() float64 {
	return sum(w.rankLoad) / float64(w.topo.Ranks()) * w.skewLowerBound() * (1 + PackTolerance)
}

// skewLowerBound returns SkewLowerBound of the loads.
func (w *layout) skewLowerBound() float64 {
	if sum(w.load) == 0 {
		return 1
	}
	return skewLowerBound(w.topo, w.load, w.idealReplicas())
}

// idealReplicas returns the number of replicas of each expert if the slots are divided among
// the experts by load.
func (w *layout) idealReplicas() []int {
	if w.ideal == nil {
		w.ideal = replicaCounts(w.load, w.topo.Slots(), w.topo.Ranks())
	}
	return w.ideal
}

// hostsOf returns the set of ranks that host e.
func (w *layout) hostsOf(e Expert) rankset.Set { return w.hosts.Of(int(e)) }

func (w *layout) hosted(e Expert, rank int) bool { return w.hosts.Has(int(e), rank) }

func (w *layout) isFrozen(rank int) bool { return w.anyFrozen && w.frozen.Has(rank) }

// fetches returns 1 if e on rank must be fetched, and 0 otherwise.
func (w *layout) fetches(e Expert, rank int) int {
	if e == EmptySlot || w.initialHosts.Has(int(e), rank) {
		return 0
	}
	return 1
}

// findMostLoaded returns the most loaded rank that may change, or -1.
func (w *layout) findMostLoaded() int {
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

// maxLoad returns the largest load among the ranks that may change, or 0. It ignores
// frozen ranks, so that they don't hide an improvement of the others.
func (w *layout) maxLoad() float64 {
	if w.hot >= 0 {
		return w.rankLoad[w.hot]
	}
	return 0
}

// slotsOf returns the first slot of the rank and the one after the last.
func (w *layout) slotsOf(rank int) (first, end int) {
	first = rank * w.topo.SlotsPerRank
	return first, first + w.topo.SlotsPerRank
}

// inOneDomain reports whether a set of at least two ranks is in one failure domain.
func (w *layout) inOneDomain(hosts rankset.Set) bool {
	return hosts.Len() > 1 && hosts.Within(w.domainOf[hosts.First()])
}
