package routing

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// Parameters of the retry experiment: 10 servers at 0.7 of their capacity. For
// 30 s, 3 of them fail each request after its service time. With three attempts
// per request the load would be 1 during the fault.
const (
	retryServers   = 10
	retryFailing   = 3
	retryLoad      = 0.7
	retryService   = 50 * time.Millisecond
	retryDeadline  = time.Second
	attemptTimeout = 500 * time.Millisecond
	faultStart     = 30 * time.Second
	faultEnd       = 60 * time.Second
	retryDuration  = 150 * time.Second
	goodputTarget  = 0.95
)

// RetryResult holds the results of one retry setting.
type RetryResult struct {
	Setting string `json:"setting"`
	// AttemptsPerRequest is the average over the whole run, WorstSecondAttempts
	// the largest value of any second.
	AttemptsPerRequest  float64 `json:"attempts_per_request"`
	AttemptsDuringFault float64 `json:"attempts_per_request_during_fault"`
	WorstSecondAttempts float64 `json:"worst_attempts_per_request_in_one_second"`
	// Goodput is the share of requests answered within their deadline: before
	// the fault, during it, and in the last 30 s of the run.
	GoodputBefore      float64 `json:"goodput_before"`
	GoodputDuringFault float64 `json:"goodput_during_fault"`
	GoodputAfter       float64 `json:"goodput_after"`
	// RecoverySeconds is the time from the end of the fault to the last second
	// with a goodput below 95%; -1 if it lasts to the end of the run.
	RecoverySeconds float64 `json:"recovery_seconds"`
}

// retryRun simulates one entry in front of servers with FIFO queues. A server
// also processes requests whose callers have given up, which lets a retry storm
// sustain itself.
type retryRun struct {
	clock            *clock
	rng              *rand.Rand
	budget           *retry.Budget
	overloadFeedback bool
	freeAt           [retryServers]time.Time
	secondCounters
}

// retryCall is one simulated request.
type retryCall struct {
	arrived time.Time
	second  int
	done    bool
}

func newRetryRun(seed uint64, config retry.Config, overloadFeedback bool) *retryRun {
	return &retryRun{
		clock: newClock(), rng: newRand(seed, 1), budget: retry.NewBudget(config), overloadFeedback: overloadFeedback,
		secondCounters: newSecondCounters(),
	}
}

func (r *retryRun) second() int { return int(r.clock.elapsed() / time.Second) }

func (r *retryRun) arrive() {
	c := &retryCall{arrived: r.clock.now, second: r.second()}
	r.requests[c.second]++
	r.budget.RecordFirstAttempt()
	r.attempt(c, 1)
}

// pick chooses the server with the shorter queue of two random servers.
func (r *retryRun) pick() int {
	a, b := r.rng.IntN(retryServers), r.rng.IntN(retryServers)
	if r.freeAt[b].Before(r.freeAt[a]) {
		return b
	}
	return a
}

// attempt sends one attempt, which ends with success, a server failure or a
// timeout, whichever comes first.
func (r *retryRun) attempt(c *retryCall, number int) {
	r.attempts[r.second()]++
	i := r.pick()
	begin := r.clock.now
	if r.freeAt[i].After(begin) {
		begin = r.freeAt[i]
	}
	service := seconds(retryService.Seconds() * r.rng.ExpFloat64())
	r.freeAt[i] = begin.Add(service)
	ended := false
	r.clock.after(r.freeAt[i].Sub(r.clock.now), func() {
		if ended {
			return
		}
		ended = true
		if i < retryFailing && r.faultActive() {
			r.failed(c, number, errkind.New(errkind.BackendFailed, "server %d", i))
			return
		}
		r.succeeded(c)
	})
	r.clock.after(attemptTimeout, func() {
		if ended {
			return
		}
		ended = true
		if r.overloadFeedback {
			r.budget.RecordOverload(r.clock.now)
		}
		r.failed(c, number, errkind.New(errkind.StreamIncomplete, "no answer from server %d", i))
	})
}

func (r *retryRun) faultActive() bool {
	return r.clock.elapsed() >= faultStart && r.clock.elapsed() < faultEnd
}

func (r *retryRun) succeeded(c *retryCall) {
	if !c.done && r.clock.now.Sub(c.arrived) <= retryDeadline {
		r.answeredInTime[c.second]++
	}
	c.done = true
}

func (r *retryRun) failed(c *retryCall, number int, err error) {
	d := r.budget.Decide(r.clock.now, retry.Attempt{
		Err: err, Number: number, Idempotent: true, Deadline: c.arrived.Add(retryDeadline),
	}, r.rng)
	if d.Retry {
		r.clock.after(d.Delay, func() { r.attempt(c, number+1) })
	}
}

func ratioOf(a, b []float64, from, to time.Duration) float64 {
	x, y := 0.0, 0.0
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		x += a[s]
		y += b[s]
	}
	return x / y
}

func (r *retryRun) run(setting string) RetryResult {
	rate := retryLoad * retryServers / retryService.Seconds()
	r.clock.poissonArrivals(r.rng, rate, r.arrive)
	r.clock.run(retryDuration)
	return r.summarise(setting, faultEnd)
}

// secondCounters counts requests and timely answers by the second in which the
// request arrived, and attempts by the second in which they were sent.
type secondCounters struct {
	requests       []float64
	attempts       []float64
	answeredInTime []float64
}

func newSecondCounters() secondCounters {
	n := int(retryDuration/time.Second) + 1
	return secondCounters{requests: make([]float64, n), attempts: make([]float64, n), answeredInTime: make([]float64, n)}
}

// summarise returns the results of a run whose fault lasted from faultStart to
// ended.
func (r *secondCounters) summarise(setting string, ended time.Duration) RetryResult {
	// Requests of the last seconds may still be in progress.
	end := retryDuration - 5*time.Second
	result := RetryResult{
		Setting:             setting,
		AttemptsPerRequest:  ratioOf(r.attempts, r.requests, 0, end),
		AttemptsDuringFault: ratioOf(r.attempts, r.requests, faultStart, ended),
		GoodputBefore:       ratioOf(r.answeredInTime, r.requests, 5*time.Second, faultStart),
		GoodputDuringFault:  ratioOf(r.answeredInTime, r.requests, faultStart, ended),
		GoodputAfter:        ratioOf(r.answeredInTime, r.requests, end-30*time.Second, end),
	}
	for s := time.Duration(0); s < end; s += time.Second {
		result.WorstSecondAttempts = max(result.WorstSecondAttempts, ratioOf(r.attempts, r.requests, s, s+time.Second))
		if s >= ended && ratioOf(r.answeredInTime, r.requests, s, s+time.Second) < goodputTarget {
			result.RecoverySeconds = (s + time.Second - ended).Seconds()
		}
	}
	if ended+seconds(result.RecoverySeconds) >= end {
		result.RecoverySeconds = -1
	}
	return result
}

func withoutBudget() retry.Config {
	config := retry.DefaultConfig()
	config.Ratio = float64(config.MaxAttempts)
	config.Burst = 1e9
	return config
}

func runRetry(seed uint64) []RetryResult {
	config := retry.DefaultConfig()
	none := config
	none.MaxAttempts = 1
	return []RetryResult{
		newRetryRun(seed, none, true).run("no retries"),
		newRetryRun(seed, withoutBudget(), false).run("no budget"),
		newRetryRun(seed, config, false).run("budget"),
		newRetryRun(seed, config, true).run("budget, none in overload"),
	}
}

func printRetry(p *errWriter, title string, results []RetryResult) {
	if len(results) == 0 {
		return
	}
	p.printLine("\n%-26s%10s%10s%11s%9s%9s%9s%12s", title, "attempts", "in fault", "worst 1 s", "before", "fault", "after", "recovery s")
	for _, x := range results {
		p.printLine("%-26s%10.3f%10.3f%11.3f%8.1f%%%8.1f%%%8.1f%%%12.0f", x.Setting, x.AttemptsPerRequest, x.AttemptsDuringFault, x.WorstSecondAttempts,
			100*x.GoodputBefore, 100*x.GoodputDuringFault, 100*x.GoodputAfter, x.RecoverySeconds)
	}
}
