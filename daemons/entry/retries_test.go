package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/retry"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// Guards against retries that multiply the load of a failing service: at most 1.1
// attempts per request after the initial burst of 10.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	failed := failingScript(errkind.New(errkind.BackendFailed, "reset"))
	a, b := newFakeSidecar(t, "a", failed), newFakeSidecar(t, "b", failed)
	f := newFixture(t, a, b)
	for range 60 {
		require.Equal(t, "backend_failed", f.complete(t).errorDetail(t).Kind)
	}
	attempts := a.callCount() + b.callCount()
	require.Greater(t, attempts, 60+10)
	require.LessOrEqual(t, attempts, 60+6+10)
}

// Guards against retries while a backend server reports overload.
func TestNoRetryWhileOverloaded(t *testing.T) {
	overloaded := func(out *connect.ServerStream[pb.Chunk], s *stream.Sender) {
		s.End(errkind.New(errkind.BackendFailed, "reset"))
		c := s.Next()
		c.Load = &pb.Load{Overloaded: true}
		_ = out.Send(c)
	}
	a, b := newFakeSidecar(t, "a", overloaded), newFakeSidecar(t, "b", overloaded)
	require.Equal(t, "backend_failed", newFixture(t, a, b).complete(t).errorDetail(t).Kind)
	require.Equal(t, 1, a.callCount()+b.callCount())
}

// Guards against an overload of one service that stops the retries of another
// service or stops them permanently, and against retries without jitter.
func TestOverloadStopsRetriesOfOneService(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRetryBudgets(rand.New(rand.NewPCG(1, 1)), func() time.Time { return now })
	attempt := retry.Attempt{Err: errkind.New(errkind.BackendFailed, ""), Number: 1, Idempotent: true}
	r.recordOverload("text-desk")
	require.Equal(t, retry.ServiceOverload, r.decide("text-desk", attempt).Reason)
	first := r.decide("order-book", attempt)
	require.True(t, first.Retry)
	require.NotEqual(t, first.Delay, r.decide("order-book", attempt).Delay)
	now = now.Add(retry.DefaultConfig().OverloadBackoff)
	require.True(t, r.decide("text-desk", attempt).Retry)
}

// Guards against retries for a service whose sidecar refuses requests because its
// queue is full.
func TestFullSidecarStopsRetries(t *testing.T) {
	f := newFixture(t, newFakeSidecar(t, "a", failingScript(errkind.New(errkind.QueueFull, "the queue is full"))))
	now := time.Now()
	f.entry.dispatcher.retries.now = func() time.Time { return now }
	f.complete(t)
	failed := retry.Attempt{Err: errkind.New(errkind.BackendFailed, ""), Number: 1, Idempotent: true}
	require.Equal(t, retry.ServiceOverload, f.entry.dispatcher.retries.decide("text-desk", failed).Reason)
}
