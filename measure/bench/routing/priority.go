package routing

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// Parameters of the priority experiment. A slot serves slotRate tokens a
// second, so a mean request takes 1 s.
const (
	slots         = 32
	firstSlots    = 3 // kept for the first class
	slotRate      = 480.0
	priorityFor   = 300 * time.Second
	organisations = 10
	reserve       = 0.05
)

var priorityClasses = []fairqueue.Class{
	{Name: "desk"},
	{Name: "accounts", Reserve: reserve},
	{Name: "admin", Reserve: reserve},
}

// PriorityResult holds the figures of the priority experiment.
type PriorityResult struct {
	// Waits of the first class alone at 0.4 of the capacity, and with a total
	// load of 2.
	UnloadedP99Millis float64 `json:"unloaded_p99_ms"`
	OverloadP99Millis float64 `json:"overload_p99_ms"`
	// DedicatedSlotsP99Millis is the latter with a tenth of the slots kept for the
	// first class.
	DedicatedSlotsP99Millis float64 `json:"overload_kept_slots_p99_ms"`
	// Service shares with the first class alone at 1.5 and a total of 2.
	Shares map[string]float64 `json:"service_share_by_class"`
	// SharesWithoutReserve is the same with the reserve switched off.
	SharesWithoutReserve map[string]float64 `json:"service_share_without_reserve"`
	// WorstWeightError is the largest relative error of an organisation's
	// share against its weight, in a class that is backlogged.
	WorstWeightError float64 `json:"worst_weight_error"`
}

type waiting struct {
	arrived time.Time
	class   string
}

// priorityRun is a pool of slots behind one queue.
type priorityRun struct {
	clock *clock
	queue *fairqueue.Queue[waiting]
	free  int
	// kept is the number of slots that only the first class gets.
	kept   int
	waits  map[string]*hdrhistogram.Histogram
	served map[string]float64
	// byOrganisation counts the service in the class accounts.
	byOrganisation map[string]float64
}

// weightOf gives half of the organisations a double weight. All offer the same
// load, so that without weights their shares would be equal.
func weightOf(i int) float64 { return 1 + float64(i%2) }

func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }

func newPriorityRun(seed uint64, classes []fairqueue.Class, load map[string]float64) *priorityRun {
	p := &priorityRun{
		clock: newClock(), queue: fairqueue.New[waiting](2000, classes), free: slots,
		waits: make(map[string]*hdrhistogram.Histogram), served: make(map[string]float64),
		byOrganisation: make(map[string]float64),
	}
	for i := range organisations {
		p.queue.SetWeight(organisationName(i), weightOf(i))
	}
	for k, c := range classes {
		p.waits[c.Name] = hdrhistogram.New(1, maxTTFTMicros, histogramDigits)
		rng := newRand(seed, uint64(k))
		rate := load[c.Name] * slots * slotRate / meanOutput
		if rate == 0 {
			continue
		}
		p.clock.arrivals(rng, rate, func() {
			item := fairqueue.Item[waiting]{
				Class: c.Name, Organisation: organisationName(rng.IntN(organisations)),
				Cost: logNormal(rng, meanOutput, outputSigma), Value: waiting{p.clock.now, c.Name},
			}
			// A full queue refuses or displaces; both are overload, not faults.
			_, _, _ = p.queue.Push(p.clock.now, item)
			p.dispatch()
		})
	}
	return p
}

func (p *priorityRun) dispatch() {
	for p.free > 0 {
		t := p.next()
		if t == nil {
			return
		}
		p.free--
		w := p.clock.now.Sub(t.Value.arrived)
		_ = p.waits[t.Value.class].RecordValue(max(1, w.Microseconds()))
		p.served[t.Value.class] += t.Cost
		if t.Value.class == "accounts" {
			p.byOrganisation[t.Organisation] += t.Cost
		}
		p.clock.after(seconds(t.Cost/slotRate), func() {
			p.free++
			p.dispatch()
		})
	}
}

func (p *priorityRun) next() *fairqueue.Ticket[waiting] {
	if p.free <= p.kept {
		return p.queue.PopHighestClass()
	}
	return p.queue.Pop()
}

func (p *priorityRun) run() *priorityRun {
	p.clock.run(priorityFor)
	return p
}

func (p *priorityRun) p99(class string) float64 {
	return float64(p.waits[class].ValueAtQuantile(99)) / 1000
}

func (p *priorityRun) shares() map[string]float64 {
	total := 0.0
	for _, c := range priorityClasses {
		total += p.served[c.Name]
	}
	shares := make(map[string]float64)
	for _, c := range priorityClasses {
		shares[c.Name] = p.served[c.Name] / total
	}
	return shares
}

func (p *priorityRun) worstWeightError() float64 {
	served, weights, worst := 0.0, 0.0, 0.0
	for i := range organisations {
		served += p.byOrganisation[organisationName(i)]
		weights += weightOf(i)
	}
	for i := range organisations {
		want := weightOf(i) / weights
		got := p.byOrganisation[organisationName(i)] / served
		worst = max(worst, math.Abs(got/want-1))
	}
	return worst
}

func runPriority(seed uint64) *PriorityResult {
	unloaded := newPriorityRun(seed, priorityClasses, map[string]float64{"desk": 0.4}).run()
	// accounts alone exceed the rest of the capacity for every organisation.
	load := map[string]float64{"desk": 0.4, "accounts": 1.4, "admin": 0.2}
	overload := newPriorityRun(seed, priorityClasses, load).run()
	keeping := newPriorityRun(seed, priorityClasses, load)
	keeping.kept = firstSlots
	keeping.run()
	heavy := map[string]float64{"desk": 1.5, "accounts": 0.25, "admin": 0.25}
	off := []fairqueue.Class{{Name: "desk"}, {Name: "accounts"}, {Name: "admin"}}
	return &PriorityResult{
		UnloadedP99Millis:       unloaded.p99("desk"),
		OverloadP99Millis:       overload.p99("desk"),
		DedicatedSlotsP99Millis: keeping.p99("desk"),
		Shares:                  newPriorityRun(seed, priorityClasses, heavy).run().shares(),
		SharesWithoutReserve:    newPriorityRun(seed, off, heavy).run().shares(),
		WorstWeightError:        overload.worstWeightError(),
	}
}

func (r *PriorityResult) print(p *printer) {
	if r == nil {
		return
	}
	p.line("\npriority, wait p99 of the first class: unloaded %.1f ms, at 2x overload %.1f ms,\n"+
		"  with %d of %d slots kept for it %.1f ms (mean service 1000 ms)",
		r.UnloadedP99Millis, r.OverloadP99Millis, firstSlots, slots, r.DedicatedSlotsP99Millis)
	for _, c := range priorityClasses {
		p.line("  first class at 1.5x: %-9s %5.1f%% of the service, without reserve %5.1f%%",
			c.Name, 100*r.Shares[c.Name], 100*r.SharesWithoutReserve[c.Name])
	}
	p.line("  worst error of a share by weight: %.1f%%", 100*r.WorstWeightError)
}
