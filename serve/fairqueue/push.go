package fairqueue

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Push adds an item. It fails with DeadlineUnreachable if the item can't meet
// its deadline. If the queue is full, Push displaces an item, which the caller
// refuses with QueueFull. It takes the lowest class that fills more of the queue
// than its reserve, in that class the organisation with the largest weighted
// backlog, and of that organisation the newest item. Push fails with QueueFull if
// no item may be displaced for the new one.
func (q *Queue[T]) Push(now time.Time, item Item[T]) (ticket, displaced *Ticket[T], err error) {
	item.Cost = max(item.Cost, 1)
	wait := q.EstimatedWait(item.Class, item.Organisation)
	if !item.Deadline.IsZero() && now.Add(wait+item.ServiceTime).After(item.Deadline) {
		return nil, nil, errkind.New(errkind.DeadlineUnreachable, "the deadline can't be met after an expected wait of %s", wait)
	}
	if q.size >= q.capacity {
		displaced = q.victim(item)
		if displaced == nil {
			return nil, nil, errkind.New(errkind.QueueFull, "the queue is full with %d requests", q.size).WithRetryAfter(wait)
		}
		q.remove(displaced)
	}
	ticket = &Ticket[T]{Item: item, deadlineIndex: -1}
	q.enqueue(ticket)
	q.size++
	if !item.Deadline.IsZero() {
		q.byDeadline.push(ticket)
	}
	return ticket, displaced, nil
}

// victim returns the item to displace for a new one, or nil if the new one is to
// be refused.
func (q *Queue[T]) victim(item Item[T]) *Ticket[T] {
	itemClass := q.class(item.Class)
	for rank := len(q.classes) - 1; rank >= itemClass.rank; rank-- {
		c := q.classes[rank]
		if c.byBacklog.Len() == 0 || c != itemClass && q.withinReserve(c) {
			continue
		}
		largest := c.byBacklog.items[0]
		if c == itemClass && q.weightedBacklog(c, item) >= largest.backlog/largest.weight {
			return nil
		}
		return largest.items.Back().Value.(*Ticket[T])
	}
	return nil
}

// withinReserve reports whether a class fills no more of the queue than its
// reserve. Such a class is not displaced from: otherwise a higher class that fills
// the queue would displace the items for which the reserve is meant.
func (q *Queue[T]) withinReserve(c *class[T]) bool {
	return float64(c.size) <= c.Reserve*float64(q.capacity)
}

func (q *Queue[T]) weightedBacklog(c *class[T], item Item[T]) float64 {
	backlog := item.Cost
	if f, ok := c.flows[item.Organisation]; ok {
		backlog += f.backlog
	}
	return backlog / q.weight(item.Organisation)
}

func (q *Queue[T]) weight(organisation string) float64 {
	if w, ok := q.weights[organisation]; ok {
		return w
	}
	return 1
}

// EstimatedWait predicts how long a new item would wait. The item waits for the
// backlog of the higher classes and for its organisation's own backlog, which is
// served at the organisation's share of the class. If serving the own backlog only
// from the reserve of the class is faster, that time is returned.
func (q *Queue[T]) EstimatedWait(className, organisation string) time.Duration {
	if q.serviceRate <= 0 {
		return 0
	}
	c := q.class(className)
	var higherBacklog float64
	for _, h := range q.classes[:c.rank] {
		higherBacklog += h.backlog
	}
	ownBacklog := 0.0
	if f, ok := c.flows[organisation]; ok && f.items.Len() > 0 {
		ownBacklog = min(f.backlog*c.activeWeight/f.weight, c.backlog)
	}
	cost := higherBacklog + ownBacklog
	if c.Reserve > 0 {
		cost = min(cost, ownBacklog/c.Reserve)
	}
	return time.Duration(cost / q.serviceRate * float64(time.Second))
}
