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

// lossyRank sends no response to the first lostResponses orders, and accepts the later
// ones.
type lossyRank struct {
	lostResponses int64
	timeout       time.Duration
	received      atomic.Int64
}

func (r *lossyRank) Order(ctx context.Context, _ switchover.Order, _ int64, _ [][][]int32) (platform.OrderResult, error) {
	if r.received.Add(1) > r.lostResponses {
		return platform.OrderResult{Accepted: true}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.timeout):
	}
	return platform.OrderResult{}, errors.New("no answer")
}

// Guards against a group that stays held for a full timeout whenever an order or its
// response is lost.
func TestLostOrdersAreResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &lossyRank{lostResponses: 2, timeout: 80 * time.Millisecond}
		start := time.Now()
		reply, err := orderRank(t.Context(), rank, switchover.Order{Kind: switchover.Arm}, 1, nil)
		require.NoError(t, err)
		require.True(t, reply.Accepted)
		require.LessOrEqual(t, time.Since(start), 2*orderRetryDelay)
		synctest.Wait()
	})
}

// Guards against an order that is retried forever, and against waiting for
// orderRetryDelay after a refused connection.
func TestOrderStopsAfterMaxSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &lossyRank{lostResponses: 100}
		start := time.Now()
		_, err := orderRank(t.Context(), rank, switchover.Order{}, 1, nil)
		require.Error(t, err)
		require.EqualValues(t, maxOrderAttempts, rank.received.Load())
		require.Less(t, time.Since(start), orderRetryDelay)
	})
}

// Guards against orders of a superseded holder to a rank that doesn't check fencing
// tokens.
func TestAgentRefusesOldHolder(t *testing.T) {
	a := &Agent{}
	require.True(t, a.recordIssuer(7, 2))
	require.False(t, a.recordIssuer(6, 1))
	require.True(t, a.recordIssuer(7, 2))
}

// Guards against a slow holder that arms a rank for a switch that another agent is
// cancelling.
func TestCancelledSwitch(t *testing.T) {
	a := NewAgent(nil, zerolog.Nop())
	arm := switchover.Order{Kind: switchover.Arm, Epoch: 1, Version: 7, Step: 50}
	require.True(t, a.admitOrder(arm))
	cancelOrder := switchover.Order{Kind: switchover.Prepare, Epoch: 1, Version: 1007, CancelsStep: 50}
	require.True(t, a.admitOrder(cancelOrder))
	require.False(t, a.admitOrder(arm))
	r := &pb.ReadRankResponse{Epoch: 1}
	a.addOrderState(r)
	require.Equal(t, switchover.Cancellation{Step: 50}, decodeReport(r).Cancelled, "the rank has not accepted the cancelling order yet")
	a.recordAccepted(cancelOrder)
	a.addOrderState(r)
	require.Equal(t, switchover.Cancellation{Step: 50, Version: 1007}, decodeReport(r).Cancelled)
	arm.Step = 51
	require.True(t, a.admitOrder(arm), "the next switch")
	r = &pb.ReadRankResponse{Epoch: 2}
	a.addOrderState(r)
	require.Zero(t, decodeReport(r).Cancelled)
	arm.Epoch, arm.Step = 2, 10
	require.True(t, a.admitOrder(arm), "the cancellation doesn't apply to another epoch")
}
