package placement

import (
	"math"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

const (
	// headroomStep is the fraction of the capacity by which the headroom for a class grows
	// with each of its requests that waits for long or is refused, and maxHeadroom its
	// upper limit.
	headroomStep = 0.02
	maxHeadroom  = 0.25
	// headroomHalfLife is the time in which the headroom halves while no request of the
	// class waits for long.
	headroomHalfLife = time.Second
	// longWaitShare is the part of its maximum wait from which a request has waited for
	// long.
	longWaitShare = 0.2
)

// anyClass stands for a request without a class, which counts as the least urgent one.
const anyClass = ""

// Each gateway has its own queue, and a slot that becomes free goes to the gateway that
// takes it first. The load reports of the other gateways are some hundred ms old, so all
// gateways start requests at the same time and then none for a while. Without headroom,
// requests of less urgent classes at some gateways take the slots for which urgent ones
// wait at others. Each class therefore leaves some of the capacity of all servers to the
// more urgent ones: as much as these lacked lately. All gateways see much the same, so they
// do so alike, without messages.

// headroom is the fraction of the capacity that less urgent classes leave to a class.
type headroom struct {
	value float64
	at    time.Time
}

// current returns the headroom, which decays with time.
func (h headroom) current(now time.Time) float64 {
	if h.value == 0 {
		return 0
	}
	return h.value * math.Exp2(-float64(now.Sub(h.at))/float64(headroomHalfLife))
}

// recordWait records how long a request of a class has waited for a slot, at most maxWait.
func (s *Scheduler[T]) recordWait(now time.Time, class string, wait, maxWait time.Duration) {
	if float64(wait) < longWaitShare*float64(maxWait) {
		return
	}
	rank := s.classRank(class)
	for len(s.headrooms) <= rank {
		s.headrooms = append(s.headrooms, headroom{})
	}
	h := &s.headrooms[rank]
	h.value, h.at = min(h.current(now)+headroomStep, maxHeadroom), now
}

// classRank returns the position of a class, 0 for the most urgent one. An unknown class
// counts as the least urgent one.
func (s *Scheduler[T]) classRank(class string) int {
	rank := slices.IndexFunc(s.config.Classes, func(c fairqueue.Class) bool { return c.Name == class })
	if rank < 0 {
		return max(len(s.config.Classes)-1, 0)
	}
	return rank
}

// needOf returns the capacity that a request of a class needs.
func (s *Scheduler[T]) needOf(now time.Time, class string) capacityNeed {
	need := freeSlot
	for _, h := range s.headrooms[:min(s.classRank(class), len(s.headrooms))] {
		need.headroom = max(need.headroom, h.current(now))
	}
	return need
}

// goesFirst reports whether a request of a class goes before all queued ones.
func (s *Scheduler[T]) goesFirst(class string) bool {
	next, byReserve, ok := s.queue.Next()
	return !ok || !byReserve && s.classRank(class) < s.classRank(next)
}

// nextNeed returns the capacity that the next queued request needs, and false if none is
// queued. A request whose turn comes from the reserve of its class leaves no headroom, so
// that its class doesn't starve.
func (s *Scheduler[T]) nextNeed(now time.Time) (capacityNeed, bool) {
	class, byReserve, ok := s.queue.Next()
	if !ok || byReserve {
		return freeSlot, ok
	}
	return s.needOf(now, class), true
}

// leavesHeadroom reports whether one more request leaves a fraction of the capacity of the
// servers free.
func (s *Scheduler[T]) leavesHeadroom(servers []*server, fraction float64) bool {
	if fraction == 0 {
		return true
	}
	inFlight, capacity := 0, 0.0
	for _, c := range servers {
		inFlight += c.inFlight()
		slots := float64(c.Slots)
		if limit, limited := s.batchLimits[c.batchKey()]; limited {
			slots = min(slots, limit)
		}
		capacity += slots
	}
	return float64(inFlight+1) <= (1-fraction)*capacity
}
