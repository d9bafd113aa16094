package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/telemetry"
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
	front := newFrontend(listener, f.gateway.connections, f.gateway, zerolog.Nop())
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

// shutdownFixture is a gateway with a listener of its own that is shutting down.
type shutdownFixture struct {
	*fixture
	address string
	started time.Time
	done    chan error
}

// startShutdown begins the shutdown of the gateway after before has run.
func startShutdown(t *testing.T, f *fixture, before func(address string)) *shutdownFixture {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	front := newFrontend(listener, f.gateway.connections, f.gateway, zerolog.Nop())
	go front.accept(func() fleet.Limits { return fleet.Limits{} })
	s := &shutdownFixture{fixture: f, address: listener.Addr().String(), done: make(chan error, 1)}
	f.server.URL = "http://" + s.address
	before(s.address)
	s.started = time.Now()
	go func() { s.done <- f.gateway.shutdown(front) }()
	return s
}

// waitUntilClosed waits until the gateway accepts no more connections.
func (s *shutdownFixture) waitUntilClosed() {
	s.eventually(func() bool {
		conn, err := net.Dial("tcp4", s.address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
}

// bookingHeader is the head of a request that may run once, with a body of five bytes.
func bookingHeader(id string) string {
	h := http.Header{}
	platformtest.WithAttempt(id)(h)
	platformtest.WithKey(platformtest.Key)(h)
	platformtest.WithDeadline("8000")(h)
	var b strings.Builder
	b.WriteString("POST " + bookingPath + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 5\r\n")
	_ = h.Write(&b)
	return b.String() + "\r\n"
}

// Guards against a request that is passed on late in the grace period and then cut without
// a response: on a connection that was opened before the shutdown, and with a body that
// arrives late.
func TestLateRequestsInShutdownAreRefused(t *testing.T) {
	for name, early := range map[string]string{"late request": "", "late body": bookingHeader("a1")} {
		t.Run(name, func(t *testing.T) {
			s := platformtest.NewServer("s1")
			defer s.Close()
			s.SetDelay(1300 * time.Millisecond)
			fixture := newFixture(t, s)
			inFlight := make(chan response, 1)
			var conn net.Conn
			f := startShutdown(t, fixture, func(address string) {
				go func() {
					r, _ := fixture.trySend(t.Context(), http.MethodPost, bookingPath, "in-flight")
					inFlight <- r
				}()
				fixture.eventually(func() bool { return s.RequestCount() == 1 })
				var err error
				conn, err = net.Dial("tcp4", address)
				require.NoError(t, err)
				_, err = conn.Write([]byte(early))
				require.NoError(t, err)
			})
			defer func() { _ = conn.Close() }()
			f.waitUntilClosed()
			_, err := conn.Write([]byte((bookingHeader("a1") + "hello")[len(early):]))
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, "a1", platformtest.AttemptID(resp.Header))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Less(t, time.Since(f.started), bounds().TerminationGrace-abortMargin)
			require.Equal(t, http.StatusOK, (<-inFlight).status)
			require.Equal(t, 1, s.RequestCount())
			require.NoError(t, <-f.done)
		})
	}
}

// closeListener calls closed when one of its connections is closed.
type closeListener struct {
	net.Listener
	closed func()
}

type closeConn struct {
	net.Conn
	closed func()
}

func (l closeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return closeConn{conn, l.closed}, err
}

func (c closeConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// Guards against a request that is passed on although it arrives on an idle connection while
// the shutdown closes it.
func TestIdleConnectionsCloseAfterGate(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	draining := make(chan bool, 1)
	front := newFrontend(closeListener{tcp, func() { draining <- f.gateway.gate.IsDraining() }}, f.gateway.connections, f.gateway, zerolog.Nop())
	go front.accept(func() fleet.Limits { return fleet.Limits{} })
	conn, err := net.Dial("tcp4", tcp.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(bookingHeader("a1") + "hello"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	done := make(chan error, 1)
	go func() { done <- f.gateway.shutdown(front) }()
	require.True(t, <-draining)
	require.NoError(t, <-done)
}

// Guards against requests in flight at the end of the grace period that get no response,
// and against one that states that a request did not run although it may have.
func TestRequestsAtEndOfGracePeriodAreAnswered(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.NoResponse)
	defer s.Close()
	fixture := newFixture(t, s)
	responses := make(chan response, 2)
	send := func(id string) {
		r, err := fixture.trySend(t.Context(), http.MethodPost, bookingPath, id, platformtest.WithDeadline("8000"))
		if err != nil {
			t.Log(err)
		}
		responses <- r
	}
	f := startShutdown(t, fixture, func(string) {
		go send("running")
		fixture.eventually(func() bool { return s.RequestCount() == 1 })
	})
	require.Equal(t, http.StatusBadGateway, (<-responses).status)
	require.NoError(t, <-f.done)
	require.Less(t, time.Since(f.started), bounds().TerminationGrace)
}

// Guards against applying the limits of an older configuration to new
// connections.
func TestNewConnectionsUseCurrentLimits(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	metrics := telemetry.NewMetrics(Role, "g1", zerolog.Nop())
	front := newFrontend(listener, New(settings(), NewClusterState(), metrics, zerolog.Nop()).connections, handler, zerolog.Nop())
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
