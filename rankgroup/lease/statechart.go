package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// State is the state of a Holder.
type State string

// States of a Holder, as base/chart/charts/lease.yaml names them. Following is the
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

// action is what a transition does besides the change of state. It returns a
// record to append, if any.
type action func(h *Candidate, now time.Time, t Term) (Record, bool)

var actions = map[string]action{
	"send_claim":    (*Candidate).sendClaim,
	"send_renewal":  (*Candidate).sendRenewal,
	"send_release":  func(h *Candidate, now time.Time, _ Term) (Record, bool) { return h.record(OpRelease, now), true },
	"start_tenure":  (*Candidate).startTenure,
	"extend_tenure": (*Candidate).extendTenure,
	"await_expiry":  (*Candidate).awaitExpiry,
	"await_turn":    (*Candidate).awaitTurn,
	"give_up":       (*Candidate).giveUp,
	"end_tenure":    func(h *Candidate, _ time.Time, _ Term) (Record, bool) { return h.end(h.freeAt) },
}

var vocabulary = chart.Vocabulary{
	Guards:  []string{guardClaimDue, guardRenewalDue, guardNewToken, guardExpired},
	Actions: slices.Collect(maps.Keys(actions)),
}

var candidacyChart = chart.MustLoad("lease", vocabulary)

// fire applies an event and returns the record that is to be appended, if any.
func (h *Candidate) fire(event string, now time.Time, t Term) (Record, bool) {
	if h.machine.Final() {
		return Record{}, false
	}
	name, err := h.machine.Fire(event, h.guards(event, now, t))
	if !invariant.Check(err == nil, "lease: %v", err) || name == "" {
		return Record{}, false
	}
	return actions[name](h, now, t)
}

func (h *Candidate) guards(event string, now time.Time, t Term) chart.Guards {
	maySend := event == eventTick && h.maySend(now)
	return chart.Guards{
		guardClaimDue:   maySend && !now.Before(h.freeAt),
		guardRenewalDue: maySend,
		guardNewToken:   t.Token != h.token,
		guardExpired:    now.After(h.until.Add(h.settings.TTL)),
	}
}

func (h *Candidate) sendClaim(now time.Time, _ Term) (Record, bool) {
	h.nextSend = now.Add(h.settings.RenewInterval + h.jitter())
	return h.record(OpClaim, now), true
}

func (h *Candidate) sendRenewal(now time.Time, _ Term) (Record, bool) {
	h.nextSend = now.Add(h.settings.RenewInterval)
	return h.record(OpRenew, now), true
}

func (h *Candidate) startTenure(now time.Time, t Term) (Record, bool) {
	h.nextSend = now.Add(h.settings.RenewInterval)
	h.extend(now, t)
	return Record{}, false
}

func (h *Candidate) extendTenure(now time.Time, t Term) (Record, bool) {
	h.extend(now, t)
	return Record{}, false
}

func (h *Candidate) awaitExpiry(now time.Time, _ Term) (Record, bool) {
	return h.end(now.Add(h.settings.TTL + h.jitter()))
}

// awaitTurn spreads the claims of the candidates after a release.
func (h *Candidate) awaitTurn(now time.Time, _ Term) (Record, bool) {
	return h.end(now.Add(h.jitter()))
}

func (h *Candidate) giveUp(now time.Time, _ Term) (Record, bool) { return h.end(now) }

// end forgets the tenure. The duty may be claimed from freeAt on.
func (h *Candidate) end(freeAt time.Time) (Record, bool) {
	h.token, h.until = 0, time.Time{}
	h.freeAt = freeAt
	return Record{}, false
}
