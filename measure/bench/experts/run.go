package experts

import (
	"math"
	"slices"
	"time"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

const (
	// expertBytes is the size of one expert of one layer.
	expertBytes = 44 << 20
	// countDelayIntervals is the delay of token counts in intervals.
	countDelayIntervals = 1
	// forecastHorizon is the time from a plan to the middle of the interval
	// that follows its activation.
	forecastHorizon = interval * 3 / 2
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Result holds the results of one policy in one scenario. Skew is sampled for
// each interval and layer from the true expert popularity.
type Result struct {
	Size     string `json:"size"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// SkewP50 and SkewP99 are quantiles of the maximum over the mean rank load.
	SkewP50 float64 `json:"skew_p50"`
	SkewP99 float64 `json:"skew_p99"`
	// BoundP99 is a quantile of the lower bound on skew, RatioP99 of the ratio
	// of skew to the lower bound of the same interval and layer.
	BoundP99 float64 `json:"bound_p99"`
	RatioP99 float64 `json:"ratio_p99"`
	// LostSeconds is the step time lost to skew, slow ranks and stalls.
	LostSeconds float64 `json:"lost_s"`
	Moves       int     `json:"moves"`
	Plans       int     `json:"plans"`
	Gigabytes   float64 `json:"gigabytes"`
	// StalledSteps is the number of steps lost because a rank was stalled or
	// weights were not fetched yet.
	StalledSteps int `json:"stalled_steps"`
	// WaitingSteps is the part of StalledSteps that was lost waiting for
	// weights.
	WaitingSteps int `json:"waiting_steps"`
	// PlanMillisP50 and PlanMillisP99 are quantiles of the planning time per
	// layer.
	PlanMillisP50 float64 `json:"plan_ms_p50"`
	PlanMillisP99 float64 `json:"plan_ms_p99"`

	series []float64
}

// simulation is the state of a run of one policy in one scenario.
type simulation struct {
	settings   planner.Settings
	policy     policy
	topology   *planner.Topology
	tracker    *planner.LoadTracker
	inForce    planner.Map
	stagedMap  *planner.Map
	activateAt int
	inFlight   int
	lastPlan   time.Time
	skews      []float64
	bounds     []float64
	ratios     []float64
	planMillis []float64
	result     Result
}

// simulateIntervals simulates one policy over the intervals [first, last).
func simulateIntervals(sz groupSize, sc scenario, seed uint64, s planner.Settings, p policy, first, last int) (Result, error) {
	w := newWorkload(sz, sc, seed)
	r := &simulation{settings: s, policy: p, topology: sz.topology()}
	r.tracker = planner.NewLoadTracker(sz.Layers, sz.Experts, planner.DefaultDriftRate)
	r.result = Result{Size: sz.Name, Scenario: string(sc), Policy: p.name}
	load := w.nextLoad(first)
	if err := r.placeInitially(sz, load); err != nil {
		return Result{}, err
	}
	var pending [][][]float64
	for at := first; at < last; at++ {
		if at > first {
			load = w.nextLoad(at)
		}
		factor, stalled := w.slowdown(at)
		rankLoad := r.recordSkew(load, factor, stalled)
		pending = append(pending, w.drawCounts(load))
		if at < first+countDelayIntervals {
			continue
		}
		// The end of this interval is the start of the next one.
		r.activate(at + 1)
		if err := r.observeCounts(at, pending[at-first-countDelayIntervals]); err != nil {
			return Result{}, err
		}
		if err := r.plan(at, r.stepTimes(rankLoad, factor, stalled)); err != nil {
			return Result{}, err
		}
	}
	return r.summarise(), nil
}

// placeInitially places the experts for the load of the first interval, so that
// the initial placement does not count as moves of a policy.
func (r *simulation) placeInitially(sz groupSize, load [][]float64) error {
	m, err := planner.UniformMap(r.topology, sz.Layers)
	if err != nil {
		return err
	}
	for l := range m.Layers {
		m.Layers[l] = planner.ReplanLayer(r.topology, m.Layers[l], load[l], nil)
	}
	r.inForce = m
	return nil
}

// activate replaces the current map by the staged one if that is due.
func (r *simulation) activate(at int) {
	if r.stagedMap == nil || at < r.activateAt {
		return
	}
	r.inForce = *r.stagedMap
	r.stagedMap = nil
	r.inFlight = 0
}

// recordSkew records the skew and lost time of one interval and returns the
// rank loads.
func (r *simulation) recordSkew(load [][]float64, factor []float64, stalled int) []float64 {
	steps := interval.Seconds() / r.settings.StepTime.Seconds()
	total := make([]float64, r.topology.Ranks())
	if stalled >= 0 {
		r.result.StalledSteps += int(steps)
		r.result.LostSeconds += interval.Seconds()
		return total
	}
	layers := float64(len(load))
	relative, mean := 0.0, 0.0
	for l := range load {
		rankLoad := r.inForce.Layers[l].RankLoads(r.topology, load[l])
		skew, bound := planner.Skew(rankLoad), planner.SkewLowerBound(r.topology, load[l])
		r.skews = append(r.skews, skew)
		r.bounds = append(r.bounds, bound)
		r.ratios = append(r.ratios, skew/bound)
		mean += skew / layers
		slowest := 0.0
		for rank, x := range rankLoad {
			total[rank] += x
			slowest = math.Max(slowest, x*factor[rank])
		}
		relative += slowest * float64(r.topology.Ranks()) / layers
	}
	share := r.settings.ExpertShare
	step := (1-share)*slices.Max(factor) + share*relative
	r.result.LostSeconds += (step - 1) * interval.Seconds()
	r.result.series = append(r.result.series, mean)
	return total
}

// stepTimes returns the step time that each rank reports, zero for a stalled
// rank.
func (r *simulation) stepTimes(rankLoad, factor []float64, stalled int) []time.Duration {
	times := make([]time.Duration, len(rankLoad))
	layers := float64(len(r.inForce.Layers))
	share := r.settings.ExpertShare
	for rank, x := range rankLoad {
		relative := x * float64(len(rankLoad)) / layers
		times[rank] = time.Duration(float64(r.settings.StepTime) * factor[rank] * (1 - share + share*relative))
	}
	if stalled >= 0 {
		times[stalled] = 0
	}
	return times
}

func (r *simulation) observeCounts(at int, counts [][]float64) error {
	return r.tracker.Observe(&planner.Counts{At: intervalEnd(at - countDelayIntervals), Layers: counts})
}

func intervalEnd(at int) time.Time { return epoch.Add(time.Duration(at+1) * interval) }

// plan asks the policy for the next map unless a map is being staged.
func (r *simulation) plan(at int, stepTimes []time.Duration) error {
	if r.stagedMap != nil {
		return nil
	}
	loads, err := r.tracker.Loads(intervalEnd(at), r.settings.MaxCountAge)
	if err != nil {
		return err
	}
	forecast, err := r.tracker.Forecast(intervalEnd(at), r.settings.MaxCountAge, forecastHorizon)
	if err != nil {
		return err
	}
	began := time.Now()
	next, err := r.policy.propose(policyInput{
		now: intervalEnd(at), topology: r.topology, inForce: &r.inForce, loads: loads, forecast: forecast,
		stepTimes: stepTimes, inFlight: r.inFlight, lastPlan: r.lastPlan,
	})
	perLayer := time.Since(began).Seconds() * 1e3 / float64(len(r.inForce.Layers))
	r.planMillis = append(r.planMillis, perLayer)
	if err != nil || next == nil {
		return err
	}
	r.stagePlan(at, next)
	return nil
}

// stagePlan accounts for the weight transfers of a plan and sets the interval
// in which it is activated.
func (r *simulation) stagePlan(at int, next *planner.Map) {
	moves := len(planner.Moves(r.topology, &r.inForce, next))
	staging := float64(moves) / r.settings.StoreRate
	r.result.Moves += moves
	r.result.Plans++
	r.stagedMap, r.activateAt, r.inFlight, r.lastPlan = next, at+2, moves, intervalEnd(at)
	if r.policy.waitsForStaging {
		r.activateAt = at + 1 + int(math.Ceil(staging/interval.Seconds()))
		return
	}
	if late := staging - interval.Seconds(); late > 0 {
		waiting := int(late / r.settings.StepTime.Seconds())
		r.result.WaitingSteps += waiting
		r.result.StalledSteps += waiting
		r.result.LostSeconds += late
	}
}

func (r *simulation) summarise() Result {
	r.result.SkewP50 = quantile(r.skews, 0.5)
	r.result.SkewP99 = quantile(r.skews, 0.99)
	r.result.BoundP99 = quantile(r.bounds, 0.99)
	r.result.RatioP99 = quantile(r.ratios, 0.99)
	r.result.Gigabytes = float64(r.result.Moves) * expertBytes / 1e9
	r.result.PlanMillisP50 = quantile(r.planMillis, 0.5)
	r.result.PlanMillisP99 = quantile(r.planMillis, 0.99)
	return r.result
}

// quantile returns the smallest sample that at least a share q of the samples
// does not exceed.
func quantile(samples []float64, q float64) float64 {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
