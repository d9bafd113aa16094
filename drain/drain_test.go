package drain_test

import (
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

// Guards against a shutdown that cuts off a request in flight, also on a second
// signal, and against work that is admitted while leaving.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	g := drain.NewGate()
	require.NoError(t, g.Enter())
	require.NoError(t, g.Enter())
	g.Exit()
	g.Terminate()
	g.Terminate()
	require.True(t, g.IsLeaving())
	require.True(t, closed(g.Leaving()))
	require.True(t, errkind.Is(g.Enter(), errkind.Leaving))
	require.False(t, closed(g.Stopped()))
	g.Exit()
	require.True(t, closed(g.Stopped()))
	require.True(t, errkind.Is(g.Enter(), errkind.Leaving))
}

// Guards against an idle process that never stops.
func TestIdleProcessStopsAtOnce(t *testing.T) {
	g := drain.NewGate()
	require.NoError(t, g.Enter())
	g.Exit()
	require.False(t, closed(g.Stopped()))
	g.Terminate()
	require.True(t, closed(g.Stopped()))
}
