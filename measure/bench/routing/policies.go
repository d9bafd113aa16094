package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	decide "github.com/filbertmux/filbertmux/balance/routing"
)

// Parameters of the policies experiment.
const (
	meanOutput                  = 480.0
	outputSigma                 = 1.2
	meanPrompt                  = 300.0
	promptSigma                 = 1.0
	prefixTokens                = 900.0
	prefixesPerReplica          = 100
	prefixZipf                  = 1.1
	requestsPerSecondPerReplica = 2.5
	slowReplicaShare            = 0.08
	slowdownFactor              = 2.0
	policyDuration              = 150 * time.Second
	warmUp                      = 75 * time.Second
	domains                     = 3
	sameDomainLatency           = 100 * time.Microsecond
	crossDomainLatency          = 500 * time.Microsecond
	probeBytes                  = 495 // request and response with HTTP headers, measured by filbertmux-bench capacity
	reportBytes                 = 24  // Load message within a chunk
	maxReportAge                = 5 * time.Second
	maxTTFTMicros               = int64(10 * time.Minute / time.Microsecond)
	histogramDigits             = 3
)

// scale is the number of replicas and of the entries in front of them.
type scale struct{ replicas, entries int }

// scaleOf returns 4 entries for up to 12 replicas, and one entry for each two
// replicas above that.
func scaleOf(replicas int) scale {
	if replicas <= 12 {
		return scale{replicas, 4}
	}
	return scale{replicas, replicas / 2}
}

// PolicyResult holds the results of one policy at one scale.
type PolicyResult struct {
	Replicas int    `json:"replicas"`
	Entries  int    `json:"entries"`
	Policy   string `json:"policy"`
	// P50Millis and P99Millis are the time to first token, from the arrival at
	// the entry.
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	// PrefixHitShare is the share of requests whose prefix was cached.
	PrefixHitShare        float64 `json:"prefix_hits"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second_per_entry"`
	// InFlightSkew is the maximum over the mean number of requests in flight
	// per replica, averaged over the run.
	InFlightSkew float64 `json:"in_flight_skew"`
}

// policyBuilder returns the policy of one entry.
type policyBuilder func(loads *decide.LoadTable, domain string) decide.Policy

func probeBased(loads *decide.LoadTable) decide.Policy {
	return decide.NewProbeBased(decide.DefaultProbeConfig(), loads)
}

func withPrefix(loads *decide.LoadTable, inner decide.Policy) decide.Policy {
	return &decide.PrefixAffinity{Config: decide.DefaultAffinityConfig(), Inner: inner, Loads: loads}
}

func withDomain(loads *decide.LoadTable, domain string, inner decide.Policy) decide.Policy {
	cost := 2 * (crossDomainLatency - sameDomainLatency)
	return &decide.DomainPreference{Domain: domain, CrossDomainCost: cost, Inner: inner, Loads: loads}
}

var policyBuilders = []policyBuilder{
	func(*decide.LoadTable, string) decide.Policy { return &decide.RoundRobin{} },
	func(l *decide.LoadTable, _ string) decide.Policy { return &decide.LeastReported{Loads: l} },
	func(l *decide.LoadTable, _ string) decide.Policy { return &decide.PowerOfTwo{Loads: l} },
	func(l *decide.LoadTable, _ string) decide.Policy { return probeBased(l) },
	func(l *decide.LoadTable, _ string) decide.Policy { return withPrefix(l, &decide.PowerOfTwo{Loads: l}) },
	func(l *decide.LoadTable, _ string) decide.Policy { return withPrefix(l, probeBased(l)) },
	func(l *decide.LoadTable, d string) decide.Policy { return withDomain(l, d, probeBased(l)) },
	func(l *decide.LoadTable, d string) decide.Policy {
		return withDomain(l, d, withPrefix(l, probeBased(l)))
	},
	func(l *decide.LoadTable, d string) decide.Policy {
		return withPrefix(l, withDomain(l, d, probeBased(l)))
	},
}

func runPolicies(seed uint64, replicas []int, run func(string, func())) []PolicyResult {
	results := make([]PolicyResult, len(replicas)*len(policyBuilders))
	for s, n := range replicas {
		size := scaleOf(n)
		for v, build := range policyBuilders {
			at := s*len(policyBuilders) + v
			run("policies", func() { results[at] = newPolicyRun(seed, size, build).run() })
		}
	}
	return results
}

// policyRun simulates one policy at one scale.
type policyRun struct {
	clock        *clock
	rng          *rand.Rand
	size         scale
	replicas     []*replica
	candidates   []decide.Candidate
	replicaIndex map[string]int
	entries      []*entry
	zipf         *rand.Zipf
	ttft         *hdrhistogram.Histogram
	requests     int
	hits         int
	controlBytes float64
	skewSum      float64
	skewSamples  int
}

type entry struct {
	policy decide.Policy
	domain string
	rng    *rand.Rand
}

func domainName(i int) string { return string(rune('a' + i%domains)) }

func newPolicyRun(seed uint64, size scale, build policyBuilder) *policyRun {
	t := &policyRun{
		clock: newClock(), rng: newRand(seed, 1), size: size, replicaIndex: make(map[string]int),
		ttft: hdrhistogram.New(1, maxTTFTMicros, histogramDigits),
	}
	t.zipf = rand.NewZipf(newRand(seed, 2), prefixZipf, 1, uint64(prefixesPerReplica*size.replicas))
	for i := range size.replicas {
		slow := 1.0
		if i%int(math.Round(1/slowReplicaShare)) == 1 {
			slow = slowdownFactor
		}
		t.replicas = append(t.replicas, newReplica(t.clock, slow))
		c := decide.Candidate{ID: fmt.Sprintf("replica-%03d", i), FailureDomain: domainName(i)}
		t.candidates = append(t.candidates, c)
		t.replicaIndex[c.ID] = i
	}
	for i := range size.entries {
		loads := decide.NewLoadTable(maxReportAge)
		domain := domainName(i)
		t.entries = append(t.entries, &entry{build(loads, domain), domain, newRand(seed, 100+uint64(i))})
	}
	return t
}

func (t *policyRun) run() PolicyResult {
	t.clock.poissonArrivals(t.rng, requestsPerSecondPerReplica*float64(t.size.replicas), t.arrive)
	t.clock.every(time.Second, t.sampleSkew)
	t.clock.run(policyDuration)
	measured := (policyDuration - warmUp).Seconds() * float64(t.size.entries)
	return PolicyResult{
		Replicas: t.size.replicas, Entries: t.size.entries, Policy: t.entries[0].policy.Name(),
		P50Millis:             float64(t.ttft.ValueAtQuantile(50)) / 1000,
		P99Millis:             float64(t.ttft.ValueAtQuantile(99)) / 1000,
		PrefixHitShare:        float64(t.hits) / float64(t.requests),
		ControlBytesPerSecond: t.controlBytes / measured,
		InFlightSkew:          t.skewSum / float64(t.skewSamples),
	}
}

func (t *policyRun) warmedUp() bool { return t.clock.elapsed() >= warmUp }

// logNormal returns a heavy-tailed size with the given mean.
func logNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

func (t *policyRun) arrive() {
	e := t.entries[t.rng.IntN(len(t.entries))]
	j := &job{
		prefix:       1 + t.zipf.Uint64(),
		prefixTokens: prefixTokens,
		promptTokens: logNormal(t.rng, meanPrompt, promptSigma),
		outputTokens: max(1, logNormal(t.rng, meanOutput, outputSigma)),
	}
	r := decide.Request{Now: t.clock.now, Rand: e.rng, Prefix: j.prefix * 0x9e3779b97f4a7c15, Candidates: t.candidates}
	probes := e.policy.Probes(r)
	for _, id := range probes {
		t.probe(e, id)
	}
	arrived := t.clock.now
	wait := time.Duration(0)
	if len(probes) > 0 {
		wait = 2 * crossDomainLatency
	}
	t.clock.after(wait, func() {
		r.Now = t.clock.now
		t.send(e, j, t.candidates[e.policy.Pick(r)], arrived)
	})
}

func (t *policyRun) countControlBytes(bytes float64) {
	if t.warmedUp() {
		t.controlBytes += bytes
	}
}

func latencyBetween(a, b string) time.Duration {
	if a == b {
		return sameDomainLatency
	}
	return crossDomainLatency
}

func (t *policyRun) probe(e *entry, id string) {
	t.countControlBytes(probeBytes)
	i := t.replicaIndex[id]
	delay := latencyBetween(e.domain, t.candidates[i].FailureDomain)
	t.clock.after(delay, func() {
		load := t.replicas[i].load()
		t.clock.after(delay, func() {
			e.policy.Observe(t.clock.now, decide.Event{Kind: decide.Probed, Server: id, Load: load})
		})
	})
}

func (t *policyRun) send(e *entry, j *job, to decide.Candidate, arrived time.Time) {
	measured := t.warmedUp()
	delay := latencyBetween(e.domain, to.FailureDomain)
	r := t.replicas[t.replicaIndex[to.ID]]
	e.policy.Observe(t.clock.now, decide.Event{Kind: decide.Sent, Server: to.ID})
	report := func(after func()) {
		t.countControlBytes(reportBytes)
		load := r.load()
		t.clock.after(delay, func() {
			e.policy.Observe(t.clock.now, decide.Event{Kind: decide.Reported, Server: to.ID, Load: load})
			after()
		})
	}
	j.onFirstToken = func(hit bool) {
		report(func() {
			if measured {
				t.recordTTFT(t.clock.now.Sub(arrived), hit)
			}
		})
	}
	j.onFinish = func() {
		report(func() {
			e.policy.Observe(t.clock.now, decide.Event{Kind: decide.Finished, Server: to.ID})
		})
	}
	t.clock.after(delay, func() { r.submit(j) })
}

func (t *policyRun) recordTTFT(ttft time.Duration, hit bool) {
	t.requests++
	if hit {
		t.hits++
	}
	_ = t.ttft.RecordValue(min(ttft.Microseconds(), maxTTFTMicros))
}

func (t *policyRun) sampleSkew() {
	if !t.warmedUp() {
		return
	}
	most, sum := 0, 0
	for _, r := range t.replicas {
		n := r.streams + len(r.waiting)
		most = max(most, n)
		sum += n
	}
	t.skewSum += float64(most) * float64(len(t.replicas)) / float64(sum)
	t.skewSamples++
}
