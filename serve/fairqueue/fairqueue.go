// Package fairqueue orders the requests that wait for a backend server.
//
// Classes have strict priority, with a reserve by which a lower class still
// gets a fraction of the service while higher classes are backlogged. Within a
// class, organisations share the service by weight: start-time fair queueing with
// the estimated tokens as cost. Items that can't meet their deadline are refused
// as not_run before they cause any work. The length of the queue is bounded.
//
// The package is deterministic: the time is passed in, and it has no
// goroutines and no I/O. A Queue is not safe for concurrent use. Push, Pop and
// Cancel take O(log n + number of classes); the methods that look for an item take
// O(n log n).
package fairqueue

import (
	"container/list"
	"slices"
	"time"
)

// Class is a priority class.
type Class struct {
	Name string
	// Reserve is the fraction of the service that the class gets while it has
	// waiting items, even if higher classes are backlogged. The sum over all
	// classes is below 1.
	Reserve float64
}

// Item is a waiting request.
type Item[T any] struct {
	// Class is the name of a class of the queue. An unknown name counts as the
	// lowest class.
	Class        string
	Organisation string
	// Cost is the estimated number of tokens. A value below 1 counts as 1.
	Cost float64
	// Deadline is the time at which the caller gives up. Zero means none.
	Deadline time.Time
	// ServiceTime is the estimated time from leaving the queue to the response.
	ServiceTime time.Duration
	Value       T
}

// Ticket identifies a waiting item.
type Ticket[T any] struct {
	Item[T]
	flow          *flow[T]
	element       *list.Element
	deadlineIndex int
}

// flow is the FIFO queue of one organisation in one class.
type flow[T any] struct {
	class   *class[T]
	name    string
	weight  float64
	items   *list.List
	backlog float64
	// startTag is the start tag of the first waiting item, finishTag the finish
	// tag of the last served item, both in virtual time (cost / weight).
	startTag  float64
	finishTag float64
	// Indexes in the heaps of the class; -1 if the flow is idle.
	startIndex   int
	backlogIndex int
}

type class[T any] struct {
	Class
	rank         int
	size         int
	virtualTime  float64
	backlog      float64
	activeWeight float64 // sum of the weights of the flows with waiting items
	// reserveCredit is the cost that the class may still be served from its
	// reserve.
	reserveCredit float64
	flows         map[string]*flow[T]
	byStart       indexedHeap[*flow[T]]
	byBacklog     indexedHeap[*flow[T]]
}

// Queue is a bounded fair priority queue of values of type T.
type Queue[T any] struct {
	capacity    int
	size        int
	serviceRate float64
	weights     map[string]float64
	classes     []*class[T]
	byDeadline  indexedHeap[*Ticket[T]]
}

// New returns an empty queue for at most capacity items. The classes are in
// order of priority, the highest first.
func New[T any](capacity int, classes []Class) *Queue[T] {
	q := &Queue[T]{capacity: capacity, weights: make(map[string]float64)}
	q.byDeadline = indexedHeap[*Ticket[T]]{
		less:     func(a, b *Ticket[T]) bool { return a.latestStart().Before(b.latestStart()) },
		setIndex: func(t *Ticket[T], i int) { t.deadlineIndex = i },
	}
	q.setClasses(classes)
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.size }

// Backlog returns the sum of the costs of the waiting items of a class.
func (q *Queue[T]) Backlog(className string) float64 { return q.class(className).backlog }

// SetRate sets the estimated service rate in cost per second, from which Push
// predicts waits. 0 means unknown: the predicted wait is then 0, and Push refuses
// only items whose deadline is too close for their service time.
func (q *Queue[T]) SetRate(costPerSecond float64) { q.serviceRate = costPerSecond }

// SetWeight sets the weight of an organisation. The default is 1; a weight
// that isn't positive resets it. The weight applies from the next served item on.
func (q *Queue[T]) SetWeight(organisation string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	q.weights[organisation] = weight
	for _, c := range q.classes {
		if f, ok := c.flows[organisation]; ok {
			c.setWeight(f, weight)
		}
	}
}

// SetClasses replaces the classes after a change of the table. Waiting items keep
// their class by name; items of a removed class move to the lowest class.
func (q *Queue[T]) SetClasses(classes []Class) {
	var waiting []*Ticket[T]
	for _, c := range q.classes {
		for _, f := range c.flows {
			for e := f.items.Front(); e != nil; e = e.Next() {
				waiting = append(waiting, e.Value.(*Ticket[T]))
			}
		}
	}
	q.setClasses(classes)
	for _, t := range waiting {
		q.enqueue(t)
	}
}

func (q *Queue[T]) setClasses(classes []Class) {
	if len(classes) == 0 {
		classes = []Class{{Name: "default"}}
	}
	q.classes = q.classes[:0:0]
	for rank, c := range classes {
		q.classes = append(q.classes, newClass[T](rank, c))
	}
}

func (q *Queue[T]) class(name string) *class[T] {
	for _, c := range q.classes {
		if c.Name == name {
			return c
		}
	}
	return q.classes[len(q.classes)-1]
}

// Pop removes and returns the next item, or nil if the queue is empty. The
// caller removes expired items with Expire first.
func (q *Queue[T]) Pop() *Ticket[T] {
	next, byReserve := q.nextClass()
	if next == nil {
		return nil
	}
	return q.serve(next.head(), byReserve)
}

// PopFunc is like Pop, but passes over the items whose value accept doesn't accept. It
// returns nil if it accepts none.
func (q *Queue[T]) PopFunc(accept func(T) bool) *Ticket[T] {
	next, byReserve := q.nextClass()
	if next == nil {
		return nil
	}
	if t := next.first(accept); t != nil {
		return q.serve(t, byReserve)
	}
	for _, c := range q.classes {
		if t := c.first(accept); t != nil {
			return q.serve(t, false)
		}
	}
	return nil
}

// ContainsFunc reports whether match returns true for the value of a waiting item.
func (q *Queue[T]) ContainsFunc(match func(T) bool) bool {
	return slices.ContainsFunc(q.classes, func(c *class[T]) bool { return c.first(match) != nil })
}

// RemoveFunc removes and returns the items for whose values match returns true.
func (q *Queue[T]) RemoveFunc(match func(T) bool) []*Ticket[T] {
	var removed []*Ticket[T]
	for _, c := range q.classes {
		for _, t := range c.inOrder() {
			if match(t.Value) {
				q.remove(t)
				removed = append(removed, t)
			}
		}
	}
	return removed
}

// Next returns the class of the item that Pop would return, and whether its turn comes from
// the reserve of the class. It returns false if the queue is empty.
func (q *Queue[T]) Next() (class string, byReserve, ok bool) {
	next, byReserve := q.nextClass()
	if next == nil {
		return "", false, false
	}
	return next.Name, byReserve, true
}

// Peek returns the item that Pop would remove, or nil if the queue is empty.
func (q *Queue[T]) Peek() *Ticket[T] {
	next, _ := q.nextClass()
	if next == nil {
		return nil
	}
	return next.head()
}

// PopHighestClass is like Pop, but returns only items of the highest class. It is
// used to fill slots that are kept for that class, so that its items don't wait
// for a slot held by a long-running request of a lower class.
func (q *Queue[T]) PopHighestClass() *Ticket[T] {
	first := q.classes[0]
	if first.byStart.Len() == 0 {
		return nil
	}
	return q.serve(first.head(), false)
}

// serve removes an item that is served now.
func (q *Queue[T]) serve(t *Ticket[T], byReserve bool) *Ticket[T] {
	f := t.flow
	served := f.class
	for _, c := range q.classes {
		if c.backlog > 0 {
			c.reserveCredit += c.Reserve * t.Cost
		}
	}
	if byReserve {
		served.reserveCredit -= t.Cost
	}
	// The start tag of an organisation that was passed over may lie in the past.
	served.virtualTime = max(served.virtualTime, f.startTag)
	f.finishTag = f.startTag + t.Cost/f.weight
	f.startTag = f.finishTag
	q.remove(t)
	return t
}

// nextClass returns the class to serve: the highest with waiting items, unless a
// lower class has enough reserve credit for its next item.
func (q *Queue[T]) nextClass() (next *class[T], byReserve bool) {
	for _, c := range q.classes {
		if c.byStart.Len() == 0 {
			continue
		}
		if next == nil {
			next = c
			continue
		}
		if c.Reserve > 0 && c.reserveCredit >= c.head().Cost {
			return c, true
		}
	}
	return next, false
}

// Expire removes and returns the items that can no longer meet their deadlines.
// The caller refuses them with DeadlineUnreachable.
func (q *Queue[T]) Expire(now time.Time) []*Ticket[T] {
	var expired []*Ticket[T]
	for q.byDeadline.Len() > 0 {
		t := q.byDeadline.items[0]
		if !now.After(t.latestStart()) {
			break
		}
		q.remove(t)
		expired = append(expired, t)
	}
	return expired
}

// Cancel removes an item and reports whether it was still waiting.
func (q *Queue[T]) Cancel(t *Ticket[T]) bool {
	if t.element == nil {
		return false
	}
	q.remove(t)
	return true
}

func (t *Ticket[T]) latestStart() time.Time { return t.Deadline.Add(-t.ServiceTime) }
