package experts_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// planDigest returns a digest of the maps that a group gets while its mix of requests
// changes three times.
func planDigest(t *testing.T, s experts.Settings, in experts.Input) string {
	h := fnv.New64a()
	rng := rand.New(rand.NewPCG(7, 7))
	for range 3 {
		d, err := experts.Decide(s, in)
		require.NoError(t, err)
		require.NoError(t, binary.Write(h, binary.LittleEndian, int64(d.Saved)))
		for _, layer := range d.Target.Layers {
			require.NoError(t, binary.Write(h, binary.LittleEndian, layer))
		}
		in.InForce = &d.Target
		for i, old := range in.Loads.Layers {
			next := zipf(rng, len(old), 0.63)
			for e := range next {
				next[e] = 0.6*next[e] + 0.4*old[e]
			}
			in.Loads.Layers[i] = next
		}
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Guards against a faster planner that returns other plans than before for the same input.
func TestPlansAreReproducible(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("other architectures round sums of products differently")
	}
	for name, c := range map[string]struct {
		ranks, layers, count, slots, maxNew int
		defaults                            bool
		digest                              string
	}{
		"8 ranks":              {8, 3, 64, 11, 1, false, "77826da4748bc060"},
		"12 ranks, two new":    {12, 3, 96, 10, 2, false, "b9838eb4d5accdc9"},
		"24 ranks":             {24, 3, 96, 5, 1, false, "20f88dfbc7cd2724"},
		"32 ranks, own":        {32, 2, 256, 9, 0, true, "3c29d71551e58279"},
		"32 ranks, no limit":   {32, 2, 256, 9, 0, false, "26eac087f9d37e8e"},
		"63 ranks":             {63, 2, 144, 3, 1, false, "e571012553d5e98a"},
		"64 ranks":             {64, 2, 256, 5, 1, false, "aca6640c0e4b77d6"},
		"65 ranks, no limit":   {65, 1, 130, 3, 0, false, "5fc936e483754c3e"},
		"72 ranks":             {72, 2, 144, 3, 1, false, "207c77085f639b36"},
		"72 ranks, all spares": {72, 2, 144, 3, 3, false, "726f5b6f9ffe2e7a"},
	} {
		t.Run(name, func(t *testing.T) {
			s, in := largeInput(t, c.ranks, c.layers, c.count, c.slots)
			in.Topology.MaxNewPerRank = c.maxNew
			if c.defaults {
				s = experts.DefaultSettings()
			}
			require.Equal(t, c.digest, planDigest(t, s, in))
		})
	}
}
