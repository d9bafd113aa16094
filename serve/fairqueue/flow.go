package fairqueue

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"strings"
)

// indexedHeap is a binary heap whose items store their index, so that an item
// can be moved or removed in O(log n).
type indexedHeap[E any] struct {
	items []E
	less  func(a, b E) bool
	// setIndex stores the index of an item; -1 means not in the heap.
	setIndex func(e E, index int)
}

func (h *indexedHeap[E]) push(e E)           { heap.Push(h, e) }
func (h *indexedHeap[E]) remove(i int)       { heap.Remove(h, i) }
func (h *indexedHeap[E]) fix(i int)          { heap.Fix(h, i) }
func (h *indexedHeap[E]) Len() int           { return len(h.items) }
func (h *indexedHeap[E]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[E]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// Push implements heap.Interface.
func (h *indexedHeap[E]) Push(e any) {
	item := e.(E)
	h.setIndex(item, len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[E]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero E
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(item, -1)
	return item
}

func newClass[T any](rank int, config Class) *class[T] {
	return &class[T]{
		Class: config,
		rank:  rank,
		flows: make(map[string]*flow[T]),
		byStart: indexedHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				if a.startTag != b.startTag {
					return a.startTag < b.startTag
				}
				return a.name < b.name
			},
			setIndex: func(f *flow[T], i int) { f.startIndex = i },
		},
		byBacklog: indexedHeap[*flow[T]]{
			less: func(a, b *flow[T]) bool {
				x, y := a.backlog/a.weight, b.backlog/b.weight
				if x != y {
					return x > y
				}
				return a.name < b.name
			},
			setIndex: func(f *flow[T], i int) { f.backlogIndex = i },
		},
	}
}

// flow returns the flow of an organisation and creates it if necessary.
func (c *class[T]) flow(name string, weight float64) *flow[T] {
	f, ok := c.flows[name]
	if !ok {
		c.evictIdleFlows()
		f = &flow[T]{class: c, name: name, weight: weight, items: list.New(), startIndex: -1, backlogIndex: -1}
		c.flows[name] = f
	}
	return f
}

// evictIdleFlows bounds the number of idle flows. An idle flow whose finish tag
// is not after the virtual time is equivalent to a new one. The sweep runs only
// when the idle flows outnumber the active ones, so its cost is amortised.
func (c *class[T]) evictIdleFlows() {
	const minIdleFlows = 64
	if len(c.flows) <= 2*c.byStart.Len()+minIdleFlows {
		return
	}
	for name, f := range c.flows {
		if f.items.Len() == 0 && (f.finishTag <= c.virtualTime || c.byStart.Len() == 0) {
			delete(c.flows, name)
		}
	}
}

// head returns the item that is served next. The class isn't empty.
func (c *class[T]) head() *Ticket[T] { return c.byStart.items[0].items.Front().Value.(*Ticket[T]) }

// first returns the first item in the order of service whose value is accepted, or nil.
func (c *class[T]) first(accept func(T) bool) *Ticket[T] {
	if c.byStart.Len() == 0 {
		return nil
	}
	if t := c.head(); accept(t.Value) {
		return t
	}
	for _, t := range c.inOrder() {
		if accept(t.Value) {
			return t
		}
	}
	return nil
}

// inOrder returns the waiting items by organisation, the one that is served next first.
func (c *class[T]) inOrder() []*Ticket[T] {
	flows := slices.Clone(c.byStart.items)
	slices.SortFunc(flows, func(a, b *flow[T]) int {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), strings.Compare(a.name, b.name))
	})
	items := make([]*Ticket[T], 0, c.size)
	for _, f := range flows {
		for e := f.items.Front(); e != nil; e = e.Next() {
			items = append(items, e.Value.(*Ticket[T]))
		}
	}
	return items
}

func (c *class[T]) setWeight(f *flow[T], weight float64) {
	if f.items.Len() > 0 {
		c.activeWeight += weight - f.weight
	}
	f.weight = weight
	if f.backlogIndex >= 0 {
		c.byBacklog.fix(f.backlogIndex)
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
		c.byBacklog.fix(f.backlogIndex)
		return
	}
	f.startTag = max(c.virtualTime, f.finishTag)
	c.activeWeight += f.weight
	c.byStart.push(f)
	c.byBacklog.push(f)
}

// remove removes a ticket from all data structures.
func (q *Queue[T]) remove(t *Ticket[T]) {
	f := t.flow
	c := f.class
	f.items.Remove(t.element)
	t.element = nil
	q.size--
	c.size--
	if t.deadlineIndex >= 0 {
		q.byDeadline.remove(t.deadlineIndex)
	}
	f.backlog -= t.Cost
	c.backlog -= t.Cost
	if f.items.Len() > 0 {
		c.byStart.fix(f.startIndex)
		c.byBacklog.fix(f.backlogIndex)
		return
	}
	f.backlog = 0
	c.activeWeight -= f.weight
	c.byStart.remove(f.startIndex)
	c.byBacklog.remove(f.backlogIndex)
	if c.byStart.Len() == 0 {
		// An idle class keeps neither rounding errors nor reserve credit.
		c.backlog, c.activeWeight, c.reserveCredit = 0, 0, 0
	}
}
