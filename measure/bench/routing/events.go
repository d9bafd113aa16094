package routing

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which each run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is the event queue of a simulation. It runs events in the order of
// their virtual time; events at the same time run in the order of scheduling.
type clock struct {
	now   time.Time
	seq   uint64
	queue eventQueue
}

type scheduledEvent struct {
	at  time.Time
	seq uint64
	run func()
}

type eventQueue []scheduledEvent

func newClock() *clock { return &clock{now: epoch} }

// after schedules do to run once after a delay.
func (c *clock) after(delay time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, scheduledEvent{c.now.Add(delay), c.seq, do})
}

// every runs do at a fixed interval until the end of the run.
func (c *clock) every(interval time.Duration, do func()) {
	c.after(interval, func() {
		do()
		c.every(interval, do)
	})
}

// run executes all events that are due within duration after epoch.
func (c *clock) run(duration time.Duration) {
	end := epoch.Add(duration)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		a := heap.Pop(&c.queue).(scheduledEvent)
		c.now = a.at
		a.run()
	}
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = scheduledEvent{}
	*a = (*a)[:last]
	return x
}

// newRand returns a random source. The streams of one seed are independent.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// poissonArrivals calls do as a Poisson process with the given rate per second.
func (c *clock) poissonArrivals(rng *rand.Rand, rate float64, do func()) {
	c.after(seconds(rng.ExpFloat64()/rate), func() {
		do()
		c.poissonArrivals(rng, rate, do)
	})
}
