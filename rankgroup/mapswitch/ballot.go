package mapswitch

import "time"

// handlePropose starts a ballot on the proposed attempt, or refuses it.
func (m *Member) handlePropose(now time.Time, p Propose) []Output {
	if m.ballot != nil && m.ballot.hold.Attempt == p.Attempt {
		return m.statusReport(p.Attempt.Token)
	}
	if !m.mayStartBallot(p) {
		return append(m.refuse(p.Attempt), m.statusReport(p.Attempt.Token)...)
	}
	m.startBallot(now, Hold{Attempt: p.Attempt, Step: p.Step})
	return m.advanceBallot(true)
}

// mayStartBallot reports whether the member may promise the proposed step. It
// refuses if its incarnation is not the one that reported the staged weights:
// an earlier incarnation may have refused the attempt before the restart.
func (m *Member) mayStartBallot(p Propose) bool {
	switch {
	case m.ballot != nil || !p.Attempt.After(m.floor):
		return false
	case m.plan == nil || m.plan.Attempt != p.Attempt || !m.allStaged(p.Attempt):
		return false
	case !m.allInstalled(m.plan.Base):
		return false
	case len(p.Incarnations) != m.memberCount:
		return false
	}
	return p.Incarnations[m.id] == m.incarnation || m.overrides.ignoreIncarnations
}

func (m *Member) startBallot(now time.Time, h Hold) {
	m.floor = h.Attempt
	m.ballot = &ballot{hold: h, votes: make([]Verdict, m.memberCount), startedAt: now}
	if m.earlyBallot.hold.Attempt == h.Attempt {
		copy(m.ballot.votes, m.earlyBallot.votes)
	}
	m.earlyBallot = ballot{}
}

// recoverBallot reopens the ballot of a rank that still holds although the
// member has no open ballot. Either the member has restarted, or the hold
// command reached the rank after the outcome. It reports whether it reopened
// one.
func (m *Member) recoverBallot(now time.Time) bool {
	if m.ballot != nil {
		return false
	}
	for _, r := range m.ranks {
		if h := m.rankStates[r].Hold; h != nil {
			floor := m.floor
			m.startBallot(now, *h)
			if floor.After(m.floor) {
				m.floor = floor
			}
			return true
		}
	}
	return false
}

// refuse votes against an attempt without a ballot. The vote is final.
func (m *Member) refuse(a Attempt) []Output {
	if m.overrides.forgetRefusals {
		return m.broadcastVote(a, m.deriveVerdict(a, 0))
	}
	if a.After(m.floor) {
		m.floor = a
	}
	return m.broadcastVote(a, m.deriveVerdict(a, 0))
}

// deriveVerdict derives the vote on an attempt from the states of the ranks.
// Step 0 means that the promised step is unknown.
func (m *Member) deriveVerdict(a Attempt, step uint64) Verdict {
	holding := 0
	enteredStep := false
	for _, s := range m.rankStates {
		if s.Installed == a {
			return Installed
		}
		if s.Hold != nil && s.Hold.Attempt == a {
			holding++
		}
		if step > 0 && s.Step >= step {
			enteredStep = true
		}
	}
	switch {
	case enteredStep:
		// A rank has entered the step on the old map, so this member
		// has not promised and never can.
		return Refused
	case holding == len(m.ranks):
		return Promised
	case m.ballot != nil && m.ballot.hold.Attempt == a:
		return NoVote
	default:
		return Refused
	}
}

// handleQuery responds with the vote. A member without a ballot on the attempt
// refuses, because the sender cannot wait for a promise that may never come.
func (m *Member) handleQuery(q Query) []Output {
	if !m.ranksKnown() {
		return nil
	}
	var verdict Verdict
	if m.ballot != nil && m.ballot.hold.Attempt == q.Attempt {
		verdict = m.ballot.outcome
		if verdict == NoVote {
			verdict = m.deriveVerdict(q.Attempt, q.Step)
		}
	} else {
		verdict = m.deriveVerdict(q.Attempt, q.Step)
		if verdict == Refused && q.Attempt.After(m.floor) && !m.overrides.forgetRefusals {
			m.floor = q.Attempt
		}
	}
	if verdict == NoVote {
		return nil
	}
	return []Output{{To: ToMember, Member: q.From, Message: m.newVote(q.Attempt, verdict)}}
}

// handleVote records a vote. Votes that arrive before the proposal are kept in
// earlyBallot.
func (m *Member) handleVote(v Vote) {
	if v.From < 0 || int(v.From) >= m.memberCount {
		return
	}
	if m.ballot != nil && m.ballot.hold.Attempt == v.Attempt {
		m.ballot.votes[v.From] = v.Verdict
		return
	}
	if !v.Attempt.After(m.floor) || m.earlyBallot.hold.Attempt.After(v.Attempt) {
		return
	}
	if m.earlyBallot.hold.Attempt != v.Attempt {
		m.earlyBallot = ballot{hold: Hold{Attempt: v.Attempt}, votes: make([]Verdict, m.memberCount)}
	}
	m.earlyBallot.votes[v.From] = v.Verdict
}

// advanceBallot casts the vote of this member once it is known, and tells the
// ranks the outcome once the votes determine it. It retransmits commands to the
// ranks only if retransmit is set.
func (m *Member) advanceBallot(retransmit bool) []Output {
	b := m.ballot
	if b == nil {
		return nil
	}
	var out []Output
	decided := false
	if b.outcome == NoVote {
		out = m.castVote(retransmit)
		b.outcome = b.tally()
		decided = b.outcome != NoVote
	}
	if b.outcome == NoVote {
		return out
	}
	if decided || retransmit {
		out = append(out, m.releaseRanks()...)
	}
	if m.allReleased(b.hold.Attempt) {
		m.ballot, m.plan = nil, nil
	}
	return out
}

// castVote broadcasts the vote once it is known. Until then it tells the ranks
// to hold, if retransmit is set.
func (m *Member) castVote(retransmit bool) []Output {
	b := m.ballot
	if b.votes[m.id] != NoVote {
		return nil
	}
	v := m.deriveVerdict(b.hold.Attempt, b.hold.Step)
	if v != NoVote {
		b.votes[m.id] = v
		return m.broadcastVote(b.hold.Attempt, v)
	}
	if !retransmit {
		return nil
	}
	return m.holdRanks()
}

func (m *Member) holdRanks() []Output {
	b := m.ballot
	var out []Output
	for _, r := range m.ranks {
		if m.rankStates[r].Hold == nil {
			out = append(out, rankOutput(r, HoldRank{Token: m.token, Hold: b.hold}))
		}
	}
	return out
}

// tally returns the outcome: Installed if all members promised, or if one member
// already knows that outcome; Refused if one member refused; NoVote while votes
// are missing.
func (b *ballot) tally() Verdict {
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

func (m *Member) releaseRanks() []Output {
	b := m.ballot
	var out []Output
	for _, r := range m.ranks {
		if b.hold.Attempt.After(m.rankStates[r].Released) {
			out = append(out, rankOutput(r, ReleaseRank{Token: m.token, Attempt: b.hold.Attempt, Commit: b.outcome == Installed}))
		}
	}
	return out
}

// allReleased reports whether all ranks know the outcome of the attempt. A rank
// that does not hold must know it too, because a hold command may still be in
// flight and is ignored only then.
func (m *Member) allReleased(a Attempt) bool {
	for _, s := range m.rankStates {
		if a.After(s.Released) {
			return false
		}
	}
	return true
}

// queryMissingVotes sends a Query to each member whose vote is missing, once
// QueryAfter has passed since the start of the ballot.
func (m *Member) queryMissingVotes(now time.Time) []Output {
	b := m.ballot
	if b == nil || b.outcome != NoVote || now.Sub(b.startedAt) < m.settings.QueryAfter {
		return nil
	}
	var out []Output
	for id, v := range b.votes {
		if v == NoVote && MemberID(id) != m.id {
			q := Query{From: m.id, Attempt: b.hold.Attempt, Step: b.hold.Step}
			out = append(out, Output{To: ToMember, Member: MemberID(id), Message: q})
		}
	}
	return out
}

func (m *Member) newVote(a Attempt, v Verdict) Vote {
	return Vote{From: m.id, Attempt: a, Verdict: v, Token: m.token}
}

func (m *Member) broadcastVote(a Attempt, v Verdict) []Output {
	var out []Output
	for id := range m.memberCount {
		if MemberID(id) != m.id {
			out = append(out, Output{To: ToMember, Member: MemberID(id), Message: m.newVote(a, v)})
		}
	}
	return out
}
