package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/serve/retry"
)

// retries holds the retry budget of each service. It is safe for concurrent
// use: one mutex guards the budgets and the random source, for one decision at
// a time.
type retries struct {
	now func() time.Time

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	rng     *rand.Rand
}

func newRetries(rng *rand.Rand, now func() time.Time) *retries {
	return &retries{now: now, budgets: make(map[string]*retry.Budget), rng: rng}
}

// firstAttempt notes the first attempt of a request.
func (r *retries) firstAttempt(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordFirstAttempt()
}

// overloaded notes a sign that the service is overloaded.
func (r *retries) overloaded(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordOverload(r.now())
}

// decide decides about a failed attempt. A retry is taken from the budget.
func (r *retries) decide(service string, a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Decide(r.now(), a, r.rng)
}

// budget returns the budget of a service. The names come from the table, which
// bounds their number. The caller holds mu.
func (r *retries) budget(service string) *retry.Budget {
	b, ok := r.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.DefaultConfig())
		r.budgets[service] = b
	}
	return b
}
