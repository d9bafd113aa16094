package standin

import (
	"container/heap"
	"sync"
)

// batchScheduler admits requests to the engine's continuous batch. A free slot
// goes to the queued request with the lowest priority number; among equal
// priorities, to the oldest.
type batchScheduler struct {
	mu        sync.Mutex
	freeSlots int
	bounded   bool
	arrivals  int
	queue     waiterHeap
}

func newBatchScheduler(slots int) *batchScheduler {
	return &batchScheduler{freeSlots: slots, bounded: slots > 0}
}

// waiter is a request that has or waits for a slot. ready is closed when it gets
// one. index is its position in the queue, or -1 if it is not queued.
type waiter struct {
	priority int
	arrival  int
	index    int
	ready    chan struct{}
}

// acquire requests a slot. The ready channel of the returned waiter is closed
// once the slot is granted.
func (b *batchScheduler) acquire(priority int) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, index: -1, ready: make(chan struct{})}
	if !b.bounded || b.freeSlots > 0 {
		b.freeSlots--
		close(w.ready)
		return w
	}
	heap.Push(&b.queue, w)
	return w
}

// release gives back the slot, or removes the request from the queue.
func (b *batchScheduler) release(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)
		return
	}
	if b.queue.Len() == 0 {
		b.freeSlots++
		return
	}
	next, ok := heap.Pop(&b.queue).(*waiter)
	if ok {
		close(next.ready)
	}
}

// queueLength returns the number of requests that wait for a slot.
func (b *batchScheduler) queueLength() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Len()
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waiterHeap) Push(x any) {
	w, ok := x.(*waiter)
	if !ok {
		return
	}
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
