// Package retry decides whether a failed attempt may be retried on another
// backend server, and bounds the number of retries.
//
// The package is deterministic: time and random source are passed in, and it
// has no goroutines and no I/O. A Budget belongs to one service at one entry and
// is not safe for concurrent use. IsRetryable is a pure function.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Config holds the retry settings of a service.
type Config struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries in the budget. It lets a service
	// with little traffic retry at all: attempts <= (1+Ratio)*requests + Burst.
	Burst float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// BaseDelay and MaxDelay bound the jittered delay: the k-th retry waits
	// between 0 and min(MaxDelay, BaseDelay*2^(k-1)).
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// OverloadBackoff is the time without retries after a sign of overload.
	OverloadBackoff time.Duration
}

// DefaultConfig returns a configuration that bounds the attempts to 1.1 per
// request, apart from the burst.
func DefaultConfig() Config {
	return Config{
		Ratio:           0.1,
		Burst:           10,
		MaxAttempts:     3,
		BaseDelay:       20 * time.Millisecond,
		MaxDelay:        time.Second,
		OverloadBackoff: 2 * time.Second,
	}
}

// Attempt describes a failed attempt.
type Attempt struct {
	Err error
	// Number counts the attempts of the request so far, from 1.
	Number     int
	Idempotent bool
	// ResponseStarted is set if the caller already got a part of the response.
	ResponseStarted bool
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
}

// Reason tells why an attempt is or isn't retried.
type Reason string

// Reasons of a Decision.
const (
	RetryAllowed      Reason = "repeat"
	NotRetryable      Reason = "not_repeatable"
	AttemptsExhausted Reason = "attempts_used"
	ServiceOverload   Reason = "service_overload"
	BudgetExhausted   Reason = "budget_used"
	DeadlineTooClose  Reason = "deadline_too_close"
)

// Decision tells whether a failed attempt is retried. Delay is set if Retry is
// true.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// IsRetryable reports whether retrying the attempt on another backend server is
// correct and can help. A non-idempotent request is retryable only if it provably
// did not run. No request is retryable once the caller got a part of the response,
// because a model may generate a different one the second time.
func IsRetryable(a Attempt) bool {
	if a.Err == nil || a.ResponseStarted {
		return false
	}
	e := errkind.Of(a.Err)
	if e.Execution == errkind.Done || !dependsOnServer(e.Kind) {
		return false
	}
	return a.Idempotent || e.Execution == errkind.NotRun
}

// dependsOnServer reports whether an error of this kind depends on the backend
// server. The others depend on the request, its organisation or a component that
// all servers share.
func dependsOnServer(k errkind.Kind) bool {
	switch k {
	case errkind.Leaving, errkind.BackendUnavailable, errkind.BackendFailed,
		errkind.StreamIncomplete, errkind.StaleTable, errkind.OutcomeUnknown, errkind.Internal:
		return true
	default:
		return false
	}
}

// Budget is the retry budget of one service at one entry.
type Budget struct {
	config       Config
	tokens       float64
	overloadedAt time.Time
}

// NewBudget returns a full budget.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, tokens: config.Burst}
}

// SetBurst changes the maximum number of retries in the budget. It is used when
// the number of instances that share a budget changes.
func (b *Budget) SetBurst(burst float64) {
	b.config.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// RecordFirstAttempt adds Ratio to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.config.Burst, b.tokens+b.config.Ratio)
}

// RecordOverload records that the service is overloaded: a backend server
// reported it, the queue refused a request, or a request missed its deadline in
// the queue.
func (b *Budget) RecordOverload(now time.Time) { b.overloadedAt = now }

// Overloaded reports whether the service was overloaded lately, so that nothing is retried.
func (b *Budget) Overloaded(now time.Time) bool {
	return !b.overloadedAt.IsZero() && now.Sub(b.overloadedAt) < b.config.OverloadBackoff
}

// Left returns the number of retries in the budget, and the maximum.
func (b *Budget) Left() (retries, burst float64) { return b.tokens, b.config.Burst }

// Decide decides whether a failed attempt is retried. A retry is charged to the
// budget.
func (b *Budget) Decide(now time.Time, a Attempt, rng *rand.Rand) Decision {
	if !IsRetryable(a) {
		return Decision{Reason: NotRetryable}
	}
	if a.Number >= b.config.MaxAttempts {
		return Decision{Reason: AttemptsExhausted}
	}
	if b.Overloaded(now) {
		return Decision{Reason: ServiceOverload}
	}
	if b.tokens < 1 {
		return Decision{Reason: BudgetExhausted}
	}
	delay := b.jitteredDelay(a.Number, rng)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Decision{Reason: DeadlineTooClose}
	}
	b.tokens--
	return Decision{Retry: true, Delay: delay, Reason: RetryAllowed}
}

func (b *Budget) jitteredDelay(number int, rng *rand.Rand) time.Duration {
	maxDelay := b.config.BaseDelay
	for k := 1; k < number && maxDelay < b.config.MaxDelay; k++ {
		maxDelay *= 2
	}
	maxDelay = min(maxDelay, b.config.MaxDelay)
	return time.Duration(rng.Float64() * float64(maxDelay))
}
