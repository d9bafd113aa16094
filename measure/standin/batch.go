package standin

import (
	"container/heap"
	"sync"
)

// batch admits requests to the engine's continuous batch: a free slot goes to
// the waiting request with the lowest priority number, then to the oldest.
type batch struct {
	mu      sync.Mutex
	free    int
	bounded bool
	arrived int
	waiting waitingHeap
}

func newBatch(slots int) *batch {
	return &batch{free: slots, bounded: slots > 0}
}

// waiter is one request without a slot. ready is closed when it gets one.
type waiter struct {
	priority int
	arrival  int
	index    int
	ready    chan struct{}
}

// enter returns a waiter whose ready channel is closed once the request has a
// slot.
func (b *batch) enter(priority int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived++
	w := &waiter{priority: priority, arrival: b.arrived, index: -1, ready: make(chan struct{})}
	if !b.bounded || b.free > 0 {
		b.free--
		close(w.ready)
		return w
	}
	heap.Push(&b.waiting, w)
	return w
}

// leave gives up the slot or the place in the queue.
func (b *batch) leave(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		return
	}
	if b.waiting.Len() == 0 {
		b.free++
		return
	}
	next, ok := heap.Pop(&b.waiting).(*waiter)
	if ok {
		close(next.ready)
	}
}

// queued returns the number of requests without a slot.
func (b *batch) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting.Len()
}

type waitingHeap []*waiter

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waitingHeap) Push(x any) {
	w, ok := x.(*waiter)
	if !ok {
		return
	}
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waitingHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
