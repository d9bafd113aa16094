package experts

import (
	"math"

	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

// maxRefineSteps limits the duration of the search in one layer. With a limit of 160
// steps, a first plan for 256 experts took up to 23 ms. A layer that needs more steps
// than the limit is replanned from scratch, which takes less than 1 ms.
const maxRefineSteps = 45

// minRelativeGain is the minimum gain of a change relative to the squared target load.
// Without a minimum, rounding errors could drive the search endlessly.
const minRelativeGain = 1e-9

// change is one change of a layout. It puts expert into slot. In a swap, the previous
// expert of slot goes to slot other; otherwise that expert loses a replica.
type change struct {
	slot   int
	expert Expert
	swap   bool
	other  int
}

// candidate is a change with its gain, and its score, which is the gain per fetch.
type candidate struct {
	change
	gain  float64
	score float64
}

// step is a change of the search, with the number of fetches and the maximum rank load
// after it.
type step struct {
	change change
	moves  int
	max    float64
}

// search is a greedy local search that improves a layout by single changes. The excess
// of a rank is its load above target, and the hot rank is the most loaded one. The gain
// of a change is the reduction of the sum of squared excesses. Each step applies the
// change with the largest gain per expert to fetch.
type search struct {
	*layout
	target float64
	moves  int
	best   candidate
	// replicateGain is the reduction of the squared excess on the hosts of an expert
	// if it gets a further replica on another rank. It is indexed by expert.
	replicateGain []float64
	// stale holds the experts whose replicateGain and releaseLoss have to be computed, and
	// changed is used to find the ranks whose load a change affects.
	stale   []bool
	changed rankset.Set
	// added is the number of experts that each rank must fetch.
	added []int
	// releaseLoss is the increase of the squared excess if an expert loses a replica.
	// It is indexed by expert. It counts every current host as if it kept its replica
	// and carried the higher load per remaining replica; vacate corrects it for the
	// host that loses the replica.
	releaseLoss []float64
	// swapBounds is indexed by rank.
	swapBounds []swapBound
	// steps are the steps so far, at most maxSteps.
	steps    []step
	maxSteps int
	// done is true once no change was found.
	done bool
	// copies bounds the copies of each rank over all layers, or nil without a bound. The
	// search takes up peak of it, the largest added of each rank so far, so that any prefix
	// of the steps is within the bound.
	copies *copyBudget
	peak   []int
}

// swapBound bounds the gain per fetch of all swaps between a rank and the hot rank, so
// that ranks without a promising swap are skipped.
type swapBound struct {
	// lightest is the load of the lightest replica, or 0 with an empty slot.
	lightest float64
	// minMoves is the smallest number of fetches added by moving an expert from the
	// rank to the hot rank. It may be negative.
	minMoves int
}

// refine runs the search on w and returns its steps, so that the caller may use any
// prefix of them.
func refine(w *layout, target float64) []step {
	s := newSearch(w, target, maxRefineSteps)
	for s.next() {
	}
	return s.steps
}

// newSearch returns a search that improves w in at most maxSteps steps.
func newSearch(w *layout, target float64, maxSteps int) *search {
	s := &search{
		layout: w, target: target, maxSteps: maxSteps, replicateGain: make([]float64, len(w.load)), releaseLoss: make([]float64, len(w.load)),
		swapBounds: make([]swapBound, w.topo.Ranks()), stale: make([]bool, len(w.load)), changed: rankset.New(w.topo.Ranks()),
		added: make([]int, w.topo.Ranks()), peak: make([]int, w.topo.Ranks()),
	}
	for e := range s.stale {
		s.stale[e] = true
	}
	for rank := range s.added {
		first, end := s.slotsOf(rank)
		for _, e := range s.slots[first:end] {
			s.added[rank] += s.fetches(e, rank)
		}
	}
	return s
}

// next applies the best change, or two that split an expert. It returns false, and sets done,
// if there is none.
func (s *search) next() bool {
	s.done = !s.tryStep()
	return !s.done
}

func (s *search) tryStep() bool {
	hot := s.hot
	if len(s.steps) >= s.maxSteps || hot < 0 || s.rankLoad[hot] <= s.target {
		return false
	}
	if first, second, ok := s.splitHeaviest(hot); ok {
		s.applyStep(first)
		s.applyStep(second)
		return true
	}
	s.best = candidate{}
	s.computeReplicaEffects()
	s.trySwaps(hot)
	s.tryReplicate(hot)
	s.tryRelease(hot)
	if s.best.score <= 0 {
		return false
	}
	s.applyStep(s.best.change)
	return true
}

// applyStep applies a change and records the state after it.
func (s *search) applyStep(c change) {
	s.apply(c)
	s.steps = append(s.steps, step{change: c, moves: s.moves, max: s.maxLoad()})
}

// squaredExcess returns the squared excess of a rank with the given load.
func (s *search) squaredExcess(load float64) float64 {
	x := load - s.target
	if x <= 0 {
		return 0
	}
	return x * x
}

// computeReplicaEffects sets replicateGain and releaseLoss of the stale experts.
func (s *search) computeReplicaEffects() {
	for e, stale := range s.stale {
		if !stale {
			continue
		}
		s.stale[e] = false
		l := &s.replicaLoad[e]
		gain, loss := 0.0, 0.0
		for rank := range s.hosts.Of(e).All() {
			load := s.rankLoad[rank]
			before := s.squaredExcess(load)
			gain += before - s.squaredExcess(load-l.now+l.more)
			if l.replicas > 1 {
				loss += s.squaredExcess(load-l.now+l.fewer) - before
			}
		}
		s.replicateGain[e], s.releaseLoss[e] = gain, loss
	}
}

// consider stores a change as the best candidate if its score is the highest so far and
// its gain is not negligible.
func (s *search) consider(c change, gain float64, moves int) {
	if gain <= minRelativeGain*s.target*s.target {
		return
	}
	if score := scoreOf(gain, moves); score > s.best.score && s.withinLimit(c) {
		s.best = candidate{change: c, gain: gain, score: score}
	}
}

// withinLimit reports whether the ranks of a change stay within MaxNewPerRank.
func (s *search) withinLimit(c change) bool {
	rank := s.topo.RankOf(c.slot)
	if !s.mayFetch(rank, s.fetches(c.expert, rank)-s.fetches(s.slots[c.slot], rank)) {
		return false
	}
	if !c.swap {
		return true
	}
	other := s.topo.RankOf(c.other)
	return s.mayFetch(other, s.fetches(s.slots[c.slot], other)-s.fetches(c.expert, other))
}

// mayFetch reports whether a rank stays within its limits if it fetches that many more
// experts.
func (s *search) mayFetch(rank, more int) bool {
	if more <= 0 {
		return true
	}
	if limit := s.topo.MaxNewPerRank; limit > 0 && s.added[rank]+more > limit {
		return false
	}
	return s.copies == nil || s.copies.used[rank]+max(s.added[rank]+more-s.peak[rank], 0) <= s.copies.limit
}

// scoreOf returns the gain per fetch. A change without additional fetches counts as
// half a fetch, so that reverting a move is preferred to a new one.
func scoreOf(gain float64, moves int) float64 {
	if moves < 1 {
		return gain / 0.5
	}
	return gain / float64(moves)
}

// trySwaps considers swaps of an expert of the hot rank with a lighter one or an empty
// slot of another rank.
func (s *search) trySwaps(hot int) {
	for rank := range s.swapBounds {
		s.swapBounds[rank] = s.swapBoundOf(rank, hot)
	}
	first, end := s.slotsOf(hot)
	for a := first; a < end; a++ {
		if s.slots[a] != EmptySlot {
			s.trySwapsOf(a, hot)
		}
	}
}

// swapBoundOf returns the bound for swaps between a rank and the hot rank.
func (s *search) swapBoundOf(rank, hot int) swapBound {
	p := swapBound{lightest: math.Inf(1), minMoves: 1}
	first, end := s.slotsOf(rank)
	for _, f := range s.slots[first:end] {
		if f == EmptySlot {
			p.lightest, p.minMoves = 0, min(p.minMoves, 0)
			continue
		}
		p.lightest = min(p.lightest, s.replicaLoad[f].now)
		p.minMoves = min(p.minMoves, s.fetches(f, hot)-s.fetches(f, rank))
	}
	return p
}

// trySwapsOf considers the swaps of the expert in slot a of the hot rank.
func (s *search) trySwapsOf(a, hot int) {
	e := s.slots[a]
	eLoad := s.loadPerReplica(e)
	hotLoad := s.rankLoad[hot]
	before := s.squaredExcess(hotLoad)
	for rank, load := range s.rankLoad {
		// The gain increases with the difference between the loads of the two
		// experts, up to half the difference between the loads of the two ranks.
		p := s.swapBounds[rank]
		maxShift := min(eLoad-p.lightest, (hotLoad-load)/2)
		if maxShift <= 0 || rank == hot || s.isFrozen(rank) {
			continue
		}
		both := before + s.squaredExcess(load)
		moves := s.fetches(e, rank) - s.fetches(e, hot)
		bound := both - s.squaredExcess(hotLoad-maxShift) - s.squaredExcess(load+maxShift)
		if scoreOf(bound, moves+p.minMoves) <= s.best.score || s.hosted(e, rank) {
			continue
		}
		first, end := s.slotsOf(rank)
		for i, f := range s.slots[first:end] {
			c := change{slot: a, expert: f, swap: true, other: first + i}
			if f == EmptySlot {
				if eLoad > 0 {
					s.consider(c, both-s.squaredExcess(hotLoad-eLoad)-s.squaredExcess(load+eLoad), moves)
				}
				continue
			}
			d := eLoad - s.replicaLoad[f].now
			if d <= 0 || s.hosted(f, hot) {
				continue
			}
			gain := both - s.squaredExcess(hotLoad-d) - s.squaredExcess(load+d)
			if gain > 0 {
				s.consider(c, gain, moves+s.fetches(f, hot)-s.fetches(f, rank))
			}
		}
	}
}

// apply applies a change and updates what derives from it.
func (s *search) apply(c change) {
	clear(s.changed)
	old := s.slots[c.slot]
	s.replace(c.slot, c.expert)
	if c.swap {
		s.replace(c.other, old)
	}
	for _, e := range [...]Expert{old, c.expert} {
		if e == EmptySlot {
			continue
		}
		s.recomputeReplicas(e)
		s.stale[e] = true
		if !c.swap {
			s.changed.AddAll(s.hostsOf(e))
		}
	}
	for rank := range s.changed.All() {
		s.recomputeRank(rank)
		first, end := s.slotsOf(rank)
		for _, e := range s.slots[first:end] {
			if e != EmptySlot {
				s.stale[e] = true
			}
		}
	}
	s.hot = s.findMostLoaded()
}

// replace puts an expert into a slot.
func (s *search) replace(slot int, e Expert) {
	rank, old := s.topo.RankOf(slot), s.slots[slot]
	s.addMoves(rank, s.fetches(e, rank)-s.fetches(old, rank))
	s.slots[slot] = e
	if old != EmptySlot {
		s.hostsOf(old).Remove(rank)
	}
	if e != EmptySlot {
		s.hostsOf(e).Add(rank)
	}
	s.changed.Add(rank)
}

func (s *search) addMoves(rank, n int) {
	s.moves += n
	s.added[rank] += n
	if rise := s.added[rank] - s.peak[rank]; s.copies != nil && rise > 0 {
		s.peak[rank] += rise
		s.copies.used[rank] += rise
	}
}

// replay returns a copy of a layer with the changes of the steps applied.
func replay(l Layer, steps []step) Layer {
	out := append(Layer(nil), l...)
	for _, st := range steps {
		old := out[st.change.slot]
		out[st.change.slot] = st.change.expert
		if st.change.swap {
			out[st.change.other] = old
		}
	}
	return out
}
