package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	classes = []fairqueue.Class{{Name: "desk"}, {Name: "accounts", Reserve: 0.05}, {Name: "admin", Reserve: 0.05}}
)

type (
	queue = fairqueue.Queue[int]
	item  = fairqueue.Item[int]
)

// fillBacklog pushes items of several organisations until a class has a backlog
// of 4000.
func fillBacklog(t require.TestingT, q *queue, class string) {
	for _, organisation := range []string{"large", "small"} {
		for q.Backlog(class) < 4000 {
			_, _, err := q.Push(start, item{Class: class, Organisation: organisation, Cost: 100})
			require.NoError(t, err)
			_, _, err = q.Push(start, item{Class: class, Organisation: "other", Cost: 300})
			require.NoError(t, err)
		}
	}
}

// serviceShares returns the fraction of the service that each class gets while
// all classes are backlogged.
func serviceShares(t require.TestingT, classes []fairqueue.Class) map[string]float64 {
	q := fairqueue.New[int](1000, classes)
	served, total := map[string]float64{}, 0.0
	for range 20000 {
		for _, c := range classes {
			fillBacklog(t, q, c.Name)
		}
		p := q.Pop()
		served[p.Class] += p.Cost
		total += p.Cost
	}
	for name := range served {
		served[name] /= total
	}
	return served
}

// Guards against starvation of the lower classes and against a reserve that
// takes more than its fraction from the highest class. Without the reserve the
// lower classes get nothing.
func TestReservePreventsStarvation(t *testing.T) {
	served := serviceShares(t, classes)
	require.InDelta(t, 0.90, served["desk"], 0.005)
	require.InDelta(t, 0.05, served["accounts"], 0.005)
	require.InDelta(t, 0.05, served["admin"], 0.005)
	withoutReserve := serviceShares(t, []fairqueue.Class{{Name: "desk"}, {Name: "accounts"}, {Name: "admin"}})
	require.Zero(t, withoutReserve["accounts"]+withoutReserve["admin"])
}

// Guards against shares that depend on the cost or the number of requests
// instead of the weight.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](1000, classes)
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 6).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.Float64Range(5, 50), len(weights), len(weights)).Draw(t, "costs")
		sum := 0.0
		push := func(i int) {
			_, _, err := q.Push(start, item{Class: "desk", Organisation: fmt.Sprint(i), Cost: costs[i], Value: i})
			require.NoError(t, err)
		}
		for i, w := range weights {
			q.SetWeight(fmt.Sprint(i), w)
			sum += w
			push(i)
			push(i)
		}
		served, total := make([]float64, len(weights)), 0.0
		for total < 20000 {
			p := q.Pop()
			served[p.Value] += p.Cost
			total += p.Cost
			push(p.Value)
		}
		for i, w := range weights {
			require.InEpsilon(t, w/sum, served[i]/total, 0.1)
		}
	})
}

// Guards against items that are queued although they can't meet their deadline.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	q := fairqueue.New[int](1000, classes)
	q.SetRate(100)
	push := func(timeout time.Duration) error {
		_, _, err := q.Push(start, item{
			Class: "desk", Organisation: "mill", Cost: 100, Deadline: start.Add(timeout), ServiceTime: time.Second,
		})
		return err
	}
	require.NoError(t, push(3*time.Second))
	require.NoError(t, push(3*time.Second))
	require.True(t, errkind.Is(push(2500*time.Millisecond), errkind.DeadlineUnreachable))
	require.Empty(t, q.Expire(start.Add(2*time.Second)))
	require.Len(t, q.Expire(start.Add(2001*time.Millisecond)), 2)
	require.Zero(t, q.Len())
}

// Guards against a queue full of items of a low class that refuses items of a
// higher one, and against one organisation that fills the queue.
func TestFullQueueDisplacesLowerClass(t *testing.T) {
	q := fairqueue.New[int](4, classes)
	for i := range 4 {
		_, _, err := q.Push(start, item{Class: "admin", Organisation: "batch", Cost: 10, Value: i})
		require.NoError(t, err)
	}
	_, _, err := q.Push(start, item{Class: "admin", Organisation: "batch", Cost: 10})
	require.True(t, errkind.Is(err, errkind.QueueFull))
	_, displaced, err := q.Push(start, item{Class: "admin", Organisation: "other", Cost: 10})
	require.NoError(t, err)
	require.Equal(t, 3, displaced.Value)
	_, displaced, err = q.Push(start, item{Class: "desk", Organisation: "batch", Cost: 10, Value: 9})
	require.NoError(t, err)
	require.Equal(t, 2, displaced.Value)
	require.False(t, q.Cancel(displaced))
	require.Equal(t, 9, q.Pop().Value)
}

// Guards against items that are lost or returned twice in a random sequence of
// operations.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](20, classes)
		waiting := map[int]*fairqueue.Ticket[int]{}
		markRemoved := func(x *fairqueue.Ticket[int]) {
			require.Contains(t, waiting, x.Value)
			delete(waiting, x.Value)
		}
		now := start
		for k := range 200 {
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1, 2:
				ticket, displaced, err := q.Push(now, item{
					Class:        rapid.SampledFrom([]string{"desk", "accounts", "admin", "unknown"}).Draw(t, "class"),
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Cost:         rapid.Float64Range(0, 100).Draw(t, "cost"),
					Deadline:     now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ahead"))),
					Value:        k,
				})
				if displaced != nil {
					markRemoved(displaced)
				}
				if err == nil {
					waiting[k] = ticket
				}
			case 3:
				if p := q.Pop(); p != nil {
					markRemoved(p)
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "step")))
				for _, x := range q.Expire(now) {
					markRemoved(x)
				}
			case 5:
				for i := range k {
					if x, ok := waiting[i]; ok {
						require.True(t, q.Cancel(x))
						markRemoved(x)
						break
					}
				}
				q.SetClasses(classes)
			}
			require.Equal(t, len(waiting), q.Len())
		}
	})
}

// Guards against items that stay although they may be served or are to be removed, and
// against items that are lost or served twice because others were passed over.
func TestPopFuncAndRemoveFunc(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, waiting := fairqueue.New[int](64, classes), map[int]bool{}
		for n := range 60 {
			modulus := rapid.IntRange(1, 4).Draw(t, "modulus")
			accept := func(v int) bool { return v%modulus == 0 }
			accepted := 0
			for v := range waiting {
				if accept(v) {
					accepted++
				}
			}
			require.Equal(t, accepted > 0, q.ContainsFunc(accept))
			var left []*fairqueue.Ticket[int]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				left = q.RemoveFunc(accept)
				require.Len(t, left, accepted)
			case 1, 2, 3, 4:
				if popped := q.PopFunc(accept); popped != nil {
					left = append(left, popped)
				}
				require.Len(t, left, min(accepted, 1))
			default:
				class := rapid.SampledFrom(classes).Draw(t, "class").Name
				organisation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
				_, _, err := q.Push(start, item{Class: class, Organisation: organisation, Cost: float64(1 + n%7), Value: n})
				require.NoError(t, err)
				waiting[n] = true
			}
			for _, l := range left {
				require.True(t, waiting[l.Value] && accept(l.Value))
				delete(waiting, l.Value)
			}
			require.Equal(t, len(waiting), q.Len())
		}
	})
}

// Guards against another order of service where all items are accepted.
func TestPopFuncKeepsOrder(t *testing.T) {
	q, other := fairqueue.New[int](64, classes), fairqueue.New[int](64, classes)
	for n := range 60 {
		i := item{Class: classes[n%3].Name, Organisation: fmt.Sprint("o", n%4), Cost: float64(1 + n%7), Value: n}
		for _, to := range []*queue{q, other} {
			_, _, err := to.Push(start, i)
			require.NoError(t, err)
		}
	}
	for q.Len() > 0 {
		require.Equal(t, q.Pop().Value, other.PopFunc(func(int) bool { return true }).Value)
	}
}

// Guards against an organisation that gets the whole service for a while because another
// one was passed over, and is then served with its old place in the order.
func TestPassedOverItemsDontDistortShares(t *testing.T) {
	q := fairqueue.New[int](100, classes)
	push := func(organisation string, value int) {
		_, _, err := q.Push(start, item{Class: "desk", Organisation: organisation, Cost: 10, Value: value})
		require.NoError(t, err)
	}
	const passedOver, busy, late = 0, 1, 2
	push("a", passedOver)
	for range 40 {
		push("busy", busy)
	}
	for range 20 {
		require.Equal(t, busy, q.PopFunc(func(v int) bool { return v != passedOver }).Value)
	}
	require.Equal(t, passedOver, q.Pop().Value)
	for range 20 {
		push("late", late)
	}
	served := map[int]int{}
	for range 10 {
		served[q.Pop().Value]++
	}
	require.Equal(t, map[int]int{busy: 5, late: 5}, served)
}

// Guards against a preview that differs from the item that is served next, from whatever
// class and organisation.
func TestPeekShowsNextItem(t *testing.T) {
	q := fairqueue.New[int](100, classes)
	require.Nil(t, q.Peek())
	for i := range 60 {
		_, _, err := q.Push(start, item{Class: classes[i%3].Name, Organisation: fmt.Sprint(i % 5), Cost: float64(10 + i), Value: i})
		require.NoError(t, err)
	}
	for q.Len() > 0 {
		next := q.Peek()
		require.Same(t, next, q.Pop())
	}
}
