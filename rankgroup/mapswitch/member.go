package mapswitch

import (
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// MemberSettings are the timers of a member.
type MemberSettings struct {
	// Retransmit is the time after which an unanswered message is repeated.
	RetransmitAfter time.Duration
	// ResolveAfter is the time after which a member that has promised asks
	// for missing votes. Asking makes a member that has not begun to promise
	// refuse, so it has to exceed the usual time of a vote.
	QueryAfter time.Duration
}

// DefaultMemberSettings returns timers for message delays of about 2 ms.
func DefaultMemberSettings() MemberSettings {
	return MemberSettings{RetransmitAfter: 20 * time.Millisecond, QueryAfter: 60 * time.Millisecond}
}

// Member is the state machine beside the ranks of one backend server.
type Member struct {
	settings    MemberSettings
	id          MemberID
	members     int
	incarnation uint64
	ranks       []RankID
	states      map[RankID]*RankState
	ledger      *StepChecker

	// token is the highest token seen. tokenRead says that the log was read
	// since the start; before that, no command of a holder is accepted.
	token     infra.Offset
	tokenRead bool

	// floor is the latest attempt voted on. No attempt up to floor is begun.
	floor   Attempt
	plan    *Plan
	current *ballot
	early   ballot
	sentAt  time.Time

	rules rules
}

// rules are switched off by tests only.
type rules struct {
	ignoreTokens       bool
	ignoreIncarnations bool
	forgetRefusals     bool
}

// ballot collects the votes of an attempt.
type ballot struct {
	hold    Hold
	votes   []Verdict
	began   time.Time
	outcome Verdict
}

// NewMember returns a member that knows nothing yet. The caller sends the
// outputs of Start. The incarnation differs from those of all earlier
// processes in the same slot.
func NewMember(s MemberSettings, id MemberID, members int, incarnation uint64, ranks []RankID) *Member {
	return &Member{
		settings: s, id: id, members: members, incarnation: incarnation, ranks: ranks,
		states: make(map[RankID]*RankState), ledger: NewStepChecker(),
	}
}

// Start reads the ranks and the token.
func (m *Member) Start(now time.Time) []Output {
	m.sentAt = now
	return m.requests()
}

// requests lists what a starting member still has to learn.
func (m *Member) requests() []Output {
	var out []Output
	for _, r := range m.ranks {
		if m.states[r] == nil {
			out = append(out, toRank(r, ReadRank{}))
		}
	}
	if !m.tokenRead {
		out = append(out, Output{To: ToLog, Message: ReadToken{}})
	}
	return out
}

// ready reports whether the state of all ranks is known.
func (m *Member) ready() bool { return len(m.states) == len(m.ranks) }

// Handle processes a message.
func (m *Member) Handle(now time.Time, msg Message) []Output {
	switch msg := msg.(type) {
	case LatestToken:
		m.raise(msg.Token)
		m.tokenRead = true
		return nil
	case RankState:
		return m.onRank(now, msg)
	case Query:
		return m.onQuery(msg)
	case Vote:
		m.raise(msg.Token)
		m.onVote(msg)
		return m.advance(false)
	case TakeOver:
		return m.fromHolder(msg.Token, func() []Output { return m.report(msg.Token) })
	case Prepare:
		return m.fromHolder(msg.Plan.Attempt.Token, func() []Output { return m.onPrepare(msg.Plan) })
	case Propose:
		return m.fromHolder(msg.Attempt.Token, func() []Output { return m.onPropose(now, msg) })
	}
	return nil
}

// fromHolder performs a command of a holder unless its token is stale. The
// check is made here because some backend servers ignore tokens.
func (m *Member) fromHolder(token infra.Offset, perform func() []Output) []Output {
	if !m.tokenRead || !m.ready() {
		return nil
	}
	if token < m.token && !m.rules.ignoreTokens {
		return []Output{{To: ToCoordinator, CoordinatorToken: token, Message: Rejected{From: m.id, Token: m.token}}}
	}
	m.raise(token)
	return perform()
}

// raise notes a token. A plan of an earlier holder is dropped; an attempt that
// was begun runs to its outcome.
func (m *Member) raise(token infra.Offset) {
	if token <= m.token {
		return
	}
	m.token = token
	if m.plan != nil && m.plan.Attempt.Token < token && !m.rules.ignoreTokens {
		m.plan = nil
	}
}

func (m *Member) report(holder infra.Offset) []Output {
	s := Status{
		From: m.id, Incarnation: m.incarnation, Token: m.token,
		Floor: m.floor, Undecided: m.current != nil,
	}
	for _, r := range m.ranks {
		s.Ranks = append(s.Ranks, *m.states[r])
	}
	return []Output{{To: ToCoordinator, CoordinatorToken: holder, Message: s}}
}

func (m *Member) onPrepare(p Plan) []Output {
	if m.current != nil || !p.Attempt.After(m.floor) || !m.installed(p.Base) {
		return m.report(p.Attempt.Token)
	}
	m.plan = &p
	return append(m.stage(), m.report(p.Attempt.Token)...)
}

func (m *Member) stage() []Output {
	var out []Output
	for _, r := range m.ranks {
		if m.states[r].Staged != m.plan.Attempt {
			out = append(out, toRank(r, StageRank{Token: m.token, Plan: *m.plan}))
		}
	}
	return out
}

// installed reports whether all ranks use the map of an attempt.
func (m *Member) installed(a Attempt) bool {
	for _, s := range m.states {
		if s.Installed != a || s.Step < s.ActiveFrom {
			return false
		}
	}
	return true
}

func (m *Member) staged(a Attempt) bool {
	for _, s := range m.states {
		if s.Staged != a {
			return false
		}
	}
	return true
}

// onRank notes the state of a rank. A member that starts finds the promises
// of its predecessor here.
func (m *Member) onRank(now time.Time, s RankState) []Output {
	old := m.states[s.Rank]
	if old != nil && s.Version < old.Version {
		return nil
	}
	m.ledger.RecordState(&s)
	m.raise(s.Token)
	m.states[s.Rank] = &s
	if !m.ready() {
		return nil
	}
	adopted := m.adopt(now)
	out := m.advance(adopted)
	if m.tokenRead && (old == nil || relevant(old, &s)) {
		out = append(out, m.report(m.token)...)
	}
	return out
}

// relevant reports whether a holder waits for the change between two states.
func relevant(a, b *RankState) bool {
	return a.Staged != b.Staged || a.Installed != b.Installed || (a.Hold == nil) != (b.Hold == nil)
}

// Tick repeats what has not been answered.
func (m *Member) Tick(now time.Time) []Output {
	if now.Sub(m.sentAt) < m.settings.RetransmitAfter {
		return nil
	}
	m.sentAt = now
	out := m.requests()
	if !m.ready() {
		return out
	}
	if m.current != nil {
		out = append(out, m.advance(true)...)
		out = append(out, m.queries(now)...)
	} else if m.plan != nil {
		out = append(out, m.stage()...)
	}
	return out
}

func toRank(r RankID, msg Message) Output { return Output{To: ToRank, Rank: r, Message: msg} }
