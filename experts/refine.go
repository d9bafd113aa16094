package experts

import "math"

// maxRefineSteps bounds the time of the search in one layer. With 160 steps, a
// first plan for 256 experts took up to 23 ms; a placement that needs more
// steps is replanned as a whole, which takes less than 1 ms.
const maxRefineSteps = 45

// minGain is the smallest improvement, relative to the excess, that counts as
// one. It keeps rounding errors from driving an endless search.
const minGain = 1e-9

// change is one step of the search. It puts expert at slot. In a swap, the
// expert of slot goes to other; otherwise the expert of slot loses a replica.
type change struct {
	slot   int
	expert Expert
	swap   bool
	other  int
}

// candidate is a change with its effect.
type candidate struct {
	change
	gain  float64
	score float64
}

// step is the state of the search after a change.
type step struct {
	change change
	moves  int
	max    float64
}

// search improves a layout by single changes, each chosen by the reduction of
// the squared excess over target per expert to fetch.
type search struct {
	*layout
	target float64
	moves  int
	best   candidate
}

// refine runs the search and returns its steps, so that a caller may stop at
// any prefix.
func refine(w *layout, target float64) []step {
	s := &search{layout: w, target: target}
	var steps []step
	for len(steps) < maxRefineSteps {
		hot := s.hottest()
		if hot < 0 || s.rankLoad[hot] <= target {
			break
		}
		s.best = candidate{}
		s.trySwaps(hot)
		s.tryReplicate(hot)
		s.tryRelease(hot)
		if s.best.score <= 0 {
			break
		}
		s.apply(s.best.change)
		steps = append(steps, step{change: s.best.change, moves: s.moves, max: s.maxLoad()})
	}
	return steps
}

func (s *search) excess(load float64) float64 {
	x := max(0, load-s.target)
	return x * x
}

// offer keeps the candidate if it is the best so far. A change that adds no
// fetch counts as half of one, so that undoing a move is preferred.
func (s *search) offer(c change, gain float64, moves int) {
	if gain <= minGain*s.target*s.target {
		return
	}
	score := gain / math.Max(0.5, float64(moves))
	if score > s.best.score {
		s.best = candidate{change: c, gain: gain, score: score}
	}
}

// trySwaps offers exchanges of an expert of the hot rank with a lighter one.
func (s *search) trySwaps(hot int) {
	first, end := s.slotsOf(hot)
	for a := first; a < end; a++ {
		if s.slots[a] != Empty {
			s.trySwapsOf(a, hot)
		}
	}
}

func (s *search) trySwapsOf(a, hot int) {
	e := s.slots[a]
	share := s.share(e)
	before := s.excess(s.rankLoad[hot])
	for rank, load := range s.rankLoad {
		if rank == hot || s.isFrozen(rank) || s.hosted(e, rank) {
			continue
		}
		first, end := s.slotsOf(rank)
		for b := first; b < end; b++ {
			f := s.slots[b]
			lighter := 0.0
			if f != Empty {
				if s.hosted(f, hot) {
					continue
				}
				lighter = s.share(f)
			}
			d := share - lighter
			if d <= 0 {
				continue
			}
			gain := before + s.excess(load) - s.excess(s.rankLoad[hot]-d) - s.excess(load+d)
			moves := s.fetches(e, rank) - s.fetches(e, hot)
			if f != Empty {
				moves += s.fetches(f, hot) - s.fetches(f, rank)
			}
			s.offer(change{slot: a, expert: f, swap: true, other: b}, gain, moves)
		}
	}
}

// tryReplicate offers further replicas for the experts of the hot rank.
func (s *search) tryReplicate(hot int) {
	first, end := s.slotsOf(hot)
	for slot, f := range s.slots {
		rank := s.topo.RankOf(slot)
		if rank == hot || s.isFrozen(rank) || !s.expendable(f) {
			continue
		}
		for a := first; a < end; a++ {
			if e := s.slots[a]; e != Empty && e != f {
				s.tryReplace(slot, rank, e)
			}
		}
	}
}

// tryRelease offers to drop a replica of the hot rank for another expert.
func (s *search) tryRelease(hot int) {
	first, end := s.slotsOf(hot)
	for slot := first; slot < end; slot++ {
		f := s.slots[slot]
		if f == Empty || !s.expendable(f) {
			continue
		}
		for e := range s.load {
			s.tryReplace(slot, hot, Expert(e))
		}
	}
}

func (s *search) expendable(f Expert) bool { return f == Empty || s.replicas(f) > 1 }

func (s *search) tryReplace(slot, rank int, e Expert) {
	if s.hosted(e, rank) {
		return
	}
	f := s.slots[slot]
	moves := s.fetches(e, rank)
	if f != Empty {
		moves -= s.fetches(f, rank)
	}
	gain := s.replaceGain(rank, e, f)
	// Among equal changes, the one that reaches a second failure domain wins.
	if s.oneDomain(s.hosts[e]) && !s.oneDomain(s.hosts[e]|1<<rank) {
		gain += gain * domainPreference
	}
	s.offer(change{slot: slot, expert: e}, gain, moves)
}

// domainPreference is small, so that failure domains only break ties.
const domainPreference = 1e-6

// replaceGain returns the reduction of the squared excess if e replaces f on
// rank. The loads of all other replicas of e and f change as well.
func (s *search) replaceGain(rank int, e, f Expert) float64 {
	n := s.replicas(e)
	added := s.replica(e, n+1)
	less := s.replica(e, n) - added
	affected := s.hosts[e]
	more, own := 0.0, 0.0
	var hostsF uint64
	if f != Empty {
		hostsF = s.hosts[f]
		m := s.replicas(f)
		own = s.replica(f, m)
		more = s.replica(f, m-1) - own
		affected |= hostsF
	}
	load := s.rankLoad[rank]
	gain := s.excess(load) - s.excess(load-own+added)
	eachRank(affected&^(1<<rank), func(r int) {
		before := s.rankLoad[r]
		after := before
		if s.hosted(e, r) {
			after -= less
		}
		if hostsF>>r&1 == 1 {
			after += more
		}
		gain += s.excess(before) - s.excess(after)
	})
	return gain
}

// apply performs a change and updates the number of fetches.
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

// replay applies the changes of a prefix of steps to a layer.
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
