package telemetry

import "sync"

// OtherLabel replaces label values beyond the limit.
const OtherLabel = "other"

// LabelLimiter admits a bounded number of distinct label values, on a first-come,
// first-served basis. It bounds the number of time series when the table grows.
type LabelLimiter struct {
	mu       sync.Mutex
	limit    int
	admitted map[string]struct{}
}

// NewLabelLimiter returns a limiter that admits at most limit values.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{limit: limit, admitted: make(map[string]struct{})}
}

// Value returns value if it is admitted, otherwise OtherLabel.
func (l *LabelLimiter) Value(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.admitted[value]; ok {
		return value
	}
	if len(l.admitted) >= l.limit {
		return OtherLabel
	}
	l.admitted[value] = struct{}{}
	return value
}
