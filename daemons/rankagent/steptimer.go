package rankagent

import "time"

const (
	// stepTimeSmoothing is the weight of a new measurement in the mean step time.
	stepTimeSmoothing = 0.4
	// minObservedSpan is the shortest time over which steps are counted.
	minObservedSpan = 150 * time.Millisecond
)

// stepTimer measures the mean step time of the group, which is the gap between two
// events of each stream. A group without work begins no steps and has no step time.
type stepTimer struct {
	lastStep   int64
	observedAt time.Time
	// mean is the smoothed step time, or 0 if it isn't known.
	mean time.Duration
}

// observe takes the newest step of the group.
func (p *stepTimer) observe(now time.Time, step int64) {
	span := now.Sub(p.observedAt)
	if span < minObservedSpan {
		return
	}
	steps := step - p.lastStep
	known := !p.observedAt.IsZero() && steps >= 0
	p.lastStep, p.observedAt = step, now
	if !known || steps == 0 {
		p.mean = 0
		return
	}
	current := span / time.Duration(steps)
	if p.mean == 0 {
		p.mean = current
		return
	}
	p.mean += time.Duration(stepTimeSmoothing * float64(current-p.mean))
}

// relativeTo returns the step time relative to an objective. It returns 1, a long
// gap, without an objective or a measurement.
func (p *stepTimer) relativeTo(objective time.Duration) float64 {
	if objective <= 0 || p.mean == 0 {
		return 1
	}
	return float64(p.mean) / float64(objective)
}

// leadSteps returns the number of steps in leadTime, rounded up and at most
// maxLeadSteps. It returns maxLeadSteps if the step time isn't known.
func (p *stepTimer) leadSteps() int64 {
	if p.mean == 0 {
		return maxLeadSteps
	}
	return min(int64((leadTime+p.mean-1)/p.mean), maxLeadSteps)
}
