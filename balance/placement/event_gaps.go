package placement

import "time"

const (
	// gapSmoothing is the weight of one gap in the moving average. A gateway sees
	// some tens of gaps per second.
	gapSmoothing = 0.05
	// gapMaxAge is the maximum age of the last gap. After that the mean is no longer
	// used, and the next gap starts a new one.
	gapMaxAge = time.Second
	// expectedLengthWeight reduces the expected length of a stream. Estimates are
	// often far off, and a stream that may finish must not be refused.
	expectedLengthWeight = 0.85
)

// EventGaps averages the gaps between the events of the streams of one service
// and predicts which streams can't finish in time. When a rank group is so slow that
// long streams run into their deadline, these streams would occupy their slots until
// then without a useful result, and streams that can finish would get no slot.
//
// The zero value is ready to use.
type EventGaps struct {
	mean   time.Duration
	lastAt time.Time
}

// Observe adds a gap to the average.
func (g *EventGaps) Observe(now time.Time, gap time.Duration) {
	if now.Sub(g.lastAt) > gapMaxAge {
		g.mean = gap
	}
	g.lastAt = now
	g.mean += time.Duration(gapSmoothing * float64(gap-g.mean))
}

// CanFinish reports whether a stream with the expected number of events may end
// within the remaining time. It is true for all streams while the mean gap is
// within the objective.
func (g *EventGaps) CanFinish(now time.Time, events int, objective, remaining time.Duration) bool {
	if now.Sub(g.lastAt) > gapMaxAge || objective <= 0 || g.mean <= objective {
		return true
	}
	return time.Duration(expectedLengthWeight*float64(events)*float64(g.mean)) <= remaining
}
