package experts

import "math"

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
	// releaseLoss is the increase of the squared excess if an expert loses a replica.
	// It is indexed by expert. It counts every current host as if it kept its replica
	// and carried the higher load per remaining replica; vacate corrects it for the
	// host that loses the replica.
	releaseLoss []float64
	// swapBounds is indexed by rank.
	swapBounds []swapBound
	// idealReplicas is the result of replicaCounts, or nil before its first use.
	idealReplicas []int
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
	s := &search{layout: w, target: target, replicateGain: make([]float64, len(w.load))}
	s.releaseLoss = make([]float64, len(w.load))
	s.swapBounds = make([]swapBound, w.topo.Ranks())
	var steps []step
	for len(steps) < maxRefineSteps {
		hot := s.mostLoaded()
		if hot < 0 || s.rankLoad[hot] <= target {
			break
		}
		if first, second, ok := s.splitHeaviest(hot); ok {
			steps = append(steps, s.applyStep(first), s.applyStep(second))
			continue
		}
		s.best = candidate{}
		s.computeReplicaEffects()
		s.trySwaps(hot)
		s.tryReplicate(hot)
		s.tryRelease(hot)
		if s.best.score <= 0 {
			break
		}
		steps = append(steps, s.applyStep(s.best.change))
	}
	return steps
}

// applyStep applies a change and returns the state after it.
func (s *search) applyStep(c change) step {
	s.apply(c)
	return step{change: c, moves: s.moves, max: s.maxLoad()}
}

// squaredExcess returns the squared excess of a rank with the given load.
func (s *search) squaredExcess(load float64) float64 {
	x := load - s.target
	if x <= 0 {
		return 0
	}
	return x * x
}

// computeReplicaEffects sets replicateGain and releaseLoss.
func (s *search) computeReplicaEffects() {
	for e := range s.replicateGain {
		l := &s.replicaLoad[e]
		s.replicateGain[e], s.releaseLoss[e] = 0, 0
		for rank := range s.hosts.Of(e).All() {
			load := s.rankLoad[rank]
			before := s.squaredExcess(load)
			s.replicateGain[e] += before - s.squaredExcess(load-l.now+l.more)
			if l.replicas > 1 {
				s.releaseLoss[e] += s.squaredExcess(load-l.now+l.fewer) - before
			}
		}
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
	if s.topo.MaxNewPerRank == 0 {
		return true
	}
	rank := s.topo.RankOf(c.slot)
	if s.newExperts(rank)-s.fetches(s.slots[c.slot], rank)+s.fetches(c.expert, rank) > s.topo.MaxNewPerRank {
		return false
	}
	if !c.swap {
		return true
	}
	other := s.topo.RankOf(c.other)
	return s.newExperts(other)-s.fetches(c.expert, other)+s.fetches(s.slots[c.slot], other) <= s.topo.MaxNewPerRank
}

// newExperts returns the number of experts that a rank must fetch.
func (s *search) newExperts(rank int) int {
	n := 0
	first, end := s.slotsOf(rank)
	for _, e := range s.slots[first:end] {
		n += s.fetches(e, rank)
	}
	return n
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
		if rank == hot || s.isFrozen(rank) || s.hosted(e, rank) {
			continue
		}
		both := before + s.squaredExcess(load)
		moves := s.fetches(e, rank) - s.fetches(e, hot)
		// The gain increases with the difference between the loads of the two
		// experts, up to half the difference between the loads of the two ranks.
		p := s.swapBounds[rank]
		maxShift := min(eLoad-p.lightest, (hotLoad-load)/2)
		bound := both - s.squaredExcess(hotLoad-maxShift) - s.squaredExcess(load+maxShift)
		if maxShift <= 0 || scoreOf(bound, moves+p.minMoves) <= s.best.score {
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

// apply applies a change and updates the number of fetches.
func (s *search) apply(c change) {
	rank := s.topo.RankOf(c.slot)
	old := s.slots[c.slot]
	s.moves += s.fetches(c.expert, rank) - s.fetches(old, rank)
	s.slots[c.slot] = c.expert
	if c.swap {
		other := s.topo.RankOf(c.other)
		s.moves += s.fetches(old, other) - s.fetches(c.expert, other)
		s.slots[c.other] = old
	}
	s.recompute()
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
