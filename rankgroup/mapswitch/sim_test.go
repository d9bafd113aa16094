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
	simMemberCount   = 4
	ranksPerMember   = 2
	simRankCount     = simMemberCount * ranksPerMember
	simStepTime      = 45 * time.Millisecond
	faultDuration    = 12 * time.Second
	maxFaultDuration = 3 * time.Second
	recoveryTimeout  = 5 * time.Second
	minRecoverySteps = 40
	maxMessageDelay  = 2 * time.Millisecond
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

type simCoordinator struct {
	*Coordinator
	paused bool
	inbox  []Message
}

// sim is a discrete-event simulation of a group with its ranks, members,
// coordinators and network. It injects faults until endFaults is called.
type sim struct {
	rng           *rand.Rand
	now           time.Time
	start         time.Time
	queue         simQueue
	seq           int
	faultsEnabled bool
	overrides     testOverrides
	members       [simMemberCount]*Member
	incarnation   [simMemberCount]uint64
	down          [simMemberCount]bool
	ranks         [simRankCount]*Rank
	rankConns     [simRankCount][]Message
	stepDoneAt    [simRankCount]time.Time
	stalledUntil  [simRankCount]time.Time
	coordinators  map[infra.Offset]*simCoordinator
	token         infra.Offset
	logDown       bool
	// tokenTakenOver is the highest token whose coordinator has taken over.
	tokenTakenOver infra.Offset
	attemptByStep  map[uint64]Attempt
	everHeld       map[Attempt]bool
	committed      int
	violation      string
	blockedSteps   int
}

func newSim(seed uint64, faultsEnabled bool, overrides testOverrides, ignoreHolds bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), faultsEnabled: faultsEnabled, overrides: overrides,
		coordinators:  make(map[infra.Offset]*simCoordinator),
		attemptByStep: make(map[uint64]Attempt), everHeld: make(map[Attempt]bool),
	}
	s.start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.now = s.start
	for r := range s.ranks {
		// Half of the backend servers do not check tokens.
		s.ranks[r] = NewRank(RankID(r), 1, r/ranksPerMember%2 == 0)
		s.ranks[r].ignoreHolds = ignoreHolds
	}
	s.every(5*time.Millisecond, s.stepRanks)
	s.newCoordinator()
	for m := range s.members {
		s.startMember(MemberID(m))
		s.every(10*time.Millisecond, func() {
			if !s.down[m] {
				s.dispatch(m, s.members[m].Tick(s.now))
			}
		})
	}
	s.every(10*time.Millisecond, s.tickCoordinators)
	s.every(50*time.Millisecond, s.injectFaults)
	return s
}

func (s *sim) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, &simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.schedule(d, again)
	}
	s.schedule(s.randomDuration(d), again)
}

func (s *sim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)) + 1)
}
func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

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

// sendUnreliably delivers a message between processes. With faults enabled, the
// message may be lost, duplicated or delayed.
func (s *sim) sendUnreliably(deliver func()) {
	copies := 1
	delay := func() time.Duration { return 500*time.Microsecond + s.randomDuration(maxMessageDelay) }
	if s.faultsEnabled {
		if s.chance(0.1) {
			copies = 0
		} else if s.chance(0.1) {
			copies = 2
		}
	}
	for range copies {
		d := delay()
		if s.faultsEnabled && s.chance(0.1) {
			d += s.randomDuration(400 * time.Millisecond)
		}
		s.schedule(d, deliver)
	}
}

func (s *sim) dispatch(from int, outs []Output) {
	incarnation := uint64(0)
	if from >= 0 {
		incarnation = s.incarnation[from]
	}
	for _, o := range outs {
		switch o.To {
		case ToMember:
			s.sendUnreliably(func() { s.deliverToMember(o.Member, o.Message) })
		case ToCoordinator:
			s.sendUnreliably(func() { s.deliverToCoordinator(o.CoordinatorToken, o.Message) })
		case ToRank:
			s.rankConns[o.Rank] = append(s.rankConns[o.Rank], o.Message)
			s.schedule(s.randomDuration(time.Millisecond), func() { s.deliverToRank(o.Rank, incarnation) })
		case ToLog:
			s.sendUnreliably(func() {
				if !s.logDown && s.incarnation[from] == incarnation {
					s.deliverToMember(MemberID(from), LatestToken{Token: s.token})
				}
			})
		}
	}
}

func (s *sim) deliverToMember(m MemberID, msg Message) {
	if !s.down[m] {
		s.dispatch(int(m), s.members[m].Handle(s.now, msg))
	}
}

func (s *sim) deliverToCoordinator(token infra.Offset, msg Message) {
	c := s.coordinators[token]
	if c == nil {
		return
	}
	if c.paused {
		c.inbox = append(c.inbox, msg)
		return
	}
	s.dispatch(-1, c.Handle(s.now, msg))
}

// deliverToRank applies the oldest command of the connection to a rank.
func (s *sim) deliverToRank(r RankID, incarnation uint64) {
	m := int(r) / ranksPerMember
	if s.incarnation[m] != incarnation || len(s.rankConns[r]) == 0 {
		return
	}
	if s.now.Before(s.stalledUntil[r]) {
		s.schedule(s.stalledUntil[r].Sub(s.now), func() { s.deliverToRank(r, incarnation) })
		return
	}
	msg := s.rankConns[r][0]
	s.rankConns[r] = s.rankConns[r][1:]
	s.applyToRank(r, msg)
	s.reportRankState(r)
}

func (s *sim) applyToRank(r RankID, msg Message) {
	rank := s.ranks[r]
	holdBefore := rank.State().Hold
	rank.Handle(msg)
	if plan, ok := rank.PendingPlan(); ok {
		s.schedule(20*time.Millisecond+s.randomDuration(200*time.Millisecond), func() {
			rank.CompleteStaging(plan.Attempt)
			s.reportRankState(r)
		})
	}
	if h := rank.State().Hold; h != nil && holdBefore == nil && !s.everHeld[h.Attempt] {
		s.everHeld[h.Attempt] = true
		if h.Attempt.Token < s.tokenTakenOver {
			s.fail("rank %d held for token %d after token %d had taken over", r, h.Attempt.Token, s.tokenTakenOver)
		}
	}
}

// reportRankState reports the state of a rank to its member.
func (s *sim) reportRankState(r RankID) {
	m := MemberID(int(r) / ranksPerMember)
	state, incarnation := s.ranks[r].State(), s.incarnation[m]
	s.schedule(s.randomDuration(time.Millisecond), func() {
		if s.incarnation[m] == incarnation {
			s.deliverToMember(m, state)
		}
	})
}

func (s *sim) stepRanks() {
	for r := range s.ranks {
		s.stepRank(RankID(r))
	}
}

// stepRank enters the next step once all ranks have finished the current one.
func (s *sim) stepRank(r RankID) {
	rank := s.ranks[r]
	if s.now.Before(s.stepDoneAt[r]) || s.now.Before(s.stalledUntil[r]) {
		return
	}
	for other := range s.ranks {
		st := s.ranks[other].state.Step
		if st < rank.state.Step || st == rank.state.Step && s.now.Before(s.stepDoneAt[other]) {
			return
		}
	}
	if !rank.MayEnterNextStep() {
		s.blockedSteps++
		return
	}
	step, _ := rank.EnterNextStep()
	state := rank.State()
	a := state.AttemptAt(step)
	if first, ok := s.attemptByStep[step]; !ok {
		s.attemptByStep[step] = a
	} else if first != a {
		s.fail("step %d: rank %d uses the map of %v, another rank that of %v", step, r, a, first)
	}
	s.stepDoneAt[r] = s.now.Add(simStepTime - 5*time.Millisecond)
	s.reportRankState(r)
}

func (s *sim) startMember(m MemberID) {
	s.incarnation[m]++
	s.down[m] = false
	ranks := make([]RankID, ranksPerMember)
	for i := range ranks {
		ranks[i] = RankID(int(m)*ranksPerMember + i)
	}
	s.members[m] = NewMember(DefaultMemberSettings(), m, simMemberCount, s.incarnation[m], ranks)
	s.members[m].overrides = s.overrides
	s.dispatch(int(m), s.members[m].Start(s.now))
}

// stopMember stops a sidecar. Some of its pending commands still reach the
// ranks.
func (s *sim) stopMember(m MemberID) {
	s.down[m] = true
	s.incarnation[m]++
	for i := range ranksPerMember {
		r := RankID(int(m)*ranksPerMember + i)
		for _, msg := range s.rankConns[r][:s.rng.IntN(len(s.rankConns[r])+1)] {
			s.applyToRank(r, msg)
		}
		s.rankConns[r] = nil
	}
}

// newCoordinator grants the lease to a new coordinator. Every second one
// treats the lease as valid for an hour, as if its clock were slow.
func (s *sim) newCoordinator() {
	s.token++
	lease := 2 * time.Second
	if s.token%2 == 0 {
		lease = time.Hour
	}
	c := NewCoordinator(DefaultCoordinatorSettings(), s.token, s.now.Add(lease), simMemberCount)
	s.coordinators[s.token] = &simCoordinator{Coordinator: c}
}

func (s *sim) tickCoordinators() {
	for token := infra.Offset(1); token <= s.token; token++ {
		c := s.coordinators[token]
		if c.paused || c.Phase() == Stopped {
			continue
		}
		if c.Phase() == Idle {
			s.tokenTakenOver = max(s.tokenTakenOver, token)
			// With faults, plans are rare, so that a stale coordinator
			// gets the chance to act.
			if !s.faultsEnabled || s.chance(0.02) {
				s.submitPlan(c)
			}
		}
		s.dispatch(-1, c.Tick(s.now))
	}
}

func (s *sim) submitPlan(c *simCoordinator) {
	if c.Outcome() == Committed {
		s.committed++
	}
	epoch := c.statuses[0].Ranks[0].Epoch + 1
	target := &experts.Map{Epoch: epoch, Layers: []experts.Layer{{experts.Expert(c.token)}}}
	outs, err := c.Submit(s.now, target)
	if err != nil {
		s.fail("submit: %v", err)
	}
	s.dispatch(-1, outs)
}

func (s *sim) injectFaults() {
	if !s.faultsEnabled {
		return
	}
	if m := MemberID(s.rng.IntN(simMemberCount)); s.chance(0.05) && !s.down[m] {
		s.stopMember(m)
		s.schedule(s.randomDuration(time.Second), func() { s.startMember(m) })
	}
	if s.chance(0.05) {
		s.stalledUntil[s.rng.IntN(simRankCount)] = s.now.Add(s.randomDuration(time.Second))
	}
	if s.chance(0.03) {
		s.logDown = !s.logDown
	}
	if s.chance(0.03) && !s.logDown {
		s.newCoordinator()
	}
	if c := s.coordinators[infra.Offset(s.rng.Uint64N(uint64(s.token))+1)]; s.chance(0.1) && !c.paused {
		c.paused = true
		s.schedule(s.randomDuration(maxFaultDuration), func() { s.resumeCoordinator(c) })
	}
}

// resumeCoordinator lets a paused coordinator process the messages that have
// arrived before it looks at its clock.
func (s *sim) resumeCoordinator(c *simCoordinator) {
	c.paused = false
	for _, msg := range c.inbox {
		s.dispatch(-1, c.Handle(s.now, msg))
	}
	c.inbox = nil
}

// endFaults stops the injection of faults and starts a new coordinator.
func (s *sim) endFaults() {
	s.faultsEnabled = false
	s.logDown = false
	s.newCoordinator()
	s.coordinators[s.token].ExtendLease(s.now.Add(time.Hour))
}
