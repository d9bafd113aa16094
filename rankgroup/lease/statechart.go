package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// State is the state of a Candidate.
type State string

// States of a Candidate in base/chart/charts/lease.yaml. Following is the
// initial state, Left the final one.
const (
	Following   State = "following"
	Campaigning State = "campaigning"
	Holding     State = "holding"
	Releasing   State = "releasing"
	Left        State = "left"
)

// Events and guards of the chart.
const (
	eventTick          = "tick"
	eventWon           = "won"
	eventReleased      = "released"
	eventOtherHolds    = "other_holds"
	eventOtherReleased = "other_released"
	eventCaughtUp      = "caught_up"
	eventLeave         = "leave"

	guardClaimDue   = "claim_due"
	guardRenewalDue = "renewal_due"
	guardNewToken   = "new_token"
	guardExpired    = "expired"
)

// action is the action of a transition. It returns a record to append, if any.
type action func(c *Candidate, now time.Time, t Term) (Record, bool)

var actions = map[string]action{
	"send_claim":    (*Candidate).sendClaim,
	"send_renewal":  (*Candidate).sendRenewal,
	"send_release":  func(c *Candidate, now time.Time, _ Term) (Record, bool) { return c.newRecord(OpRelease, now), true },
	"start_tenure":  (*Candidate).startTerm,
	"extend_tenure": (*Candidate).extendTerm,
	"await_expiry":  (*Candidate).awaitExpiry,
	"await_turn":    (*Candidate).awaitTurn,
	"give_up":       (*Candidate).giveUp,
	"end_tenure":    func(c *Candidate, _ time.Time, _ Term) (Record, bool) { return c.endTerm(c.claimableAt) },
}

var vocabulary = chart.Vocabulary{
	Guards:  []string{guardClaimDue, guardRenewalDue, guardNewToken, guardExpired},
	Actions: slices.Collect(maps.Keys(actions)),
}

var candidateChart = chart.MustLoad("lease", vocabulary)

// fire applies an event and returns the record to append, if any.
func (c *Candidate) fire(event string, now time.Time, t Term) (Record, bool) {
	if c.machine.Final() {
		return Record{}, false
	}
	name, err := c.machine.Fire(event, c.guards(event, now, t))
	if !invariant.Check(err == nil, "lease: %v", err) || name == "" {
		return Record{}, false
	}
	return actions[name](c, now, t)
}

func (c *Candidate) guards(event string, now time.Time, t Term) chart.Guards {
	maySend := event == eventTick && c.maySend(now)
	return chart.Guards{
		guardClaimDue:   maySend && !now.Before(c.claimableAt),
		guardRenewalDue: maySend,
		guardNewToken:   t.Token != c.token,
		guardExpired:    now.After(c.tokenValidUntil.Add(c.settings.TTL)),
	}
}

func (c *Candidate) sendClaim(now time.Time, _ Term) (Record, bool) {
	c.nextSendAt = now.Add(c.settings.RenewInterval + c.jitter())
	return c.newRecord(OpClaim, now), true
}

func (c *Candidate) sendRenewal(now time.Time, _ Term) (Record, bool) {
	c.nextSendAt = now.Add(c.settings.RenewInterval)
	return c.newRecord(OpRenew, now), true
}

func (c *Candidate) startTerm(now time.Time, t Term) (Record, bool) {
	c.nextSendAt = now.Add(c.settings.RenewInterval)
	c.extendValidity(now, t)
	return Record{}, false
}

func (c *Candidate) extendTerm(now time.Time, t Term) (Record, bool) {
	c.extendValidity(now, t)
	return Record{}, false
}

func (c *Candidate) awaitExpiry(now time.Time, _ Term) (Record, bool) {
	return c.endTerm(now.Add(c.settings.TTL + c.jitter()))
}

// awaitTurn delays the next claim by a random time. All candidates may claim the
// lease after its release, and the delays spread their claims.
func (c *Candidate) awaitTurn(now time.Time, _ Term) (Record, bool) {
	return c.endTerm(now.Add(c.jitter()))
}

func (c *Candidate) giveUp(now time.Time, _ Term) (Record, bool) { return c.endTerm(now) }

// endTerm ends the term of this process. The lease may be claimed from
// claimableAt on.
func (c *Candidate) endTerm(claimableAt time.Time) (Record, bool) {
	c.token, c.tokenValidUntil = 0, time.Time{}
	c.claimableAt = claimableAt
	return Record{}, false
}
