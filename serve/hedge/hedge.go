// Package hedge decides when a request gets a second attempt at another backend server
// although its first one hasn't failed, and whether it gets one at all.
//
// It is designed for a few backend servers that answer much slower than the others for
// seconds, with requests that may run more than once and operators who accept some extra
// work. A request without any output after most requests of its kind have some is sent to
// another server as well, and the first of the two with an output wins. Hedges never compete
// with requests that need the capacity, nor with retries after failures: they need spare room
// and more than half of the retry budget, and they stay within a share of the requests.
//
// The package decides whether and when; placement decides where. It is deterministic: the
// time is passed in, nothing is random, and it has no goroutines and no I/O. A Hedger belongs
// to one service at one gateway and isn't safe for concurrent use. Each gateway keeps the
// share for its own requests, and so all of them do.
package hedge

import "time"

const (
	// DoubtfulSlowdown is the slowdown above which a server is in doubt: its requests are
	// hedged earlier, and it gets no hedges. Placement measures slowdowns with steps of up to
	// 0.5, so a single slow response doesn't exceed it.
	DoubtfulSlowdown = 1.5
	// doubtfulFactor is the part of the usual time after which a request on a server in doubt
	// is hedged.
	doubtfulFactor = 0.5
	// maxLoad is the part of the slots below which a service has spare room. Hedges are extra
	// work, and above it a service has little left for the loss of a failure domain.
	maxLoad = 0.7
	// keptRetries is the part of the retry budget that is kept for failures.
	keptRetries = 0.5
)

// Config holds the settings of a Hedger.
type Config struct {
	// Share is the largest number of extra requests for each request. 0 means no hedges.
	Share float64
	// Quantile is the quantile of the recent latencies after which a request is hedged.
	Quantile float64
}

// Reason tells why a request is or isn't hedged.
type Reason string

// Reasons of a decision.
const (
	Allowed Reason = "allowed"
	// NotRetryable means that the request must not run more than once.
	NotRetryable Reason = "not_retryable"
	// TooFewValues means that the usual latency isn't known.
	TooFewValues Reason = "too_few_values"
	// AttemptsUsed means that the request may be sent to no further server.
	AttemptsUsed Reason = "attempts_used"
	// SuspectRequest means that the request may be what crashes servers.
	SuspectRequest Reason = "suspect_request"
	// DeadlineTooClose means that the usual latency exceeds the time left.
	DeadlineTooClose Reason = "deadline_too_close"
	// Overload means that the service refused requests lately.
	Overload Reason = "overload"
	// RequestsWaiting means that requests wait for a slot.
	RequestsWaiting Reason = "requests_waiting"
	// BatchLimited means that the passes of the engines are near their longest time.
	BatchLimited Reason = "batch_limit"
	// NoSpareRoom means that too many slots are taken.
	NoSpareRoom Reason = "no_spare_room"
	// RetriesNeeded means that what is left of the retry budget is kept for failures.
	RetriesNeeded Reason = "retry_budget"
	// ShareUsed means that the service has used its share of extra requests, and
	// RouteShareUsed that the route has.
	ShareUsed      Reason = "share_used"
	RouteShareUsed Reason = "route_share_used"
	// NoServer means that no other server may get a hedge.
	NoServer Reason = "no_server"
)

// Pool is the load of the servers that may run a request.
type Pool struct {
	// InFlight counts the requests of all gateways on servers with this many Slots.
	InFlight, Slots int
	// Waiting counts the requests that wait for a slot.
	Waiting int
	// BatchLimited means that the requests of a batch are limited to fewer than its slots.
	BatchLimited bool
	// Overloaded means that the service as a whole has refused requests lately.
	Overloaded bool
}

// refusal returns why the pool has no room for extra work, or Allowed.
func (p Pool) refusal() Reason {
	switch {
	case p.Overloaded:
		return Overload
	case p.Waiting > 0:
		return RequestsWaiting
	case p.BatchLimited:
		return BatchLimited
	case float64(p.InFlight) >= maxLoad*float64(p.Slots):
		return NoSpareRoom
	default:
		return Allowed
	}
}

// Conditions is what a decision depends on beside the former requests.
type Conditions struct {
	Pool Pool
	// Retries is what is left of the retry budget, and RetryBurst what it holds at most.
	Retries, RetryBurst float64
	// Suspected means that the request may be what crashes servers.
	Suspected bool
	// AttemptsLeft is the number of further servers to which the request may be sent.
	AttemptsLeft int
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
}

// Hedger decides for the requests of one service at one gateway.
type Hedger struct {
	latencies *latencies
	window    *shareWindow
}

// New returns a Hedger that knows no latencies yet.
func New(c Config) *Hedger {
	return &Hedger{latencies: newLatencies(c.Quantile), window: newShareWindow(c.Share)}
}

// RecordRequest records a new request.
func (h *Hedger) RecordRequest(c Candidate) {
	if c.valid {
		h.window.recordRequest(c.key.route)
	}
}

// RecordLatency records the time from the placement of an attempt that isn't a hedge to its
// first output, or to the output of the hedge that has replaced it. The latter is later than
// the quantile, so it counts on the right side, although the attempt would have taken longer.
func (h *Hedger) RecordLatency(now time.Time, c Candidate, took time.Duration) {
	if c.valid {
		h.latencies.observe(now, c.key, took)
	}
}

// Delay returns how long after the placement of its first attempt a request is hedged, by the
// slowdown of the server. It returns false if that isn't known.
func (h *Hedger) Delay(now time.Time, c Candidate, slowdown float64) (time.Duration, bool) {
	if !c.valid {
		return 0, false
	}
	usual, ok := h.latencies.usual(now, c.key)
	if slowdown > DoubtfulSlowdown {
		usual = time.Duration(doubtfulFactor * float64(usual))
	}
	return usual, ok
}

// Decide returns whether a request may be hedged now. It changes nothing: RecordHedge must
// be called if the hedge is made.
func (h *Hedger) Decide(now time.Time, c Candidate, s Conditions) Reason {
	if !c.valid {
		return NotRetryable
	}
	usual, ok := h.latencies.usual(now, c.key)
	switch {
	case !ok:
		return TooFewValues
	case s.AttemptsLeft <= 0:
		return AttemptsUsed
	case s.Suspected:
		return SuspectRequest
	case s.TimeLeft < usual:
		return DeadlineTooClose
	}
	if reason := s.Pool.refusal(); reason != Allowed {
		return reason
	}
	if s.Retries-1 <= keptRetries*s.RetryBurst {
		return RetriesNeeded
	}
	return h.window.check(c.key.route)
}

// RecordHedge records a hedge that Decide has allowed.
func (h *Hedger) RecordHedge(c Candidate) {
	if c.valid {
		h.window.recordHedge(c.key.route)
	}
}
