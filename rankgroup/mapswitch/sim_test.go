package mapswitch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

const (
	simMembers      = 4
	ranksPerMember  = 2
	simRanks        = simMembers * ranksPerMember
	simStep         = 45 * time.Millisecond
	faultPeriod     = 12 * time.Second
	longestFault    = 3 * time.Second
	recoveryBound   = 5 * time.Second
	livenessSteps   = 40
	simResponseTime = 2 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []*simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type simHolder struct {
	*Coordinator
	paused bool
	inbox  []Message
}

// sim runs a group with faults until faultPeriod, and without them afterwards.
type sim struct {
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	queue       simQueue
	seq         int
	faults      bool
	rules       rules
	members     [simMembers]*Member
	incarnation [simMembers]uint64
	down        [simMembers]bool
	ranks       [simRanks]*Rank
	pipes       [simRanks][]Message
	readyAt     [simRanks]time.Time
	stalledTo   [simRanks]time.Time
	holders     map[infra.Offset]*simHolder
	token       infra.Offset
	logDown     bool
	// taken is the highest token whose holder finished its take-over.
	taken      infra.Offset
	used       map[uint64]Attempt
	heldBefore map[Attempt]bool
	finished   int
	violation  string
	waits      int
}

func newSim(seed uint64, faults bool, r rules, enterUndecided bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), faults: faults, rules: r,
		holders: make(map[infra.Offset]*simHolder),
		used:    make(map[uint64]Attempt), heldBefore: make(map[Attempt]bool),
	}
	s.start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.now = s.start
	for r := range s.ranks {
		// Half of the backend servers ignore tokens.
		s.ranks[r] = NewRank(RankID(r), 1, r/ranksPerMember%2 == 0)
		s.ranks[r].enterUndecided = enterUndecided
	}
	s.every(5*time.Millisecond, s.stepRanks)
	s.newHolder()
	for m := range s.members {
		s.startMember(MemberID(m))
		s.every(10*time.Millisecond, func() {
			if !s.down[m] {
				s.emit(m, s.members[m].Tick(s.now))
			}
		})
	}
	s.every(10*time.Millisecond, s.tickHolders)
	s.every(50*time.Millisecond, s.injectFaults)
	return s
}

func (s *sim) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, &simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.at(d, again)
	}
	s.at(s.upTo(d), again)
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d)) + 1) }
func (s *sim) chance(p float64) bool              { return s.rng.Float64() < p }

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.violation == "" {
		e := heap.Pop(&s.queue).(*simEvent)
		if e.at.After(s.start.Add(end)) {
			heap.Push(&s.queue, e)
			return
		}
		s.now = e.at
		e.do()
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// network delivers a message between processes with faults.
func (s *sim) network(deliver func()) {
	copies := 1
	delay := func() time.Duration { return 500*time.Microsecond + s.upTo(simResponseTime) }
	if s.faults {
		if s.chance(0.1) {
			copies = 0
		} else if s.chance(0.1) {
			copies = 2
		}
	}
	for range copies {
		d := delay()
		if s.faults && s.chance(0.1) {
			d += s.upTo(400 * time.Millisecond)
		}
		s.at(d, deliver)
	}
}

func (s *sim) emit(from int, outs []Output) {
	incarnation := uint64(0)
	if from >= 0 {
		incarnation = s.incarnation[from]
	}
	for _, o := range outs {
		switch o.To {
		case ToMember:
			s.network(func() { s.toMember(o.Member, o.Message) })
		case ToCoordinator:
			s.network(func() { s.toHolder(o.CoordinatorToken, o.Message) })
		case ToRank:
			s.pipes[o.Rank] = append(s.pipes[o.Rank], o.Message)
			s.at(s.upTo(time.Millisecond), func() { s.deliverRank(o.Rank, incarnation) })
		case ToLog:
			s.network(func() {
				if !s.logDown && s.incarnation[from] == incarnation {
					s.toMember(MemberID(from), LatestToken{Token: s.token})
				}
			})
		}
	}
}

func (s *sim) toMember(m MemberID, msg Message) {
	if !s.down[m] {
		s.emit(int(m), s.members[m].Handle(s.now, msg))
	}
}

func (s *sim) toHolder(token infra.Offset, msg Message) {
	h := s.holders[token]
	if h == nil {
		return
	}
	if h.paused {
		h.inbox = append(h.inbox, msg)
		return
	}
	s.emit(-1, h.Handle(s.now, msg))
}

// deliverRank performs the oldest command of the connection to a rank.
func (s *sim) deliverRank(r RankID, incarnation uint64) {
	m := int(r) / ranksPerMember
	if s.incarnation[m] != incarnation || len(s.pipes[r]) == 0 {
		return
	}
	if s.now.Before(s.stalledTo[r]) {
		s.at(s.stalledTo[r].Sub(s.now), func() { s.deliverRank(r, incarnation) })
		return
	}
	msg := s.pipes[r][0]
	s.pipes[r] = s.pipes[r][1:]
	s.perform(r, msg)
	s.answer(r)
}

func (s *sim) perform(r RankID, msg Message) {
	rank := s.ranks[r]
	held := rank.State().Hold
	rank.Handle(msg)
	if plan, ok := rank.PendingPlan(); ok {
		s.at(20*time.Millisecond+s.upTo(200*time.Millisecond), func() {
			rank.CompleteStaging(plan.Attempt)
			s.answer(r)
		})
	}
	if h := rank.State().Hold; h != nil && held == nil && !s.heldBefore[h.Attempt] {
		s.heldBefore[h.Attempt] = true
		if h.Attempt.Token < s.taken {
			s.fail("rank %d held for token %d after token %d had taken over", r, h.Attempt.Token, s.taken)
		}
	}
}

// answer reports the state of a rank to its member, in order.
func (s *sim) answer(r RankID) {
	m := MemberID(int(r) / ranksPerMember)
	state, incarnation := s.ranks[r].State(), s.incarnation[m]
	s.at(s.upTo(time.Millisecond), func() {
		if s.incarnation[m] == incarnation {
			s.toMember(m, state)
		}
	})
}

func (s *sim) stepRanks() {
	for r := range s.ranks {
		s.stepRank(RankID(r))
	}
}

// stepRank enters the next step when all ranks have finished the current one.
func (s *sim) stepRank(r RankID) {
	rank := s.ranks[r]
	if s.now.Before(s.readyAt[r]) || s.now.Before(s.stalledTo[r]) {
		return
	}
	for other := range s.ranks {
		st := s.ranks[other].state.Step
		if st < rank.state.Step || st == rank.state.Step && s.now.Before(s.readyAt[other]) {
			return
		}
	}
	if !rank.MayEnterNextStep() {
		s.waits++
		return
	}
	step, _ := rank.EnterNextStep()
	state := rank.State()
	a := state.AttemptAt(step)
	if first, ok := s.used[step]; !ok {
		s.used[step] = a
	} else if first != a {
		s.fail("step %d: rank %d uses the map of %v, another that of %v", step, r, a, first)
	}
	s.readyAt[r] = s.now.Add(simStep - 5*time.Millisecond)
	s.answer(r)
}

func (s *sim) startMember(m MemberID) {
	s.incarnation[m]++
	s.down[m] = false
	ranks := make([]RankID, ranksPerMember)
	for i := range ranks {
		ranks[i] = RankID(int(m)*ranksPerMember + i)
	}
	s.members[m] = NewMember(DefaultMemberSettings(), m, simMembers, s.incarnation[m], ranks)
	s.members[m].rules = s.rules
	s.emit(int(m), s.members[m].Start(s.now))
}

// stopMember ends a sidecar. A part of its commands still reaches the ranks.
func (s *sim) stopMember(m MemberID) {
	s.down[m] = true
	s.incarnation[m]++
	for i := range ranksPerMember {
		r := RankID(int(m)*ranksPerMember + i)
		for _, msg := range s.pipes[r][:s.rng.IntN(len(s.pipes[r])+1)] {
			s.perform(r, msg)
		}
		s.pipes[r] = nil
	}
}

// newHolder appends a lease record. Every second holder has a clock that does
// not notice the end of the lease.
func (s *sim) newHolder() {
	s.token++
	lease := 2 * time.Second
	if s.token%2 == 0 {
		lease = time.Hour
	}
	h := NewCoordinator(DefaultCoordinatorSettings(), s.token, s.now.Add(lease), simMembers)
	s.holders[s.token] = &simHolder{Coordinator: h}
}

func (s *sim) tickHolders() {
	for token := infra.Offset(1); token <= s.token; token++ {
		h := s.holders[token]
		if h.paused || h.Phase() == Stopped {
			continue
		}
		if h.Phase() == Idle {
			s.taken = max(s.taken, token)
			// A holder has no plan most of the time, which leaves room for
			// a stale one to act.
			if !s.faults || s.chance(0.02) {
				s.submit(h)
			}
		}
		s.emit(-1, h.Tick(s.now))
	}
}

func (s *sim) submit(h *simHolder) {
	if h.Outcome() == Committed {
		s.finished++
	}
	epoch := h.status[0].Ranks[0].Epoch + 1
	target := &experts.Map{Epoch: epoch, Layers: []experts.Layer{{experts.Expert(h.token)}}}
	outs, err := h.Submit(s.now, target)
	if err != nil {
		s.fail("submit: %v", err)
	}
	s.emit(-1, outs)
}

func (s *sim) injectFaults() {
	if !s.faults {
		return
	}
	if m := MemberID(s.rng.IntN(simMembers)); s.chance(0.05) && !s.down[m] {
		s.stopMember(m)
		s.at(s.upTo(time.Second), func() { s.startMember(m) })
	}
	if s.chance(0.05) {
		s.stalledTo[s.rng.IntN(simRanks)] = s.now.Add(s.upTo(time.Second))
	}
	if s.chance(0.03) {
		s.logDown = !s.logDown
	}
	if s.chance(0.03) && !s.logDown {
		s.newHolder()
	}
	if h := s.holders[infra.Offset(s.rng.Uint64N(uint64(s.token))+1)]; s.chance(0.1) && !h.paused {
		h.paused = true
		s.at(s.upTo(longestFault), func() { s.resume(h) })
	}
}

// resume lets a paused holder process what has arrived before it looks at its
// clock.
func (s *sim) resume(h *simHolder) {
	h.paused = false
	for _, msg := range h.inbox {
		s.emit(-1, h.Handle(s.now, msg))
	}
	h.inbox = nil
}

// heal ends the faults and appoints a new holder.
func (s *sim) heal() {
	s.faults = false
	s.logDown = false
	s.newHolder()
	s.holders[s.token].ExtendLease(s.now.Add(time.Hour))
}
