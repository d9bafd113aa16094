package rankagent

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// resendDelay is the time after which an unanswered order is sent again. Ranks
	// answer within a few ms, and the group may be held meanwhile.
	resendDelay = 20 * time.Millisecond
	// maxOrderSends bounds how often an order is sent. If a third of the answers is
	// lost, one order in 240 gets no answer.
	maxOrderSends = 5
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

// orderRank sends an order up to maxOrderSends times until an answer arrives. It resends
// the order after resendDelay, or at once if all attempts so far have failed. Without
// this, the streams of a held group whose ranks lose orders would wait for their next
// event until a timeout. Orders are idempotent: a repeated order finds the requested
// state in place, or names a step, version or epoch that has passed.
func orderRank(
	ctx context.Context, rank rankOrderer, o switchover.Order, fence int64, layers [][][]int32,
) (platform.OrderResult, error) {
	results := make(chan orderResult, maxOrderSends)
	send := func() {
		reply, err := rank.Order(ctx, o, fence, layers)
		results <- orderResult{reply: reply, err: err}
	}
	timer := time.NewTimer(resendDelay)
	defer timer.Stop()
	go send()
	for sent, failed := 1, 0; ; {
		resend := false
		select {
		case r := <-results:
			if r.err == nil {
				return r.reply, nil
			}
			if failed++; failed == maxOrderSends || failed == sent && ctx.Err() != nil {
				return platform.OrderResult{}, r.err
			}
			resend = failed == sent
		case <-timer.C:
			resend = true
		}
		if resend && sent < maxOrderSends {
			go send()
			sent++
			timer.Reset(resendDelay)
		}
	}
}
