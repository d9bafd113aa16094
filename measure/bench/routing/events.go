package routing

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs actions in the order of virtual time, and of scheduling at equal
// times.
type clock struct {
	now    time.Time
	serial uint64
	queue  actions
}

type action struct {
	at     time.Time
	serial uint64
	do     func()
}

type actions []action

func newClock() *clock { return &clock{now: epoch} }

// after schedules an action.
func (c *clock) after(delay time.Duration, do func()) {
	c.serial++
	heap.Push(&c.queue, action{c.now.Add(delay), c.serial, do})
}

// every runs an action at a fixed interval, for ever.
func (c *clock) every(interval time.Duration, do func()) {
	c.after(interval, func() {
		do()
		c.every(interval, do)
	})
}

// run executes the actions up to the end of the run.
func (c *clock) run(duration time.Duration) {
	end := epoch.Add(duration)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		a := heap.Pop(&c.queue).(action)
		c.now = a.at
		a.do()
	}
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }

// Len implements heap.Interface.
func (a actions) Len() int { return len(a) }

// Less implements heap.Interface.
func (a actions) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].serial < a[j].serial
}

// Swap implements heap.Interface.
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *actions) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *actions) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = action{}
	*a = (*a)[:last]
	return x
}

// newRand returns a random source; streams of one seed are independent.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// arrivals calls do at Poisson times with the given rate per second.
func (c *clock) arrivals(rng *rand.Rand, rate float64, do func()) {
	c.after(seconds(rng.ExpFloat64()/rate), func() {
		do()
		c.arrivals(rng, rate, do)
	})
}
