package mapswitch

import "time"

// onPropose begins to promise, or votes against the attempt.
func (m *Member) onPropose(now time.Time, p Propose) []Output {
	if m.current != nil && m.current.hold.Attempt == p.Attempt {
		return m.report(p.Attempt.Token)
	}
	if !m.mayBegin(p) {
		return append(m.refuse(p.Attempt), m.report(p.Attempt.Token)...)
	}
	m.begin(now, Hold{Attempt: p.Attempt, Step: p.Step})
	return m.advance(true)
}

// mayBegin checks a proposal. A member of another incarnation than the one
// that staged the weights may have refused the attempt before it restarted.
func (m *Member) mayBegin(p Propose) bool {
	switch {
	case m.current != nil || !p.Attempt.After(m.floor):
		return false
	case m.plan == nil || m.plan.Attempt != p.Attempt || !m.staged(p.Attempt):
		return false
	case !m.installed(m.plan.Base):
		return false
	case len(p.Incarnations) != m.members:
		return false
	}
	return p.Incarnations[m.id] == m.incarnation || m.rules.ignoreIncarnations
}

func (m *Member) begin(now time.Time, h Hold) {
	m.floor = h.Attempt
	m.current = &ballot{hold: h, votes: make([]Verdict, m.members), began: now}
	if m.early.hold.Attempt == h.Attempt {
		copy(m.current.votes, m.early.votes)
	}
	m.early = ballot{}
}

// adopt continues a ballot that the ranks know and the member does not: that
// of its predecessor before a restart, or one whose commands arrived after the
// outcome.
func (m *Member) adopt(now time.Time) bool {
	if m.current != nil {
		return false
	}
	for _, r := range m.ranks {
		if h := m.states[r].Hold; h != nil {
			floor := m.floor
			m.begin(now, *h)
			if floor.After(m.floor) {
				m.floor = floor
			}
			return true
		}
	}
	return false
}

// refuse votes against an attempt that was not begun. The vote is final.
func (m *Member) refuse(a Attempt) []Output {
	if m.rules.forgetRefusals {
		return m.broadcast(a, m.verdict(a, 0))
	}
	if a.After(m.floor) {
		m.floor = a
	}
	return m.broadcast(a, m.verdict(a, 0))
}

// verdict derives the vote on an attempt from the ranks. Step 0 stands for an
// unknown step.
func (m *Member) verdict(a Attempt, step uint64) Verdict {
	held := 0
	passed := false
	for _, s := range m.states {
		if s.Installed == a {
			return Installed
		}
		if s.Hold != nil && s.Hold.Attempt == a {
			held++
		}
		if step > 0 && s.Step >= step {
			passed = true
		}
	}
	switch {
	case passed:
		// The rank entered the step on the old map, so this member has
		// not promised and never can.
		return Refused
	case held == len(m.ranks):
		return Promised
	case m.current != nil && m.current.hold.Attempt == a:
		return NoVote
	default:
		return Refused
	}
}

// onQuery answers with the vote. A member that has not begun refuses, because
// the sender cannot wait for a promise that may never come.
func (m *Member) onQuery(q Query) []Output {
	if !m.ready() {
		return nil
	}
	var verdict Verdict
	if m.current != nil && m.current.hold.Attempt == q.Attempt {
		verdict = m.current.outcome
		if verdict == NoVote {
			verdict = m.verdict(q.Attempt, q.Step)
		}
	} else {
		verdict = m.verdict(q.Attempt, q.Step)
		if verdict == Refused && q.Attempt.After(m.floor) && !m.rules.forgetRefusals {
			m.floor = q.Attempt
		}
	}
	if verdict == NoVote {
		return nil
	}
	return []Output{{To: ToMember, Member: q.From, Message: m.vote(q.Attempt, verdict)}}
}

// onVote notes a vote. Votes that overtake the proposal are kept.
func (m *Member) onVote(v Vote) {
	if v.From < 0 || int(v.From) >= m.members {
		return
	}
	if m.current != nil && m.current.hold.Attempt == v.Attempt {
		m.current.votes[v.From] = v.Verdict
		return
	}
	if !v.Attempt.After(m.floor) || m.early.hold.Attempt.After(v.Attempt) {
		return
	}
	if m.early.hold.Attempt != v.Attempt {
		m.early = ballot{hold: Hold{Attempt: v.Attempt}, votes: make([]Verdict, m.members)}
	}
	m.early.votes[v.From] = v.Verdict
}

// advance drives the current ballot: vote once the vote is known, and tell the
// ranks the outcome once that is known. Commands are repeated only if repeat
// is set.
func (m *Member) advance(repeat bool) []Output {
	c := m.current
	if c == nil {
		return nil
	}
	var out []Output
	decided := false
	if c.outcome == NoVote {
		out = m.castVote(repeat)
		c.outcome = c.count()
		decided = c.outcome != NoVote
	}
	if c.outcome == NoVote {
		return out
	}
	if decided || repeat {
		out = append(out, m.release()...)
	}
	if m.released(c.hold.Attempt) {
		m.current, m.plan = nil, nil
	}
	return out
}

// castVote broadcasts the vote once it is known. Until then the ranks are
// still to be brought to hold.
func (m *Member) castVote(repeat bool) []Output {
	c := m.current
	if c.votes[m.id] != NoVote {
		return nil
	}
	v := m.verdict(c.hold.Attempt, c.hold.Step)
	if v != NoVote {
		c.votes[m.id] = v
		return m.broadcast(c.hold.Attempt, v)
	}
	if !repeat {
		return nil
	}
	return m.holdRanks()
}

func (m *Member) holdRanks() []Output {
	c := m.current
	var out []Output
	for _, r := range m.ranks {
		if m.states[r].Hold == nil {
			out = append(out, toRank(r, HoldRank{Token: m.token, Hold: c.hold}))
		}
	}
	return out
}

// count returns the outcome: Installed if all members promised or one knows
// that, Refused if one refused, and NoVote if votes are missing.
func (b *ballot) count() Verdict {
	promised := 0
	for _, v := range b.votes {
		switch v {
		case Installed, Refused:
			return v
		case Promised:
			promised++
		case NoVote:
		}
	}
	if promised == len(b.votes) {
		return Installed
	}
	return NoVote
}

func (m *Member) release() []Output {
	c := m.current
	var out []Output
	for _, r := range m.ranks {
		if c.hold.Attempt.After(m.states[r].Released) {
			out = append(out, toRank(r, ReleaseRank{Token: m.token, Attempt: c.hold.Attempt, Commit: c.outcome == Installed}))
		}
	}
	return out
}

// released reports whether all ranks know the outcome. A rank that does not
// hold is told as well, because a command to hold may still be on its way.
func (m *Member) released(a Attempt) bool {
	for _, s := range m.states {
		if a.After(s.Released) {
			return false
		}
	}
	return true
}

// queries asks for the missing votes, once the usual time has passed.
func (m *Member) queries(now time.Time) []Output {
	c := m.current
	if c == nil || c.outcome != NoVote || now.Sub(c.began) < m.settings.QueryAfter {
		return nil
	}
	var out []Output
	for id, v := range c.votes {
		if v == NoVote && MemberID(id) != m.id {
			q := Query{From: m.id, Attempt: c.hold.Attempt, Step: c.hold.Step}
			out = append(out, Output{To: ToMember, Member: MemberID(id), Message: q})
		}
	}
	return out
}

func (m *Member) vote(a Attempt, v Verdict) Vote {
	return Vote{From: m.id, Attempt: a, Verdict: v, Token: m.token}
}

func (m *Member) broadcast(a Attempt, v Verdict) []Output {
	var out []Output
	for id := range m.members {
		if MemberID(id) != m.id {
			out = append(out, Output{To: ToMember, Member: MemberID(id), Message: m.vote(a, v)})
		}
	}
	return out
}
