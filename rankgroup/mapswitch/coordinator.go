package mapswitch

import (
	"math"
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// CoordinatorSettings are the timers and limits of a Coordinator.
type CoordinatorSettings struct {
	// StepTime is the expected duration of a step.
	StepTime time.Duration
	// SwitchLead is the time between a proposal and the promised step. If it
	// is too short, the group stalls at that step; if it is too long, the
	// switch is only delayed.
	SwitchLead time.Duration
	// RetransmitAfter is the time after which unanswered messages are
	// repeated.
	RetransmitAfter time.Duration
	// PollInterval is the time between polls in phase Idle.
	PollInterval time.Duration
	// StagingTimeout bounds the wait for weights. The plan is aborted after it.
	StagingTimeout time.Duration
	// MaxAttempts bounds the attempts to switch to one plan.
	MaxAttempts int
}

// DefaultCoordinatorSettings returns settings for steps of 45 ms and message
// delays of about 2 ms. SwitchLead covers three message delays with one loss
// each.
func DefaultCoordinatorSettings() CoordinatorSettings {
	return CoordinatorSettings{
		StepTime:        45 * time.Millisecond,
		SwitchLead:      135 * time.Millisecond,
		RetransmitAfter: 20 * time.Millisecond,
		PollInterval:    time.Second,
		StagingTimeout:  2 * time.Minute,
		MaxAttempts:     5,
	}
}

// Outcome is the result of a submitted plan.
type Outcome uint8

// Outcomes of a plan.
const (
	Pending Outcome = iota
	Committed
	Aborted
)

// Coordinator is the state machine that drives map switches in the sidecar that
// holds the lease of the group.
type Coordinator struct {
	settings         CoordinatorSettings
	token            infra.Offset
	leaseEnd         time.Time
	memberCount      int
	machine          *chart.Machine
	statuses         []*Status
	statusAt         []time.Time
	lastSentAt       time.Time
	attemptStartedAt time.Time
	// nextPrepareAt is when the plan is sent again, prepareInterval the wait
	// after that. The wait doubles each time, because a plan carries the whole
	// map and staging may take minutes: sent with each poll, plans used
	// 18.8 KB/s, above the 10 KB/s that control messages may use.
	nextPrepareAt        time.Time
	prepareInterval      time.Duration
	seq                  uint64
	attempts             int
	plan                 Plan
	proposedStep         uint64
	proposedIncarnations []uint64
	outcome              Outcome
	stepChecker          *StepChecker
}

// NewCoordinator returns a Coordinator that acts under the given fencing token.
// It stops at leaseEnd by its own clock; safety does not depend on that.
func NewCoordinator(s CoordinatorSettings, token infra.Offset, leaseEnd time.Time, memberCount int) *Coordinator {
	return &Coordinator{
		settings: s, token: token, leaseEnd: leaseEnd, memberCount: memberCount,
		machine: coordinatorChart.NewMachine(), stepChecker: NewStepChecker(),
		statuses: make([]*Status, memberCount), statusAt: make([]time.Time, memberCount),
	}
}

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return Phase(c.machine.State()) }

// Outcome returns the result of the last submitted plan.
func (c *Coordinator) Outcome() Outcome { return c.outcome }

// ExtendLease sets a new end of the lease after a renewal.
func (c *Coordinator) ExtendLease(leaseEnd time.Time) { c.leaseEnd = leaseEnd }

// Submit starts a switch to target. The phase must be Idle.
func (c *Coordinator) Submit(now time.Time, target *experts.Map) ([]Output, error) {
	if c.Phase() != Idle {
		return nil, errkind.New(errkind.InProgress, "cannot submit a plan in phase %s", c.Phase())
	}
	base := c.statuses[0].Ranks[0]
	if target.Epoch <= base.Epoch {
		return nil, errkind.New(errkind.InvalidMap, "epoch %d of the target map is not above epoch %d of the installed map", target.Epoch, base.Epoch)
	}
	c.attempts = 0
	c.outcome = Pending
	c.plan = Plan{Base: base.Installed, Epoch: target.Epoch, Target: target}
	return c.fire(now, eventSubmit), nil
}

// prepare starts an attempt by sending the plan to all members.
func (c *Coordinator) prepare(now time.Time) []Output {
	c.seq++
	c.attempts++
	c.plan.Attempt = Attempt{Token: c.token, Seq: c.seq}
	c.attemptStartedAt = now
	c.nextPrepareAt, c.prepareInterval = now, c.settings.RetransmitAfter
	return c.sendToMembers(now)
}

// Handle processes a message from a member.
func (c *Coordinator) Handle(now time.Time, msg Message) []Output {
	switch msg := msg.(type) {
	case Rejected:
		if msg.Token > c.token {
			c.fire(now, eventSuperseded)
		}
	case Status:
		if c.recordStatus(now, msg) {
			return c.fire(now, eventStatus)
		}
	}
	return nil
}

// recordStatus stores a status and reports whether it was accepted. A status
// of an earlier incarnation, or one that arrives after a newer one, is dropped.
func (c *Coordinator) recordStatus(now time.Time, s Status) bool {
	if c.Phase() == Stopped || s.From < 0 || int(s.From) >= c.memberCount || len(s.Ranks) == 0 {
		return false
	}
	if s.Token > c.token {
		c.fire(now, eventSuperseded)
		return false
	}
	if old := c.statuses[s.From]; old != nil && s.isOlderThan(old) {
		return false
	}
	for i := range s.Ranks {
		c.stepChecker.RecordState(&s.Ranks[i])
	}
	if old := c.statuses[s.From]; old != nil && old.Incarnation != s.Incarnation {
		// A restarted sidecar has lost the plan and needs it again soon.
		c.nextPrepareAt, c.prepareInterval = now, c.settings.RetransmitAfter
	}
	c.statuses[s.From] = &s
	c.statusAt[s.From] = now
	return true
}

// isOlderThan reports whether the same member sent s before t.
func (s *Status) isOlderThan(t *Status) bool {
	if s.Incarnation != t.Incarnation {
		return s.Incarnation < t.Incarnation
	}
	for i := range min(len(s.Ranks), len(t.Ranks)) {
		if s.Ranks[i].Version < t.Ranks[i].Version {
			return true
		}
	}
	return t.Floor.After(s.Floor)
}

// Tick checks the lease and the staging timeout and retransmits messages.
func (c *Coordinator) Tick(now time.Time) []Output {
	if c.Phase() == Stopped {
		return nil
	}
	if !now.Before(c.leaseEnd) {
		return c.fire(now, eventLeaseEnded)
	}
	if c.Phase() == Staging && now.Sub(c.attemptStartedAt) > c.settings.StagingTimeout {
		c.fire(now, eventStagingTimeout)
	}
	wait := c.settings.RetransmitAfter
	if c.Phase() == Idle {
		wait = c.settings.PollInterval
	}
	if now.Sub(c.lastSentAt) < wait {
		return nil
	}
	return append(c.fire(now, eventStatus), c.sendToMembers(now)...)
}

// isSettled reports whether all members have answered, none is undecided and
// all ranks use the same map.
func (c *Coordinator) isSettled() bool {
	var installed *Attempt
	return c.allMembers(func(s *Status) bool {
		if s.Undecided {
			return false
		}
		for i := range s.Ranks {
			if installed == nil {
				installed = &s.Ranks[i].Installed
			}
			if s.Ranks[i].Installed != *installed || s.Ranks[i].Step < s.Ranks[i].ActiveFrom {
				return false
			}
		}
		return true
	})
}

func (c *Coordinator) allMembers(ok func(*Status) bool) bool {
	for _, s := range c.statuses {
		if s == nil || !ok(s) {
			return false
		}
	}
	return true
}

func (c *Coordinator) isStaged(s *Status) bool {
	for i := range s.Ranks {
		if s.Ranks[i].Staged != c.plan.Attempt {
			return false
		}
	}
	return true
}

// propose chooses the step at which the switch is to take effect and asks the
// members to promise it.
func (c *Coordinator) propose(now time.Time) []Output {
	c.proposedIncarnations = make([]uint64, c.memberCount)
	newest := uint64(0)
	for i, s := range c.statuses {
		c.proposedIncarnations[i] = s.Incarnation
		for j := range s.Ranks {
			newest = max(newest, s.Ranks[j].Step+c.stepsDuring(now.Sub(c.statusAt[i])))
		}
	}
	// Each further attempt leaves more time, in case message delays have grown.
	c.proposedStep = newest + 1 + c.stepsDuring(c.settings.SwitchLead)*uint64(c.attempts)
	return c.sendToMembers(now)
}

func (c *Coordinator) stepsDuring(d time.Duration) uint64 {
	return uint64(math.Ceil(float64(d) / float64(c.settings.StepTime)))
}

func (c *Coordinator) isInstalled(s *Status) bool {
	for i := range s.Ranks {
		if s.Ranks[i].Installed != c.plan.Attempt {
			return false
		}
	}
	return true
}

// provesRefusal reports whether a member has left the attempt without
// installing its map, which proves that some member refused it. incarnation is
// that of the member in the proposal.
func (c *Coordinator) provesRefusal(s *Status, incarnation uint64) bool {
	if s.Undecided || s.Ranks[0].Installed == c.plan.Attempt {
		return false
	}
	return s.Incarnation != incarnation || !c.plan.Attempt.After(s.Floor)
}

// sendToMembers sends each member the message of the current phase. TakeOver
// also polls for a Status.
func (c *Coordinator) sendToMembers(now time.Time) []Output {
	c.lastSentAt = now
	prepare := c.prepareDue(now)
	var out []Output
	for id := range c.memberCount {
		var msg Message = TakeOver{Token: c.token}
		switch c.Phase() {
		case Staging:
			if prepare && (c.statuses[id] == nil || !c.isStaged(c.statuses[id])) {
				msg = Prepare{Plan: c.plan}
			}
		case Proposing:
			msg = Propose{Attempt: c.plan.Attempt, Step: c.proposedStep, Incarnations: c.proposedIncarnations}
		case TakingOver, Idle, Settling, Stopped:
		}
		out = append(out, Output{To: ToMember, Member: MemberID(id), Message: msg})
	}
	return out
}

// prepareDue reports whether the plan is to be sent now. If so, it schedules
// the next transmission and doubles the interval after it.
func (c *Coordinator) prepareDue(now time.Time) bool {
	if c.Phase() != Staging || now.Before(c.nextPrepareAt) {
		return false
	}
	c.nextPrepareAt = now.Add(c.prepareInterval)
	c.prepareInterval *= 2
	return true
}
