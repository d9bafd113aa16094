package lease

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/infra"
)

// maxUnreadSends bounds the number of appended records that were not read back.
const maxUnreadSends = 16

// Candidate is the state machine of a process that competes for a lease and may
// hold it. It runs on base/chart/charts/lease.yaml.
type Candidate struct {
	settings        Settings
	leaseName       string
	name            string
	rng             *rand.Rand
	machine         *chart.Machine
	nonce           uint64
	unreadSends     map[uint64]time.Time // by nonce, on the candidate's monotonic clock
	token           infra.Offset         // zero unless the log names this process as holder
	tokenValidUntil time.Time            // on the candidate's clock
	nextSendAt      time.Time
	claimableAt     time.Time // when the term of another holder may have expired
}

// NewCandidate returns a Candidate for the named lease. name is unique for each
// process start. Before its first claim, the candidate waits for records of the
// current holder, for one TTL and a random part of SafetyMargin.
func NewCandidate(s Settings, leaseName, name string, rng *rand.Rand, now time.Time) *Candidate {
	c := &Candidate{
		settings: s, leaseName: leaseName, name: name, rng: rng, unreadSends: make(map[uint64]time.Time),
		machine: candidateChart.NewMachine(),
	}
	c.claimableAt = now.Add(s.TTL + c.jitter())
	return c
}

// State returns the current state.
func (c *Candidate) State() State { return State(c.machine.State()) }

// Token returns the fencing token while this process may act as holder. Callers
// check it before each action. That alone is not safe, because a process that
// is paused after the check acts late; a TokenChecker stops such actions.
func (c *Candidate) Token(now time.Time) (infra.Offset, bool) {
	return c.token, c.State() == Holding && now.Before(c.tokenValidUntil)
}

// Tick returns the record to append at now, if one is due.
func (c *Candidate) Tick(now time.Time) (Record, bool) {
	return c.fire(eventTick, now, Term{})
}

// NextTick returns when Tick is to be called again.
func (c *Candidate) NextTick() time.Time {
	if c.State() != Holding && c.claimableAt.After(c.nextSendAt) {
		return c.claimableAt
	}
	return c.nextSendAt
}

// Leave ends the candidacy. It returns a release record if this process holds
// the lease.
func (c *Candidate) Leave(now time.Time) (Record, bool) {
	return c.fire(eventLeave, now, Term{})
}

// AppendRateLimited reports that an append was rate limited and had no effect.
func (c *Candidate) AppendRateLimited(nonce uint64, now time.Time, retryAfter time.Duration) {
	delete(c.unreadSends, nonce)
	c.nextSendAt = now.Add(max(retryAfter, c.settings.SafetyMargin/2) + c.jitter())
}

// ObserveTerm reports a term of this lease that Projection.Apply returned at now.
func (c *Candidate) ObserveTerm(now time.Time, t Term) {
	event := eventWon
	switch {
	case t.Holder != c.name && t.Released:
		event = eventOtherReleased
	case t.Holder != c.name:
		event = eventOtherHolds
	case t.Released:
		event = eventReleased
	}
	c.fire(event, now, t)
}

// ObserveCaughtUp reports that a read at now reached the end of the stream and
// showed no newer term. The candidate gives up a term of its own that expired
// without a renewal.
func (c *Candidate) ObserveCaughtUp(now time.Time) { c.fire(eventCaughtUp, now, Term{}) }

// extendValidity extends the validity of the token by a record that was read
// back.
func (c *Candidate) extendValidity(now time.Time, t Term) {
	c.token = t.Token
	// The log timestamped the record after it was sent, so the term expires
	// on the log's clock no earlier than one TTL after the send.
	sentAt, known := c.unreadSends[t.Nonce]
	if !known {
		return
	}
	if until := sentAt.Add(c.settings.TTL - c.settings.SafetyMargin); until.After(c.tokenValidUntil) {
		c.tokenValidUntil = until
	}
	if !now.Before(c.tokenValidUntil) {
		c.nextSendAt = now // the record was read back too late; renew at once
	}
	delete(c.unreadSends, t.Nonce)
}

// maySend reports whether the send interval and the number of unread records
// allow one more record.
func (c *Candidate) maySend(now time.Time) bool {
	return !now.Before(c.nextSendAt) && (len(c.unreadSends) < maxUnreadSends || c.pruneUnreadSends(now))
}

// pruneUnreadSends drops sends that are too old to extend the validity of the
// token if their records are still read back. It reports whether a further send
// is allowed.
func (c *Candidate) pruneUnreadSends(now time.Time) bool {
	for nonce, at := range c.unreadSends {
		if now.After(at.Add(c.settings.TTL)) {
			delete(c.unreadSends, nonce)
		}
	}
	return len(c.unreadSends) < maxUnreadSends
}

func (c *Candidate) newRecord(op Op, now time.Time) Record {
	c.nonce++
	c.unreadSends[c.nonce] = now
	r := Record{Op: op, LeaseName: c.leaseName, Holder: c.name, Nonce: c.nonce}
	if op != OpClaim {
		r.Token = c.token
	}
	return r
}

// jitter spreads the claims of the candidates over time, so that usually only
// one of them appends a claim.
func (c *Candidate) jitter() time.Duration {
	return time.Duration(c.rng.Int64N(int64(c.settings.SafetyMargin) + 1))
}
