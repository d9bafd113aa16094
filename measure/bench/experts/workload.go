package experts

import (
	"math"
	"math/rand/v2"
	"time"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Workload constants. One run is a day.
const (
	perMinute = 4
	interval  = time.Minute / perMinute
	intervals = 24 * 60 * perMinute
	// tokensPerInterval is the number of expert selections of one group and
	// layer: 720,000 tokens/s over 150 groups with 8 experts per token.
	tokensPerInterval = 720_000 / 150 * 8 * 60 / perMinute
	// kinds of work: drafting, translation and summaries.
	kinds = 3
	// profileSpread is the standard deviation of the log popularity of an
	// expert for one kind of work.
	profileSpread = 0.8
	// driftSpread and driftTime describe the random drift of the log
	// popularity: its standard deviation and relaxation time.
	driftSpread = 0.25
	driftTime   = 2 * time.Hour
	// A spike multiplies the popularity of spikeExperts experts per layer.
	spikeFactor  = 8
	spikeExperts = 2
	// slowFactor is the slowdown of the slow rank.
	slowFactor = 2
)

// size is the size of a group.
type size struct {
	Name         string `json:"name"`
	Ranks        int    `json:"ranks"`
	Experts      int    `json:"experts"`
	SlotsPerRank int    `json:"slots_per_rank"`
	Layers       int    `json:"layers"`
}

var sizes = []size{
	{Name: "today", Ranks: 8, Experts: 64, SlotsPerRank: 9, Layers: 4},
	{Name: "design", Ranks: 32, Experts: 256, SlotsPerRank: 9, Layers: 4},
}

func (s size) topology() *planner.Topology {
	t := &planner.Topology{Experts: s.Experts, SlotsPerRank: s.SlotsPerRank}
	domains := []string{"kandy-a", "kandy-b", "kandy-c"}
	for rank := range s.Ranks {
		t.Domains = append(t.Domains, domains[rank*len(domains)/s.Ranks])
	}
	return t
}

// scenario names a course of the day.
type scenario string

// Scenarios.
const (
	drift       scenario = "drift"
	mixChange   scenario = "mix-change"
	spike       scenario = "spike"
	stalledRank scenario = "stalled-rank"
)

var scenarios = []scenario{drift, mixChange, spike, stalledRank}

// workload produces the true popularity and the counted tokens.
type workload struct {
	size     size
	scenario scenario
	rng      *rand.Rand
	profiles [][kinds][]float64
	offset   [][]float64
	hot      [][]int
}

func newWorkload(sz size, sc scenario, seed uint64) *workload {
	w := &workload{size: sz, scenario: sc, rng: rand.New(rand.NewPCG(seed, uint64(len(sc))))}
	w.profiles = make([][kinds][]float64, sz.Layers)
	w.offset = make([][]float64, sz.Layers)
	w.hot = make([][]int, sz.Layers)
	for l := range w.profiles {
		for k := range kinds {
			w.profiles[l][k] = w.profile()
		}
		w.offset[l] = make([]float64, sz.Experts)
		for e := range w.offset[l] {
			w.offset[l][e] = driftSpread * w.rng.NormFloat64()
		}
		w.hot[l] = w.rng.Perm(sz.Experts)[:spikeExperts]
	}
	return w
}

// profile draws the shares of the experts for one kind of work.
func (w *workload) profile() []float64 {
	p := make([]float64, w.size.Experts)
	total := 0.0
	for e := range p {
		p[e] = math.Exp(profileSpread * w.rng.NormFloat64())
		total += p[e]
	}
	for e := range p {
		p[e] /= total
	}
	return p
}

// mix returns the shares of the kinds of work at an interval.
func (w *workload) mix(at int) [kinds]float64 {
	var m [kinds]float64
	if w.scenario == mixChange {
		// The mix turns to the next kind within ten minutes, four times.
		phase := at * 4 / intervals
		into := float64(at-phase*intervals/4) / float64(10*perMinute)
		progress := math.Min(1, into)
		for k := range m {
			m[k] = 0.15
		}
		m[phase%kinds] += 0.55 * progress
		m[(phase+kinds-1)%kinds] += 0.55 * (1 - progress)
		return m
	}
	for k := range m {
		angle := 2 * math.Pi * (float64(at)/intervals + float64(k)/kinds)
		m[k] = (1 + 0.8*math.Sin(angle)) / kinds
	}
	return m
}

// next advances the drift and returns the true load of each layer and expert.
func (w *workload) next(at int) [][]float64 {
	mix := w.mix(at)
	keep := math.Exp(-float64(interval) / float64(driftTime))
	noise := driftSpread * math.Sqrt(1-keep*keep)
	load := make([][]float64, w.size.Layers)
	for l := range load {
		load[l] = make([]float64, w.size.Experts)
		for e := range load[l] {
			w.offset[l][e] = keep*w.offset[l][e] + noise*w.rng.NormFloat64()
			for k := range kinds {
				load[l][e] += mix[k] * w.profiles[l][k][e]
			}
			load[l][e] *= math.Exp(w.offset[l][e])
		}
		if w.scenario == spike && at >= intervals/2 && at < intervals/2+60*perMinute {
			for _, e := range w.hot[l] {
				load[l][e] *= spikeFactor
			}
		}
		normalise(load[l])
	}
	return load
}

func normalise(values []float64) {
	total := 0.0
	for _, v := range values {
		total += v
	}
	for i := range values {
		values[i] /= total
	}
}

// counts draws the counted tokens of an interval around the true load, with
// the rounding of the reports of group control.
func (w *workload) counts(load [][]float64) [][]float64 {
	out := make([][]float64, len(load))
	for l := range load {
		out[l] = make([]float64, len(load[l]))
		for e, share := range load[l] {
			expected := share * tokensPerInterval
			count := math.Max(0, math.Round(expected+math.Sqrt(expected)*w.rng.NormFloat64()))
			out[l][e] = planner.CountFromRoot(planner.CountRoot(uint64(count)))
		}
	}
	return out
}

// slowdown returns the slowdown of each rank, and whether one is stalled.
func (w *workload) slowdown(at int) (factor []float64, stalled int) {
	factor = make([]float64, w.size.Ranks)
	for r := range factor {
		factor[r] = 1
	}
	if w.scenario != stalledRank {
		return factor, -1
	}
	if at >= intervals/3 && at < intervals/3+60*perMinute {
		factor[w.size.Ranks/2] = slowFactor
	}
	if at >= 2*intervals/3 && at < 2*intervals/3+5*perMinute {
		return factor, w.size.Ranks / 4
	}
	return factor, -1
}
