package sidecar

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// scriptedHealth answers health checks with the error that is set.
type scriptedHealth struct {
	mu     sync.Mutex
	err    error
	checks int
}

func (h *scriptedHealth) health(context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checks++
	return h.err
}

func (h *scriptedHealth) set(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
}

func (h *scriptedHealth) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checks
}

// Guards against a backend server that dies while its requests are silent and
// that keeps its requests and gets new ones, and against health checks that
// are not made.
func TestPeriodicCheckFindsADeadServer(t *testing.T) {
	h := &scriptedHealth{}
	g := newGuard(h, "inc", time.Now, zerolog.Nop())
	f := quarantine.Fingerprint{Service: "svc", BodyHash: "x"}
	run, _, err := g.enter(t.Context(), f)
	require.NoError(t, err)
	h.set(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go g.watch(ctx, time.Millisecond)
	select {
	case <-run.Done():
	case <-time.After(time.Minute):
		t.Fatal("the request of a dead server goes on")
	}
	require.True(t, errkind.Is(context.Cause(run), errkind.BackendFailed))
	_, _, err = g.enter(t.Context(), quarantine.Fingerprint{})
	require.True(t, errkind.Is(err, errkind.BackendUnavailable), "%v", err)
	require.Equal(t, uint64(1), g.crashCount(), "further checks of a dead server are no crashes")
	h.set(nil)
	before := h.count()
	require.Eventually(t, func() bool { return h.count() > before+1 }, time.Minute, time.Millisecond)
	require.False(t, g.isDown())
	require.Equal(t, quarantine.Alone, g.register.Handling(time.Now(), f))
}

// Guards against new work for a backend server that answers no health check,
// and against one late answer, or late answers apart, that stop new work. Late
// answers are no crash.
func TestThreeLateChecksStopNewWork(t *testing.T) {
	h := &scriptedHealth{}
	g := newGuard(h, "inc", time.Now, zerolog.Nop())
	run, _, err := g.enter(t.Context(), quarantine.Fingerprint{})
	require.NoError(t, err)
	for _, late := range []bool{true, true, false, true, true} {
		h.set(nil)
		if late {
			h.set(context.DeadlineExceeded)
		}
		g.check(t.Context())
		require.False(t, g.isDown())
	}
	g.check(t.Context())
	require.True(t, g.isDown())
	_, _, err = g.enter(t.Context(), quarantine.Fingerprint{})
	require.True(t, errkind.Is(err, errkind.BackendUnavailable), "%v", err)
	require.Zero(t, g.crashCount())
	require.NoError(t, run.Err())
	h.set(nil)
	g.check(t.Context())
	require.False(t, g.isDown())
}

func (g *guard) isDown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.view.machine.State()
	return state == "down" || state == "recovering"
}

func (g *guard) crashCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes
}
