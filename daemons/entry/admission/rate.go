package admission

import "time"

const (
	// rateWindow is the time over which the rate is measured. A shorter window
	// would contain too few responses of a model, which take seconds each.
	rateWindow = 5 * time.Second
	// rateSmoothing is the weight of a new window in the exponentially smoothed
	// rate.
	rateSmoothing = 0.5
)

// rateMeter measures the cost of the requests that a service finishes per second,
// only while requests wait. Without waiting requests the service is partly idle,
// and the measured rate would be below its capacity.
type rateMeter struct {
	windowStart time.Time // zero while nothing waits
	windowCost  float64
	smoothed    float64
}

// recordFinished adds a finished request and returns the smoothed rate, which is 0
// until the first window has ended.
func (r *rateMeter) recordFinished(now time.Time, cost float64, backlogged bool) float64 {
	if !backlogged {
		r.windowStart = time.Time{}
		return r.smoothed
	}
	if r.windowStart.IsZero() {
		r.windowStart, r.windowCost = now, 0
		return r.smoothed
	}
	r.windowCost += cost
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return r.smoothed
	}
	measured := r.windowCost / elapsed.Seconds()
	if r.smoothed == 0 {
		r.smoothed = measured
	}
	r.smoothed += rateSmoothing * (measured - r.smoothed)
	r.windowStart, r.windowCost = now, 0
	return r.smoothed
}
