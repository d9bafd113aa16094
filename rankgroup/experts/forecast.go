package experts

import (
	"math"
	"time"
)

const (
	// trendGain is the weight of the newest change in the trend of a share.
	trendGain = 0.15
	// trendMargin is how far the trends of a layer must exceed those of a
	// random walk, as a ratio of variances, before they are used. Without a
	// margin, noise would be extrapolated while there is no trend.
	trendMargin = 2
	// maxTrend bounds the relative change that a forecast adds to a share.
	maxTrend = 0.5
)

// trend holds the smoothed relative change per second of the shares of one
// layer, and the variance that this would have for a random walk.
type trend struct {
	rate  []float64
	lag   []float64
	noise float64
}

func newTrend(experts int) trend {
	return trend{rate: make([]float64, experts), lag: make([]float64, experts)}
}

// observe adds the relative change of a share during an interval. A share
// that changes at a steady rate is followed with a delay, which depends on the
// weight of new counts.
func (d *trend) observe(e int, change, weight, seconds float64) {
	d.rate[e] += trendGain * (change/seconds - d.rate[e])
	d.lag[e] = seconds/2 + seconds*(1-weight)/weight
}

// expect sets the variance of the rates for a random walk that gains the
// given relative variance per second.
func (d *trend) expect(driftRate, seconds float64) {
	d.noise = driftRate / seconds * trendGain / (2 - trendGain)
}

// confidence returns the part of the rates that is trend and not noise, from 0
// to 1. It compares the variance of all rates of the layer, weighted by load,
// with that of a random walk.
func (d *trend) confidence(share []float64) float64 {
	power, total := 0.0, sum(share)
	for e, r := range d.rate {
		power += share[e] * r * r
	}
	if power == 0 || total == 0 {
		return 0
	}
	return max(0, 1-trendMargin*d.noise*total/power)
}

// extrapolate returns the shares after the given time.
func (d *trend) extrapolate(share []float64, seconds float64) []float64 {
	out := append([]float64(nil), share...)
	confidence := d.confidence(share)
	if confidence == 0 {
		return out
	}
	for e, r := range d.rate {
		change := confidence * r * (seconds + d.lag[e])
		out[e] *= 1 + math.Max(-maxTrend, math.Min(maxTrend, change))
	}
	scale := sum(share) / sum(out)
	for e := range out {
		out[e] *= scale
	}
	return out
}

// Forecast returns the shares expected at a time after now. It differs from
// Loads only while the shares of a layer change in one direction for longer
// than a random drift would. Loads.At remains the time of the newest counts.
func (t *LoadTracker) Forecast(now time.Time, maxAge, ahead time.Duration) (Loads, error) {
	loads, err := t.Loads(now, maxAge)
	if err != nil {
		return Loads{}, err
	}
	seconds := (now.Sub(t.at) + ahead).Seconds()
	for i, share := range loads.Layers {
		loads.Layers[i] = t.trend[i].extrapolate(share, seconds)
	}
	return loads, nil
}
