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

// fakeHealthChecker returns the configured error from each health check.
type fakeHealthChecker struct {
	mu     sync.Mutex
	err    error
	checks int
}

func (h *fakeHealthChecker) checkHealth(context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checks++
	return h.err
}

func (h *fakeHealthChecker) set(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
}

func (h *fakeHealthChecker) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checks
}

// Guards against a crash that goes undetected while the requests in flight receive
// no data: they would stay in flight and new ones would be admitted. Also guards
// against periodic health checks that are not made.
func TestPeriodicCheckDetectsCrash(t *testing.T) {
	h := &fakeHealthChecker{}
	c := newAdmissionController(h, "inc", time.Now, zerolog.Nop())
	f := quarantine.Fingerprint{Service: "svc", BodyHash: "x"}
	requestContext, _, err := c.acquire(t.Context(), f, nil)
	require.NoError(t, err)
	h.set(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go c.monitor(ctx, time.Millisecond)
	select {
	case <-requestContext.Done():
	case <-time.After(time.Minute):
		t.Fatal("the request was not cancelled after the crash")
	}
	require.True(t, errkind.Is(context.Cause(requestContext), errkind.BackendFailed))
	_, _, err = c.acquire(t.Context(), quarantine.Fingerprint{}, nil)
	require.True(t, errkind.Is(err, errkind.BackendUnavailable), "%v", err)
	require.Equal(t, uint64(1), c.crashCount(), "a failed health check of a server that is down was counted as a crash")
	h.set(nil)
	before := h.count()
	require.Eventually(t, func() bool { return h.count() > before+1 }, time.Minute, time.Millisecond)
	require.False(t, c.isDown())
	require.Equal(t, quarantine.Alone, c.registry.Handling(time.Now(), f))
}

// Guards against admitting requests to a backend server that does not respond to
// health checks, and against refusing them after a single late response or after
// late responses that are not consecutive. Late responses are not crashes.
func TestThreeLateChecksRefuseNewRequests(t *testing.T) {
	h := &fakeHealthChecker{}
	c := newAdmissionController(h, "inc", time.Now, zerolog.Nop())
	requestContext, _, err := c.acquire(t.Context(), quarantine.Fingerprint{}, nil)
	require.NoError(t, err)
	for _, late := range []bool{true, true, false, true, true} {
		h.set(nil)
		if late {
			h.set(context.DeadlineExceeded)
		}
		c.runPeriodicCheck(t.Context())
		require.False(t, c.isDown())
	}
	c.runPeriodicCheck(t.Context())
	require.True(t, c.isDown())
	_, _, err = c.acquire(t.Context(), quarantine.Fingerprint{}, nil)
	require.True(t, errkind.Is(err, errkind.BackendUnavailable), "%v", err)
	require.Zero(t, c.crashCount())
	require.NoError(t, requestContext.Err())
	h.set(nil)
	c.runPeriodicCheck(t.Context())
	require.False(t, c.isDown())
}

func (c *admissionController) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.health.machine.State()
	return state == "down" || state == "recovering"
}

func (c *admissionController) crashCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}
