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

// Guards against a shutdown that cuts off a request in flight, refuses new ones
// while the platform still sends them, or stays ready.
func TestLeaveServesOn(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	front := newFront(listener, f.gateway, zerolog.Nop())
	go front.accept(func() fleet.Limits { return fleet.Limits{} })
	f.server.URL = "http://" + listener.Addr().String()
	s.SetDelay(300 * time.Millisecond)
	early := make(chan answer, 1)
	go func() {
		a, _ := f.try(t.Context(), http.MethodPost, booking, "early")
		early <- a
	}()
	f.eventually(func() bool { return s.RequestCount() == 1 })
	left := make(chan error, 1)
	go func() { left <- f.gateway.leave(front) }()
	f.eventually(func() bool { ready, _ := f.gateway.Ready(); return !ready })
	late, err := f.try(t.Context(), http.MethodPost, booking, "late")
	require.NoError(t, err)
	require.Equal(t, 200, late.status)
	require.Equal(t, 200, (<-early).status)
	require.NoError(t, <-left)
	_, err = net.Dial("tcp4", listener.Addr().String())
	require.Error(t, err)
}

// Guards against limits of an older configuration for new connections.
func TestLimitsOfTheConfiguration(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	front := newFront(listener, handler, zerolog.Nop())
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

// Guards against leaving servers that get work after the bound on draining, and
// against reads of the servers that no bound asks for.
func TestServersAreReadWithinTheDrainBound(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		interval := serverInterval(&platform.Bounds{DrainTime: drain})
		require.Less(t, interval, drain-drainMargin/2)
		require.Greater(t, interval, drain/4)
	}
	require.Positive(t, serverInterval(&platform.Bounds{}))
}
