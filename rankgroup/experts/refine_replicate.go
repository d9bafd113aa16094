package experts

import "github.com/filbertmux/filbertmux/rankgroup/rankset"

// tryReplicate considers further replicas of the experts of the hot rank.
func (s *search) tryReplicate(hot int) {
	first, end := s.slotsOf(hot)
	for slot, f := range s.slots {
		rank := s.topo.RankOf(slot)
		if rank == hot || s.isFrozen(rank) || !s.replaceable(f) {
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

// tryRelease considers replacing a replica of the hot rank by another expert.
func (s *search) tryRelease(hot int) {
	first, end := s.slotsOf(hot)
	for slot := first; slot < end; slot++ {
		if !s.replaceable(s.slots[slot]) {
			continue
		}
		v := s.vacate(slot, hot)
		for e := range s.load {
			s.tryReplace(&v, Expert(e))
		}
	}
}

// replaceable reports whether the content of a slot may be replaced: the slot is empty,
// or its expert has another replica.
func (s *search) replaceable(f Expert) bool { return f == EmptySlot || s.replicas(f) > 1 }

// vacancy is a slot whose replica may be replaced, with the effect of dropping that
// replica on the load of its rank and of the other hosts of the expert.
type vacancy struct {
	slot, rank int
	// hosts is the set of ranks that host the replaced expert.
	hosts rankset.Set
	// excessBefore is the squared excess of the rank, and loadWithout its load
	// without the replaced replica.
	excessBefore, loadWithout float64
	// releaseLoss is the increase of the squared excess of the other hosts, and
	// hostIncrease the load that each of them gains.
	releaseLoss, hostIncrease float64
	// savedMoves is the number of fetches saved by dropping the replica.
	savedMoves int
}

// vacate returns the vacancy for a slot of a rank. It does not change the layout.
func (s *search) vacate(slot, rank int) vacancy {
	load := s.rankLoad[rank]
	v := vacancy{slot: slot, rank: rank, excessBefore: s.squaredExcess(load), loadWithout: load}
	f := s.slots[slot]
	if f == EmptySlot {
		return v
	}
	l := &s.replicaLoad[f]
	v.hosts, v.loadWithout, v.hostIncrease = s.hostsOf(f), load-l.now, l.fewer-l.now
	v.releaseLoss = s.releaseLoss[f] - (s.squaredExcess(load+v.hostIncrease) - v.excessBefore)
	v.savedMoves = s.fetches(f, rank)
	return v
}

// tryReplace considers e in place of the expert of the vacancy.
func (s *search) tryReplace(v *vacancy, e Expert) {
	gain := s.replicateGain[e] + v.excessBefore - s.squaredExcess(v.loadWithout+s.replicaLoad[e].more)
	shared := v.hosts.Intersects(s.hostsOf(e))
	if !shared {
		gain -= v.releaseLoss
	}
	// If a rank hosts both experts, gain is only an upper bound here, because it
	// doesn't include releaseLoss. Most changes are rejected here.
	if gain <= 0 {
		return
	}
	moves := s.fetches(e, v.rank) - v.savedMoves
	if scoreOf(gain+gain*domainPreference, moves) <= s.best.score || s.hosted(e, v.rank) {
		return
	}
	if shared {
		gain = s.replaceGain(v, e)
	}
	// Among changes of equal gain, one that adds a second failure domain is preferred.
	if hosts := s.hostsOf(e); s.inOneDomain(hosts) && !s.domainOf[hosts.First()].Has(v.rank) {
		gain += gain * domainPreference
	}
	s.consider(change{slot: v.slot, expert: e}, gain, moves)
}

// domainPreference is the relative bonus for a second failure domain. It is small, so
// that it only breaks ties.
const domainPreference = 1e-6

// replaceGain returns the reduction of the squared excess if e fills the vacancy. It
// includes the changed loads of all other replicas of both experts.
func (s *search) replaceGain(v *vacancy, e Expert) float64 {
	l := &s.replicaLoad[e]
	gain := v.excessBefore - s.squaredExcess(v.loadWithout+l.more)
	for rank := range rankset.AllOfEither(s.hostsOf(e), v.hosts) {
		if rank == v.rank {
			continue
		}
		before := s.rankLoad[rank]
		after := before
		if s.hosted(e, rank) {
			after -= l.now - l.more
		}
		if v.hosts.Has(rank) {
			after += v.hostIncrease
		}
		gain += s.squaredExcess(before) - s.squaredExcess(after)
	}
	return gain
}
