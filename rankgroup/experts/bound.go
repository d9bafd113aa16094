package experts

// Skew returns the ratio of the maximum to the mean rank load, or 1 without load.
func Skew(rankLoad []float64) float64 {
	total := sum(rankLoad)
	if total == 0 {
		return 1
	}
	return maxOf(rankLoad) * float64(len(rankLoad)) / total
}

// MeanSkew returns the skew of each layer of a map for counts by layer and expert, averaged
// over the layers with counts. It returns 1 if there are none.
func MeanSkew(t *Topology, m *Map, counts [][]float64) float64 {
	total, layers := 0.0, 0
	for i, layer := range m.Layers {
		if sum(counts[i]) > 0 {
			total += Skew(layer.RankLoads(t, counts[i]))
			layers++
		}
	}
	if layers == 0 {
		return 1
	}
	return total / float64(layers)
}

// SkewLowerBound returns a lower bound of the skew over all placements of the experts
// in the slots of the topology.
//
// The maximum rank load of a placement is at least the mean rank load, and at least
// the load of the largest single replica. The latter is smallest if each spare slot
// goes to the expert with the largest load per replica. The bound ignores how the
// replicas pack into ranks, so it may not be attainable.
func SkewLowerBound(t *Topology, load []float64) float64 {
	if sum(load) == 0 {
		return 1
	}
	return skewLowerBound(t, load, replicaCounts(load, t.Slots(), t.Ranks()))
}

// skewLowerBound returns the lower bound for the result of replicaCounts and loads that
// aren't all zero.
func skewLowerBound(t *Topology, load []float64, counts []int) float64 {
	total := sum(load)
	largest := 0.0
	for e, n := range counts {
		largest = max(largest, load[e]/float64(n))
	}
	return max(1, largest*float64(t.Ranks())/total)
}

// replicaCounts returns the number of replicas of each expert. Every expert gets one,
// and each spare slot goes to the expert with the largest load per replica among those
// with fewer than limit replicas.
func replicaCounts(load []float64, slots, limit int) []int {
	counts := make([]int, len(load))
	for e := range counts {
		counts[e] = 1
	}
	for spare := slots - len(load); spare > 0; spare-- {
		best := -1
		for e, n := range counts {
			if n >= limit {
				continue
			}
			if best < 0 || load[e]*float64(counts[best]) > load[best]*float64(n) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

func maxOf(values []float64) float64 {
	m := values[0]
	for _, v := range values[1:] {
		m = max(m, v)
	}
	return m
}
