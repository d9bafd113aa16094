package experts

import (
	"math"
	"math/rand/v2"
	"time"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Parameters of the workload. A full run is one day.
const (
	perMinute = 4
	interval  = time.Minute / perMinute
	intervals = 24 * 60 * perMinute
	// tokensPerInterval is the number of expert selections of one group and
	// layer: 720,000 tokens/s over 150 groups with 8 experts per token.
	tokensPerInterval = 720_000 / 150 * 8 * 60 / perMinute
	// workKinds is the number of kinds of work: drafting, translation and
	// summaries.
	workKinds = 3
	// profileSpread is the standard deviation of the log popularity of an
	// expert for one kind of work.
	profileSpread = 0.8
	// driftSpread and driftTime are the standard deviation and the relaxation
	// time of the random drift of the log popularity.
	driftSpread = 0.25
	driftTime   = 2 * time.Hour
	// During a spike the popularity of spikeExpertsPerLayer experts in each layer
	// is multiplied by spikeFactor.
	spikeFactor          = 8
	spikeExpertsPerLayer = 2
	// slowFactor is the factor on the step time of the slow rank.
	slowFactor = 2
)

// groupSize describes the size of a rank group.
type groupSize struct {
	Name         string `json:"name"`
	Ranks        int    `json:"ranks"`
	Experts      int    `json:"experts"`
	SlotsPerRank int    `json:"slots_per_rank"`
	Layers       int    `json:"layers"`
}

var sizes = []groupSize{
	{Name: "today", Ranks: 8, Experts: 64, SlotsPerRank: 9, Layers: 4},
	{Name: "design", Ranks: 32, Experts: 256, SlotsPerRank: 9, Layers: 4},
}

func (s groupSize) topology() *planner.Topology {
	t := &planner.Topology{Experts: s.Experts, SlotsPerRank: s.SlotsPerRank}
	domains := []string{"kandy-a", "kandy-b", "kandy-c"}
	for rank := range s.Ranks {
		t.Domains = append(t.Domains, domains[rank*len(domains)/s.Ranks])
	}
	return t
}

// scenario names the way in which load and faults develop over the day.
type scenario string

// Scenarios. In stalledRank, a rank is slow for an hour and later another one
// is stalled for five minutes.
const (
	drift       scenario = "drift"
	mixChange   scenario = "mix-change"
	spike       scenario = "spike"
	stalledRank scenario = "stalled-rank"
)

var scenarios = []scenario{drift, mixChange, spike, stalledRank}

// workload generates the true expert popularity and the token counts.
type workload struct {
	size         groupSize
	scenario     scenario
	rng          *rand.Rand
	profiles     [][workKinds][]float64
	logDrift     [][]float64
	spikeExperts [][]int
}

func newWorkload(sz groupSize, sc scenario, seed uint64) *workload {
	w := &workload{size: sz, scenario: sc, rng: rand.New(rand.NewPCG(seed, uint64(len(sc))))}
	w.profiles = make([][workKinds][]float64, sz.Layers)
	w.logDrift = make([][]float64, sz.Layers)
	w.spikeExperts = make([][]int, sz.Layers)
	for l := range w.profiles {
		for k := range workKinds {
			w.profiles[l][k] = w.drawProfile()
		}
		w.logDrift[l] = make([]float64, sz.Experts)
		for e := range w.logDrift[l] {
			w.logDrift[l][e] = driftSpread * w.rng.NormFloat64()
		}
		w.spikeExperts[l] = w.rng.Perm(sz.Experts)[:spikeExpertsPerLayer]
	}
	return w
}

// drawProfile draws the random popularity of the experts for one kind of work.
func (w *workload) drawProfile() []float64 {
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

// workMix returns the share of each kind of work in an interval.
func (w *workload) workMix(at int) [workKinds]float64 {
	var m [workKinds]float64
	if w.scenario == mixChange {
		// Four times a day the dominant kind of work changes within ten minutes.
		phase := at * 4 / intervals
		into := float64(at-phase*intervals/4) / float64(10*perMinute)
		progress := math.Min(1, into)
		for k := range m {
			m[k] = 0.15
		}
		m[phase%workKinds] += 0.55 * progress
		m[(phase+workKinds-1)%workKinds] += 0.55 * (1 - progress)
		return m
	}
	for k := range m {
		angle := 2 * math.Pi * (float64(at)/intervals + float64(k)/workKinds)
		m[k] = (1 + 0.8*math.Sin(angle)) / workKinds
	}
	return m
}

// nextLoad advances the drift by one interval and returns the true load of each
// layer and expert.
func (w *workload) nextLoad(at int) [][]float64 {
	mix := w.workMix(at)
	keep := math.Exp(-float64(interval) / float64(driftTime))
	noise := driftSpread * math.Sqrt(1-keep*keep)
	load := make([][]float64, w.size.Layers)
	for l := range load {
		load[l] = make([]float64, w.size.Experts)
		for e := range load[l] {
			w.logDrift[l][e] = keep*w.logDrift[l][e] + noise*w.rng.NormFloat64()
			for k := range workKinds {
				load[l][e] += mix[k] * w.profiles[l][k][e]
			}
			load[l][e] *= math.Exp(w.logDrift[l][e])
		}
		if w.scenario == spike && at >= intervals/2 && at < intervals/2+60*perMinute {
			for _, e := range w.spikeExperts[l] {
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

// drawCounts draws the token counts of an interval around the true load, rounded
// as in the reports between group members.
func (w *workload) drawCounts(load [][]float64) [][]float64 {
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

// slowdown returns the step time factor of each rank and the stalled rank, or -1
// if none is stalled.
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
