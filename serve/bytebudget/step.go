package bytebudget

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is what Step decided. The owner of an ended claim has to close it soon; until then
// it holds its bytes.
type Outcome[T any] struct {
	Granted []*Claim[T]
	Ended   []*Claim[T]
}

// slowSmallAge is the age from which a small claim whose body is still received counts as
// stalled, even if single bytes arrive: a body that small fits into a few packets.
const slowSmallAge = time.Second

// Step ends the claims whose bodies arrive too slowly or that have waited for too long,
// grants bytes to waiting claims, and ends others for those that may not wait. It has to be
// called regularly while claims are open.
func (b *Budget[T]) Step(now time.Time) Outcome[T] {
	var out Outcome[T]
	b.endSlow(now, &out)
	if len(b.waiting) == 0 {
		return out
	}
	b.sortWaiting()
	b.grantWaiting(now, &out)
	b.endWaiting(now, &out)
	b.makeRoom(now, &out)
	return out
}

// endSlow ends the claims whose bodies arrive below the least rate.
func (b *Budget[T]) endSlow(now time.Time, out *Outcome[T]) {
	for c := b.receiving.next; c != &b.receiving; {
		next := c.next
		if elapsed := now.Sub(c.windowStart); c.need == 0 && elapsed >= b.cfg.Window {
			if float64(c.windowBytes) < elapsed.Seconds()*float64(b.cfg.MinRate) {
				out.end(c, Slow)
			}
			c.windowStart, c.windowBytes = now, 0
		}
		c = next
	}
}

func (out *Outcome[T]) end(c *Claim[T], reason Reason) {
	c.end(reason)
	out.Ended = append(out.Ended, c)
}

// sortWaiting orders the waiting claims: small ones first, then those of clients with a
// known key, then by what their organisations hold, the least first, then by age.
func (b *Budget[T]) sortWaiting() {
	slices.SortFunc(b.waiting, func(x, y *Claim[T]) int {
		return cmp.Or(
			compareBool(y.small, x.small),
			compareBool(y.isKnown(), x.isKnown()),
			cmp.Compare(x.share.active(), y.share.active()),
			cmp.Compare(x.order, y.order),
		)
	})
}

func (c *Claim[T]) isKnown() bool { return c.organisation != "" }

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// grantWaiting grants bytes in the order of the waiting claims, until they don't fit. A
// later claim doesn't overtake an earlier one that needs more.
func (b *Budget[T]) grantWaiting(now time.Time, out *Outcome[T]) {
	granted := 0
	for _, c := range b.waiting {
		if !b.fits(c.small, c.need) {
			break
		}
		c.take(c.need)
		c.endWait(now)
		out.Granted = append(out.Granted, c)
		granted++
	}
	b.waiting = slices.Delete(b.waiting, 0, granted)
}

// endWait records that the claim no longer waits. The time of the wait doesn't count for
// its rate.
func (c *Claim[T]) endWait(now time.Time) {
	wait := now.Sub(c.waitingSince)
	c.waited += wait
	c.windowStart = c.windowStart.Add(wait)
	c.lastProgress = now
	c.need = 0
	if !c.small {
		c.budget.largeWaiting--
	}
}

// endWaiting ends the claims that have waited for too long, and the last ones in the order
// of waiting if too many wait.
func (b *Budget[T]) endWaiting(now time.Time, out *Outcome[T]) {
	for _, c := range slices.Backward(slices.Clone(b.waiting)) {
		if c.waitedFor(now) >= b.cfg.MaxWait || len(b.waiting) > b.cfg.MaxWaiting {
			out.end(c, NoRoom)
		}
	}
}

// makeRoom ends claims for those that wait: for all small ones, and for the first other one
// if it has waited long enough. What ended claims still hold counts as free.
func (b *Budget[T]) makeRoom(now time.Time, out *Outcome[T]) {
	room := roomMaker[T]{budget: b, now: now, out: out}
	need := b.held - b.ending
	for _, c := range slices.Clone(b.waiting) {
		if c.reason != None {
			continue // ended for an earlier one
		}
		need += c.need
		if c.small {
			room.endFor(c, need-b.cfg.Total)
		} else {
			if c.waitedFor(now) >= b.cfg.DisplaceAfter {
				room.endFor(c, need-(b.cfg.Total-b.cfg.Reserve))
			}
			return
		}
	}
}

// roomMaker ends claims in favour of waiting ones in one step.
type roomMaker[T any] struct {
	budget *Budget[T]
	now    time.Time
	out    *Outcome[T]
	// candidates are the claims that may be ended, the first one first. It is nil until
	// it is needed.
	candidates []*Claim[T]
	// freed is the number of bytes that the claims ended in this step hold.
	freed int64
}

// endFor ends claims in favour of a waiting one until missing bytes are freed, or none is
// left that has to give way to it.
func (r *roomMaker[T]) endFor(c *Claim[T], missing int64) {
	if missing <= r.freed {
		return
	}
	if r.candidates == nil {
		r.candidates = r.budget.candidates(r.now)
	}
	for _, other := range r.candidates {
		if missing <= r.freed {
			return
		}
		if other.reason == None && other != c && c.displaces(r.now, other) {
			r.freed += other.held
			r.out.end(other, Displaced)
		}
	}
}

// candidates returns the claims that may be ended for others, in the order in which that
// happens: first those that aren't small, those of unknown clients, those of the
// organisation that holds most, and those that stall. Of the rest the newest goes
// first if it isn't small, because an older body is closer to its end. A small body is
// complete after a moment, so the oldest small claim goes first.
func (b *Budget[T]) candidates(now time.Time) []*Claim[T] {
	var list []*Claim[T]
	for c := b.receiving.next; c != &b.receiving; c = c.next {
		if c.held > 0 {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y *Claim[T]) int {
		byAge := cmp.Compare(x.order, y.order)
		if !x.isSmall(0) {
			byAge = -byAge
		}
		return cmp.Or(
			compareBool(x.isSmall(0), y.isSmall(0)),
			compareBool(x.isKnown(), y.isKnown()),
			cmp.Compare(y.share.active(), x.share.active()),
			compareBool(y.isStalled(now), x.isStalled(now)),
			byAge,
		)
	})
	return list
}

// isStalled reports whether no bytes arrive although the claim doesn't wait for room.
func (c *Claim[T]) isStalled(now time.Time) bool {
	if c.need != 0 {
		return false
	}
	return now.Sub(c.lastProgress) >= c.budget.cfg.StallTimeout || c.isSmall(0) && now.Sub(c.openedAt) >= slowSmallAge
}

// displaces reports whether other may be ended in favour of c. A small claim displaces all
// that aren't small, and small ones unless it alone is of an unknown client. Another claim
// displaces none that is small; it displaces those of unknown clients, those of an
// organisation that still holds at least as much without them, and of its own organisation
// those that stall or are newer.
func (c *Claim[T]) displaces(now time.Time, other *Claim[T]) bool {
	switch {
	case c.small && !other.isSmall(0):
		return true
	case c.small:
		return c.isKnown() || !other.isKnown()
	case other.isSmall(0):
		return false
	case c.isKnown() != other.isKnown():
		return c.isKnown()
	case c.share != other.share:
		return other.share.active()-other.held >= c.share.active()+c.need
	default:
		return other.isStalled(now) || other.order > c.order
	}
}
