package lease

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/infra"
)

// maxSent bounds the appends whose record was not read back.
const maxSent = 16

// Holder is the state machine of one process that stands for a duty. It runs
// on base/chart/charts/lease.yaml.
type Candidate struct {
	settings Settings
	duty     string
	name     string
	rng      *rand.Rand
	machine  *chart.Machine
	nonce    uint64
	sent     map[uint64]time.Time // by nonce, on the holder's monotonic clock
	token    infra.Offset         // zero unless the fold names this holder
	until    time.Time            // end of the tenure on the holder's clock
	nextSend time.Time
	freeAt   time.Time // when the other holder's tenure may have expired
}

// NewHolder returns a Holder that stands for duty from now on. name is unique
// for each process start. It waits one TTL plus a random part of Margin for
// records of the present holder.
func NewCandidate(s Settings, duty, name string, rng *rand.Rand, now time.Time) *Candidate {
	h := &Candidate{
		settings: s, duty: duty, name: name, rng: rng, sent: make(map[uint64]time.Time),
		machine: candidacyChart.NewMachine(),
	}
	h.freeAt = now.Add(s.TTL + h.jitter())
	return h
}

// State returns the present state.
func (h *Candidate) State() State { return State(h.machine.State()) }

// Token returns the fencing token while the holder may act. It is asked ahead
// of each action. Correctness rests on the guards: a process that is paused
// after the question still acts late.
func (h *Candidate) Token(now time.Time) (infra.Offset, bool) {
	return h.token, h.State() == Holding && now.Before(h.until)
}

// Tick returns a record to append at now, if one is due.
func (h *Candidate) Tick(now time.Time) (Record, bool) {
	return h.fire(eventTick, now, Term{})
}

// NextTick returns when Tick has to be asked again.
func (h *Candidate) NextTick() time.Time {
	if h.State() != Holding && h.freeAt.After(h.nextSend) {
		return h.freeAt
	}
	return h.nextSend
}

// Leave ends the candidacy. It returns a release if the duty is held.
func (h *Candidate) Leave(now time.Time) (Record, bool) {
	return h.fire(eventLeave, now, Term{})
}

// RateLimited reports that an append had no effect.
func (h *Candidate) AppendRateLimited(nonce uint64, now time.Time, retryAfter time.Duration) {
	delete(h.sent, nonce)
	h.nextSend = now.Add(max(retryAfter, h.settings.SafetyMargin/2) + h.jitter())
}

// Folded reports a tenure that Fold.Apply returned for this duty at now.
func (h *Candidate) ObserveTerm(now time.Time, t Term) {
	event := eventWon
	switch {
	case t.Holder != h.name && t.Released:
		event = eventOtherReleased
	case t.Holder != h.name:
		event = eventOtherHolds
	case t.Released:
		event = eventReleased
	}
	h.fire(event, now, t)
}

// Checked reports a caught-up read at now that showed no newer tenure. A
// tenure of this holder that expired without a renewal is given up.
func (h *Candidate) ObserveCaughtUp(now time.Time) { h.fire(eventCaughtUp, now, Term{}) }

// extend takes the end of the tenure from a record that was read back.
func (h *Candidate) extend(now time.Time, t Term) {
	h.token = t.Token
	// The log received the record after it was sent, so that its expiry on
	// the log's clock is later than TTL after the send.
	sentAt, known := h.sent[t.Nonce]
	if !known {
		return
	}
	if until := sentAt.Add(h.settings.TTL - h.settings.SafetyMargin); until.After(h.until) {
		h.until = until
	}
	if !now.Before(h.until) {
		h.nextSend = now // the record took effect late; renew at once
	}
	delete(h.sent, t.Nonce)
}

// maySend reports whether the pace and the number of unread records allow one
// more record.
func (h *Candidate) maySend(now time.Time) bool {
	return !now.Before(h.nextSend) && (len(h.sent) < maxSent || h.forget(now))
}

// forget drops sends whose record, should it turn up, no longer extends until.
func (h *Candidate) forget(now time.Time) bool {
	for nonce, at := range h.sent {
		if now.After(at.Add(h.settings.TTL)) {
			delete(h.sent, nonce)
		}
	}
	return len(h.sent) < maxSent
}

func (h *Candidate) record(op Op, now time.Time) Record {
	h.nonce++
	h.sent[h.nonce] = now
	r := Record{Op: op, LeaseName: h.duty, Holder: h.name, Nonce: h.nonce}
	if op != OpClaim {
		r.Token = h.token
	}
	return r
}

// jitter spreads the candidates, so that one claim is appended and not one by
// each of them.
func (h *Candidate) jitter() time.Duration {
	return time.Duration(h.rng.Int64N(int64(h.settings.SafetyMargin) + 1))
}
