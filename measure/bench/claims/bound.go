package claims

import (
	"context"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/claim"
	"github.com/filbertmux/filbertmux/serve/claimlog"
)

// executor runs one booking.
type executor interface {
	Run(ctx context.Context, r claim.Request, run claimlog.RunFunc) (claim.Answer, error)
}

// bound is the alternative without a log: a ticket binds a key to one sidecar
// incarnation, which keeps the outcomes in memory. Another incarnation can't
// know whether the key ran.
type bound struct {
	mu      sync.Mutex
	tickets map[string]bool
	done    map[string]claim.Answer
}

func newBound() *bound {
	return &bound{tickets: make(map[string]bool), done: make(map[string]claim.Answer)}
}

// Ticket binds key to this incarnation. The caller pays one round trip.
func (b *bound) Ticket(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tickets[key] = true
}

// Run implements executor.
func (b *bound) Run(ctx context.Context, r claim.Request, run claimlog.RunFunc) (claim.Answer, error) {
	b.mu.Lock()
	answer, done := b.done[r.Key]
	ticket := b.tickets[r.Key]
	delete(b.tickets, r.Key)
	b.mu.Unlock()
	if done {
		return answer, nil
	}
	if !ticket {
		return claim.Answer{}, errkind.New(errkind.OutcomeUnknown, "the ticket belongs to another incarnation or is used")
	}
	answer, err := run(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done[r.Key] = answer
	return answer, err
}
