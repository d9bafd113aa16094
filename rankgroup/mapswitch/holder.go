package mapswitch

import (
	"math"
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// HolderSettings are the timers and limits of a holder.
type CoordinatorSettings struct {
	// StepTime is the usual time of a step.
	StepTime time.Duration
	// Lead is the time between a proposal and the promised step. A step that
	// is too near stalls the group, and one too far only delays the switch.
	SwitchLead time.Duration
	// Retransmit is the time after which unanswered messages are repeated.
	RetransmitAfter time.Duration
	// Poll is the time between polls of an idle holder.
	PollInterval time.Duration
	// StagingTimeout bounds the wait for weights. The plan is undone after it.
	StagingTimeout time.Duration
	// Attempts bounds the tries to activate a plan.
	MaxAttempts int
}

// DefaultHolderSettings returns settings for steps of 45 ms and message delays
// of about 2 ms. Lead covers three message delays with one loss each.
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

// Outcome tells what became of a submitted plan.
type Outcome uint8

// Outcomes.
const (
	Pending Outcome = iota
	Committed
	Aborted
)

// Holder is the state machine of the sidecar that holds the lease of a group.
type Coordinator struct {
	settings CoordinatorSettings
	token    infra.Offset
	leaseEnd time.Time
	members  int
	machine  *chart.Machine
	status   []*Status
	seenAt   []time.Time
	sentAt   time.Time
	began    time.Time
	// prepareAt is when the plan is sent again, prepareWait the wait after
	// that. The wait doubles each time, because a plan carries the whole map
	// and staging may take minutes: repeated with each poll, plans cost the
	// holder 18.8 KB/s of the 10 KB/s for control.
	prepareAt   time.Time
	prepareWait time.Duration
	seq         uint64
	tries       int
	plan        Plan
	step        uint64
	proposed    []uint64
	outcome     Outcome
	ledger      *StepChecker
}

// NewHolder returns a holder with a token. It stops at leaseEnd by its own
// clock; safety does not depend on that.
func NewCoordinator(s CoordinatorSettings, token infra.Offset, leaseEnd time.Time, members int) *Coordinator {
	return &Coordinator{
		settings: s, token: token, leaseEnd: leaseEnd, members: members,
		machine: holderChart.NewMachine(), ledger: NewStepChecker(),
		status: make([]*Status, members), seenAt: make([]time.Time, members),
	}
}

// Phase returns the phase.
func (h *Coordinator) Phase() Phase { return Phase(h.machine.State()) }

// Outcome returns what became of the last submitted plan.
func (h *Coordinator) Outcome() Outcome { return h.outcome }

// Extend moves the end of the lease after a renewal.
func (h *Coordinator) ExtendLease(leaseEnd time.Time) { h.leaseEnd = leaseEnd }

// Submit starts a switch to a map. The holder must be Idle.
func (h *Coordinator) Submit(now time.Time, target *experts.Map) ([]Output, error) {
	if h.Phase() != Idle {
		return nil, errkind.New(errkind.InProgress, "holder cannot start a plan while %s", h.Phase())
	}
	base := h.status[0].Ranks[0]
	if target.Epoch <= base.Epoch {
		return nil, errkind.New(errkind.InvalidMap, "epoch %d does not follow %d", target.Epoch, base.Epoch)
	}
	h.tries = 0
	h.outcome = Pending
	h.plan = Plan{Base: base.Installed, Epoch: target.Epoch, Target: target}
	return h.fire(now, eventSubmit), nil
}

// prepare starts an attempt.
func (h *Coordinator) prepare(now time.Time) []Output {
	h.seq++
	h.tries++
	h.plan.Attempt = Attempt{Token: h.token, Seq: h.seq}
	h.began = now
	h.prepareAt, h.prepareWait = now, h.settings.RetransmitAfter
	return h.send(now)
}

// Handle processes a message from a member.
func (h *Coordinator) Handle(now time.Time, msg Message) []Output {
	switch msg := msg.(type) {
	case Rejected:
		if msg.Token > h.token {
			h.fire(now, eventSuperseded)
		}
	case Status:
		if h.note(now, msg) {
			return h.fire(now, eventStatus)
		}
	}
	return nil
}

// note keeps a status. Reports of an earlier incarnation, and those that were
// overtaken by a newer one, are dropped.
func (h *Coordinator) note(now time.Time, s Status) bool {
	if h.Phase() == Stopped || s.From < 0 || int(s.From) >= h.members || len(s.Ranks) == 0 {
		return false
	}
	if s.Token > h.token {
		h.fire(now, eventSuperseded)
		return false
	}
	if old := h.status[s.From]; old != nil && s.before(old) {
		return false
	}
	for i := range s.Ranks {
		h.ledger.RecordState(&s.Ranks[i])
	}
	if old := h.status[s.From]; old != nil && old.Incarnation != s.Incarnation {
		// A sidecar that has restarted does not know the plan.
		h.prepareAt, h.prepareWait = now, h.settings.RetransmitAfter
	}
	h.status[s.From] = &s
	h.seenAt[s.From] = now
	return true
}

// before reports whether s was sent before t by the same member.
func (s *Status) before(t *Status) bool {
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

// Tick repeats messages and checks the lease and the time-outs.
func (h *Coordinator) Tick(now time.Time) []Output {
	if h.Phase() == Stopped {
		return nil
	}
	if !now.Before(h.leaseEnd) {
		return h.fire(now, eventLeaseEnded)
	}
	if h.Phase() == Staging && now.Sub(h.began) > h.settings.StagingTimeout {
		h.fire(now, eventStagingTimeout)
	}
	wait := h.settings.RetransmitAfter
	if h.Phase() == Idle {
		wait = h.settings.PollInterval
	}
	if now.Sub(h.sentAt) < wait {
		return nil
	}
	return append(h.fire(now, eventStatus), h.send(now)...)
}

// settled reports whether all members have answered, none is undecided and
// all ranks have the same map.
func (h *Coordinator) settled() bool {
	var installed *Attempt
	return h.all(func(s *Status) bool {
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

func (h *Coordinator) all(ok func(*Status) bool) bool {
	for _, s := range h.status {
		if s == nil || !ok(s) {
			return false
		}
	}
	return true
}

func (h *Coordinator) isStaged(s *Status) bool {
	for i := range s.Ranks {
		if s.Ranks[i].Staged != h.plan.Attempt {
			return false
		}
	}
	return true
}

// propose chooses the step to promise.
func (h *Coordinator) propose(now time.Time) []Output {
	h.proposed = make([]uint64, h.members)
	newest := uint64(0)
	for i, s := range h.status {
		h.proposed[i] = s.Incarnation
		for j := range s.Ranks {
			newest = max(newest, s.Ranks[j].Step+h.stepsIn(now.Sub(h.seenAt[i])))
		}
	}
	// Each further try leaves more time, in case the delays have grown.
	h.step = newest + 1 + h.stepsIn(h.settings.SwitchLead)*uint64(h.tries)
	return h.send(now)
}

func (h *Coordinator) stepsIn(d time.Duration) uint64 {
	return uint64(math.Ceil(float64(d) / float64(h.settings.StepTime)))
}

func (h *Coordinator) isInstalled(s *Status) bool {
	for i := range s.Ranks {
		if s.Ranks[i].Installed != h.plan.Attempt {
			return false
		}
	}
	return true
}

// left reports whether a member is done with the attempt without installing
// it, which proves that it was refused.
func (h *Coordinator) left(s *Status, incarnation uint64) bool {
	if s.Undecided || s.Ranks[0].Installed == h.plan.Attempt {
		return false
	}
	return s.Incarnation != incarnation || !h.plan.Attempt.After(s.Floor)
}

// send sends each member what its phase needs. TakeOver doubles as a poll.
func (h *Coordinator) send(now time.Time) []Output {
	h.sentAt = now
	prepare := h.prepareDue(now)
	var out []Output
	for id := range h.members {
		var msg Message = TakeOver{Token: h.token}
		switch h.Phase() {
		case Staging:
			if prepare && (h.status[id] == nil || !h.isStaged(h.status[id])) {
				msg = Prepare{Plan: h.plan}
			}
		case Proposing:
			msg = Propose{Attempt: h.plan.Attempt, Step: h.step, Incarnations: h.proposed}
		case TakingOver, Idle, Settling, Stopped:
		}
		out = append(out, Output{To: ToMember, Member: MemberID(id), Message: msg})
	}
	return out
}

// prepareDue reports whether the plan is to be sent now, and doubles the wait
// until the next time.
func (h *Coordinator) prepareDue(now time.Time) bool {
	if h.Phase() != Staging || now.Before(h.prepareAt) {
		return false
	}
	h.prepareAt = now.Add(h.prepareWait)
	h.prepareWait *= 2
	return true
}
