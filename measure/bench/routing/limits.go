package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/serve/limits"
)

// Parameters of the limits experiment.
const (
	limitsDuration       = 120 * time.Second
	limitWindow          = 5 * time.Second
	tokensPerSecondLimit = 30000.0
	tokensPerRequest     = 300.0
)

// LimitsResult holds the results for one number of entries and one loss rate of
// reports.
type LimitsResult struct {
	Entries     int     `json:"entries"`
	ReportsLost float64 `json:"reports_lost"`
	// WorstRatio is the largest amount admitted in any window of 5 s, relative
	// to limit * window, while demand moved between entries. Bound is the
	// upper bound that package limits guarantees for it.
	WorstRatio float64 `json:"worst_admitted_over_limit"`
	Bound      float64 `json:"bound"`
	// UsedShare is the share of the limit that was admitted while one entry
	// received all demand and the demand was above the limit.
	UsedShare float64 `json:"used_when_one_entry_has_all_demand"`
}

// limitsRun simulates entries that share the limit of one organisation.
type limitsRun struct {
	clock      *clock
	rng        *rand.Rand
	entries    []*limits.Limiter
	names      []string
	reportLoss float64
	demand     []float64
	admitted   []float64
}

func newLimitsRun(seed uint64, n int, reportLoss float64) *limitsRun {
	r := &limitsRun{clock: newClock(), rng: newRand(seed, 1), reportLoss: reportLoss, demand: make([]float64, n)}
	for i := range n {
		r.names = append(r.names, fmt.Sprintf("entry-%02d", i))
		e := limits.New(limits.DefaultConfig(), r.names[i])
		e.SetLiveEntries(epoch, n)
		e.SetLimit(epoch, "mill", limits.Amount{Tokens: tokensPerSecondLimit})
		r.entries = append(r.entries, e)
	}
	for i := range r.entries {
		r.clock.after(seconds(r.rng.Float64()), func() {
			r.clock.every(time.Second, func() { r.sendReports(i) })
		})
	}
	return r
}

func (r *limitsRun) sendReports(from int) {
	var peers []string
	for i, name := range r.names {
		if i != from {
			peers = append(peers, name)
		}
	}
	reports := r.entries[from].NextReports(r.clock.now, peers)
	for to, name := range r.names {
		report, ok := reports[name]
		if !ok || r.rng.Float64() < r.reportLoss {
			continue
		}
		delay := seconds(0.002 * r.rng.ExpFloat64())
		r.clock.after(delay, func() { r.entries[to].Receive(r.clock.now, report) })
	}
}

const limitTick = 20 * time.Millisecond

// offerDemand makes each entry admit as much as it can of its demand in one
// tick.
func (r *limitsRun) offerDemand() {
	sum := 0.0
	for i, e := range r.entries {
		due := r.demand[i] * limitTick.Seconds() / tokensPerRequest
		for ; due > r.rng.Float64(); due-- {
			if e.Admit(r.clock.now, "mill", tokensPerRequest) == nil {
				e.Release(r.clock.now, "mill", 0)
				sum += tokensPerRequest
			}
		}
	}
	r.admitted = append(r.admitted, sum)
}

// worstWindowRatio returns the largest amount admitted in any limitWindow,
// relative to the limit.
func (r *limitsRun) worstWindowRatio() float64 {
	width := int(limitWindow / limitTick)
	sum, worst := 0.0, 0.0
	for k, a := range r.admitted {
		sum += a
		if k >= width {
			sum -= r.admitted[k-width]
		}
		worst = max(worst, sum)
	}
	return worst / (tokensPerSecondLimit * limitWindow.Seconds())
}

func measureLimits(seed uint64, n int, reportLoss float64) LimitsResult {
	moving := newLimitsRun(seed, n, reportLoss)
	moving.clock.every(limitTick, func() {
		for i := range moving.demand {
			if moving.rng.Float64() < 0.005 {
				moving.demand[i] = []float64{0, 0, 0, 0.3, 4}[moving.rng.IntN(5)] * tokensPerSecondLimit
			}
		}
		moving.offerDemand()
	})
	moving.clock.run(limitsDuration)

	single := newLimitsRun(seed, n, reportLoss)
	single.demand[0] = 2 * tokensPerSecondLimit
	single.clock.every(limitTick, single.offerDemand)
	single.clock.run(limitsDuration)
	used := 0.0
	for _, a := range single.admitted {
		used += a
	}
	bound := 1 + (limits.DefaultConfig().BurstDuration.Seconds()*tokensPerSecondLimit+float64(n)*tokensPerRequest)/
		(tokensPerSecondLimit*limitWindow.Seconds())
	return LimitsResult{
		Entries: n, ReportsLost: reportLoss, WorstRatio: moving.worstWindowRatio(), Bound: bound,
		UsedShare: used / (tokensPerSecondLimit * limitsDuration.Seconds()),
	}
}

func runLimits(seed uint64) []LimitsResult {
	var results []LimitsResult
	for _, n := range []int{3, 30} {
		for _, loss := range []float64{0, 0.5, 1} {
			results = append(results, measureLimits(seed, n, loss))
		}
	}
	return results
}

func printLimits(p *errWriter, results []LimitsResult) {
	if len(results) == 0 {
		return
	}
	p.printLine("\n%-9s%14s%22s%8s%26s", "entries", "reports lost", "worst 5 s / limit", "bound", "used, demand at 1 entry")
	for _, x := range results {
		p.printLine("%-9d%13.0f%%%22.3f%8.3f%25.1f%%", x.Entries, 100*x.ReportsLost, x.WorstRatio, x.Bound, 100*x.UsedShare)
	}
}
