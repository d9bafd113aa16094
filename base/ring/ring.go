// Package ring provides the bounded queues between the goroutines of a daemon. A
// Queue is a buffered channel with a name, an overflow policy and a count of
// dropped values.
//
// A Queue is safe for concurrent use. After Close, Push fails, but values that are
// already queued can still be popped.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// OverflowPolicy determines what Push does when the queue is full.
type OverflowPolicy uint8

// Overflow policies.
const (
	// Reject makes Push fail immediately.
	Reject OverflowPolicy = iota
	// DropOldest discards the oldest value to make room.
	DropOldest
	// Block makes Push wait for room. It fails after the push timeout.
	Block
)

// Config configures a Queue. PushTimeout applies to the Block policy.
type Config struct {
	Name        string
	Capacity    int
	Policy      OverflowPolicy
	PushTimeout time.Duration
}

// Queue is a bounded first-in, first-out queue.
type Queue[T any] struct {
	cfg     Config
	values  chan T
	dropped atomic.Int64

	mu     sync.Mutex
	closed bool
	done   chan struct{}
}

// New returns an empty queue. A capacity below 1 is raised to 1.
func New[T any](cfg Config) *Queue[T] {
	cfg.Capacity = max(1, cfg.Capacity)
	return &Queue[T]{
		cfg:    cfg,
		values: make(chan T, cfg.Capacity),
		done:   make(chan struct{}),
	}
}

// Name returns the name of the queue.
func (q *Queue[T]) Name() string { return q.cfg.Name }

// Depth returns the number of queued values.
func (q *Queue[T]) Depth() int { return len(q.values) }

// Dropped returns the number of values that were rejected because the queue was full
// or discarded to make room.
func (q *Queue[T]) Dropped() int64 { return q.dropped.Load() }

// Push appends v to the queue according to the overflow policy. A nil error means
// that v was queued.
func (q *Queue[T]) Push(ctx context.Context, v T) error {
	select {
	case <-q.done:
		return errkind.New(errkind.Leaving, "queue %s is closed", q.cfg.Name)
	default:
	}
	switch q.cfg.Policy {
	case DropOldest:
		return q.pushDropOldest(v)
	case Block:
		return q.pushBlocking(ctx, v)
	default:
		return q.pushReject(v)
	}
}

func (q *Queue[T]) pushReject(v T) error {
	select {
	case q.values <- v:
		return nil
	default:
		return q.rejectFull()
	}
}

func (q *Queue[T]) pushDropOldest(v T) error {
	for {
		select {
		case q.values <- v:
			return nil
		default:
		}
		select {
		case <-q.values:
			q.dropped.Add(1)
		default:
		}
	}
}

func (q *Queue[T]) pushBlocking(ctx context.Context, v T) error {
	timer := time.NewTimer(q.cfg.PushTimeout)
	defer timer.Stop()
	select {
	case q.values <- v:
		return nil
	case <-timer.C:
		return q.rejectFull()
	case <-ctx.Done():
		return errkind.Wrap(errkind.QueueFull, ctx.Err(), "waiting for room in queue "+q.cfg.Name)
	case <-q.done:
		return errkind.New(errkind.Leaving, "queue %s is closed", q.cfg.Name)
	}
}

func (q *Queue[T]) rejectFull() error {
	q.dropped.Add(1)
	return errkind.New(errkind.QueueFull, "queue %s is full with %d values", q.cfg.Name, q.cfg.Capacity)
}

// Pop removes and returns the oldest value, and waits for one if the queue is
// empty. It returns false when ctx is done or the queue is closed and empty.
func (q *Queue[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case v := <-q.values:
		return v, true
	default:
	}
	select {
	case v := <-q.values:
		return v, true
	case <-q.done:
		return q.TryPop()
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop removes and returns the oldest value. It returns false if the queue is
// empty.
func (q *Queue[T]) TryPop() (T, bool) {
	select {
	case v := <-q.values:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Close makes further calls of Push fail. It may be called more than once.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.closed = true
	close(q.done)
}
