// Package ring provides the bounded queues that join the goroutines of a
// daemon. A Ring is a buffered channel with a name, an overflow policy and
// counters for depth and drops.
//
// Any number of goroutines may push and pop. Close ends the pushes; values
// that are already queued can still be popped.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Policy says what Push does when the ring is full.
type OverflowPolicy uint8

// Overflow policies.
const (
	// Reject makes Push fail at once.
	Reject OverflowPolicy = iota
	// DropOldest discards the oldest value to make room.
	DropOldest
	// Block makes Push wait up to the ring's deadline, then fail.
	Block
)

// Config sets up a Ring. Deadline applies to the Block policy.
type Config struct {
	Name        string
	Capacity    int
	Policy      OverflowPolicy
	PushTimeout time.Duration
}

// Ring is a bounded first-in, first-out queue.
type Queue[T any] struct {
	cfg     Config
	values  chan T
	dropped atomic.Int64

	mu     sync.Mutex
	closed bool
	done   chan struct{}
}

// New returns an empty ring. A capacity below 1 is raised to 1.
func New[T any](cfg Config) *Queue[T] {
	cfg.Capacity = max(1, cfg.Capacity)
	return &Queue[T]{
		cfg:    cfg,
		values: make(chan T, cfg.Capacity),
		done:   make(chan struct{}),
	}
}

// Name returns the name of the ring.
func (r *Queue[T]) Name() string { return r.cfg.Name }

// Depth returns the number of queued values.
func (r *Queue[T]) Depth() int { return len(r.values) }

// Dropped returns the number of values that were rejected or discarded.
func (r *Queue[T]) Dropped() int64 { return r.dropped.Load() }

// Push queues v according to the overflow policy. A nil error means that v is
// queued.
func (r *Queue[T]) Push(ctx context.Context, v T) error {
	select {
	case <-r.done:
		return errkind.New(errkind.Leaving, "queue %s is closed", r.cfg.Name)
	default:
	}
	switch r.cfg.Policy {
	case DropOldest:
		return r.pushDropOldest(v)
	case Block:
		return r.pushBlock(ctx, v)
	default:
		return r.pushReject(v)
	}
}

func (r *Queue[T]) pushReject(v T) error {
	select {
	case r.values <- v:
		return nil
	default:
		return r.full()
	}
}

func (r *Queue[T]) pushDropOldest(v T) error {
	for {
		select {
		case r.values <- v:
			return nil
		default:
		}
		select {
		case <-r.values:
			r.dropped.Add(1)
		default:
		}
	}
}

func (r *Queue[T]) pushBlock(ctx context.Context, v T) error {
	timer := time.NewTimer(r.cfg.PushTimeout)
	defer timer.Stop()
	select {
	case r.values <- v:
		return nil
	case <-timer.C:
		return r.full()
	case <-ctx.Done():
		return errkind.Wrap(errkind.QueueFull, ctx.Err(), "queue "+r.cfg.Name)
	case <-r.done:
		return errkind.New(errkind.Leaving, "queue %s is closed", r.cfg.Name)
	}
}

func (r *Queue[T]) full() error {
	r.dropped.Add(1)
	return errkind.New(errkind.QueueFull, "queue %s holds %d values", r.cfg.Name, r.cfg.Capacity)
}

// Pop returns the next value. It returns false when ctx ends, or when the ring
// is closed and empty.
func (r *Queue[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	default:
	}
	select {
	case v := <-r.values:
		return v, true
	case <-r.done:
		return r.TryPop()
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// TryPop returns the next value if one is queued.
func (r *Queue[T]) TryPop() (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Close ends the pushes. It may be called more than once.
func (r *Queue[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
}
