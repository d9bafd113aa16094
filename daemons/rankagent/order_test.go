package rankagent

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// lossyRank answers no order until some were lost.
type lossyRank struct {
	losses  int64
	timeout time.Duration
	got     atomic.Int64
}

func (r *lossyRank) Order(ctx context.Context, _ switchover.Order, _ int64, _ [][][]int32) (platform.Reply, error) {
	if r.got.Add(1) > r.losses {
		return platform.Reply{Accepted: true}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.timeout):
	}
	return platform.Reply{}, errors.New("no answer")
}

// Guards against a group that is held for a whole time-out each time a rank loses
// an order.
func TestLostOrdersAreSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &lossyRank{losses: 2, timeout: 80 * time.Millisecond}
		began := time.Now()
		reply, err := orderRank(t.Context(), rank, switchover.Order{Kind: switchover.ArmFor}, 1, nil)
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
