package placement

import "time"

const (
	// factorSmoothing is the weight of one gap in the measured factor.
	factorSmoothing = 0.03
	// initialFactor is the factor before the first gap. A group that has just formed has
	// an unbalanced expert map.
	initialFactor = 1.25
	// minFactor and maxFactor bound the measured factor.
	minFactor = 1.0
	maxFactor = 2.0
	// minBatchShare is the least share of the slots that stays in use. With fewer
	// requests, steps hardly get shorter.
	minBatchShare = 0.6
)

// BatchModel is how long an engine takes for a pass, and how long it may take.
type BatchModel struct {
	Slots int
	// PassTime is the time of a pass without requests. Each request adds
	// PassTimePerRequest.
	PassTime           time.Duration
	PassTimePerRequest time.Duration
	// GapObjective is the objective for the time between two events of a stream, which
	// is the time of a pass.
	GapObjective time.Duration
}

// passTime returns the time of a pass with a number of requests.
func (m BatchModel) passTime(requests float64) float64 {
	return float64(m.PassTime) + requests*float64(m.PassTimePerRequest)
}

// BatchLimit limits the requests on each server so that the gaps between the events of
// the streams stay within their objective.
//
// It is designed for bursts, and for the return of a rank group whose requests have
// queued: they would fill all slots at once. Each further request makes the passes of
// the whole group longer, and beyond some batch size every stream misses its objective.
// Up to that size, the same requests are nearly all in time.
//
// The zero value has no limit. A BatchLimit isn't safe for concurrent use.
type BatchLimit struct {
	model BatchModel
	// factor is the smoothed time of a pass relative to the model, which knows neither
	// prompts nor the loads of the experts.
	factor float64
}

// SetModel replaces the model. The measured factor stays.
func (l *BatchLimit) SetModel(m BatchModel) { l.model = m }

// Observe records a gap between two events of a stream, while each server had the given
// mean number of requests.
func (l *BatchLimit) Observe(gap time.Duration, requests float64) {
	expected := l.model.passTime(min(requests, float64(l.model.Slots)))
	if expected <= 0 {
		return
	}
	observed := min(max(float64(gap)/expected, minFactor), maxFactor)
	l.factor = l.currentFactor() + factorSmoothing*(observed-l.currentFactor())
}

func (l *BatchLimit) currentFactor() float64 {
	if l.factor == 0 {
		return initialFactor
	}
	return l.factor
}

// Requests returns the number of requests that each server may have, or 0 for no limit.
func (l *BatchLimit) Requests() int {
	m := l.model
	if m.Slots == 0 || m.PassTimePerRequest <= 0 || m.GapObjective <= 0 {
		return 0
	}
	pass := float64(m.GapObjective) / l.currentFactor()
	fitting := int((pass - float64(m.PassTime)) / float64(m.PassTimePerRequest))
	least := int(minBatchShare*float64(m.Slots) + 0.5)
	if fitting >= m.Slots {
		return 0
	}
	return max(fitting, least)
}
