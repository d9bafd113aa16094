package experts

import (
	"math"
	"time"
)

const (
	// trendSmoothing is the weight of the newest change in the trend of a share.
	trendSmoothing = 0.15
	// trendMargin is the ratio by which the variance of the trends of a layer must
	// exceed that of a random walk before they are used. Without a margin, noise
	// would be extrapolated while there is no trend.
	trendMargin = 2
	// maxTrendChange is the maximum relative change of a share in a forecast.
	maxTrendChange = 0.5
)

// trend holds the trends of the shares of one layer.
type trend struct {
	// rate is the smoothed relative change of each share per second.
	rate []float64
	// lag is the delay in seconds with which each share follows a steady change.
	lag []float64
	// noise is the variance that the rates would have for a random walk.
	noise float64
}

func newTrend(experts int) trend {
	return trend{rate: make([]float64, experts), lag: make([]float64, experts)}
}

// observe adds the relative change of a share during an interval. If a share changes
// at a steady rate, the tracker lags behind it. The lag depends on the weight of new
// counts.
func (d *trend) observe(e int, change, weight, seconds float64) {
	d.rate[e] += trendSmoothing * (change/seconds - d.rate[e])
	d.lag[e] = seconds/2 + seconds*(1-weight)/weight
}

// setNoise sets the variance that the rates would have if the shares followed a random
// walk with the given relative variance per second.
func (d *trend) setNoise(driftRate, seconds float64) {
	d.noise = driftRate / seconds * trendSmoothing / (2 - trendSmoothing)
}

// confidence returns the fraction of the rates that is trend rather than noise, from 0
// to 1. It compares the load-weighted variance of all rates of the layer with that of
// a random walk.
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

// extrapolate returns the expected shares after the given time.
func (d *trend) extrapolate(share []float64, seconds float64) []float64 {
	out := append([]float64(nil), share...)
	confidence := d.confidence(share)
	if confidence == 0 {
		return out
	}
	for e, r := range d.rate {
		change := confidence * r * (seconds + d.lag[e])
		out[e] *= 1 + math.Max(-maxTrendChange, math.Min(maxTrendChange, change))
	}
	scale := sum(share) / sum(out)
	for e := range out {
		out[e] *= scale
	}
	return out
}

// Forecast returns the shares expected at the time ahead after now. They differ from
// those of Loads only if the shares of a layer change in one direction for longer than
// a random drift would. Loads.At is still the time of the newest counts.
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
