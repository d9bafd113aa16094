package placement

import (
	"math"
	"time"
)

const (
	// outputSmoothing is the weight of one response in the averages of OutputTimes.
	outputSmoothing = 0.05
	// outputDeviations is how many mean deviations above the mean a slow response is. A
	// request that waits until its slow response would be late mostly is in time.
	outputDeviations = 2.0
	// lateWaitShare is the part of the objective that a request may wait that is late in
	// any case.
	lateWaitShare = 0.6
	// minWaitShare is the least part of the objective that a request may wait. Slots
	// become free every few ms, so a short wait is worth it even if responses are slow.
	minWaitShare = 0.1
)

// OutputTimes tracks the time that the servers of a service take to the first part of a
// response, and derives from it how long a request may wait for a slot.
//
// It is designed for bursts. A request that waits for longer than its objective leaves for
// the response is late although it takes a slot in which another one would be in time. A
// patient request, whose objective leaves more, can wait longer.
//
// The zero value is ready to use.
type OutputTimes struct {
	mean, deviation time.Duration
}

// Observe records the time of one response.
func (o *OutputTimes) Observe(took time.Duration) {
	if o.mean == 0 {
		o.mean = took
		return
	}
	difference := float64(took - o.mean)
	o.mean += time.Duration(outputSmoothing * difference)
	o.deviation += time.Duration(outputSmoothing * (math.Abs(difference) - float64(o.deviation)))
}

// Mean returns the mean time, or 0 if none was observed.
func (o *OutputTimes) Mean() time.Duration { return o.mean }

// WaitBudget returns how long a request may wait for a slot, if it arrived some time ago
// and its response should begin within the objective. If it is late in any case, the
// budget is a share of the objective: its caller has a use for a late response.
func (o *OutputTimes) WaitBudget(objective, elapsed time.Duration) time.Duration {
	if o.mean+elapsed >= objective {
		return time.Duration(lateWaitShare * float64(objective))
	}
	slow := o.mean + time.Duration(outputDeviations*float64(o.deviation))
	return max(objective-elapsed-slow, time.Duration(minWaitShare*float64(objective)))
}
