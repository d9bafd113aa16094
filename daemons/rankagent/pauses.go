package rankagent

import "time"

const (
	// pauseSmoothing is the weight of a new measurement of the pause.
	pauseSmoothing = 0.4
	// minPauseSpan is the least time over which steps are counted.
	minPauseSpan = 150 * time.Millisecond
)

// pauses measures the time of a step of the group, which is the pause between two
// events of each stream. A group without work begins no steps and has no pause.
type pauses struct {
	step int64
	at   time.Time
	mean time.Duration
}

// note takes the newest step.
func (p *pauses) note(now time.Time, step int64) {
	span := now.Sub(p.at)
	if span < minPauseSpan {
		return
	}
	steps := step - p.step
	known := !p.at.IsZero() && steps >= 0
	p.step, p.at = step, now
	if !known || steps == 0 {
		p.mean = 0
		return
	}
	last := span / time.Duration(steps)
	if p.mean == 0 {
		p.mean = last
		return
	}
	p.mean += time.Duration(pauseSmoothing * float64(last-p.mean))
}

// relative returns the pause in parts of its objective. Without an objective or a
// measurement, the pause counts as long.
func (p *pauses) relative(objective time.Duration) float64 {
	if objective <= 0 || p.mean == 0 {
		return 1
	}
	return float64(p.mean) / float64(objective)
}

// lead returns the number of steps in leadTime, at most leadSteps, which is also
// the answer while the time of a step isn't known.
func (p *pauses) lead() int64 {
	if p.mean == 0 {
		return leadSteps
	}
	return min(int64((leadTime+p.mean-1)/p.mean), leadSteps)
}
