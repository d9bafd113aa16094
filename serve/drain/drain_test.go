package drain_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/drain"
)

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a shutdown that does not wait for requests in flight, also after
// a second signal, and against requests that are admitted during the shutdown.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	g := drain.NewGate()
	require.NoError(t, g.Enter())
	require.NoError(t, g.Enter())
	g.Exit()
	g.Terminate()
	g.Terminate()
	require.True(t, g.IsDraining())
	require.True(t, closed(g.Draining()))
	require.True(t, errkind.Is(g.Enter(), errkind.Leaving))
	require.False(t, closed(g.Stopped()))
	g.Exit()
	require.True(t, closed(g.Stopped()))
	require.True(t, errkind.Is(g.Enter(), errkind.Leaving))
}

// Guards against an idle process that does not stop.
func TestIdleProcessStopsAtOnce(t *testing.T) {
	g := drain.NewGate()
	require.NoError(t, g.Enter())
	g.Exit()
	require.False(t, closed(g.Stopped()))
	g.Terminate()
	require.True(t, closed(g.Stopped()))
}

// Guards against a race between the admission of a request and the shutdown:
// Stopped must not be closed before every admitted request has ended.
func TestConcurrentRequestsAndTerminate(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g := drain.NewGate()
		var wg sync.WaitGroup
		terminateAt := rng.IntN(20)
		for i := range 20 {
			wg.Go(func() {
				if i == terminateAt {
					g.Terminate()
					return
				}
				if g.Enter() == nil {
					if closed(g.Stopped()) {
						t.Errorf("seed %d: stopped with a request in flight", seed)
					}
					g.Exit()
				}
			})
		}
		wg.Wait()
		require.True(t, closed(g.Stopped()), "seed %d", seed)
	}
}
