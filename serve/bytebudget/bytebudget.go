// Package bytebudget decides how many bytes the clients of a process may hold in its
// memory: whose next bytes are read, who waits, and who has to give bytes back.
//
// Each request has a claim. Bytes are claimed before they are read, and never by an
// announced length, so a client that announces much keeps nobody out. A claim is in one of
// two phases: while its body is received, it can be ended, because a request is sent on
// only after its body is complete; after that it can't.
//
// A claim that holds little always gets in. A reserve is kept for such claims, and claims
// that hold much are ended for them at once. Among claims that hold much, the oldest one of
// an organisation gets bytes first, and the others are ended if it has to wait, so that
// bodies are completed instead of all of them staying unfinished. Between organisations,
// the one that holds most has to give way.
//
// The package is deterministic: the time is passed in, and it has no goroutines and no I/O.
// A Budget isn't safe for concurrent use. Step takes O(n log n) for n claims, the methods of
// Claim take constant time unless claims wait.
package bytebudget

import "time"

// Config holds the bounds of a budget.
type Config struct {
	// Total is the number of bytes that all claims may hold together.
	Total int64
	// Reserve is the part of Total that only small claims may use.
	Reserve int64
	// Small is the number of bytes up to which a claim is small.
	Small int64
	// MinRate is the least number of bytes per second that a body has to arrive with, as
	// the mean of each Window. The time in which the claim waits doesn't count.
	MinRate int64
	Window  time.Duration
	// StallTimeout is the time without bytes after which a claim is ended for others before
	// those whose bytes arrive.
	StallTimeout time.Duration
	// DisplaceAfter is how long a claim that isn't small waits, in total, before others are
	// ended for it. MaxWait is how long any claim waits, in total, before it is refused.
	DisplaceAfter time.Duration
	MaxWait       time.Duration
	// MaxWaiting is the number of claims that may wait. Of more, the last ones in the order
	// of waiting are refused.
	MaxWaiting int
}

// Reason says why a claim was refused or ended.
type Reason uint8

// Reasons. The zero value means that the claim has not ended.
const (
	None Reason = iota
	// NoRoom means that the claim waited for its bytes for too long, or that too many
	// others waited.
	NoRoom
	// Displaced means that other claims needed the bytes.
	Displaced
	// Slow means that the body arrived below the least rate.
	Slow
)

// String returns the name of r in metrics and logs.
func (r Reason) String() string {
	switch r {
	case NoRoom:
		return "no_room"
	case Displaced:
		return "displaced"
	case Slow:
		return "slow"
	default:
		return "none"
	}
}

// Decision is the answer to a request for bytes.
type Decision uint8

// Decisions.
const (
	// Granted means that the claim holds the bytes.
	Granted Decision = iota
	// Waiting means that Step will grant the bytes, or end the claim.
	Waiting
	// Refused means that the claim has ended.
	Refused
)

// Budget divides bytes among claims. T is the type of the value that a claim carries for
// its owner.
type Budget[T any] struct {
	cfg    Config
	held   int64
	opened uint64
	shares map[string]*share
	// receiving is the sentinel of the list of claims whose bodies are received, in the
	// order of Open. Ended claims aren't in it.
	receiving Claim[T]
	waiting   []*Claim[T]
	// largeWaiting is the number of waiting claims that aren't small.
	largeWaiting int
	// ending is the number of bytes that ended claims still hold.
	ending int64
}

// share is what the claims of one organisation hold together, and of it what ended ones
// hold.
type share struct {
	held   int64
	ending int64
	claims int
}

// active returns what the claims hold that haven't ended.
func (s *share) active() int64 { return s.held - s.ending }

// New returns a budget without claims.
func New[T any](cfg Config) *Budget[T] {
	b := &Budget[T]{cfg: cfg, shares: make(map[string]*share)}
	b.receiving.next, b.receiving.prev = &b.receiving, &b.receiving
	return b
}

// Held returns the number of bytes that all claims hold.
func (b *Budget[T]) Held() int64 { return b.held }

// Free returns the number of bytes that no claim holds.
func (b *Budget[T]) Free() int64 { return b.cfg.Total - b.held }

// WaitingCount returns the number of waiting claims.
func (b *Budget[T]) WaitingCount() int { return len(b.waiting) }

// IsReceiving reports whether the body of any claim is being received. Step has to be called
// only then.
func (b *Budget[T]) IsReceiving() bool { return b.receiving.next != &b.receiving }

// Open returns a claim that holds nothing, for a request of an organisation. The name is
// empty if the client has no known key; such clients share what they hold, and they have to
// give way first. The caller has to call Close.
func (b *Budget[T]) Open(now time.Time, organisation string, value T) *Claim[T] {
	s := b.shares[organisation]
	if s == nil {
		s = &share{}
		b.shares[organisation] = s
	}
	s.claims++
	b.opened++
	c := &Claim[T]{
		Value: value, budget: b, organisation: organisation, share: s, order: b.opened,
		openedAt: now, windowStart: now, lastProgress: now,
	}
	c.next, c.prev = &b.receiving, b.receiving.prev
	c.prev.next, c.next.prev = c, c
	return c
}

// fits reports whether n more bytes of a claim that is small or not fit.
func (b *Budget[T]) fits(small bool, n int64) bool {
	if small {
		return b.held+n <= b.cfg.Total
	}
	return b.held+n <= b.cfg.Total-b.cfg.Reserve
}

// othersWait reports whether a claim that is small or not has to let waiting claims go
// first. Small ones go before all others.
func (b *Budget[T]) othersWait(small bool) bool {
	if small {
		return len(b.waiting) > b.largeWaiting
	}
	return len(b.waiting) > 0
}
