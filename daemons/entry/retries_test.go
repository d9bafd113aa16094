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

// Guards against retries that multiply the load of a service that fails: at
// most 1.1 attempts a request after the initial burst of 10.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	failed := failing(errkind.New(errkind.BackendFailed, "reset"))
	a, b := newFakeSidecar(t, "a", failed), newFakeSidecar(t, "b", failed)
	f := newFixture(t, a, b)
	for range 60 {
		require.Equal(t, "backend_failed", f.complete(t).refusal(t).Kind)
	}
	attempts := a.count() + b.count()
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
	require.Equal(t, "backend_failed", newFixture(t, a, b).complete(t).refusal(t).Kind)
	require.Equal(t, 1, a.count()+b.count())
}

// Guards against an overload of one service that stops the retries of another,
// or that stops them for ever, and against retries without jitter.
func TestOverloadHoldsOneServiceForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRetries(rand.New(rand.NewPCG(1, 1)), func() time.Time { return now })
	attempt := retry.Attempt{Err: errkind.New(errkind.BackendFailed, ""), Number: 1, Idempotent: true}
	r.overloaded("text-desk")
	require.Equal(t, retry.ServiceOverload, r.decide("text-desk", attempt).Reason)
	first := r.decide("order-book", attempt)
	require.True(t, first.Retry)
	require.NotEqual(t, first.Delay, r.decide("order-book", attempt).Delay)
	now = now.Add(retry.DefaultConfig().OverloadBackoff)
	require.True(t, r.decide("text-desk", attempt).Retry)
}

// Guards against retries for a service whose sidecar has no place left.
func TestFullSidecarStopsRetries(t *testing.T) {
	f := newFixture(t, newFakeSidecar(t, "a", failing(errkind.New(errkind.QueueFull, "no place"))))
	now := time.Now()
	f.entry.dispatcher.retries.now = func() time.Time { return now }
	f.complete(t)
	failed := retry.Attempt{Err: errkind.New(errkind.BackendFailed, ""), Number: 1, Idempotent: true}
	require.Equal(t, retry.ServiceOverload, f.entry.dispatcher.retries.decide("text-desk", failed).Reason)
}
