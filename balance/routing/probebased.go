package routing

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// ProbeConfig holds the parameters of ProbeBased.
type ProbeConfig struct {
	// PerRequest is the mean number of servers probed per request.
	PerRequest float64
	// MaxPerSecond bounds the rate of this entry's probes; 0 means no bound. With
	// 495 bytes per probe, including HTTP headers, 16/s take 7.9 KB/s of the budget
	// of 10 KB/s for control traffic.
	MaxPerSecond float64
	// PoolSize is the maximum number of probe results in the pool.
	PoolSize int
	// MaxAge is the maximum age of a result that is used.
	MaxAge time.Duration
	// MaxUses is the number of requests sent to a server after which its result is
	// dropped.
	MaxUses int
	// HotQuantile divides the pool into hot and cold servers: those whose requests
	// in flight exceed this quantile are hot.
	HotQuantile float64
	// MinPoolSize is the number of usable results below which PowerOfTwo is used
	// instead.
	MinPoolSize int
}

// DefaultProbeConfig returns the parameters published for Prequal (NSDI 2024),
// rounded.
func DefaultProbeConfig() ProbeConfig {
	return ProbeConfig{
		PerRequest:   3,
		MaxPerSecond: 16,
		PoolSize:     16,
		MaxAge:       time.Second,
		MaxUses:      2,
		HotQuantile:  0.84,
		MinPoolSize:  2,
	}
}

// ProbeBased picks servers from a pool of recent probe results, as Prequal does. It
// picks the server with the lowest latency among the cold ones or, if all are hot,
// the one with the fewest requests in flight. Each request causes a few new probes,
// whose results are used for this request and later ones. Each request also drops
// one result, alternately the worst and the oldest, so that the pool doesn't fill up
// with loaded servers.
type ProbeBased struct {
	config ProbeConfig
	loads  *LoadTable
	// pool is sorted by age, the oldest result first.
	pool        []probeResult
	probeCredit float64
	limiter     *rate.Limiter
	dropWorst   bool
}

type probeResult struct {
	server     string
	load       Load
	receivedAt time.Time
	uses       int
}

// NewProbeBased returns a policy with an empty pool.
func NewProbeBased(config ProbeConfig, loads *LoadTable) *ProbeBased {
	limit := rate.Inf
	if config.MaxPerSecond > 0 {
		limit = rate.Limit(config.MaxPerSecond)
	}
	burst := max(1, int(config.MaxPerSecond))
	return &ProbeBased{config: config, loads: loads, limiter: rate.NewLimiter(limit, burst)}
}

// Name implements Policy.
func (*ProbeBased) Name() string { return "probe_based" }

// Observe implements Policy.
func (p *ProbeBased) Observe(now time.Time, e Event) {
	p.loads.Observe(now, e)
	switch e.Kind {
	case Probed:
		p.remove(e.Server)
		p.pool = append(p.pool, probeResult{server: e.Server, load: e.Load, receivedAt: now})
		if len(p.pool) > p.config.PoolSize {
			p.pool = p.pool[1:]
		}
	case Sent:
		p.recordUse(e.Server)
	case Removed:
		p.remove(e.Server)
	case Finished, Reported:
	}
}

func (p *ProbeBased) remove(server string) {
	p.pool = slices.DeleteFunc(p.pool, func(r probeResult) bool { return r.server == server })
}

// Probes implements Policy.
func (p *ProbeBased) Probes(r Request) []string {
	p.probeCredit += p.config.PerRequest
	count := math.Floor(p.probeCredit)
	p.probeCredit -= count
	var ids []string
	for _, i := range sample(r, int(count)) {
		if !p.limiter.AllowN(r.Now, 1) {
			break
		}
		ids = append(ids, r.Candidates[i].ID)
	}
	return ids
}

// Pick implements Policy.
func (p *ProbeBased) Pick(r Request) int {
	p.expire(r.Now)
	usable := p.usableResults(r.Candidates)
	if len(usable) < min(p.config.MinPoolSize, len(r.Candidates)) {
		return (&PowerOfTwo{Loads: p.loads}).Pick(r)
	}
	if len(usable) == 0 {
		return -1
	}
	best := usable[0]
	limit := hotThreshold(p.pool, p.config.HotQuantile)
	for _, u := range usable[1:] {
		if better(p.pool[u.pool].load, p.pool[best.pool].load, limit) {
			best = u
		}
	}
	return best.candidate
}

// PoolLen returns the number of usable probe results, for metrics.
func (p *ProbeBased) PoolLen(now time.Time) int {
	p.expire(now)
	return len(p.pool)
}

// usableResult links the index of a result in the pool to that of its candidate.
type usableResult struct{ pool, candidate int }

func (p *ProbeBased) usableResults(candidates []Candidate) []usableResult {
	var usable []usableResult
	for i, result := range p.pool {
		index, ok := slices.BinarySearchFunc(candidates, result.server, func(c Candidate, id string) int {
			return compareIDs(c.ID, id)
		})
		if ok {
			usable = append(usable, usableResult{pool: i, candidate: index})
		}
	}
	return usable
}

func (p *ProbeBased) expire(now time.Time) {
	p.pool = slices.DeleteFunc(p.pool, func(r probeResult) bool {
		return now.Sub(r.receivedAt) > p.config.MaxAge || r.uses >= p.config.MaxUses
	})
}

// hotThreshold returns the number of requests in flight above which a server is
// hot.
func hotThreshold(pool []probeResult, quantile float64) int {
	counts := make([]int, 0, len(pool))
	for _, r := range pool {
		counts = append(counts, r.load.InFlight)
	}
	slices.Sort(counts)
	index := int(quantile * float64(len(counts)-1))
	return counts[index]
}

// better reports whether load a is preferred to load b. Cold servers are preferred
// to hot ones, whose requests in flight exceed threshold. Among cold servers the
// latency decides, among hot ones the number of requests in flight.
func better(a, b Load, threshold int) bool {
	hotA, hotB := a.InFlight > threshold, b.InFlight > threshold
	if hotA != hotB {
		return hotB
	}
	if hotA {
		return a.InFlight < b.InFlight
	}
	return a.Latency < b.Latency
}

// recordUse accounts for a request that was sent to a server: its result gets one
// more request in flight and a latency that grows in proportion, and one result is
// dropped.
func (p *ProbeBased) recordUse(server string) {
	for i := range p.pool {
		r := &p.pool[i]
		if r.server != server {
			continue
		}
		r.uses++
		r.load.Latency += r.load.Latency / time.Duration(r.load.InFlight+1)
		r.load.InFlight++
	}
	p.dropOne()
}

// dropOne drops one result, alternately the worst and the oldest, if the pool has
// more than MinPoolSize results.
func (p *ProbeBased) dropOne() {
	if len(p.pool) <= p.config.MinPoolSize {
		return
	}
	limit := hotThreshold(p.pool, p.config.HotQuantile)
	p.dropWorst = !p.dropWorst
	drop := 0
	if p.dropWorst {
		for i := range p.pool {
			if better(p.pool[drop].load, p.pool[i].load, limit) {
				drop = i
			}
		}
	}
	p.pool = slices.Delete(p.pool, drop, drop+1)
}
