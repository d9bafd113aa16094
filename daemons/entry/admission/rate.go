package admission

import "time"

const (
	// rateWindow is the time over which the rate is measured. Shorter windows
	// hold too few answers of a model, which take seconds each.
	rateWindow = 5 * time.Second
	// rateWeight is the weight of a new window in the smoothed rate.
	rateWeight = 0.5
)

// rate measures the cost that a service finishes per second while requests
// wait. Without waiting requests the service is idle in part, and the measure
// would be too low.
type rate struct {
	since    time.Time // zero while nothing waits
	cost     float64
	smoothed float64
}

// finished adds one finished request and returns the smoothed rate, 0 before
// the first window.
func (r *rate) finished(now time.Time, cost float64, backlogged bool) float64 {
	if !backlogged {
		r.since = time.Time{}
		return r.smoothed
	}
	if r.since.IsZero() {
		r.since, r.cost = now, 0
		return r.smoothed
	}
	r.cost += cost
	elapsed := now.Sub(r.since)
	if elapsed < rateWindow {
		return r.smoothed
	}
	measured := r.cost / elapsed.Seconds()
	if r.smoothed == 0 {
		r.smoothed = measured
	}
	r.smoothed += rateWeight * (measured - r.smoothed)
	r.since, r.cost = now, 0
	return r.smoothed
}
