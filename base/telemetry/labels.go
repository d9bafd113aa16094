package telemetry

import "sync"

// OtherLabel replaces label values beyond the bound.
const OtherLabel = "other"

// Labels admits a bounded number of distinct values; the first ones win. It
// keeps the number of time series bounded when the table grows.
type LabelLimiter struct {
	mu    sync.Mutex
	limit int
	known map[string]struct{}
}

// NewLabels returns a set that admits at most limit values.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{limit: limit, known: make(map[string]struct{})}
}

// Value returns value if it is admitted, otherwise OtherLabel.
func (l *LabelLimiter) Value(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.known[value]; ok {
		return value
	}
	if len(l.known) >= l.limit {
		return OtherLabel
	}
	l.known[value] = struct{}{}
	return value
}
