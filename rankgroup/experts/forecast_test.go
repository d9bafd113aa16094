package experts_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Guards against a forecast that lags behind a steady change of the mix of requests,
// and against a forecast that extrapolates noise when there is no trend.
func TestForecastFollowsTrendsOnly(t *testing.T) {
	const n, lag = 64, 45 * time.Second
	for _, steady := range []bool{true, false} {
		rng := rand.New(rand.NewPCG(1, 0))
		tr := experts.NewLoadTracker(1, n, experts.DefaultDriftRate)
		share := func(e, step int) float64 {
			if steady && e%2 == 0 {
				return math.Exp(0.03 * float64(step))
			}
			return 1
		}
		now := start
		for step := range 30 {
			now = start.Add(time.Duration(step) * 15 * time.Second)
			counts := make([]float64, n)
			for e := range counts {
				counts[e] = math.Round(2000*share(e, step) + 45*rng.NormFloat64())
			}
			require.NoError(t, tr.Observe(&experts.Counts{At: now, Layers: [][]float64{counts}}))
		}
		loads, err := tr.Loads(now, time.Minute)
		require.NoError(t, err)
		forecast, err := tr.Forecast(now, time.Minute, lag)
		require.NoError(t, err)
		if !steady {
			require.Equal(t, loads, forecast)
			continue
		}
		// The counts represent the middle of their interval, which is 52.5 s before
		// the time of the forecast.
		ratio := share(0, 29) * math.Exp(0.03*3.5)
		want := ratio / (1 + ratio) * 2 / n
		forecastError := func(l experts.Loads) float64 {
			total := 0.0
			for e := 0; e < n; e += 2 {
				total += l.Layers[0][e] * 2 / n
			}
			return math.Abs(total - want)
		}
		require.Less(t, forecastError(forecast), forecastError(loads)/2)
	}
}
