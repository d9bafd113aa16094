package claims

import (
	"context"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/claim"
	"github.com/filbertmux/filbertmux/serve/claimlog"
)

// executor runs bookings at most once per key.
type executor interface {
	Run(ctx context.Context, r claim.Request, run claimlog.RunFunc) (claim.Answer, error)
}

// boundExecutor is the alternative without a log: a ticket binds a key to one
// sidecar incarnation, which keeps the outcomes in memory. Another incarnation
// cannot know whether the key ran.
type boundExecutor struct {
	mu      sync.Mutex
	tickets map[string]bool
	answers map[string]claim.Answer
}

func newBoundExecutor() *boundExecutor {
	return &boundExecutor{tickets: make(map[string]bool), answers: make(map[string]claim.Answer)}
}

// IssueTicket binds key to this incarnation. In a deployment it would cost the
// caller one round trip.
func (b *boundExecutor) IssueTicket(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tickets[key] = true
}

// Run implements executor.
func (b *boundExecutor) Run(ctx context.Context, r claim.Request, run claimlog.RunFunc) (claim.Answer, error) {
	b.mu.Lock()
	answer, done := b.answers[r.Key]
	ticket := b.tickets[r.Key]
	delete(b.tickets, r.Key)
	b.mu.Unlock()
	if done {
		return answer, nil
	}
	if !ticket {
		return claim.Answer{}, errkind.New(errkind.OutcomeUnknown, "the ticket was issued by another incarnation or has been used")
	}
	answer, err := run(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[r.Key] = answer
	return answer, err
}
