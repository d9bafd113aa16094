// Package limits enforces the limits of organisations (requests per second,
// tokens per second, requests in flight) at one entry, so that all entries
// together keep them without a shared store.
//
// Each of n live entries owns limit/n. An entry that needs less grants the
// rest to entries that need more, in proportion to demand, by the reports that
// the entries send each other. A grant ends GrantFor after the receiver sent
// the report that the grant answers. The giver counts the same time from the
// later moment at which it made the grant, so it takes its part back only after
// the receiver stopped using it, whatever the delay and without synchronised
// clocks. Without reports every entry falls back to limit/n.
//
// Over-admission bound. While all entries count the same n, their rates never
// sum up to more than the limit, however many reports are lost or late. In any
// time window w they admit together at most
//
//	limit * (w + BurstFor) + n * c
//
// where c is the largest cost of one request (1 for requests per second). An
// entry that starts within w counts as one more in n and adds up to a tenth of
// a second of its rate.
// Requests in flight stay within max(limit, n), plus what was admitted under a
// grant that has ended. While entries disagree about n, for at most the lag of
// the instance list, the limit in these bounds grows by the factor sum(1/n_i).
//
// The package is deterministic: the time is passed in, and it has no
// goroutines and no I/O. A Limiter has one owner goroutine and isn't safe for
// concurrent use.
package limits

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Amount is one value for each limited resource.
type Amount struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// InFlight is a number of requests.
	InFlight float64
}

// Config holds the timing of a Limiter.
type Config struct {
	// GrantFor is the validity of grants. With reports every second, 4 s
	// tolerate two lost ones.
	GrantDuration time.Duration
	// BurstFor is the time for which unused rate is saved up.
	BurstDuration time.Duration
	// StaleAfter is the age from which a report no longer counts as demand.
	StaleAfter time.Duration
}

// DefaultConfig fits reports every second.
func DefaultConfig() Config {
	return Config{GrantDuration: 4 * time.Second, BurstDuration: time.Second, StaleAfter: 3 * time.Second}
}

// Limiter enforces the limits at one entry.
type Limiter struct {
	config        Config
	self          string
	live          int
	organisations map[string]*organisation
	peers         map[string]*peer
	sequence      uint64
	// sentAt holds the times of the last reports by sequence number.
	sentAt     map[uint64]time.Time
	reportedAt time.Time
}

// organisation is the state of one organisation at this entry.
type organisation struct {
	limit    Amount
	requests bucket
	tokens   bucket
	inFlight int
	demand   demand
	// given holds the grants to peers that have not ended, several per peer
	// if they overlap. received holds the last grant of each peer.
	given    grants
	received grants
}

// New returns a limiter without limits. self is the name of this entry, which
// no later process uses again.
func New(config Config, self string) *Limiter {
	return &Limiter{
		config:        config,
		self:          self,
		live:          1,
		organisations: make(map[string]*organisation),
		peers:         make(map[string]*peer),
		sentAt:        make(map[uint64]time.Time),
	}
}

// SetLiveEntries sets the number of live entries, including this one.
func (l *Limiter) SetLiveEntries(now time.Time, entries int) {
	l.advanceAll(now)
	l.live = max(1, entries)
	l.applyAll(now)
}

// SetLimit sets the limit of an organisation. A value that isn't positive
// means no limit of that resource.
func (l *Limiter) SetLimit(now time.Time, name string, limit Amount) {
	o, ok := l.organisations[name]
	if !ok {
		o = &organisation{}
		l.organisations[name] = o
		o.limit = limit
		o.requests.start(now)
		o.tokens.start(now)
	}
	l.advance(now, o)
	if o.limit != limit {
		// Grants of the old limit may exceed the new one.
		o.received = nil
	}
	o.limit = limit
	l.apply(now, o)
}

// RemoveLimit drops the limit of an organisation.
func (l *Limiter) RemoveLimit(name string) { delete(l.organisations, name) }

// Admit admits a request with an estimated number of tokens, or refuses it
// with LimitExceeded and a retry hint. A refusal takes nothing from the limit.
// The caller calls Release for each admitted request.
func (l *Limiter) Admit(now time.Time, name string, tokens float64) error {
	o, ok := l.organisations[name]
	if !ok {
		return nil
	}
	l.advance(now, o)
	o.demand.offered(tokens)
	if o.limit.InFlight > 0 && o.inFlight >= wholeShare(l.entitlement(now, o).InFlight) {
		o.demand.refusedInFlight++
		return errkind.New(errkind.LimitExceeded, "requests in flight of organisation %s", name).
			WithRetryAfter(time.Second)
	}
	if wait := o.requests.wait(o.limit.Requests); wait > 0 {
		return errkind.New(errkind.LimitExceeded, "requests per second of organisation %s", name).
			WithRetryAfter(wait)
	}
	if wait := o.tokens.wait(o.limit.Tokens); wait > 0 {
		return errkind.New(errkind.LimitExceeded, "tokens per second of organisation %s", name).
			WithRetryAfter(wait)
	}
	o.requests.take(1)
	o.tokens.take(tokens)
	o.inFlight++
	o.demand.observe(o.inFlight)
	return nil
}

// Release ends an admitted request. extraTokens is the actual number of tokens
// minus the estimate; it is charged or refunded.
func (l *Limiter) Release(now time.Time, name string, extraTokens float64) {
	o, ok := l.organisations[name]
	if !ok {
		return
	}
	l.advance(now, o)
	o.inFlight = max(0, o.inFlight-1)
	o.tokens.take(extraTokens)
}

// Share returns the part of an organisation's limit that this entry holds now.
func (l *Limiter) Share(now time.Time, name string) Amount {
	o, ok := l.organisations[name]
	if !ok {
		return Amount{}
	}
	return l.entitlement(now, o)
}

// entitlement is the own part, less what is granted to peers, plus what peers
// granted.
func (l *Limiter) entitlement(now time.Time, o *organisation) Amount {
	o.given = o.given.current(now)
	o.received = o.received.current(now)
	share := o.limit.scale(1 / float64(l.live))
	share = share.sub(o.given.outstanding()).max(Amount{})
	for _, g := range o.received {
		share = share.add(g.amount)
	}
	return share
}

// wholeShare rounds a share of requests in flight. Each entry may have one, or
// an organisation whose limit is below the number of entries would get none.
func wholeShare(share float64) int { return max(1, int(share+1e-9)) }
