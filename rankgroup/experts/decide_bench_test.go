package experts_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// largeInput returns the input of a decision for a group whose mix of requests has changed
// in all layers, with settings as the agents of a rank group use them but without CopyTime.
func largeInput(t testing.TB, ranks, layers, count, slots int) (experts.Settings, experts.Input) {
	topo := topology(ranks, count, slots)
	topo.MaxNewPerRank = 1
	m, err := experts.UniformMap(topo, layers)
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(uint64(ranks), 1))
	loads := experts.Loads{At: start}
	for range layers {
		loads.Layers = append(loads.Layers, zipf(rng, count, 0.63))
	}
	s := experts.DefaultSettings()
	s.StepTime, s.ExpertShare, s.Horizon = 12400*time.Microsecond, 0.85, 4*time.Second
	s.MoveCost = 15 * time.Millisecond / time.Duration(ranks)
	s.TailWeight, s.Hysteresis, s.MinInterval = 1, 1.3, 0
	s.MaxInFlight = ranks * layers * slots
	s.StoreRate = float64(s.MaxInFlight)
	return s, experts.Input{Now: start, Topology: topo, InForce: &m, Loads: loads, Weights: experts.Weights{Skew: 1, Cost: 1}}
}

// BenchmarkDecide measures a decision on a map of 12 layers of 144 experts.
func BenchmarkDecide(b *testing.B) {
	for _, ranks := range []int{32, 72, 320, 1024} {
		b.Run(fmt.Sprintf("%d ranks", ranks), func(b *testing.B) {
			s, in := largeInput(b, ranks, 12, 144, max(3, 144/ranks+2))
			s.CopyTime, s.CopySlowdown, s.MaxCopiesPerRank = 13*time.Millisecond, 0.15, 6
			var d experts.Decision
			for b.Loop() {
				var err error
				d, err = experts.Decide(s, in)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(d.Moves)), "moves")
			b.ReportMetric(experts.MeanSkew(in.Topology, in.InForce, in.Loads.Layers), "skew-before")
			b.ReportMetric(experts.MeanSkew(in.Topology, &d.Target, in.Loads.Layers), "skew-after")
		})
	}
}
