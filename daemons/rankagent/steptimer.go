package rankagent

import "time"

const (
	// stepTimeSmoothing is the weight of a new measurement in the mean step time.
	stepTimeSmoothing = 0.4
	// minObservedSpan is the shortest time over which steps are counted. maxObservedSpan is
	// the time without a step after which the group counts as idle; a group with a slow rank
	// takes several hundred ms for a step.
	minObservedSpan = 150 * time.Millisecond
	maxObservedSpan = time.Second
	// minLeadTime is the least lead time, leadTimePerRank the most for each rank of a large
	// group. firstLeadTimePerRank is used until the arming of the ranks was measured: the
	// first map of a holder replaces one that fits least.
	minLeadTime          = 160 * time.Millisecond
	leadTimePerRank      = 7 * time.Millisecond
	firstLeadTimePerRank = 4 * time.Millisecond
	// armingMargin is the lead time relative to the longest recent time in which all ranks
	// were armed, and armingDecay what is left of that time after a further switch.
	armingMargin = 1.25
	armingDecay  = 0.9
	// shortStep is the time of a step with few requests.
	shortStep = 55 * time.Millisecond
)

// stepTimer measures the mean step time of the group, which equals the event gap of
// each stream. A group without active requests starts no steps and has no step time.
type stepTimer struct {
	lastStep   int64
	observedAt time.Time
	// mean is the smoothed step time, or 0 if it isn't known.
	mean time.Duration
	// arming is the longest recent time from the hold order until all ranks were armed and
	// the hold was released, or 0 if it isn't known.
	arming time.Duration
}

// observe updates the mean step time with the newest step of the group at now.
func (s *stepTimer) observe(now time.Time, step int64) {
	span := now.Sub(s.observedAt)
	if span < minObservedSpan {
		return
	}
	steps := step - s.lastStep
	known := !s.observedAt.IsZero() && steps >= 0
	if known && steps == 0 && span < maxObservedSpan {
		return
	}
	s.lastStep, s.observedAt = step, now
	if !known || steps == 0 {
		s.mean = 0
		return
	}
	current := span / time.Duration(steps)
	if s.mean == 0 {
		s.mean = current
		return
	}
	s.mean += time.Duration(stepTimeSmoothing * float64(current-s.mean))
}

// relativeTo returns the step time relative to an objective. Without an objective or a
// measurement it returns 1, which counts as a long event gap.
func (s *stepTimer) relativeTo(objective time.Duration) float64 {
	if objective <= 0 || s.mean == 0 {
		return 1
	}
	return float64(s.mean) / float64(objective)
}

// observeArming records the time from the hold order of a switch until all ranks were
// armed and the hold was released.
func (s *stepTimer) observeArming(took time.Duration) {
	s.arming = max(took, time.Duration(armingDecay*float64(s.arming)))
}

// maxLeadTime returns how far ahead of the newest step a group is held at most. Arming all
// ranks takes less time, so the group does not pause. The holder reads all ranks and
// sends orders to them several times meanwhile, so the time grows with their number.
func maxLeadTime(ranks int) time.Duration {
	return max(minLeadTime, time.Duration(ranks)*leadTimePerRank)
}

// leadTime returns how far ahead of the newest step a group is held. It is as short as the
// last switches allow, because the group uses its old map meanwhile.
func (s *stepTimer) leadTime(ranks int) time.Duration {
	if s.arming == 0 {
		return max(minLeadTime, time.Duration(ranks)*firstLeadTimePerRank)
	}
	return min(max(time.Duration(armingMargin*float64(s.arming)), minLeadTime), maxLeadTime(ranks))
}

// maxLeadSteps returns the number of steps in maxLeadTime if they are as short as they get.
func maxLeadSteps(ranks int) int64 {
	return stepsIn(maxLeadTime(ranks), shortStep)
}

// leadSteps returns the number of steps in leadTime, rounded up and at most
// maxLeadSteps. It returns maxLeadSteps if the step time isn't known.
func (s *stepTimer) leadSteps(ranks int) int64 {
	if s.mean == 0 {
		return maxLeadSteps(ranks)
	}
	lead := s.leadTime(ranks)
	if s.arming == 0 {
		return min(stepsIn(lead, s.mean), maxLeadSteps(ranks))
	}
	// The newest step has run for half of its time on average.
	steps := stepsIn(lead+s.mean/2, s.mean)
	if longest := maxLeadTime(ranks); s.mean <= longest && s.arming <= longest {
		// It may also be about to end. With longer steps, a further one would put off
		// the map for longer than a hold lasts.
		steps = max(steps, stepsIn(s.arming, s.mean)+1)
	}
	return min(steps, maxLeadSteps(ranks))
}

// stepsIn returns the number of steps of a length in a time, rounded up.
func stepsIn(d, step time.Duration) int64 { return int64((d + step - 1) / step) }
