// Package retry decides whether a failed attempt may be repeated on another
// backend server, and bounds the number of repetitions.
//
// The package is deterministic: time and random source are passed in, and it
// has no goroutines and no I/O. A Budget belongs to one service at one entry,
// has one owner goroutine and isn't safe for concurrent use. MayRepeat is a
// pure function.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Config holds the retry settings of a service.
type Config struct {
	// Ratio is the number of retries that each first attempt pays for.
	Ratio float64
	// Burst is the most retries that can be saved up. It lets a service with
	// little traffic retry at all: attempts <= (1+Ratio)*requests + Burst.
	Burst float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// BaseDelay and MaxDelay bound the jittered delay: the k-th retry waits
	// between 0 and min(MaxDelay, BaseDelay*2^(k-1)).
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// OverloadHold is the time without retries after a sign of overload.
	OverloadBackoff time.Duration
}

// DefaultConfig keeps the attempts at 1.1 per request.
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
	// AnswerStarted says that the caller already got a part of the answer.
	AnswerStarted bool
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
}

// Reason tells why a retry is or isn't made.
type Reason string

// Reasons of a Decision.
const (
	Repeat           Reason = "repeat"
	NotRepeatable    Reason = "not_repeatable"
	AttemptsUsed     Reason = "attempts_used"
	ServiceOverload  Reason = "service_overload"
	BudgetUsed       Reason = "budget_used"
	DeadlineTooClose Reason = "deadline_too_close"
)

// Decision is the answer to a failed attempt. Delay is set if Repeat is true.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// IsRetryable reports whether repeating the attempt on another backend server is
// correct and can help. A non-idempotent request needs the proof that it did
// not run. An idempotent one needs that the caller got nothing of the answer,
// because a model may answer differently the second time.
func IsRetryable(a Attempt) bool {
	if a.Err == nil || a.AnswerStarted {
		return false
	}
	e := errkind.Of(a.Err)
	if e.Execution == errkind.Done || !helpsElsewhere(e.Kind) {
		return false
	}
	return a.Idempotent || e.Execution == errkind.NotRun
}

// helpsElsewhere lists the kinds that depend on the backend server. The others
// depend on the request, its organisation or a part that all servers share.
func helpsElsewhere(k errkind.Kind) bool {
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

// SetBurst changes the most retries that can be saved up, for a part of a shared
// budget whose sharers became more or fewer.
func (b *Budget) SetBurst(burst float64) {
	b.config.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// RecordFirstAttempt adds the share of one first attempt to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.config.Burst, b.tokens+b.config.Ratio)
}

// RecordOverload notes that the service is overloaded: a backend server said so,
// the queue refused work, or work missed its deadline in the queue.
func (b *Budget) RecordOverload(now time.Time) { b.overloadedAt = now }

// Decide decides about a failed attempt and, if it allows a retry, takes it
// from the budget.
func (b *Budget) Decide(now time.Time, a Attempt, rng *rand.Rand) Decision {
	if !IsRetryable(a) {
		return Decision{Reason: NotRepeatable}
	}
	if a.Number >= b.config.MaxAttempts {
		return Decision{Reason: AttemptsUsed}
	}
	if !b.overloadedAt.IsZero() && now.Sub(b.overloadedAt) < b.config.OverloadBackoff {
		return Decision{Reason: ServiceOverload}
	}
	if b.tokens < 1 {
		return Decision{Reason: BudgetUsed}
	}
	delay := b.delay(a.Number, rng)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Decision{Reason: DeadlineTooClose}
	}
	b.tokens--
	return Decision{Retry: true, Delay: delay, Reason: Repeat}
}

func (b *Budget) delay(number int, rng *rand.Rand) time.Duration {
	ceiling := b.config.BaseDelay
	for k := 1; k < number && ceiling < b.config.MaxDelay; k++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, b.config.MaxDelay)
	return time.Duration(rng.Float64() * float64(ceiling))
}
