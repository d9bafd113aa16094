package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

const roleGroupCoordinator = "holder of a group"

// layersPerMap is the number of model layers of the measured expert map.
const layersPerMap = 60

func coordinatorSeries() []measurementSeries {
	sizes := []int{64, 128, 256}
	return []measurementSeries{
		{roleGroupCoordinator, "time to plan one layer on 32 ranks", "experts", "s", sizes, designExperts, planTime},
		{
			roleGroupCoordinator, "bytes of a 60-layer map in JSON", "experts", "B", sizes, designExperts,
			func(n int) (float64, error) {
				m, err := experts.UniformMap(newTopology(n), layersPerMap)
				if err != nil {
					return 0, err
				}
				data, err := json.Marshal(m)
				return float64(len(data)), err
			},
		},
	}
}

// newTopology returns a topology of designRanks ranks in 4 failure domains, with
// two spare slots on each rank.
func newTopology(numExperts int) *experts.Topology {
	t := &experts.Topology{Experts: numExperts, SlotsPerRank: numExperts/designRanks + 2}
	for rank := range designRanks {
		t.Domains = append(t.Domains, fmt.Sprintf("domain-%d", rank%4))
	}
	return t
}

func planTime(n int) (float64, error) {
	t := newTopology(n)
	m, err := experts.UniformMap(t, 1)
	if err != nil {
		return 0, err
	}
	rng := rand.New(rand.NewPCG(1, 1))
	load := make([]float64, n)
	sum := 0.0
	for i := range load {
		load[i] = rng.ExpFloat64()
		sum += load[i]
	}
	for i := range load {
		load[i] /= sum
	}
	return timePerCall(func() { experts.PlanLayer(t, m.Layers[0], load, nil) }), nil
}
