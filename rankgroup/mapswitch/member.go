package mapswitch

import (
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// MemberSettings are the timers of a member.
type MemberSettings struct {
	// RetransmitAfter is the time after which a message without a response is
	// sent again.
	RetransmitAfter time.Duration
	// QueryAfter is the age of a ballot from which the member queries missing
	// votes. A member without a ballot on the attempt responds to a query by
	// refusing, so QueryAfter has to exceed the usual duration of a vote.
	QueryAfter time.Duration
}

// DefaultMemberSettings returns timers for message delays of about 2 ms.
func DefaultMemberSettings() MemberSettings {
	return MemberSettings{RetransmitAfter: 20 * time.Millisecond, QueryAfter: 60 * time.Millisecond}
}

// Member is the state machine of a sidecar that controls the ranks of its
// backend server.
type Member struct {
	settings    MemberSettings
	id          MemberID
	memberCount int
	incarnation uint64
	ranks       []RankID
	rankStates  map[RankID]*RankState
	stepChecker *StepChecker

	// token is the highest token seen. tokenRead is set once the current token
	// was read from the log. Until then, commands of coordinators are ignored,
	// because a restarted member would obey one whose token is stale.
	token     infra.Offset
	tokenRead bool

	// floor is the latest attempt voted on. A proposal of an attempt up to
	// floor is refused.
	floor  Attempt
	plan   *Plan
	ballot *ballot
	// earlyBallot collects the votes of other members on an attempt that was
	// not proposed to this member yet.
	earlyBallot ballot
	lastSentAt  time.Time

	overrides testOverrides
}

// testOverrides disable single safety rules. Only tests set them.
type testOverrides struct {
	ignoreTokens       bool
	ignoreIncarnations bool
	forgetRefusals     bool
}

// ballot collects the votes on an attempt, indexed by member. outcome is NoVote
// until it is known.
type ballot struct {
	hold      Hold
	votes     []Verdict
	startedAt time.Time
	outcome   Verdict
}

// NewMember returns a member without any state. The caller sends the outputs of
// Start. incarnation must differ from that of every earlier process of the same
// member.
func NewMember(s MemberSettings, id MemberID, memberCount int, incarnation uint64, ranks []RankID) *Member {
	return &Member{
		settings: s, id: id, memberCount: memberCount, incarnation: incarnation, ranks: ranks,
		rankStates: make(map[RankID]*RankState), stepChecker: NewStepChecker(),
	}
}

// Start asks for the states of the ranks and the current token.
func (m *Member) Start(now time.Time) []Output {
	m.lastSentAt = now
	return m.initialReads()
}

// initialReads returns the reads of ranks and of the log that got no response since
// the start.
func (m *Member) initialReads() []Output {
	var out []Output
	for _, r := range m.ranks {
		if m.rankStates[r] == nil {
			out = append(out, rankOutput(r, ReadRank{}))
		}
	}
	if !m.tokenRead {
		out = append(out, Output{To: ToLog, Message: ReadToken{}})
	}
	return out
}

// ranksKnown reports whether the states of all ranks are known.
func (m *Member) ranksKnown() bool { return len(m.rankStates) == len(m.ranks) }

// Handle processes a message of a coordinator, a member, a rank or the log.
func (m *Member) Handle(now time.Time, msg Message) []Output {
	switch msg := msg.(type) {
	case LatestToken:
		m.observeToken(msg.Token)
		m.tokenRead = true
		return nil
	case RankState:
		return m.handleRankState(now, msg)
	case Query:
		return m.handleQuery(msg)
	case Vote:
		m.observeToken(msg.Token)
		m.handleVote(msg)
		return m.advanceBallot(false)
	case TakeOver:
		return m.withCurrentToken(msg.Token, func() []Output { return m.statusReport(msg.Token) })
	case Prepare:
		return m.withCurrentToken(msg.Plan.Attempt.Token, func() []Output { return m.handlePrepare(msg.Plan) })
	case Propose:
		return m.withCurrentToken(msg.Attempt.Token, func() []Output { return m.handlePropose(now, msg) })
	}
	return nil
}

// withCurrentToken performs a command of a coordinator unless its token is
// stale. The member checks this because some backend servers ignore tokens.
func (m *Member) withCurrentToken(token infra.Offset, perform func() []Output) []Output {
	if !m.tokenRead || !m.ranksKnown() {
		return nil
	}
	if token < m.token && !m.overrides.ignoreTokens {
		return []Output{{To: ToCoordinator, CoordinatorToken: token, Message: Rejected{From: m.id, Token: m.token}}}
	}
	m.observeToken(token)
	return perform()
}

// observeToken records a token. A higher one discards the plan of an earlier
// coordinator, but an open ballot continues to its outcome.
func (m *Member) observeToken(token infra.Offset) {
	if token <= m.token {
		return
	}
	m.token = token
	if m.plan != nil && m.plan.Attempt.Token < token && !m.overrides.ignoreTokens {
		m.plan = nil
	}
}

func (m *Member) statusReport(token infra.Offset) []Output {
	s := Status{
		From: m.id, Incarnation: m.incarnation, Token: m.token,
		Floor: m.floor, Undecided: m.ballot != nil,
	}
	for _, r := range m.ranks {
		s.Ranks = append(s.Ranks, *m.rankStates[r])
	}
	return []Output{{To: ToCoordinator, CoordinatorToken: token, Message: s}}
}

func (m *Member) handlePrepare(p Plan) []Output {
	if m.ballot != nil || !p.Attempt.After(m.floor) || !m.allInstalled(p.Base) {
		return m.statusReport(p.Attempt.Token)
	}
	m.plan = &p
	return append(m.stageRanks(), m.statusReport(p.Attempt.Token)...)
}

func (m *Member) stageRanks() []Output {
	var out []Output
	for _, r := range m.ranks {
		if m.rankStates[r].Staged != m.plan.Attempt {
			out = append(out, rankOutput(r, StageRank{Token: m.token, Plan: *m.plan}))
		}
	}
	return out
}

// allInstalled reports whether all ranks use the map of an attempt.
func (m *Member) allInstalled(a Attempt) bool {
	for _, s := range m.rankStates {
		if s.Installed != a || s.Step < s.ActiveFrom {
			return false
		}
	}
	return true
}

func (m *Member) allStaged(a Attempt) bool {
	for _, s := range m.rankStates {
		if s.Staged != a {
			return false
		}
	}
	return true
}

// handleRankState records the state of a rank. A member that has restarted finds
// the promises of its previous process in these states.
func (m *Member) handleRankState(now time.Time, s RankState) []Output {
	old := m.rankStates[s.Rank]
	if old != nil && s.Version < old.Version {
		return nil
	}
	m.stepChecker.RecordState(&s)
	m.observeToken(s.Token)
	m.rankStates[s.Rank] = &s
	if !m.ranksKnown() {
		return nil
	}
	recovered := m.recoverBallot(now)
	out := m.advanceBallot(recovered)
	if m.tokenRead && (old == nil || isStatusRelevant(old, &s)) {
		out = append(out, m.statusReport(m.token)...)
	}
	return out
}

// isStatusRelevant reports whether two states of a rank differ in a field that
// a coordinator may wait for.
func isStatusRelevant(before, after *RankState) bool {
	return before.Staged != after.Staged || before.Installed != after.Installed || (before.Hold == nil) != (after.Hold == nil)
}

// Tick retransmits messages without a response.
func (m *Member) Tick(now time.Time) []Output {
	if now.Sub(m.lastSentAt) < m.settings.RetransmitAfter {
		return nil
	}
	m.lastSentAt = now
	out := m.initialReads()
	if !m.ranksKnown() {
		return out
	}
	if m.ballot != nil {
		out = append(out, m.advanceBallot(true)...)
		out = append(out, m.queryMissingVotes(now)...)
	} else if m.plan != nil {
		out = append(out, m.stageRanks()...)
	}
	return out
}

func rankOutput(r RankID, msg Message) Output { return Output{To: ToRank, Rank: r, Message: msg} }
