package fairqueue

import (
	"container/heap"
	"container/list"
)

// indexedHeap is a binary heap whose items know their position, so that an
// item can be moved or removed in O(log n).
type indexedHeap[E any] struct {
	items []E
	less  func(a, b E) bool
	// place stores the position of an item; -1 means not in the heap.
	place func(e E, position int)
}

func (h *indexedHeap[E]) push(e E)           { heap.Push(h, e) }
func (h *indexedHeap[E]) remove(i int)       { heap.Remove(h, i) }
func (h *indexedHeap[E]) fix(i int)          { heap.Fix(h, i) }
func (h *indexedHeap[E]) Len() int           { return len(h.items) }
func (h *indexedHeap[E]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[E]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}

// Push implements heap.Interface.
func (h *indexedHeap[E]) Push(e any) {
	item := e.(E)
	h.place(item, len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[E]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero E
	h.items[last] = zero
	h.items = h.items[:last]
	h.place(item, -1)
	return item
}

func newClass[T any](rank int, config Class) *class[T] {
	return &class[T]{
		Class: config,
		rank:  rank,
		flows: make(map[string]*flow[T]),
		byStart: indexedHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				if a.start != b.start {
					return a.start < b.start
				}
				return a.name < b.name
			},
			place: func(f *flow[T], i int) { f.byStart = i },
		},
		byBacklog: indexedHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				x, y := a.backlog/a.weight, b.backlog/b.weight
				if x != y {
					return x > y
				}
				return a.name < b.name
			},
			place: func(f *flow[T], i int) { f.byBacklog = i },
		},
	}
}

// flow returns the flow of an organisation, which it creates if necessary.
func (c *class[T]) flow(name string, weight float64) *flow[T] {
	f, ok := c.flows[name]
	if !ok {
		c.forgetIdle()
		f = &flow[T]{class: c, name: name, weight: weight, items: list.New(), byStart: -1, byBacklog: -1}
		c.flows[name] = f
	}
	return f
}

// forgetIdle bounds the number of idle flows. An idle flow whose finish tag is
// not after the virtual time is the same as a new one. The sweep runs when the
// idle flows outnumber the active ones, so its cost is amortised.
func (c *class[T]) forgetIdle() {
	const keep = 64
	if len(c.flows) <= 2*c.byStart.Len()+keep {
		return
	}
	for name, f := range c.flows {
		if f.items.Len() == 0 && (f.finish <= c.virtual || c.byStart.Len() == 0) {
			delete(c.flows, name)
		}
	}
}

func (c *class[T]) setWeight(f *flow[T], weight float64) {
	if f.items.Len() > 0 {
		c.activeWeight += weight - f.weight
	}
	f.weight = weight
	if f.byBacklog >= 0 {
		c.byBacklog.fix(f.byBacklog)
	}
}

// enqueue appends a ticket to the flow of its organisation.
func (q *Queue[T]) enqueue(t *Ticket[T]) {
	c := q.class(t.Class)
	f := c.flow(t.Organisation, q.weight(t.Organisation))
	t.flow = f
	t.element = f.items.PushBack(t)
	f.backlog += t.Cost
	c.backlog += t.Cost
	c.size++
	if f.items.Len() > 1 {
		c.byBacklog.fix(f.byBacklog)
		return
	}
	f.start = max(c.virtual, f.finish)
	c.activeWeight += f.weight
	c.byStart.push(f)
	c.byBacklog.push(f)
}

// remove takes a ticket out of all structures.
func (q *Queue[T]) remove(t *Ticket[T]) {
	f := t.flow
	c := f.class
	f.items.Remove(t.element)
	t.element = nil
	q.size--
	c.size--
	if t.deadline >= 0 {
		q.byDeadline.remove(t.deadline)
	}
	f.backlog -= t.Cost
	c.backlog -= t.Cost
	if f.items.Len() > 0 {
		c.byStart.fix(f.byStart)
		c.byBacklog.fix(f.byBacklog)
		return
	}
	f.backlog = 0
	c.activeWeight -= f.weight
	c.byStart.remove(f.byStart)
	c.byBacklog.remove(f.byBacklog)
	if c.byStart.Len() == 0 {
		// Removes rounding errors and the credit of an idle class.
		c.backlog, c.activeWeight, c.credit = 0, 0, 0
	}
}
