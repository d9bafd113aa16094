// Package mapswitch switches a lock-step group of ranks from one expert map to
// the next by an atomic commit protocol, so that no step runs on two maps.
//
// The sidecar that holds the lease of the group runs the Coordinator. Every
// sidecar of the group runs a Member, which controls the ranks of its backend
// server. The coordinator has the weights staged on all ranks, chooses a step
// in the near future and proposes to switch at it. A member votes Promised
// after all its ranks hold: a rank that holds does not enter the promised step
// until it is told the outcome.
//
// The outcome is a function of the votes alone: the switch is committed if and
// only if all members promised. A vote never changes. Members send their votes
// to each other, so no member needs the coordinator or the log to learn the
// outcome. A crashed or unreachable member delays the outcome, but without its
// ranks the group cannot step anyway.
//
// Members keep no durable state. A restarted member derives its vote again from
// the states of its ranks. This requires that a member has one running sidecar
// at a time, and that a rank answers a new connection only after all commands
// of the previous one.
//
// All types are deterministic state machines without goroutines or clocks.
// They are not safe for concurrent use.
package mapswitch

import (
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// MemberID numbers the members of a group from 0.
type MemberID int

// RankID numbers the ranks of a group from 0.
type RankID int

// Attempt identifies one attempt to switch to a plan. Attempts are ordered by
// the fencing token of the coordinator, then by sequence number.
type Attempt struct {
	Token infra.Offset
	Seq   uint64
}

// After reports whether a is later than b.
func (a Attempt) After(b Attempt) bool {
	if a.Token != b.Token {
		return a.Token > b.Token
	}
	return a.Seq > b.Seq
}

// Plan is the map that an attempt switches to.
type Plan struct {
	Attempt Attempt
	// Base is the attempt whose map the plan replaces.
	Base   Attempt
	Epoch  uint64
	Target *experts.Map
}

// Hold is a promise of a rank not to enter Step before the outcome of Attempt
// is known.
type Hold struct {
	Attempt Attempt
	Step    uint64
}

// RankState is the state that a rank reports.
type RankState struct {
	Rank RankID
	// Version grows with each change, so that an outdated report is recognised.
	Version uint64
	// Token is the highest fencing token of a command to the rank.
	Token infra.Offset
	// Step is the last step that the rank entered.
	Step uint64
	// Installed is the attempt whose map is in force from step ActiveFrom on.
	Installed  Attempt
	Epoch      uint64
	ActiveFrom uint64
	// Previous and PreviousEpoch describe the map before step ActiveFrom.
	Previous      Attempt
	PreviousEpoch uint64
	// Staged is the attempt whose weights are complete on the rank.
	Staged Attempt
	// Released is the latest attempt whose outcome the rank knows. The rank
	// does not hold for it or for earlier ones.
	Released Attempt
	Hold     *Hold
}

// AttemptAt returns the attempt that installed the map of a step.
func (s *RankState) AttemptAt(step uint64) Attempt {
	if step < s.ActiveFrom {
		return s.Previous
	}
	return s.Installed
}

// EpochAt returns the epoch of the map that the rank uses in a step.
func (s *RankState) EpochAt(step uint64) uint64 {
	if step < s.ActiveFrom {
		return s.PreviousEpoch
	}
	return s.Epoch
}

// Message is one of the message types of this package.
type Message interface{ message() }

// Messages from the coordinator to a member.
type (
	// TakeOver announces a new coordinator. It also polls for a Status.
	TakeOver struct{ Token infra.Offset }
	// Prepare asks a member to stage the weights of a plan on its ranks.
	Prepare struct{ Plan Plan }
	// Propose asks a member to promise a step. Incarnations lists, by member,
	// the incarnation that reported the weights as staged.
	Propose struct {
		Attempt      Attempt
		Step         uint64
		Incarnations []uint64
	}
)

// Messages from a member to the coordinator.
type (
	// Status is the state of a member and its ranks.
	Status struct {
		From        MemberID
		Incarnation uint64
		Token       infra.Offset
		// Floor is the latest attempt that the member voted on.
		Floor Attempt
		// Undecided is set while the member waits for the outcome of an
		// attempt, or has ranks that do not know the outcome yet.
		Undecided bool
		Ranks     []RankState
	}
	// Rejected tells a sender that its token is stale.
	Rejected struct {
		From  MemberID
		Token infra.Offset
	}
)

// Verdict is the content of a vote.
type Verdict uint8

// Verdicts of a vote. Installed is sent by a member that knows the outcome.
const (
	NoVote Verdict = iota
	Promised
	Refused
	Installed
)

// Messages between members.
type (
	// Query asks a member for its vote. A receiver without a ballot on the
	// attempt votes Refused.
	Query struct {
		From    MemberID
		Attempt Attempt
		Step    uint64
	}
	// Vote is the vote of a member.
	Vote struct {
		From    MemberID
		Attempt Attempt
		Verdict Verdict
		// Token is the highest token that the sender has seen.
		Token infra.Offset
	}
)

// LatestToken is the response of the log to ReadToken: the newest fencing token
// of the group's lease.
type LatestToken struct{ Token infra.Offset }

// Commands from a member to a rank. The response to each is a RankState. Only
// some backend servers check Token.
type (
	// ReadRank requests the state without a change.
	ReadRank struct{}
	// StageRank tells a rank to stage the weights of a plan.
	StageRank struct {
		Token infra.Offset
		Plan  Plan
	}
	// HoldRank asks a rank to promise not to enter a step.
	HoldRank struct {
		Token infra.Offset
		Hold  Hold
	}
	// ReleaseRank tells a rank the outcome of an attempt.
	ReleaseRank struct {
		Token   infra.Offset
		Attempt Attempt
		Commit  bool
	}
)

// ReadToken asks the log for the newest fencing token of the group's lease.
type ReadToken struct{}

func (TakeOver) message()    {}
func (Prepare) message()     {}
func (Propose) message()     {}
func (Status) message()      {}
func (Rejected) message()    {}
func (Query) message()       {}
func (Vote) message()        {}
func (LatestToken) message() {}
func (ReadRank) message()    {}
func (StageRank) message()   {}
func (HoldRank) message()    {}
func (ReleaseRank) message() {}
func (ReadToken) message()   {}
func (RankState) message()   {}

// Destination is the kind of receiver of an Output.
type Destination uint8

// Destinations.
const (
	ToMember Destination = iota
	ToCoordinator
	ToRank
	ToLog
)

// Output is a message to send. Of the address fields, only the one that
// belongs to To is set. A coordinator is addressed by its fencing token.
type Output struct {
	To               Destination
	Member           MemberID
	Rank             RankID
	CoordinatorToken infra.Offset
	Message          Message
}
