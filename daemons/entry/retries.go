package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/serve/retry"
)

// retryBudgets holds the retry budget of each service. It is safe for concurrent
// use: one mutex, held for one decision at a time, guards the budgets and the
// random number generator.
type retryBudgets struct {
	now func() time.Time

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	rng     *rand.Rand
}

func newRetryBudgets(rng *rand.Rand, now func() time.Time) *retryBudgets {
	return &retryBudgets{now: now, budgets: make(map[string]*retry.Budget), rng: rng}
}

// recordFirstAttempt records the first attempt of a request.
func (r *retryBudgets) recordFirstAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordFirstAttempt()
}

// recordOverload records a sign that the service is overloaded.
func (r *retryBudgets) recordOverload(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordOverload(r.now())
}

// decide decides whether a failed attempt is retried, and takes a retry from the
// budget.
func (r *retryBudgets) decide(service string, a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Decide(r.now(), a, r.rng)
}

// budget returns the budget of a service. The number of budgets is bounded
// because the service names come from the table. The caller holds mu.
func (r *retryBudgets) budget(service string) *retry.Budget {
	b, ok := r.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.DefaultConfig())
		r.budgets[service] = b
	}
	return b
}
