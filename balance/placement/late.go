package placement

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

const (
	// maxLateWait is the longest time that a request is queued. Callers of streams
	// disconnect after two seconds without an event.
	maxLateWait = 1700 * time.Millisecond
	// lateShare is the fraction of a server's capacity up to which it gets late
	// requests.
	lateShare = 0.45
)

// Requests that are queued during the outage of a rank group become late: they have
// waited longer than their objective allows. When the group serves again, they would
// take all slots at once, and the requests that arrive then would wait and be late as
// well. Late requests therefore have a queue of their own. They start after those that
// can still be in time, and only on servers with spare capacity.

// Ticket identifies a queued request.
type Ticket[T any] struct {
	queue  *fairqueue.Queue[waiting[T]]
	queued *queuedTicket[T]
}

type queuedTicket[T any] = fairqueue.Ticket[waiting[T]]

type waiting[T any] struct {
	value      T
	constraint Constraint
	// queuedAt is when the request was queued, and maxWait how long it may wait to be in
	// time.
	queuedAt time.Time
	maxWait  time.Duration
	// lateUntil is how long the request may be queued once it is late. It is zero for a
	// request that is refused instead.
	lateUntil time.Time
	ticket    *Ticket[T]
}

// waitsUntil returns when the request is refused if it hasn't started.
func (w waiting[T]) waitsUntil() time.Time {
	if until := w.queuedAt.Add(w.maxWait); until.After(w.lateUntil) {
		return until
	}
	return w.lateUntil
}

// expire refuses the requests whose time in their queue has passed, or moves them to
// the queue of late requests.
func (s *Scheduler[T]) expire(now time.Time) []Outcome[T] {
	var out []Outcome[T]
	for _, t := range s.queue.Expire(now) {
		s.recordWait(now, t.Class, t.Value.maxWait, t.Value.maxWait)
		if !t.Value.lateUntil.After(now) {
			out = append(out, s.refuseWaited(now, t))
			continue
		}
		out = append(out, s.queueLate(now, t)...)
	}
	for _, t := range append(s.large.Expire(now), s.late.Expire(now)...) {
		out = append(out, s.refuseWaited(now, t))
	}
	return out
}

func (s *Scheduler[T]) refuseWaited(now time.Time, t *queuedTicket[T]) Outcome[T] {
	err := errkind.New(errkind.DeadlineUnreachable, "no slot became free within the maximum wait")
	if t.Value.ticket.queue == s.large {
		err = errkind.New(errkind.DeadlineUnreachable, "no backend server had memory for %d tokens within the maximum wait", t.Value.constraint.Tokens)
	}
	err.Err = s.heldByPace(now, t.Value.constraint)
	return s.refuse(t.Value.value, err)
}

// queueLate adds a request to the queue of late requests, and returns the refusal of
// the request that finds no place there.
func (s *Scheduler[T]) queueLate(now time.Time, t *queuedTicket[T]) []Outcome[T] {
	item := t.Item
	item.Deadline = t.Value.lateUntil
	return s.requeue(now, s.late, item)
}

// requeue adds a request that was taken from its queue to another one.
func (s *Scheduler[T]) requeue(now time.Time, queue *fairqueue.Queue[waiting[T]], item fairqueue.Item[waiting[T]]) []Outcome[T] {
	queued, displaced, err := queue.Push(now, item)
	if err != nil {
		return []Outcome[T]{s.refuse(item.Value.value, errkind.Of(err))}
	}
	item.Value.ticket.queue, item.Value.ticket.queued = queue, queued
	return s.refuseDisplaced(displaced)
}
