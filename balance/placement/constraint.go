package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// Constraint limits the servers that may run a request.
type Constraint struct {
	// Exclude lists the servers on which the request was already tried.
	Exclude []string
	// Regions lists the regions in which the request may run; nil means all. A server
	// whose region isn't known is in none of them.
	Regions []string
	// Tokens is the memory that the request may need at its server, for its prompt and the
	// longest response.
	Tokens int
}

// allows reports whether a server may run the request.
func (c Constraint) allows(s *server) bool {
	if slices.Contains(c.Exclude, s.ID) {
		return false
	}
	return c.Regions == nil || s.Region != "" && slices.Contains(c.Regions, s.Region)
}

// withoutExclusions returns the constraint of a request that may be tried on a server again.
func (c Constraint) withoutExclusions() Constraint {
	c.Exclude = nil
	return c
}

// startable returns a function that reports whether a queued request can start now, if a
// server has the needed capacity for one without a constraint. Requests that were tried on
// all servers are tried on one of them again.
func (s *Scheduler[T]) startable(now time.Time, need capacityNeed) func(waiting[T]) bool {
	// Many requests are bound to the same few lists of regions.
	known := make(map[string]bool)
	return func(w waiting[T]) bool {
		if w.constraint.Regions == nil {
			return true
		}
		key := strings.Join(w.constraint.Regions, "\n")
		can, ok := known[key]
		if !ok {
			can = s.pick(now, w.constraint.withoutExclusions(), need) != nil
			known[key] = can
		}
		return can
	}
}

// popQueued removes the next queued request that can start now, or returns nil. Requests
// whose regions have no capacity are passed over.
func (s *Scheduler[T]) popQueued(now time.Time, q *fairqueue.Queue[waiting[T]], need capacityNeed) *queuedTicket[T] {
	if q.Len() == 0 || s.pick(now, Constraint{}, need) == nil {
		return nil
	}
	if !s.hasRegions {
		return q.Pop()
	}
	return q.PopFunc(s.startable(now, need))
}

// popNext removes the next queued request that can be in time and start now, and returns it
// with the capacity that it needs, or nil.
func (s *Scheduler[T]) popNext(now time.Time) (*queuedTicket[T], capacityNeed) {
	need, ok := s.nextNeed(now)
	if !ok {
		return nil, need
	}
	return s.popQueued(now, s.queue, need), need
}

// mustQueue reports whether a new request of a class has to wait because a queued one starts
// first.
func (s *Scheduler[T]) mustQueue(now time.Time, class string) bool {
	if s.goesFirst(class) {
		return false
	}
	// While no server has a free slot, a new request waits as well.
	return !s.hasRegions || s.pick(now, Constraint{}, freeSlot) == nil || s.queue.ContainsFunc(s.startable(now, freeSlot))
}
