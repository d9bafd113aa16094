package experts

import (
	"math"
	"time"

	"github.com/filbertmux/filbertmux/errkind"
)

// Counts holds the tokens that each expert received during one interval.
type Counts struct {
	// At is the end of the interval.
	At time.Time
	// Layers is indexed by layer and expert.
	Layers [][]float64
}

// validate checks the shape and values. A total that overflows to infinity is
// refused as well, because it would make every share zero.
func (c *Counts) validate(layers, experts int) error {
	if len(c.Layers) != layers {
		return errkind.New(errkind.InvalidCounts, "counts for %d layers, the model has %d", len(c.Layers), layers)
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
			return errkind.New(errkind.InvalidCounts, "layer %d total overflows", i)
		}
	}
	return nil
}

// Loads is the expected share of the load of each expert, by layer. The
// shares of a layer sum to 1, or to 0 if the layer has not been counted.
type Loads struct {
	At     time.Time
	Layers [][]float64
}

// Tracker keeps exponentially weighted expert shares.
type Tracker struct {
	halfLife time.Duration
	layers   int
	experts  int
	at       time.Time
	share    [][]float64
}

// NewTracker returns a tracker whose weights halve with each half-life.
func NewTracker(layers, experts int, halfLife time.Duration) *Tracker {
	t := &Tracker{halfLife: halfLife, layers: layers, experts: experts}
	t.share = make([][]float64, layers)
	for i := range t.share {
		t.share[i] = make([]float64, experts)
	}
	return t
}

// Observe adds counts. Invalid or out-of-order counts change nothing.
func (t *Tracker) Observe(c *Counts) error {
	if err := c.validate(t.layers, t.experts); err != nil {
		return err
	}
	if !c.At.After(t.at) {
		return errkind.New(errkind.StaleCounts, "counts of %s are not newer than %s", c.At, t.at)
	}
	keep := 0.0
	if !t.at.IsZero() && t.halfLife > 0 {
		keep = math.Exp2(-float64(c.At.Sub(t.at)) / float64(t.halfLife))
	}
	for i, layer := range c.Layers {
		blend(t.share[i], layer, keep)
	}
	t.at = c.At
	return nil
}

// blend mixes the shares of counts into share. A layer without tokens carries
// no information and leaves share as it is.
func blend(share, counts []float64, keep float64) {
	if sum(share) == 0 {
		keep = 0
	}
	total := sum(counts)
	if total == 0 {
		return
	}
	for e, n := range counts {
		share[e] = keep*share[e] + (1-keep)*n/total
	}
}

// Loads returns the shares, or StaleCounts if the newest counts are older
// than maxAge or there are none.
func (t *Tracker) Loads(now time.Time, maxAge time.Duration) (Loads, error) {
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
