package experts

import (
	"math"
	"math/bits"
)

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
	// relief is the reduction of the squared excess if an expert got a further
	// replica that costs nothing. It is indexed by expert.
	relief []float64
	// burden is the rise of the squared excess if an expert lost a replica and
	// the rank of that replica kept its load. It is indexed by expert.
	burden []float64
	// partners is indexed by rank; see partner.
	partners []partner
	// division is the result of replicaCounts, or nil before its first use.
	division []int
}

// partner bounds what exchanges of a rank with the hot rank can reach.
type partner struct {
	// lightest is the load of the lightest replica, 0 with an empty slot.
	lightest float64
	// moves is the smallest number of fetches that taking an expert from the
	// rank to the hot rank adds. It may be negative.
	moves int
}

// refine runs the search and returns its steps, so that a caller may stop at
// any prefix.
func refine(w *layout, target float64) []step {
	s := &search{layout: w, target: target, relief: make([]float64, len(w.load))}
	s.burden = make([]float64, len(w.load))
	s.partners = make([]partner, w.topo.Ranks())
	var steps []step
	for len(steps) < maxRefineSteps {
		hot := s.hottest()
		if hot < 0 || s.rankLoad[hot] <= target {
			break
		}
		if first, second, ok := s.split(hot); ok {
			steps = append(steps, s.take(first), s.take(second))
			continue
		}
		s.best = candidate{}
		s.computeRelief()
		s.trySwaps(hot)
		s.tryReplicate(hot)
		s.tryRelease(hot)
		if s.best.score <= 0 {
			break
		}
		steps = append(steps, s.take(s.best.change))
	}
	return steps
}

// take applies a change and returns the state after it.
func (s *search) take(c change) step {
	s.apply(c)
	return step{change: c, moves: s.moves, max: s.maxLoad()}
}

func (s *search) excess(load float64) float64 {
	x := load - s.target
	if x <= 0 {
		return 0
	}
	return x * x
}

func (s *search) computeRelief() {
	for e := range s.relief {
		l := &s.replicaLoad[e]
		s.relief[e], s.burden[e] = 0, 0
		for hosts := s.hosts[e]; hosts != 0; hosts &= hosts - 1 {
			load := s.rankLoad[bits.TrailingZeros64(hosts)]
			before := s.excess(load)
			s.relief[e] += before - s.excess(load-l.now+l.more)
			if l.replicas > 1 {
				s.burden[e] += s.excess(load-l.now+l.fewer) - before
			}
		}
	}
}

// offer keeps the candidate if it is the best so far. A change that adds no
// fetch counts as half of one, so that undoing a move is preferred.
func (s *search) offer(c change, gain float64, moves int) {
	if gain <= minGain*s.target*s.target {
		return
	}
	if score := scoreOf(gain, moves); score > s.best.score && s.withinLimit(c) {
		s.best = candidate{change: c, gain: gain, score: score}
	}
}

// withinLimit reports whether a change adds no more experts to its ranks than
// they have room for.
func (s *search) withinLimit(c change) bool {
	if s.topo.MaxNewPerRank == 0 {
		return true
	}
	rank := s.topo.RankOf(c.slot)
	if s.added(rank)-s.fetches(s.slots[c.slot], rank)+s.fetches(c.expert, rank) > s.topo.MaxNewPerRank {
		return false
	}
	if !c.swap {
		return true
	}
	other := s.topo.RankOf(c.other)
	return s.added(other)-s.fetches(c.expert, other)+s.fetches(s.slots[c.slot], other) <= s.topo.MaxNewPerRank
}

// added returns the number of experts of a rank that must be fetched.
func (s *search) added(rank int) int {
	n := 0
	first, end := s.slotsOf(rank)
	for _, e := range s.slots[first:end] {
		n += s.fetches(e, rank)
	}
	return n
}

func scoreOf(gain float64, moves int) float64 {
	if moves < 1 {
		return gain / 0.5
	}
	return gain / float64(moves)
}

// trySwaps offers exchanges of an expert of the hot rank with a lighter one.
func (s *search) trySwaps(hot int) {
	for rank := range s.partners {
		s.partners[rank] = s.partnerOf(rank, hot)
	}
	first, end := s.slotsOf(hot)
	for a := first; a < end; a++ {
		if s.slots[a] != EmptySlot {
			s.trySwapsOf(a, hot)
		}
	}
}

func (s *search) partnerOf(rank, hot int) partner {
	p := partner{lightest: math.Inf(1), moves: 1}
	first, end := s.slotsOf(rank)
	for _, f := range s.slots[first:end] {
		if f == EmptySlot {
			p.lightest, p.moves = 0, min(p.moves, 0)
			continue
		}
		p.lightest = min(p.lightest, s.replicaLoad[f].now)
		p.moves = min(p.moves, s.fetches(f, hot)-s.fetches(f, rank))
	}
	return p
}

func (s *search) trySwapsOf(a, hot int) {
	e := s.slots[a]
	share := s.share(e)
	hotLoad := s.rankLoad[hot]
	before := s.excess(hotLoad)
	for rank, load := range s.rankLoad {
		if rank == hot || s.isFrozen(rank) || s.hosted(e, rank) {
			continue
		}
		both := before + s.excess(load)
		moves := s.fetches(e, rank) - s.fetches(e, hot)
		// The gain grows with the difference of the experts up to half the
		// difference of the ranks.
		p := s.partners[rank]
		most := min(share-p.lightest, (hotLoad-load)/2)
		bound := both - s.excess(hotLoad-most) - s.excess(load+most)
		if most <= 0 || scoreOf(bound, moves+p.moves) <= s.best.score {
			continue
		}
		first, end := s.slotsOf(rank)
		for i, f := range s.slots[first:end] {
			c := change{slot: a, expert: f, swap: true, other: first + i}
			if f == EmptySlot {
				if share > 0 {
					s.offer(c, both-s.excess(hotLoad-share)-s.excess(load+share), moves)
				}
				continue
			}
			d := share - s.replicaLoad[f].now
			if d <= 0 || s.hosted(f, hot) {
				continue
			}
			gain := both - s.excess(hotLoad-d) - s.excess(load+d)
			if gain > 0 {
				s.offer(c, gain, moves+s.fetches(f, hot)-s.fetches(f, rank))
			}
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
		v := s.vacate(slot, rank)
		for _, e := range s.slots[first:end] {
			if e != EmptySlot && e != f {
				s.tryReplace(&v, e)
			}
		}
	}
}

// tryRelease offers to drop a replica of the hot rank for another expert.
func (s *search) tryRelease(hot int) {
	first, end := s.slotsOf(hot)
	for slot := first; slot < end; slot++ {
		if !s.expendable(s.slots[slot]) {
			continue
		}
		v := s.vacate(slot, hot)
		for e := range s.load {
			s.tryReplace(&v, Expert(e))
		}
	}
}

func (s *search) expendable(f Expert) bool { return f == EmptySlot || s.replicas(f) > 1 }

// vacancy is a slot whose replica may be replaced.
type vacancy struct {
	slot, rank int
	// hosts is the set of ranks that host the replaced expert.
	hosts uint64
	// before is the squared excess of the rank, without its load without the
	// replaced replica.
	before, without float64
	// burden is the rise of the squared excess of the other hosts, and more
	// the load that each of them gains.
	burden, more float64
	// saved is the number of fetches that dropping the replica saves.
	saved int
}

func (s *search) vacate(slot, rank int) vacancy {
	load := s.rankLoad[rank]
	v := vacancy{slot: slot, rank: rank, before: s.excess(load), without: load}
	f := s.slots[slot]
	if f == EmptySlot {
		return v
	}
	l := &s.replicaLoad[f]
	v.hosts, v.without, v.more = s.hosts[f], load-l.now, l.fewer-l.now
	v.burden = s.burden[f] - (s.excess(load+v.more) - v.before)
	v.saved = s.fetches(f, rank)
	return v
}

// tryReplace offers e in place of the expert of the vacancy.
func (s *search) tryReplace(v *vacancy, e Expert) {
	if s.hosted(e, v.rank) {
		return
	}
	gain := s.relief[e] + v.before - s.excess(v.without+s.replicaLoad[e].more)
	if s.hosts[e]&v.hosts == 0 {
		gain -= v.burden
	}
	moves := s.fetches(e, v.rank) - v.saved
	// Where one rank hosts both experts, gain is only a bound so far, because
	// the burden is missing. Most changes end here.
	if gain <= 0 || scoreOf(gain+gain*domainPreference, moves) <= s.best.score {
		return
	}
	if s.hosts[e]&v.hosts != 0 {
		gain = s.replaceGain(v, e)
	}
	// Among equal changes, the one that reaches a second failure domain wins.
	if s.oneDomain(s.hosts[e]) && !s.oneDomain(s.hosts[e]|1<<v.rank) {
		gain += gain * domainPreference
	}
	s.offer(change{slot: v.slot, expert: e}, gain, moves)
}

// domainPreference is small, so that failure domains only break ties.
const domainPreference = 1e-6

// replaceGain returns the reduction of the squared excess if e takes the
// vacancy. The loads of all other replicas of both experts change as well.
func (s *search) replaceGain(v *vacancy, e Expert) float64 {
	l := &s.replicaLoad[e]
	gain := v.before - s.excess(v.without+l.more)
	eachRank((s.hosts[e]|v.hosts)&^(1<<v.rank), func(rank int) {
		before := s.rankLoad[rank]
		after := before
		if s.hosted(e, rank) {
			after -= l.now - l.more
		}
		if v.hosts>>rank&1 == 1 {
			after += v.more
		}
		gain += s.excess(before) - s.excess(after)
	})
	return gain
}

// split returns two changes that give the heaviest expert of the hot rank a
// further replica, if a single replica of it exceeds the target. No exchange
// relieves such a rank. A further replica alone raises the excess of the rank
// that gets it, so that the search would never choose it: p99 skew was 1.17 in
// place of 1.07 while the mix of work changed (seed 2).
//
// The first change exchanges an expert g of another rank with an expendable
// one of the hot rank, and the second one puts the heavy expert in its place.
// Later steps balance the two ranks.
func (s *search) split(hot int) (first, second change, ok bool) {
	e := s.heaviest(hot)
	if e == EmptySlot || s.share(e) <= s.target || s.replicas(e) >= s.wanted(e) {
		return first, second, false
	}
	least := math.Inf(1)
	begin, end := s.slotsOf(hot)
	for a := begin; a < end; a++ {
		if f := s.slots[a]; f == e || !s.expendable(f) {
			continue
		}
		for b, g := range s.slots {
			excess, allowed := s.excessOfSplit(hot, a, b, e)
			if allowed && excess < least {
				least, ok = excess, true
				first = change{slot: a, expert: g, swap: true, other: b}
				second = change{slot: b, expert: e}
			}
		}
	}
	return first, second, ok
}

// excessOfSplit returns the squared excess of both ranks if e gets a replica
// at slot b, whose expert goes to slot a of the hot rank.
func (s *search) excessOfSplit(hot, a, b int, e Expert) (excess float64, allowed bool) {
	rank := s.topo.RankOf(b)
	f, g := s.slots[a], s.slots[b]
	if rank == hot || s.isFrozen(rank) || s.hosted(e, rank) || f != EmptySlot && s.hosted(f, rank) || g != EmptySlot && s.hosted(g, hot) {
		return 0, false
	}
	if limit := s.topo.MaxNewPerRank; limit > 0 {
		onHot := s.added(hot) - s.fetches(f, hot) + s.fetches(g, hot)
		onRank := s.added(rank) - s.fetches(g, rank) + s.fetches(e, rank)
		if onHot > limit || onRank > limit {
			return 0, false
		}
	}
	l := &s.replicaLoad[e]
	hotLoad, load := s.rankLoad[hot]-l.now+l.more, s.rankLoad[rank]+l.more
	if f != EmptySlot {
		hotLoad -= s.share(f)
	}
	if g != EmptySlot {
		hotLoad += s.share(g)
		load -= s.share(g)
	}
	return s.excess(hotLoad) + s.excess(load), true
}

// heaviest returns the expert with the largest replica on a rank.
func (s *search) heaviest(rank int) Expert {
	best := EmptySlot
	begin, end := s.slotsOf(rank)
	for _, e := range s.slots[begin:end] {
		if e != EmptySlot && (best == EmptySlot || s.share(e) > s.share(best)) {
			best = e
		}
	}
	return best
}

// wanted returns the replicas of e if the slots are divided among the experts
// by load.
func (s *search) wanted(e Expert) int {
	if s.division == nil {
		s.division = replicaCounts(s.load, s.topo.Slots(), s.topo.Ranks())
	}
	return s.division[e]
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
