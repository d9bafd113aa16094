package placement

import (
	"strings"
	"time"

	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

func newQueue[T any](config Config) *fairqueue.Queue[waiting[T]] {
	return fairqueue.New[waiting[T]](config.QueueCapacity, config.Classes)
}

// QueueLen returns the number of queued requests.
func (s *Scheduler[T]) QueueLen() int { return s.queue.Len() + s.late.Len() + s.large.Len() }

// Dispatch assigns queued requests to servers with free capacity and refuses
// those whose deadline has passed. It must be called after each change of the load,
// and also at regular intervals to detect passed deadlines.
func (s *Scheduler[T]) Dispatch(now time.Time) []Outcome[T] {
	s.lastNow = now
	s.observeOwnLoad(now)
	out := append(s.expire(now), s.startLarge(now, s.largeGoesFirst)...)
	for t, need := s.popNext(now); t != nil; t, need = s.popNext(now) {
		s.recordWait(now, t.Class, now.Sub(t.Value.queuedAt), t.Value.maxWait)
		out = append(out, s.startQueued(now, t, need)...)
		out = append(out, s.startLarge(now, s.largeGoesFirst)...)
	}
	// What more urgent requests can't use is free for all.
	out = append(out, s.startLarge(now, func() bool { return true })...)
	for t := s.popQueued(now, s.late, spareSlot); t != nil; t = s.popQueued(now, s.late, spareSlot) {
		out = append(out, s.startQueued(now, t, spareSlot)...)
	}
	return out
}

// startQueued starts a request that was taken from a queue. If the request was already
// tried on all available servers, it is tried on one of them again.
func (s *Scheduler[T]) startQueued(now time.Time, t *queuedTicket[T], need capacityNeed) []Outcome[T] {
	for _, c := range []Constraint{t.Value.constraint, t.Value.constraint.withoutExclusions()} {
		for _, n := range []capacityNeed{need, anyLoad} {
			if picked := s.pick(now, c, n); picked != nil {
				return []Outcome[T]{s.startOn(now, picked, c.Tokens, t.Value.value)}
			}
		}
	}
	if s.lacksMemory(now, t.Value.constraint.withoutExclusions(), freeSlot) {
		return s.requeue(now, s.large, t.Item)
	}
	return []Outcome[T]{s.refuseNoServer(now, t.Value.constraint, t.Value.value)}
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
