// Package mapswitch moves a lock-step group of ranks from one expert map to
// the next without ever running a step on two maps.
//
// One holder (a sidecar with the lease of the group) coordinates; every
// sidecar of the group is a member that controls the ranks of its backend
// server. The holder has weights staged on all ranks, chooses a step in the
// near future and asks all members to promise it. A member promises after all
// its ranks hold: a rank that holds does not enter the promised step until it
// is told the outcome.
//
// The outcome is a function of the votes alone: the switch is committed if and
// only if all members promised. A vote never changes. Members send their votes
// to each other, so no member needs the holder or the log to learn the
// outcome. A member that is gone delays the outcome, but without its ranks the
// group cannot step anyway.
//
// Members keep no durable state. What a vote rests on is in the ranks, from
// which a restarted member derives it again. This needs two assumptions: a
// slot runs one sidecar at a time, and a rank answers a new connection only
// after all commands of the previous one.
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

// Attempt identifies one try to switch. Attempts are ordered by token, then
// by sequence number.
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
	// Base is the attempt that installed the map on which the plan rests.
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

// RankState is what a rank reports.
type RankState struct {
	Rank RankID
	// Version grows with each change, so that an older report is recognised.
	Version uint64
	// Token is the highest token that a command to the rank carried.
	Token infra.Offset
	// Step is the step that the rank has entered last.
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

// Messages from the holder to a member.
type (
	// TakeOver announces a holder. It is also its poll for a Status.
	TakeOver struct{ Token infra.Offset }
	// Prepare asks a member to have the weights of a plan staged.
	Prepare struct{ Plan Plan }
	// Propose asks a member to promise a step. Incarnations holds the
	// incarnation of each member that reported the staged weights.
	Propose struct {
		Attempt      Attempt
		Step         uint64
		Incarnations []uint64
	}
)

// Messages from a member to the holder.
type (
	// Status is the state of a member.
	Status struct {
		From        MemberID
		Incarnation uint64
		Token       infra.Offset
		// Floor is the latest attempt that the member voted on.
		Floor Attempt
		// Undecided says that the member has a vote without an outcome, or
		// ranks that were not told the outcome yet.
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

// Verdicts. Installed is sent by a member that knows the outcome.
const (
	NoVote Verdict = iota
	Promised
	Refused
	Installed
)

// Messages between members.
type (
	// Query asks a member for its vote. The receiver votes Refused if it has
	// not begun to promise.
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

// LatestToken is the answer of the log to ReadToken: the offset of the newest
// lease record of the group.
type LatestToken struct{ Token infra.Offset }

// Commands from a member to a rank. Each is answered with a RankState. Token
// is for backend servers that check tokens.
type (
	// ReadRank asks for the state only.
	ReadRank struct{}
	// StageRank asks a rank to fetch the weights of a plan.
	StageRank struct {
		Token infra.Offset
		Plan  Plan
	}
	// HoldRank asks a rank to hold.
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

// ReadToken asks the log for the newest lease record of the group.
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

// Destination tells what kind of process an Output goes to.
type Destination uint8

// Destinations.
const (
	ToMember Destination = iota
	ToCoordinator
	ToRank
	ToLog
)

// Output is a message to send. Of the address fields, only the one that
// belongs to To is set. A holder is addressed by its token.
type Output struct {
	To               Destination
	Member           MemberID
	Rank             RankID
	CoordinatorToken infra.Offset
	Message          Message
}
