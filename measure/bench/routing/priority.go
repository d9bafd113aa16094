package routing

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// Parameters of the priority experiment. A slot serves tokensPerSecondPerSlot,
// so a mean request takes 1 s.
const (
	slots                  = 32
	dedicatedSlots         = 3 // reserved for the first class
	tokensPerSecondPerSlot = 480.0
	priorityDuration       = 300 * time.Second
	organisations          = 10
	reserve                = 0.05
)

var priorityClasses = []fairqueue.Class{
	{Name: "desk"},
	{Name: "accounts", Reserve: reserve},
	{Name: "admin", Reserve: reserve},
}

// PriorityResult holds the results of the priority experiment.
type PriorityResult struct {
	// UnloadedP99Millis is the queue wait of the first class alone at 0.4 of
	// the capacity, OverloadP99Millis with the other classes at a total load of 2.
	UnloadedP99Millis float64 `json:"unloaded_p99_ms"`
	OverloadP99Millis float64 `json:"overload_p99_ms"`
	// DedicatedSlotsP99Millis is OverloadP99Millis with a tenth of the slots
	// reserved for the first class.
	DedicatedSlotsP99Millis float64 `json:"overload_kept_slots_p99_ms"`
	// Shares are the shares of the service by class, with a load of 1.5 from
	// the first class and 2 in total.
	Shares map[string]float64 `json:"service_share_by_class"`
	// SharesWithoutReserve are the same shares with the reserve disabled.
	SharesWithoutReserve map[string]float64 `json:"service_share_without_reserve"`
	// WorstWeightError is the largest relative deviation of an organisation's
	// share from its weight, in a backlogged class.
	WorstWeightError float64 `json:"worst_weight_error"`
}

type queuedRequest struct {
	arrived time.Time
	class   string
}

// priorityRun simulates a pool of slots behind one queue.
type priorityRun struct {
	clock *clock
	queue *fairqueue.Queue[queuedRequest]
	free  int
	// dedicated is the number of slots reserved for the first class.
	dedicated int
	waits     map[string]*hdrhistogram.Histogram
	served    map[string]float64
	// byOrganisation is the service received in the class accounts.
	byOrganisation map[string]float64
}

// weightOf gives half of the organisations a double weight. All offer the same
// load, so that without weights their shares would be equal.
func weightOf(i int) float64 { return 1 + float64(i%2) }

func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }

func newPriorityRun(seed uint64, classes []fairqueue.Class, load map[string]float64) *priorityRun {
	p := &priorityRun{
		clock: newClock(), queue: fairqueue.New[queuedRequest](2000, classes), free: slots,
		waits: make(map[string]*hdrhistogram.Histogram), served: make(map[string]float64),
		byOrganisation: make(map[string]float64),
	}
	for i := range organisations {
		p.queue.SetWeight(organisationName(i), weightOf(i))
	}
	for k, c := range classes {
		p.waits[c.Name] = hdrhistogram.New(1, maxTTFTMicros, histogramDigits)
		rng := newRand(seed, uint64(k))
		rate := load[c.Name] * slots * tokensPerSecondPerSlot / meanOutput
		if rate == 0 {
			continue
		}
		p.clock.poissonArrivals(rng, rate, func() {
			item := fairqueue.Item[queuedRequest]{
				Class: c.Name, Organisation: organisationName(rng.IntN(organisations)),
				Cost: logNormal(rng, meanOutput, outputSigma), Value: queuedRequest{p.clock.now, c.Name},
			}
			// A full queue refuses the new item or evicts another one; both
			// are expected under overload.
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
		p.clock.after(seconds(t.Cost/tokensPerSecondPerSlot), func() {
			p.free++
			p.dispatch()
		})
	}
}

func (p *priorityRun) next() *fairqueue.Ticket[queuedRequest] {
	if p.free <= p.dedicated {
		return p.queue.PopHighestClass()
	}
	return p.queue.Pop()
}

func (p *priorityRun) run() *priorityRun {
	p.clock.run(priorityDuration)
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
	// The class accounts alone exceeds the rest of the capacity, so each of its
	// organisations is backlogged.
	load := map[string]float64{"desk": 0.4, "accounts": 1.4, "admin": 0.2}
	overload := newPriorityRun(seed, priorityClasses, load).run()
	withDedicated := newPriorityRun(seed, priorityClasses, load)
	withDedicated.dedicated = dedicatedSlots
	withDedicated.run()
	firstClassOverload := map[string]float64{"desk": 1.5, "accounts": 0.25, "admin": 0.25}
	withoutReserve := []fairqueue.Class{{Name: "desk"}, {Name: "accounts"}, {Name: "admin"}}
	return &PriorityResult{
		UnloadedP99Millis:       unloaded.p99("desk"),
		OverloadP99Millis:       overload.p99("desk"),
		DedicatedSlotsP99Millis: withDedicated.p99("desk"),
		Shares:                  newPriorityRun(seed, priorityClasses, firstClassOverload).run().shares(),
		SharesWithoutReserve:    newPriorityRun(seed, withoutReserve, firstClassOverload).run().shares(),
		WorstWeightError:        overload.worstWeightError(),
	}
}

func (r *PriorityResult) print(p *errWriter) {
	if r == nil {
		return
	}
	p.printLine("\npriority, wait p99 of the first class: unloaded %.1f ms, at 2x overload %.1f ms,\n"+
		"  with %d of %d slots kept for it %.1f ms (mean service 1000 ms)",
		r.UnloadedP99Millis, r.OverloadP99Millis, dedicatedSlots, slots, r.DedicatedSlotsP99Millis)
	for _, c := range priorityClasses {
		p.printLine("  first class at 1.5x: %-9s %5.1f%% of the service, without reserve %5.1f%%",
			c.Name, 100*r.Shares[c.Name], 100*r.SharesWithoutReserve[c.Name])
	}
	p.printLine("  worst error of a share by weight: %.1f%%", 100*r.WorstWeightError)
}
