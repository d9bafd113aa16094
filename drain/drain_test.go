package drain_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/drain"
	"github.com/filbertmux/filbertmux/errkind"
)

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a shutdown that cuts off a request in flight, also on a
// second signal, and against work accepted after the shutdown started.
func TestTerminateWaitsForRequestsInFlight(t *testing.T) {
	d := drain.New()
	require.NoError(t, d.Begin())
	d.Terminate()
	d.Terminate()
	require.True(t, d.IsLeaving())
	require.False(t, closed(d.Stopped()))
	err := d.Begin()
	require.True(t, errkind.Is(err, errkind.Leaving))
	require.Equal(t, errkind.NotRun, errkind.Of(err).Execution)
	d.End()
	require.True(t, closed(d.Stopped()))
	require.True(t, errkind.Is(d.Begin(), errkind.Leaving))
}

// Guards against a shutdown of an idle process that never finishes.
func TestTerminateWhenIdleStopsAtOnce(t *testing.T) {
	d := drain.New()
	d.Terminate()
	require.True(t, closed(d.Stopped()))
	d.Terminate()
}

// Guards against a race between accepting a request and the shutdown: every
// accepted request ends before Stopped is closed.
func TestConcurrentRequestsAndTerminate(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := drain.New()
		var wg sync.WaitGroup
		terminator := rng.IntN(20)
		for i := range 20 {
			wg.Go(func() {
				if i == terminator {
					d.Terminate()
					return
				}
				if d.Begin() == nil {
					require.False(t, closed(d.Stopped()), "seed %d", seed)
					d.End()
				}
			})
		}
		wg.Wait()
		require.True(t, closed(d.Stopped()), "seed %d", seed)
	}
}
