package bytebudget

import (
	"slices"
	"time"
)

// Claim is what one request holds. Its methods have no effect after Close.
type Claim[T any] struct {
	// Value belongs to the owner of the claim.
	Value T

	budget       *Budget[T]
	organisation string
	share        *share
	// order numbers the claims in the order of Open.
	order uint64
	held  int64
	// next and prev are the neighbours in the list of claims whose bodies are received;
	// nil for the others.
	next, prev *Claim[T]
	// need is the number of bytes that the claim waits for, or 0. small means that the
	// claim is small with them.
	need         int64
	small        bool
	waitingSince time.Time
	// waited is the sum of the earlier waits.
	waited   time.Duration
	openedAt time.Time
	// windowBytes have arrived since windowStart.
	windowStart  time.Time
	windowBytes  int64
	lastProgress time.Time
	// reason is set once the claim has ended.
	reason Reason
	closed bool
}

// Held returns the number of bytes that the claim holds.
func (c *Claim[T]) Held() int64 { return c.held }

// Reason returns why the claim has ended, or None.
func (c *Claim[T]) Reason() Reason { return c.reason }

// Grow asks for n more bytes while the body is received. After Waiting, the caller has to
// call Step, which decides at once whether others are ended, and again when bytes were given
// back and after a while. A claim that waits already goes on to wait for what it asked for
// first.
func (c *Claim[T]) Grow(now time.Time, n int64) Decision {
	b := c.budget
	if !c.isReceiving() {
		return Refused
	}
	if c.need != 0 {
		return Waiting
	}
	small := c.isSmall(n)
	if !b.othersWait(small) && b.fits(small, n) {
		c.take(n)
		return Granted
	}
	c.need, c.small, c.waitingSince = n, small, now
	b.waiting = append(b.waiting, c)
	if !small {
		b.largeWaiting++
	}
	return Waiting
}

// TryGrow takes n more bytes if they are free and no other claim waits for them. It doesn't
// wait, and it may be called after Complete.
func (c *Claim[T]) TryGrow(n int64) bool {
	small := c.isSmall(n)
	if c.closed || c.reason != None || c.budget.othersWait(small) || !c.budget.fits(small, n) {
		return false
	}
	c.take(n)
	return true
}

// Progress records that n bytes of the body have arrived.
func (c *Claim[T]) Progress(now time.Time, n int64) {
	c.windowBytes += n
	c.lastProgress = now
}

// Complete records that the body has been received, so that the request may be sent on. It
// returns false if the claim has ended.
func (c *Claim[T]) Complete() bool {
	if !c.isReceiving() {
		return false
	}
	c.unlink()
	return true
}

// Release gives n bytes back, at most those that the claim holds.
func (c *Claim[T]) Release(n int64) {
	n = min(n, c.held)
	c.held -= n
	c.share.held -= n
	c.budget.held -= n
	if c.reason != None {
		c.budget.ending -= n
		c.share.ending -= n
	}
}

// Close gives all bytes back. Further calls have no effect.
func (c *Claim[T]) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.Release(c.held)
	c.stopWaiting()
	c.unlink()
	if c.share.claims--; c.share.claims == 0 {
		delete(c.budget.shares, c.organisation)
	}
}

// isReceiving reports whether the body is being received. Only then can the claim be ended.
func (c *Claim[T]) isReceiving() bool { return c.next != nil }

// isSmall reports whether the claim is small with n more bytes.
func (c *Claim[T]) isSmall(n int64) bool { return c.held+n <= c.budget.cfg.Small }

func (c *Claim[T]) take(n int64) {
	c.held += n
	c.share.held += n
	c.budget.held += n
}

// end marks the claim as ended. It holds its bytes until it is closed.
func (c *Claim[T]) end(reason Reason) {
	c.reason = reason
	c.budget.ending += c.held
	c.share.ending += c.held
	c.stopWaiting()
	c.unlink()
}

func (c *Claim[T]) unlink() {
	if c.next == nil {
		return
	}
	c.next.prev, c.prev.next = c.prev, c.next
	c.next, c.prev = nil, nil
}

func (c *Claim[T]) stopWaiting() {
	if c.need == 0 {
		return
	}
	b := c.budget
	if !c.small {
		b.largeWaiting--
	}
	i := slices.Index(b.waiting, c)
	b.waiting = slices.Delete(b.waiting, i, i+1)
	c.need = 0
}

// waitedFor returns how long the claim has waited in total.
func (c *Claim[T]) waitedFor(now time.Time) time.Duration {
	if c.need == 0 {
		return c.waited
	}
	return c.waited + now.Sub(c.waitingSince)
}
