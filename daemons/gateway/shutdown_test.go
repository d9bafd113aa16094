package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a shutdown that aborts a request in flight, rejects new requests
// while the platform still sends them, or leaves the gateway ready.
func TestGracefulShutdown(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	front := newFrontend(listener, f.gateway, zerolog.Nop())
	go front.accept(func() fleet.Limits { return fleet.Limits{} })
	f.server.URL = "http://" + listener.Addr().String()
	s.SetDelay(300 * time.Millisecond)
	early := make(chan response, 1)
	go func() {
		resp, _ := f.trySend(t.Context(), http.MethodPost, bookingPath, "early")
		early <- resp
	}()
	f.eventually(func() bool { return s.RequestCount() == 1 })
	done := make(chan error, 1)
	go func() { done <- f.gateway.shutdown(front) }()
	f.eventually(func() bool { ready, _ := f.gateway.Ready(); return !ready })
	late, err := f.trySend(t.Context(), http.MethodPost, bookingPath, "late")
	require.NoError(t, err)
	require.Equal(t, 200, late.status)
	require.Equal(t, 200, (<-early).status)
	require.NoError(t, <-done)
	_, err = net.Dial("tcp4", listener.Addr().String())
	require.Error(t, err)
}

// Guards against applying the limits of an older configuration to new
// connections.
func TestNewConnectionsUseCurrentLimits(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	front := newFrontend(listener, handler, zerolog.Nop())
	limits := make(chan fleet.Limits, 2)
	limits <- fleet.Limits{MaxHeaderBytes: 1 << 20}
	limits <- fleet.Limits{MaxHeaderBytes: 1024}
	go front.accept(func() fleet.Limits { return <-limits })
	for _, want := range []int{200, 431} {
		req, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
		require.NoError(t, err)
		req.Header.Set("X-Long", strings.Repeat("x", 8000))
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		require.NoError(t, err)
		require.Equal(t, want, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
	require.NoError(t, front.shutdown(t.Context()))
}

// Guards against requests to draining servers after the drain bound, and against
// reading the servers more often than the bound requires.
func TestServerIntervalWithinDrainBound(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		interval := serverInterval(&platform.Bounds{DrainTime: drain})
		require.Less(t, interval, drain-drainMargin/2)
		require.Greater(t, interval, drain/4)
	}
	require.Positive(t, serverInterval(&platform.Bounds{}))
}
