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
type action func(h *Holder, now time.Time, t Tenure) (Record, bool)

var actions = map[string]action{
	"send_claim":    (*Holder).sendClaim,
	"send_renewal":  (*Holder).sendRenewal,
	"send_release":  func(h *Holder, now time.Time, _ Tenure) (Record, bool) { return h.record(OpRelease, now), true },
	"start_tenure":  (*Holder).startTenure,
	"extend_tenure": (*Holder).extendTenure,
	"await_expiry":  (*Holder).awaitExpiry,
	"await_turn":    (*Holder).awaitTurn,
	"give_up":       (*Holder).giveUp,
	"end_tenure":    func(h *Holder, _ time.Time, _ Tenure) (Record, bool) { return h.end(h.freeAt) },
}

var vocabulary = chart.Vocabulary{
	Guards:  []string{guardClaimDue, guardRenewalDue, guardNewToken, guardExpired},
	Actions: slices.Collect(maps.Keys(actions)),
}

var candidacyChart = chart.MustLoad("lease", vocabulary)

// fire applies an event and returns the record that is to be appended, if any.
func (h *Holder) fire(event string, now time.Time, t Tenure) (Record, bool) {
	if h.machine.Final() {
		return Record{}, false
	}
	name, err := h.machine.Fire(event, h.guards(event, now, t))
	if !invariant.Check(err == nil, "lease: %v", err) || name == "" {
		return Record{}, false
	}
	return actions[name](h, now, t)
}

func (h *Holder) guards(event string, now time.Time, t Tenure) chart.Guards {
	maySend := event == eventTick && h.maySend(now)
	return chart.Guards{
		guardClaimDue:   maySend && !now.Before(h.freeAt),
		guardRenewalDue: maySend,
		guardNewToken:   t.Token != h.token,
		guardExpired:    now.After(h.until.Add(h.settings.TTL)),
	}
}

func (h *Holder) sendClaim(now time.Time, _ Tenure) (Record, bool) {
	h.nextSend = now.Add(h.settings.RenewEvery + h.jitter())
	return h.record(OpClaim, now), true
}

func (h *Holder) sendRenewal(now time.Time, _ Tenure) (Record, bool) {
	h.nextSend = now.Add(h.settings.RenewEvery)
	return h.record(OpRenew, now), true
}

func (h *Holder) startTenure(now time.Time, t Tenure) (Record, bool) {
	h.nextSend = now.Add(h.settings.RenewEvery)
	h.extend(now, t)
	return Record{}, false
}

func (h *Holder) extendTenure(now time.Time, t Tenure) (Record, bool) {
	h.extend(now, t)
	return Record{}, false
}

func (h *Holder) awaitExpiry(now time.Time, _ Tenure) (Record, bool) {
	return h.end(now.Add(h.settings.TTL + h.jitter()))
}

// awaitTurn spreads the claims of the candidates after a release.
func (h *Holder) awaitTurn(now time.Time, _ Tenure) (Record, bool) {
	return h.end(now.Add(h.jitter()))
}

func (h *Holder) giveUp(now time.Time, _ Tenure) (Record, bool) { return h.end(now) }

// end forgets the tenure. The duty may be claimed from freeAt on.
func (h *Holder) end(freeAt time.Time) (Record, bool) {
	h.token, h.until = 0, time.Time{}
	h.freeAt = freeAt
	return Record{}, false
}
