package rankagent

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// lossyRank answers no order until some were lost.
type lossyRank struct {
	losses  int64
	timeout time.Duration
	got     atomic.Int64
}

func (r *lossyRank) Order(ctx context.Context, _ switchover.Order, _ int64, _ [][][]int32) (platform.OrderResult, error) {
	if r.got.Add(1) > r.losses {
		return platform.OrderResult{Accepted: true}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.timeout):
	}
	return platform.OrderResult{}, errors.New("no answer")
}

// Guards against a group that is held for a whole time-out each time a rank loses
// an order.
func TestLostOrdersAreSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &lossyRank{losses: 2, timeout: 80 * time.Millisecond}
		began := time.Now()
		reply, err := orderRank(t.Context(), rank, switchover.Order{Kind: switchover.Arm}, 1, nil)
		require.NoError(t, err)
		require.True(t, reply.Accepted)
		require.LessOrEqual(t, time.Since(began), 2*orderPatience)
		synctest.Wait()
	})
}

// Guards against an order without an end, and against a refused connection that
// is tried only after the patience of a lost order.
func TestOrderGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &lossyRank{losses: 100}
		began := time.Now()
		_, err := orderRank(t.Context(), rank, switchover.Order{}, 1, nil)
		require.Error(t, err)
		require.EqualValues(t, maxOrderSends, rank.got.Load())
		require.Less(t, time.Since(began), orderPatience)
	})
}

// Guards against orders of a superseded holder at a rank that doesn't check them.
func TestAgentRefusesOldHolder(t *testing.T) {
	a := &Agent{}
	require.True(t, a.noteFence(7, 2))
	require.False(t, a.noteFence(6, 1))
	require.True(t, a.noteFence(7, 2))
}

// Guards against a rank that is armed for a switch that another agent has begun to
// undo, by a holder that is only slow.
func TestCancelledSwitch(t *testing.T) {
	a := NewAgent(nil, zerolog.Nop())
	arm := switchover.Order{Kind: switchover.Arm, Epoch: 1, Version: 7, Step: 50}
	require.True(t, a.takes(arm))
	cancel := switchover.Order{Kind: switchover.Prepare, Epoch: 1, Version: 1007, CancelsStep: 50}
	require.True(t, a.takes(cancel))
	require.False(t, a.takes(arm))
	r := &pb.ReadRankResponse{Epoch: 1}
	a.addOrders(r)
	require.Equal(t, switchover.Cancellation{Step: 50}, decodeReport(r).Cancelled, "the rank has not accepted it")
	a.noteAccepted(cancel)
	a.addOrders(r)
	require.Equal(t, switchover.Cancellation{Step: 50, Version: 1007}, decodeReport(r).Cancelled)
	arm.Step = 51
	require.True(t, a.takes(arm), "the next switch")
	r = &pb.ReadRankResponse{Epoch: 2}
	a.addOrders(r)
	require.Zero(t, decodeReport(r).Cancelled)
	arm.Epoch, arm.Step = 2, 10
	require.True(t, a.takes(arm), "steps of another epoch")
}
