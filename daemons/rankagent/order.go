package rankagent

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// orderRetryDelay is the time after which an order without a response is sent
	// again. Ranks respond within a few ms, and the group may be held meanwhile.
	orderRetryDelay = 20 * time.Millisecond
	// maxOrderAttempts bounds how often an order is sent. If a third of the responses
	// is lost, one order in 240 gets no response.
	maxOrderAttempts = 5
)

// rankOrderer sends orders to one rank.
type rankOrderer interface {
	Order(ctx context.Context, o switchover.Order, fence int64, layers [][][]int32) (platform.OrderResult, error)
}

// orderResult is the result of one attempt to send an order.
type orderResult struct {
	reply platform.OrderResult
	err   error
}

// orderRank sends an order up to maxOrderAttempts times until a response arrives. It
// retries after orderRetryDelay without waiting for the outcome of earlier attempts, or
// at once if all of them have failed. With a retry only after a timeout, each lost order
// would delay all streams of a held group by that timeout. Orders are idempotent: a
// duplicate finds the requested state in place, or names a step, version or epoch that
// has passed.
func orderRank(
	ctx context.Context, rank rankOrderer, o switchover.Order, fence int64, layers [][][]int32,
) (platform.OrderResult, error) {
	results := make(chan orderResult, maxOrderAttempts)
	send := func() {
		reply, err := rank.Order(ctx, o, fence, layers)
		results <- orderResult{reply: reply, err: err}
	}
	timer := time.NewTimer(orderRetryDelay)
	defer timer.Stop()
	go send()
	for sent, failed := 1, 0; ; {
		retry := false
		select {
		case r := <-results:
			if r.err == nil {
				return r.reply, nil
			}
			if failed++; failed == maxOrderAttempts || failed == sent && ctx.Err() != nil {
				return platform.OrderResult{}, r.err
			}
			retry = failed == sent
		case <-timer.C:
			retry = true
		}
		if retry && sent < maxOrderAttempts {
			go send()
			sent++
			timer.Reset(orderRetryDelay)
		}
	}
}
