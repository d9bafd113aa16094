package hedge_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/serve/hedge"
)

const (
	poolServers = 24
	poolSlots   = 4
	// usualTime is the median time of a request. The logarithm of the time has the standard
	// deviation timeSpread.
	usualTime  = 50 * time.Millisecond
	timeSpread = 0.3
	// poolRequests is the number of requests of a run. The trouble begins after warmUp, when
	// enough latencies are known, and the requests from measuredFrom on are measured, when
	// the load is that of the trouble.
	poolRequests = 40_000
	warmUp       = 10_000
	measuredFrom = 12_000
	poolShare    = 0.05
	poolDeadline = 3 * time.Second
	// usualLoad is the part of the capacity that is used without trouble.
	usualLoad = 0.2
	// retryBurst and retryRatio are those of a gateway.
	retryBurst = 8.75
	retryRatio = 0.14
)

// trouble is what a simulated pool suffers after the warm-up.
type trouble struct {
	// load is the part of the capacity that is used.
	load float64
	// factor returns how many times longer than usual a request takes at a server.
	factor func(rng *rand.Rand, server int) float64
	// noRetries means that failures use up the retry budget.
	noRetries bool
}

// outcome is the result of a run.
type outcome struct {
	p99             time.Duration
	requests, extra int
	refused         map[hedge.Reason]int
}

// pool simulates backend servers that a gateway sends requests to: any server with a free
// slot, as with old load reports, or else a queue. The time is virtual. The pool doesn't learn
// which servers are slow, so nothing but hedges shortens the tail.
type pool struct {
	rng      *rand.Rand
	hedger   *hedge.Hedger
	c        hedge.Candidate
	trouble  trouble
	now      time.Time
	events   eventHeap
	inFlight [poolServers]int
	queue    []*call
	retries  float64
	measured []time.Duration
	outcome
}

// call is a request; runs are its attempts that have begun.
type call struct {
	arrived time.Time
	// troubled means that the trouble has begun.
	troubled bool
	measured bool
	done     bool
	runs     []run
}

type run struct {
	server  int
	started time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func (p *pool) after(d time.Duration, do func()) {
	heap.Push(&p.events, event{p.now.Add(d), do})
}

// simulate runs a pool with the given share of extra requests.
func simulate(t *testing.T, share float64, tr trouble) outcome {
	p := &pool{
		rng: rand.New(rand.NewPCG(1, 2)), hedger: hedge.New(hedge.Config{Share: share, Quantile: 0.95}),
		c: candidate(t, "lookup", 0), trouble: tr, now: start, retries: retryBurst,
		outcome: outcome{refused: make(map[hedge.Reason]int)},
	}
	p.arrive(0)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	slices.Sort(p.measured)
	p.p99 = p.measured[len(p.measured)*99/100]
	return p.outcome
}

// arrive adds the n-th request and schedules the next one.
func (p *pool) arrive(n int) {
	c := &call{arrived: p.now, troubled: n >= warmUp, measured: n >= measuredFrom}
	if c.measured {
		p.requests++
	}
	p.hedger.RecordRequest(p.c)
	p.retries = min(p.retries+retryRatio, retryBurst)
	if p.trouble.noRetries && c.troubled {
		p.retries = min(p.retries, retryBurst/2)
	}
	if !p.start(c, false) {
		p.queue = append(p.queue, c)
	}
	if n+1 == poolRequests {
		return
	}
	load := usualLoad
	if c.troubled {
		load = p.trouble.load
	}
	mean := float64(usualTime) * math.Exp(timeSpread*timeSpread/2)
	perNanosecond := load * poolServers * poolSlots / mean
	p.after(time.Duration(p.rng.ExpFloat64()/perNanosecond), func() { p.arrive(n + 1) })
}

// start begins an attempt at another server with a free slot.
func (p *pool) start(c *call, hedged bool) bool {
	picked := -1
	for _, server := range p.rng.Perm(poolServers) {
		if p.inFlight[server] < poolSlots && (!hedged || server != c.runs[0].server) {
			picked = server
		}
	}
	if picked < 0 {
		return false
	}
	p.inFlight[picked]++
	c.runs = append(c.runs, run{picked, p.now})
	took := float64(usualTime) * math.Exp(timeSpread*p.rng.NormFloat64())
	if c.troubled {
		took *= p.trouble.factor(p.rng, picked)
	}
	p.after(time.Duration(took), func() { p.finish(c) })
	if delay, ok := p.hedger.Delay(p.now, p.c, 1); ok && !hedged {
		p.after(delay, func() { p.hedge(c) })
	}
	return true
}

// finish ends a call with its first answer, and gives the slots of all its attempts back.
func (p *pool) finish(c *call) {
	if c.done {
		return
	}
	c.done = true
	for _, r := range c.runs {
		p.inFlight[r.server]--
	}
	p.hedger.RecordLatency(p.now, p.c, p.now.Sub(c.runs[0].started))
	if c.measured {
		p.measured = append(p.measured, p.now.Sub(c.arrived))
	}
	for len(p.queue) > 0 && p.start(p.queue[0], false) {
		p.queue = p.queue[1:]
	}
}

// hedge makes a second attempt if that is allowed.
func (p *pool) hedge(c *call) {
	if c.done {
		return
	}
	inFlight := 0
	for _, n := range p.inFlight {
		inFlight += n
	}
	reason := p.hedger.Decide(p.now, p.c, hedge.Conditions{
		Pool:    hedge.Pool{InFlight: inFlight, Slots: poolServers * poolSlots, Waiting: len(p.queue)},
		Retries: p.retries, RetryBurst: retryBurst, AttemptsLeft: 1,
		TimeLeft: poolDeadline - p.now.Sub(c.arrived),
	})
	if reason == hedge.Allowed && !p.start(c, true) {
		reason = hedge.NoServer
	}
	if reason != hedge.Allowed {
		p.refused[reason]++
		return
	}
	p.hedger.RecordHedge(p.c)
	p.retries--
	if c.measured {
		p.extra++
	}
}

// Guards against hedges that don't shorten a tail, that add more work than the share, or that
// add any where there is nothing to gain or no room.
func TestSimulatedPool(t *testing.T) {
	// The runs differ by chance, because the hedges before the trouble use random numbers.
	const slow, noise = 8, 0.1
	usual := func(*rand.Rand, int) float64 { return 1 }
	slowTail := func(rng *rand.Rand, _ int) float64 {
		if rng.Float64() < 0.02 {
			return slow
		}
		return 1
	}
	oneSlow := func(_ *rand.Rand, server int) float64 {
		if server == 0 {
			return slow
		}
		return 1
	}
	allSlow := func(*rand.Rand, int) float64 { return slow }
	for _, c := range []struct {
		name    string
		trouble trouble
		// falls means that the 99th percentile falls to at most half; noExtra that at most
		// mostExtra hedges a request are made, for moments with spare room.
		falls, noExtra bool
		mostExtra      float64
	}{
		{name: "no trouble", trouble: trouble{load: usualLoad, factor: usual}},
		{name: "slow tail", trouble: trouble{load: usualLoad, factor: slowTail}, falls: true},
		{name: "one slow server", trouble: trouble{load: usualLoad, factor: oneSlow}, falls: true},
		{name: "all servers slow", trouble: trouble{load: usualLoad / slow, factor: allSlow}},
		{name: "overload", trouble: trouble{load: 1.1, factor: slowTail}, noExtra: true},
		{name: "nearly full", trouble: trouble{load: 0.83, factor: slowTail}, noExtra: true, mostExtra: 0.001},
		{name: "retry budget used", trouble: trouble{load: usualLoad, factor: oneSlow, noRetries: true}, noExtra: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			without, with := simulate(t, 0, c.trouble), simulate(t, poolShare, c.trouble)
			extra := float64(with.extra) / float64(with.requests)
			t.Logf("p99 without hedging %v, with %v; extra work %.2f%%; refused %v",
				without.p99.Round(time.Millisecond), with.p99.Round(time.Millisecond), 100*extra, with.refused)
			require.Zero(t, without.extra)
			require.LessOrEqual(t, float64(with.extra), poolShare*float64(with.requests+hedge.Window))
			switch {
			case c.noExtra:
				require.LessOrEqual(t, extra, c.mostExtra)
				require.InEpsilon(t, without.p99, with.p99, noise)
			case c.falls:
				require.Less(t, with.p99, without.p99/2)
			default:
				require.Less(t, float64(with.p99), (1+noise)*float64(without.p99))
			}
		})
	}
}
