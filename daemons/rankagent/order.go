package rankagent

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// orderPatience is the time after which an order without an answer is sent
	// again. Ranks answer within a few ms, and the group may be held meanwhile.
	orderPatience = 20 * time.Millisecond
	// maxOrderSends bounds how often one order is sent. With a third of the
	// answers lost, all of them are in one of 240 orders.
	maxOrderSends = 5
)

// rankOrderer gives orders to one rank.
type rankOrderer interface {
	Order(ctx context.Context, o switchover.Order, fence int64, layers [][][]int32) (platform.OrderResult, error)
}

type orderResult struct {
	reply platform.OrderResult
	err   error
}

// orderRank gives an order and sends it again while no answer comes. The load
// that it answers is a held group whose ranks lose orders: each wait for a
// time-out keeps all streams of the group from their next event. A second copy
// of an order does no harm: the state that it asks for already holds, or the
// step, version or epoch that it names has passed.
func orderRank(
	ctx context.Context, rank rankOrderer, o switchover.Order, fence int64, layers [][][]int32,
) (platform.OrderResult, error) {
	results := make(chan orderResult, maxOrderSends)
	send := func() {
		reply, err := rank.Order(ctx, o, fence, layers)
		results <- orderResult{reply: reply, err: err}
	}
	timer := time.NewTimer(orderPatience)
	defer timer.Stop()
	go send()
	for sent, failed := 1, 0; ; {
		again := false
		select {
		case r := <-results:
			if r.err == nil {
				return r.reply, nil
			}
			if failed++; failed == maxOrderSends || failed == sent && ctx.Err() != nil {
				return platform.OrderResult{}, r.err
			}
			again = failed == sent
		case <-timer.C:
			again = true
		}
		if again && sent < maxOrderSends {
			go send()
			sent++
			timer.Reset(orderPatience)
		}
	}
}
