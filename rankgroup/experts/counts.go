package experts

import (
	"math"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Counts holds the tokens that each expert received during one interval.
type Counts struct {
	// At is the end of the interval.
	At time.Time
	// Layers is indexed by layer and expert.
	Layers [][]float64
}

// validate checks the shape and the values. It also rejects a total that overflows to
// infinity, because it would make every share zero.
func (c *Counts) validate(layers, experts int) error {
	if len(c.Layers) != layers {
		return errkind.New(errkind.InvalidCounts, "got counts of %d layers, the model has %d", len(c.Layers), layers)
	}
	for i, layer := range c.Layers {
		if len(layer) != experts {
			return errkind.New(errkind.InvalidCounts, "layer %d has %d counts for %d experts", i, len(layer), experts)
		}
		total := 0.0
		for e, n := range layer {
			if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
				return errkind.New(errkind.InvalidCounts, "layer %d expert %d has count %v", i, e, n)
			}
			total += n
		}
		if math.IsInf(total, 0) {
			return errkind.New(errkind.InvalidCounts, "the total of layer %d overflows", i)
		}
	}
	return nil
}

// CountRoot returns twice the square root of a count, rounded. Counts are Poisson
// distributed, so a root has a variance of about 1 for any count, and rounding adds
// only 1/12 to it. Reports of counts send the differences between successive roots,
// which are small numbers and take few bytes.
func CountRoot(count uint64) int64 { return int64(math.Round(2 * math.Sqrt(float64(count)))) }

// CountFromRoot returns the approximate count for a root.
func CountFromRoot(root int64) float64 { return float64(root) * float64(root) / 4 }

// Loads holds the expected share of each expert in the load of its layer. The shares
// of a layer sum to 1, or to 0 if there are no counts of the layer.
type Loads struct {
	At     time.Time
	Layers [][]float64
}

// DefaultDriftRate is the relative variance that the share of an expert gains per
// second. It corresponds to a drift of 3.5% within a minute, as in the scenarios of
// the benchmark.
const DefaultDriftRate = 2e-5

// LoadTracker maintains exponentially weighted expert shares. The weight of a new count
// is the gain of a Kalman filter. The count of a popular expert has little noise, so
// its weight is higher than that of the count of a rare expert.
type LoadTracker struct {
	driftRate float64
	layers    int
	experts   int
	at        time.Time
	share     [][]float64
	// variance is the relative variance of each share.
	variance [][]float64
	trend    []trend
}

// NewLoadTracker returns a tracker for a drift rate; see DefaultDriftRate.
func NewLoadTracker(layers, experts int, driftRate float64) *LoadTracker {
	t := &LoadTracker{driftRate: driftRate, layers: layers, experts: experts}
	t.share = make([][]float64, layers)
	t.variance = make([][]float64, layers)
	t.trend = make([]trend, layers)
	for i := range t.share {
		t.share[i] = make([]float64, experts)
		t.variance[i] = make([]float64, experts)
		t.trend[i] = newTrend(experts)
	}
	return t
}

// Observe adds counts. It returns an error and changes nothing if the counts are
// invalid or out of order.
func (t *LoadTracker) Observe(c *Counts) error {
	if err := c.validate(t.layers, t.experts); err != nil {
		return err
	}
	if !c.At.After(t.at) {
		return errkind.New(errkind.StaleCounts, "counts of %s are not newer than %s", c.At, t.at)
	}
	seconds := 0.0
	if !t.at.IsZero() {
		seconds = c.At.Sub(t.at).Seconds()
	}
	for i, layer := range c.Layers {
		t.blend(i, layer, seconds)
	}
	t.at = c.At
	return nil
}

// blend updates the shares of a layer with new counts. Counts without any token carry
// no information and leave the shares unchanged.
func (t *LoadTracker) blend(layer int, counts []float64, seconds float64) {
	share, variance, layerTrend := t.share[layer], t.variance[layer], &t.trend[layer]
	drift := t.driftRate * seconds
	first := sum(share) == 0
	total := sum(counts)
	if total == 0 {
		return
	}
	for e, n := range counts {
		// Counts are Poisson distributed, so the relative variance is 1/n. The
		// larger of the old and the new count is used, so that a sudden rise or
		// fall takes effect at once.
		noise := 1 / max(1, n, share[e]*total)
		prior := variance[e] + drift
		weight := prior / (prior + noise)
		if first {
			weight = 1
		}
		change := weight * (n/total - share[e])
		if !first && share[e] > 0 {
			layerTrend.observe(e, change/share[e], weight, seconds)
		}
		share[e] += change
		variance[e] = noise * weight
	}
	if !first {
		layerTrend.setNoise(t.driftRate, seconds)
	}
	scale := 1 / sum(share)
	for e := range share {
		share[e] *= scale
	}
}

// Loads returns the shares. It returns a StaleCounts error if there are no counts or
// if the newest ones are older than maxAge.
func (t *LoadTracker) Loads(now time.Time, maxAge time.Duration) (Loads, error) {
	if t.at.IsZero() {
		return Loads{}, errkind.New(errkind.StaleCounts, "no counts yet")
	}
	if age := now.Sub(t.at); age > maxAge {
		return Loads{}, errkind.New(errkind.StaleCounts, "newest counts are %s old, allowed are %s", age, maxAge)
	}
	loads := Loads{At: t.at, Layers: make([][]float64, t.layers)}
	for i := range t.share {
		loads.Layers[i] = append([]float64(nil), t.share[i]...)
	}
	return loads, nil
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
