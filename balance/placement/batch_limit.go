package placement

import (
	"math"
	"time"
)

const (
	// factorSmoothing is the weight of one gap in the measured factor.
	factorSmoothing = 0.03
	// initialFactor is the factor before the first gap. A group that has just formed has
	// an unbalanced expert map.
	initialFactor = 1.4
	// maxFactor bounds the measured factor. A rank with four times the mean load of the
	// experts makes a request cost 3.6 times as much.
	maxFactor = 4.0
	// peakWindow is the time over which the highest factor is taken; it stays in use for
	// one to two windows. A stream that starts now is late if the passes become too long
	// before it ends, and mixes of requests that no expert map fits yet return every few
	// seconds. The limit therefore follows the longest passes of the last seconds and not
	// those of the moment.
	peakWindow = 4 * time.Second
	// stalledGap is the gap, relative to the objective, from which a gap shows an outage
	// or a hold instead of the load.
	stalledGap = 3.0
	// longPassDeviations is how many mean deviations above the mean a long pass is. A
	// stream is late if one of its 10 to 40 passes is too long.
	longPassDeviations = 2.0
	// objectiveShare is the part of the objective at which the longest passes are aimed. The
	// next pass may be a little longer than all recent ones, for example because a server
	// copies experts, and a single pass beyond the objective makes all streams late.
	objectiveShare = 0.96
	// minBatchShare is the least share of the slots that stays in use. With fewer
	// requests, steps hardly get shorter.
	minBatchShare = 0.6
	// unattainableAfter is how long all gaps have to exceed the objective until it counts as
	// unattainable. A new expert map is in force sooner.
	unattainableAfter = 1500 * time.Millisecond
	// minObservedLoad is the least number of requests on a server from whose passes the
	// factor is measured.
	minObservedLoad = 1.0
)

// BatchModel is how long an engine takes for a pass, and how long it may take.
type BatchModel struct {
	Slots int
	// PassTime is the time of a pass without requests. Each request on each server adds
	// PassTimePerRequest.
	PassTime           time.Duration
	PassTimePerRequest time.Duration
	// GapObjective is the objective for the time between two events of a stream, which
	// is the time of a pass.
	GapObjective time.Duration
}

// BatchLimit limits the requests of a rank group, or of a single server, so that the gaps
// between the events of the streams stay within their objective.
//
// It is designed for bursts, for the return of a rank group whose requests have queued,
// and for groups whose expert map doesn't fit the current requests. All ranks execute
// each pass together, so each further request makes the passes of the whole group
// longer, and beyond some number every stream misses its objective. Up to that number,
// the same requests are nearly all in time.
//
// A BatchLimit isn't safe for concurrent use.
type BatchLimit struct {
	// factor is the smoothed time that a request adds to a pass, relative to the model,
	// which knows neither prompts nor the loads of the experts. It is 0 before the first
	// gap. deviation is the smoothed absolute deviation from it.
	factor    float64
	deviation float64
	// peak is the highest factor of a long pass in the window that began at windowStart,
	// lastPeak that of the window before it.
	peak, lastPeak float64
	windowStart    time.Time
	// exceededSince is when the first of the gaps that all exceed the objective was
	// observed, or zero; observedAt is the time of the last gap.
	exceededSince, observedAt time.Time
}

// Observe records a gap between two events of a stream, while each server of the group had
// the given mean number of requests.
func (l *BatchLimit) Observe(now time.Time, m BatchModel, gap time.Duration, requests float64) {
	requests = min(requests, float64(m.Slots))
	l.observeObjective(now, m.GapObjective, gap)
	if m.PassTimePerRequest <= 0 || requests < minObservedLoad || float64(gap) > stalledGap*float64(m.GapObjective) {
		return
	}
	observed := float64(gap-m.PassTime) / (requests * float64(m.PassTimePerRequest))
	observed = min(max(observed, 0), maxFactor)
	if l.factor == 0 {
		l.factor = initialFactor
	}
	difference := observed - l.factor
	l.factor += factorSmoothing * difference
	l.deviation += factorSmoothing * (math.Abs(difference) - l.deviation)
	switch age := now.Sub(l.windowStart); {
	case age > 2*peakWindow:
		l.lastPeak, l.peak, l.windowStart = 0, 0, now
	case age > peakWindow:
		l.lastPeak, l.peak, l.windowStart = l.peak, 0, now
	}
	l.peak = max(l.peak, l.longPass())
}

// observeObjective records whether a gap exceeds the objective.
func (l *BatchLimit) observeObjective(now time.Time, objective, gap time.Duration) {
	l.observedAt = now
	switch {
	case gap <= objective:
		l.exceededSince = time.Time{}
	case l.exceededSince.IsZero():
		l.exceededSince = now
	}
}

// unattainable reports whether no stream has met the objective for a while although the
// limit was in force, for example because of a slow rank. A limit has no use then: late
// responses are of more use to callers than refusals.
func (l *BatchLimit) unattainable(now time.Time) bool {
	return !l.exceededSince.IsZero() && now.Sub(l.exceededSince) >= unattainableAfter && now.Sub(l.observedAt) < unattainableAfter
}

// longPass returns the current factor of a long pass.
func (l *BatchLimit) longPass() float64 {
	if l.factor == 0 {
		return initialFactor
	}
	return l.factor + longPassDeviations*l.deviation
}

// currentPeak returns the factor of the long passes of the last seconds.
func (l *BatchLimit) currentPeak(now time.Time) float64 {
	switch age := now.Sub(l.windowStart); {
	case age > 2*peakWindow:
		return l.longPass()
	case age > peakWindow:
		return max(l.longPass(), l.peak)
	default:
		return max(l.longPass(), l.peak, l.lastPeak)
	}
}

// Requests returns the mean number of requests that the servers of the group may have, or
// 0 for no limit but their slots.
func (l *BatchLimit) Requests(now time.Time, m BatchModel) float64 {
	if m.Slots == 0 || m.PassTimePerRequest <= 0 || m.GapObjective <= 0 || l.unattainable(now) {
		return 0
	}
	fitting := (objectiveShare*float64(m.GapObjective) - float64(m.PassTime)) / (float64(m.PassTimePerRequest) * l.currentPeak(now))
	if fitting >= float64(m.Slots) {
		return 0
	}
	return max(fitting, minBatchShare*float64(m.Slots))
}
