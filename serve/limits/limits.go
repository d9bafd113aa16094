// Package limits enforces the limits of organisations (requests per second,
// tokens per second, requests in flight) at one entry, so that all entries
// together stay within them without a shared store.
//
// Each of n live entries owns limit/n. An entry that needs less lends the rest to
// entries that need more, in proportion to their demand, by grants in the reports
// that the entries send each other. A grant expires GrantDuration after the
// receiver sent the report that the grant acknowledges. The sender of the grant
// counts the same duration from the later time at which it made the grant. So it
// takes its part back only after the receiver stopped using it. This holds for any
// delay of the reports and needs no synchronised clocks. Without reports every
// entry falls back to limit/n.
//
// Over-admission bound: while all entries use the same n, the sum of their rates
// never exceeds the limit, however many reports are lost or late. Together they
// admit in any time window w at most
//
//	limit * (w + BurstDuration) + n * c
//
// where c is the largest cost of one request (1 for requests per second). An
// entry that starts within w counts as one more in n and adds up to a tenth of
// a second of its rate.
// Requests in flight stay within max(limit, n), plus those admitted under a grant
// that has expired since. While entries use different n, for at most the lag of
// the instance list, the limit in these bounds grows by the factor sum(1/n_i).
//
// The package is deterministic: the time is passed in, and it has no
// goroutines and no I/O. A Limiter is not safe for concurrent use.
package limits

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Amount holds one value per limited resource.
type Amount struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// InFlight is a number of requests.
	InFlight float64
}

// Config holds the timing of a Limiter.
type Config struct {
	// GrantDuration is how long a grant is valid. With reports every second, 4 s
	// tolerate two lost reports.
	GrantDuration time.Duration
	// BurstDuration determines the burst: the rate times this duration.
	BurstDuration time.Duration
	// StaleAfter is the age above which the demand in a report is ignored.
	StaleAfter time.Duration
}

// DefaultConfig returns the configuration for reports every second.
func DefaultConfig() Config {
	return Config{GrantDuration: 4 * time.Second, BurstDuration: time.Second, StaleAfter: 3 * time.Second}
}

// Limiter enforces the limits at one entry.
type Limiter struct {
	config        Config
	entryName     string
	liveEntries   int
	organisations map[string]*organisation
	peers         map[string]*peer
	sequence      uint64
	// sentAt holds the times at which the last reports were sent, by sequence
	// number.
	sentAt       map[uint64]time.Time
	lastReportAt time.Time
}

// organisation is the state of one organisation at this entry.
type organisation struct {
	limit    Amount
	requests bucket
	tokens   bucket
	inFlight int
	demand   demand
	// grantsGiven holds the unexpired grants to peers, several per peer if they
	// overlap. grantsReceived holds the last grant from each peer.
	grantsGiven    grants
	grantsReceived grants
}

// New returns a Limiter without limits. entryName is the name of this entry,
// which must not be used by a later process.
func New(config Config, entryName string) *Limiter {
	return &Limiter{
		config:        config,
		entryName:     entryName,
		liveEntries:   1,
		organisations: make(map[string]*organisation),
		peers:         make(map[string]*peer),
		sentAt:        make(map[uint64]time.Time),
	}
}

// SetLiveEntries sets the number of live entries, including this one.
func (l *Limiter) SetLiveEntries(now time.Time, entries int) {
	l.refillAll(now)
	l.liveEntries = max(1, entries)
	l.updateAllRates(now)
}

// SetLimit sets the limit of an organisation. A value that isn't positive means
// that the resource is not limited.
func (l *Limiter) SetLimit(now time.Time, name string, limit Amount) {
	o, ok := l.organisations[name]
	if !ok {
		o = &organisation{}
		l.organisations[name] = o
		o.limit = limit
		o.requests.start(now)
		o.tokens.start(now)
	}
	l.refill(now, o)
	if o.limit != limit {
		// Grants from the old limit may exceed the new one.
		o.grantsReceived = nil
	}
	o.limit = limit
	l.updateRates(now, o)
}

// RemoveLimit removes the limit of an organisation.
func (l *Limiter) RemoveLimit(name string) { delete(l.organisations, name) }

// Admit admits a request with an estimated number of tokens, or refuses it with
// LimitExceeded and a retry hint. A refused request is not charged. The caller
// calls Release for each admitted request.
func (l *Limiter) Admit(now time.Time, name string, tokens float64) error {
	o, ok := l.organisations[name]
	if !ok {
		return nil
	}
	l.refill(now, o)
	o.demand.recordRequest(tokens)
	if o.limit.InFlight > 0 && o.inFlight >= maxInFlight(l.currentShare(now, o).InFlight) {
		o.demand.refusedInFlight++
		return errkind.New(errkind.LimitExceeded, "limit of requests in flight of organisation %s exceeded", name).
			WithRetryAfter(time.Second)
	}
	if wait := o.requests.wait(o.limit.Requests); wait > 0 {
		return errkind.New(errkind.LimitExceeded, "limit of requests per second of organisation %s exceeded", name).
			WithRetryAfter(wait)
	}
	if wait := o.tokens.wait(o.limit.Tokens); wait > 0 {
		return errkind.New(errkind.LimitExceeded, "limit of tokens per second of organisation %s exceeded", name).
			WithRetryAfter(wait)
	}
	o.requests.charge(1)
	o.tokens.charge(tokens)
	o.inFlight++
	o.demand.recordInFlight(o.inFlight)
	return nil
}

// Release ends an admitted request. extraTokens is the actual number of tokens
// minus the estimate, which is charged or refunded.
func (l *Limiter) Release(now time.Time, name string, extraTokens float64) {
	o, ok := l.organisations[name]
	if !ok {
		return
	}
	l.refill(now, o)
	o.inFlight = max(0, o.inFlight-1)
	o.tokens.charge(extraTokens)
}

// Share returns the part of an organisation's limit that this entry may use at
// now.
func (l *Limiter) Share(now time.Time, name string) Amount {
	o, ok := l.organisations[name]
	if !ok {
		return Amount{}
	}
	return l.currentShare(now, o)
}

// currentShare returns this entry's own part of the limit, minus the grants to
// peers, plus the grants from peers.
func (l *Limiter) currentShare(now time.Time, o *organisation) Amount {
	o.grantsGiven = o.grantsGiven.unexpired(now)
	o.grantsReceived = o.grantsReceived.unexpired(now)
	share := o.limit.scale(1 / float64(l.liveEntries))
	share = share.sub(o.grantsGiven.outstanding()).max(Amount{})
	for _, g := range o.grantsReceived {
		share = share.add(g.amount)
	}
	return share
}

// maxInFlight rounds a share down to whole requests in flight, but not below 1:
// otherwise an organisation whose limit is below the number of entries could not
// send any request.
func maxInFlight(share float64) int { return max(1, int(share+1e-9)) }
