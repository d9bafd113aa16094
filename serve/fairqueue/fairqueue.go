// Package fairqueue orders the requests that wait for a backend server.
//
// Classes have strict priority, with a reserve by which a lower class still
// gets a fraction of the service while higher classes are backlogged. Inside a
// class, organisations share the service by weight (start-time fair queueing,
// cost in estimated tokens). Work that can't meet its deadline is refused as
// not_run before it costs anything. The size is bounded.
//
// The package is deterministic: the time is passed in, and it has no
// goroutines and no I/O. A Queue has one owner goroutine and isn't safe for
// concurrent use. Push, Pop and Cancel take O(log n + number of classes).
package fairqueue

import (
	"container/list"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Class is a priority class.
type Class struct {
	Name string
	// Reserve is the fraction of the service that the class gets while it has
	// work, even if higher classes are backlogged. The sum over all classes
	// is below 1.
	Reserve float64
}

// Item is a waiting request.
type Item[T any] struct {
	// Class is a name from the classes of the queue. An unknown name counts
	// as the lowest class.
	Class        string
	Organisation string
	// Cost is the estimated number of tokens; less than 1 counts as 1.
	Cost float64
	// Deadline is the time at which the caller gives up; zero means none.
	Deadline time.Time
	// Service is the estimated time from leaving the queue to the answer.
	ServiceTime time.Duration
	Value       T
}

// Ticket identifies a waiting item.
type Ticket[T any] struct {
	Item[T]
	flow     *flow[T]
	element  *list.Element
	deadline int
}

// flow is the FIFO of one organisation in one class.
type flow[T any] struct {
	class   *class[T]
	name    string
	weight  float64
	items   *list.List
	backlog float64
	// start is the start tag of the first item, finish the finish tag of the
	// last item served, both in virtual time (cost / weight).
	start  float64
	finish float64
	// Positions in the heaps of the class; -1 if idle.
	byStart   int
	byBacklog int
}

type class[T any] struct {
	Class
	rank         int
	size         int
	virtual      float64
	backlog      float64
	activeWeight float64
	// credit is the service that the reserve owes to this class.
	credit    float64
	flows     map[string]*flow[T]
	byStart   indexedHeap[*flow[T]]
	byBacklog indexedHeap[*flow[T]]
}

// Queue is a bounded fair priority queue of values of type T.
type Queue[T any] struct {
	capacity   int
	size       int
	rate       float64
	weights    map[string]float64
	classes    []*class[T]
	byDeadline indexedHeap[*Ticket[T]]
}

// New returns an empty queue for at most capacity items. The classes are in
// order of priority, the most urgent first.
func New[T any](capacity int, classes []Class) *Queue[T] {
	q := &Queue[T]{capacity: capacity, weights: make(map[string]float64)}
	q.byDeadline = indexedHeap[*Ticket[T]]{
		less:  func(a, b *Ticket[T]) bool { return a.latestStart().Before(b.latestStart()) },
		place: func(t *Ticket[T], i int) { t.deadline = i },
	}
	q.setClasses(classes)
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.size }

// Backlog returns the cost of the waiting items of a class.
func (q *Queue[T]) Backlog(className string) float64 { return q.class(className).backlog }

// SetRate sets the estimated service rate in cost per second, by which Push
// predicts waits. 0 means unknown: then only expired work is refused.
func (q *Queue[T]) SetRate(costPerSecond float64) { q.rate = costPerSecond }

// SetWeight sets the weight of an organisation. The default is 1; a weight
// that isn't positive resets it. The weight counts from the next item on.
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

// SetClasses replaces the classes, for a changed table. Waiting items keep
// their class by name; items of a class that is gone move to the lowest one.
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

// Push adds an item. It fails with DeadlineUnreachable if the item can't meet
// its deadline and with QueueFull if the queue is full of work that comes
// before it. Otherwise, in a full queue, it displaces the newest item of the
// organisation with the longest backlog in the lowest class that fills more of
// the queue than its reserve; the caller refuses that item with QueueFull.
func (q *Queue[T]) Push(now time.Time, item Item[T]) (ticket, displaced *Ticket[T], err error) {
	item.Cost = max(item.Cost, 1)
	wait := q.EstimatedWait(item.Class, item.Organisation)
	if !item.Deadline.IsZero() && now.Add(wait+item.ServiceTime).After(item.Deadline) {
		return nil, nil, errkind.New(errkind.DeadlineUnreachable, "expected wait %s", wait)
	}
	if q.size >= q.capacity {
		displaced = q.victim(item)
		if displaced == nil {
			return nil, nil, errkind.New(errkind.QueueFull, "%d requests wait", q.size).WithRetryAfter(wait)
		}
		q.remove(displaced)
	}
	ticket = &Ticket[T]{Item: item, deadline: -1}
	q.enqueue(ticket)
	q.size++
	if !item.Deadline.IsZero() {
		q.byDeadline.push(ticket)
	}
	return ticket, displaced, nil
}

// victim returns the item to displace for a new one, or nil if the new one
// itself has the least claim.
func (q *Queue[T]) victim(item Item[T]) *Ticket[T] {
	own := q.class(item.Class)
	for rank := len(q.classes) - 1; rank >= own.rank; rank-- {
		c := q.classes[rank]
		if c.byBacklog.Len() == 0 || c != own && q.protected(c) {
			continue
		}
		longest := c.byBacklog.items[0]
		if c == own && q.weightedBacklog(c, item) >= longest.backlog/longest.weight {
			return nil
		}
		return longest.items.Back().Value.(*Ticket[T])
	}
	return nil
}

// protected reports whether a class fills no more of the queue than its
// reserve. Without it, a higher class that fills the queue would displace the
// work that the reserve is for.
func (q *Queue[T]) protected(c *class[T]) bool {
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

// EstimatedWait predicts how long a new item would wait: the work of higher
// classes first, then the organisation's own backlog at its share of the
// class; or, if that is sooner, the own backlog within the reserve.
func (q *Queue[T]) EstimatedWait(className, organisation string) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	c := q.class(className)
	var higher float64
	for _, h := range q.classes[:c.rank] {
		higher += h.backlog
	}
	ahead := 0.0
	if f, ok := c.flows[organisation]; ok && f.items.Len() > 0 {
		ahead = min(f.backlog*c.activeWeight/f.weight, c.backlog)
	}
	cost := higher + ahead
	if c.Reserve > 0 {
		cost = min(cost, ahead/c.Reserve)
	}
	return time.Duration(cost / q.rate * float64(time.Second))
}

// Pop removes and returns the next item, or nil if the queue is empty. The
// caller takes expired items with Expire first.
func (q *Queue[T]) Pop() *Ticket[T] {
	served, byReserve := q.nextClass()
	if served == nil {
		return nil
	}
	return q.serve(served, byReserve)
}

// PopHighestClass is like Pop, but returns work of the first class only. A caller that
// keeps a few slots for the first class fills them with it, so that urgent work
// doesn't wait for a slot that long-running work of lower classes holds.
func (q *Queue[T]) PopHighestClass() *Ticket[T] {
	first := q.classes[0]
	if first.byStart.Len() == 0 {
		return nil
	}
	return q.serve(first, false)
}

func (q *Queue[T]) serve(served *class[T], byReserve bool) *Ticket[T] {
	f := served.byStart.items[0]
	t := f.items.Front().Value.(*Ticket[T])
	for _, c := range q.classes {
		if c.backlog > 0 {
			c.credit += c.Reserve * t.Cost
		}
	}
	if byReserve {
		served.credit -= t.Cost
	}
	served.virtual = f.start
	f.finish = f.start + t.Cost/f.weight
	f.start = f.finish
	q.remove(t)
	return t
}

// nextClass returns the class to serve: the first whose reserve covers its
// next item, otherwise the first with work.
func (q *Queue[T]) nextClass() (next *class[T], byReserve bool) {
	for _, c := range q.classes {
		if c.byStart.Len() == 0 {
			continue
		}
		if next == nil {
			next = c
			continue
		}
		head := c.byStart.items[0].items.Front().Value.(*Ticket[T])
		if c.Reserve > 0 && c.credit >= head.Cost {
			return c, true
		}
	}
	return next, false
}

// Expire removes and returns the items that can no longer meet their deadline.
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
