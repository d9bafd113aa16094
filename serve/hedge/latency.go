package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyHalfLife is the time in which a latency loses half of its weight. A gateway with
	// few requests a second needs about a minute for enough values of a key.
	latencyHalfLife = 30 * time.Second
	// minValues is the least weight of the values of which a quantile is taken.
	minValues = 30
	// minValuesAbove is the least weight of the values above the quantile. With fewer, the
	// quantile is that of a few slow requests.
	minValuesAbove = 1.5
	// maxKeys bounds the keys of a service. Operators configure some ten routes for a service.
	maxKeys = 64
	// latencyUnit, maxLatency and latencyDigits are the resolution of the histograms, which
	// take about 3 KB each.
	latencyUnit   = 100 * time.Microsecond
	maxLatency    = 2 * time.Minute
	latencyDigits = 1
	percent       = 100
)

// latencies holds the recent latencies of the keys of a service.
type latencies struct {
	quantile float64
	byKey    map[key]*latency
}

// latency is a decaying histogram: its counts are halved each half-life.
type latency struct {
	histogram  *hdrhistogram.Histogram
	halvedAt   time.Time
	observedAt time.Time
}

func newLatencies(quantile float64) *latencies {
	return &latencies{quantile: quantile, byKey: make(map[key]*latency)}
}

func (l *latencies) observe(now time.Time, k key, took time.Duration) {
	h, ok := l.byKey[k]
	if !ok {
		l.makeRoom()
		h = &latency{halvedAt: now, histogram: hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)}
		l.byKey[k] = h
	}
	h.decay(now)
	h.observedAt = now
	_ = h.histogram.RecordValue(int64(min(max(took, latencyUnit), maxLatency) / latencyUnit)) // within the bounds
}

// makeRoom drops the key that was observed least recently if there are too many.
func (l *latencies) makeRoom() {
	if len(l.byKey) < maxKeys {
		return
	}
	var oldest key
	var at time.Time
	for k, h := range l.byKey {
		if at.IsZero() || h.observedAt.Before(at) {
			oldest, at = k, h.observedAt
		}
	}
	delete(l.byKey, oldest)
}

// usual returns the quantile of the latencies of a key, or false if it has too few values.
func (l *latencies) usual(now time.Time, k key) (time.Duration, bool) {
	h, ok := l.byKey[k]
	if !ok {
		return 0, false
	}
	h.decay(now)
	values := float64(h.histogram.TotalCount())
	if values < minValues || values*(1-l.quantile) < minValuesAbove {
		return 0, false
	}
	return time.Duration(h.histogram.ValueAtQuantile(l.quantile*percent)) * latencyUnit, true
}

// decay halves the counts for each half-life that has passed.
func (l *latency) decay(now time.Time) {
	for ; now.Sub(l.halvedAt) >= latencyHalfLife; l.halvedAt = l.halvedAt.Add(latencyHalfLife) {
		if l.histogram.TotalCount() == 0 {
			l.halvedAt = now
			return
		}
		snapshot := l.histogram.Export()
		for i := range snapshot.Counts {
			snapshot.Counts[i] /= 2
		}
		l.histogram = hdrhistogram.Import(snapshot)
	}
}
