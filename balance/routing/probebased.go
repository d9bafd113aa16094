package routing

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// ProbeConfig holds the parameters of ProbeBased.
type ProbeConfig struct {
	// PerRequest is the number of servers probed per request.
	PerRequest float64
	// MaxPerSecond bounds the probes of this entry; 0 means no bound. At 495
	// bytes a probe (HTTP headers included), 16/s are 7.9 KB/s of the control
	// budget of 10 KB/s.
	MaxPerSecond float64
	// PoolSize bounds the pool of probe results.
	PoolSize int
	// MaxAge is the age from which a result is dropped.
	MaxAge time.Duration
	// MaxUses is the number of picks by which a result is used up.
	MaxUses int
	// HotQuantile divides the pool: servers whose requests in flight exceed
	// this quantile are hot.
	HotQuantile float64
	// MinPool is the number of results below which two random candidates are
	// compared by own counts instead.
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

// ProbeBased keeps a pool of recent probe results. It picks the server with
// the lowest latency among the cold ones or, if all are hot, the one with the
// fewest requests in flight. Each request asks for a few new probes, whose
// answers serve this one and later ones, and drops the worst or the oldest result in
// turn, so that the pool doesn't fill up with loaded servers.
type ProbeBased struct {
	config ProbeConfig
	loads  *LoadTable
	// pool is ordered by age, the oldest first.
	pool     []result
	owed     float64
	limiter  *rate.Limiter
	dropTurn bool
}

type result struct {
	server string
	load   Load
	at     time.Time
	uses   int
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
		p.pool = append(p.pool, result{server: e.Server, load: e.Load, at: now})
		if len(p.pool) > p.config.PoolSize {
			p.pool = p.pool[1:]
		}
	case Sent:
		p.use(e.Server)
	case Removed:
		p.remove(e.Server)
	case Finished, Reported:
	}
}

func (p *ProbeBased) remove(server string) {
	p.pool = slices.DeleteFunc(p.pool, func(r result) bool { return r.server == server })
}

// Probes implements Policy.
func (p *ProbeBased) Probes(r Request) []string {
	p.owed += p.config.PerRequest
	count := math.Floor(p.owed)
	p.owed -= count
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
	usable := p.usable(r.Candidates)
	if len(usable) < min(p.config.MinPoolSize, len(r.Candidates)) {
		return (&PowerOfTwo{Loads: p.loads}).Pick(r)
	}
	if len(usable) == 0 {
		return -1
	}
	best := usable[0]
	limit := hotLimit(p.pool, p.config.HotQuantile)
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

// usableResult joins a pool result with its candidate.
type usableResult struct{ pool, candidate int }

func (p *ProbeBased) usable(candidates []Candidate) []usableResult {
	var usable []usableResult
	for i, result := range p.pool {
		at, ok := slices.BinarySearchFunc(candidates, result.server, func(c Candidate, id string) int {
			return compareIDs(c.ID, id)
		})
		if ok {
			usable = append(usable, usableResult{pool: i, candidate: at})
		}
	}
	return usable
}

func (p *ProbeBased) expire(now time.Time) {
	p.pool = slices.DeleteFunc(p.pool, func(r result) bool {
		return now.Sub(r.at) > p.config.MaxAge || r.uses >= p.config.MaxUses
	})
}

// hotLimit returns the requests in flight above which a server is hot.
func hotLimit(pool []result, quantile float64) int {
	counts := make([]int, 0, len(pool))
	for _, r := range pool {
		counts = append(counts, r.load.InFlight)
	}
	slices.Sort(counts)
	at := int(quantile * float64(len(counts)-1))
	return counts[at]
}

// better reports whether load a comes before load b: cold before hot, cold by
// latency, hot by requests in flight.
func better(a, b Load, hotLimit int) bool {
	hotA, hotB := a.InFlight > hotLimit, b.InFlight > hotLimit
	if hotA != hotB {
		return hotB
	}
	if hotA {
		return a.InFlight < b.InFlight
	}
	return a.Latency < b.Latency
}

// use accounts for a request that was sent: the result of the server gets one
// more request in flight, with a proportional latency, and one result is
// dropped.
func (p *ProbeBased) use(server string) {
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

// dropOne drops the worst and the oldest result in turn while the pool has
// more than MinPool results.
func (p *ProbeBased) dropOne() {
	if len(p.pool) <= p.config.MinPoolSize {
		return
	}
	limit := hotLimit(p.pool, p.config.HotQuantile)
	p.dropTurn = !p.dropTurn
	drop := 0
	if p.dropTurn {
		for i := range p.pool {
			if better(p.pool[drop].load, p.pool[i].load, limit) {
				drop = i
			}
		}
	}
	p.pool = slices.Delete(p.pool, drop, drop+1)
}
