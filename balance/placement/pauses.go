package placement

import "time"

const (
	// pauseSmoothing is the weight of one pause in the mean. A gateway sees some
	// tens of them a second.
	pauseSmoothing = 0.05
	// pauseValid is the time for which the mean says something about streams that
	// begin now.
	pauseValid = time.Second
	// lengthDoubt is the part of an expected length that counts. Expectations are
	// often far off, and a stream that may finish is not refused.
	lengthDoubt = 0.85
)

// EventGaps follows the pauses between the events of the streams of one service, and
// tells which streams can't finish in time. The load that it answers is a rank
// group that has become so slow that long streams end at their deadline: they
// would hold their places to the end for nothing, and keep out those that can
// finish. The zero value has seen no pause.
type EventGaps struct {
	mean time.Duration
	at   time.Time
}

// Observe takes a pause.
func (p *EventGaps) Observe(now time.Time, pause time.Duration) {
	if now.Sub(p.at) > pauseValid {
		p.mean = pause
	}
	p.at = now
	p.mean += time.Duration(pauseSmoothing * float64(pause-p.mean))
}

// CanFinish reports whether a stream with an expected number of events may end
// within left. While pauses are within their objective, every stream may.
func (p *EventGaps) CanFinish(now time.Time, events int, objective, left time.Duration) bool {
	if now.Sub(p.at) > pauseValid || objective <= 0 || p.mean <= objective {
		return true
	}
	return time.Duration(lengthDoubt*float64(events)*float64(p.mean)) <= left
}
