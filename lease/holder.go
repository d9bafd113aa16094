package lease

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/platform"
)

// maxSent bounds the appends whose record was not read back.
const maxSent = 16

// Holder is the state machine of one process that stands for a duty.
type Holder struct {
	settings Settings
	duty     string
	name     string
	rng      *rand.Rand
	nonce    uint64
	sent     map[uint64]time.Time // by nonce, on the holder's monotonic clock
	token    platform.Offset      // zero unless the fold names this holder
	until    time.Time            // end of the tenure on the holder's clock
	nextSend time.Time
	freeAt   time.Time // when the other holder's tenure may have expired
	leaving  bool
}

// NewHolder returns a Holder that stands for duty from now on. name is unique
// for each process start. It waits one TTL plus a random part of Margin for
// records of the present holder.
func NewHolder(s Settings, duty, name string, rng *rand.Rand, now time.Time) *Holder {
	h := &Holder{settings: s, duty: duty, name: name, rng: rng, sent: make(map[uint64]time.Time)}
	h.freeAt = now.Add(s.TTL + h.jitter())
	return h
}

// Token returns the fencing token while the holder may act. It is asked ahead
// of each action. Correctness rests on the guards: a process that is paused
// after the question still acts late.
func (h *Holder) Token(now time.Time) (platform.Offset, bool) {
	return h.token, h.token != 0 && now.Before(h.until) && !h.leaving
}

// Tick returns a record to append at now, if one is due.
func (h *Holder) Tick(now time.Time) (Record, bool) {
	if h.leaving || now.Before(h.nextSend) || len(h.sent) >= maxSent && !h.forget(now) {
		return Record{}, false
	}
	switch {
	case h.token != 0:
		h.nextSend = now.Add(h.settings.RenewEvery)
		return h.record(OpRenew, now), true
	case !now.Before(h.freeAt):
		h.nextSend = now.Add(h.settings.RenewEvery + h.jitter())
		return h.record(OpClaim, now), true
	default:
		return Record{}, false
	}
}

// NextTick returns when Tick has to be asked again.
func (h *Holder) NextTick() time.Time {
	if h.token == 0 && h.freeAt.After(h.nextSend) {
		return h.freeAt
	}
	return h.nextSend
}

// Leave ends the candidacy. It returns a release if the duty is held.
func (h *Holder) Leave(now time.Time) (Record, bool) {
	held := h.token != 0 && !h.leaving
	r := h.record(OpRelease, now)
	h.leaving = true
	return r, held
}

// RateLimited reports that an append had no effect.
func (h *Holder) RateLimited(nonce uint64, now time.Time, retryAfter time.Duration) {
	delete(h.sent, nonce)
	h.nextSend = now.Add(max(retryAfter, h.settings.Margin/2) + h.jitter())
}

// Folded reports a tenure that Fold.Apply returned for this duty at now.
func (h *Holder) Folded(now time.Time, t Tenure) {
	if t.Holder != h.name {
		h.token, h.until = 0, time.Time{}
		h.freeAt = now.Add(h.settings.TTL + h.jitter())
		if t.Released {
			h.freeAt = now.Add(h.jitter())
		}
		return
	}
	if t.Released {
		h.token = 0
		return
	}
	if h.token != t.Token {
		h.nextSend = now.Add(h.settings.RenewEvery)
	}
	h.token = t.Token
	// The log received the record after it was sent, so that its expiry on
	// the log's clock is later than TTL after the send.
	sentAt, known := h.sent[t.Nonce]
	if !known {
		return
	}
	if until := sentAt.Add(h.settings.TTL - h.settings.Margin); until.After(h.until) {
		h.until = until
	}
	if !now.Before(h.until) {
		h.nextSend = now // the record took effect late; renew at once
	}
	delete(h.sent, t.Nonce)
}

// Checked reports a caught-up read at now that showed no newer tenure. A
// tenure of this holder that expired without a renewal is given up.
func (h *Holder) Checked(now time.Time) {
	if h.token != 0 && now.After(h.until.Add(h.settings.TTL)) {
		h.token, h.until = 0, time.Time{}
		h.freeAt = now
	}
}

// forget drops sends whose record, should it turn up, no longer extends until.
func (h *Holder) forget(now time.Time) bool {
	for nonce, at := range h.sent {
		if now.After(at.Add(h.settings.TTL)) {
			delete(h.sent, nonce)
		}
	}
	return len(h.sent) < maxSent
}

func (h *Holder) record(op Op, now time.Time) Record {
	h.nonce++
	h.sent[h.nonce] = now
	r := Record{Op: op, Duty: h.duty, Holder: h.name, Nonce: h.nonce}
	if op != OpClaim {
		r.Token = h.token
	}
	return r
}

// jitter spreads the candidates, so that one claim is appended and not one by
// each of them.
func (h *Holder) jitter() time.Duration {
	return time.Duration(h.rng.Int64N(int64(h.settings.Margin) + 1))
}
