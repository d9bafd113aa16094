package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

const (
	// largestBody is the largest body that the gateway of these tests accepts.
	largestBody = 4 << 20
	// smallMemory is a memory limit with room for two bodies of this size.
	smallMemory = 64 << 20
)

// newSmallGateway starts a gateway with little memory, at an address of its own.
func newSmallGateway(t *testing.T, servers ...*platformtest.Server) (f *fixture, address string) {
	s := settings()
	s.MemoryBytes = smallMemory
	f = newFixtureWith(t, s, largestBody, servers...)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	front := newFrontend(listener, f.gateway.connections, f.gateway, zerolog.Nop())
	go front.accept(func() fleet.Limits { return fleet.Limits{} })
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = front.shutdown(ctx)
	})
	f.server.URL = "http://" + listener.Addr().String()
	return f, listener.Addr().String()
}

// requestHead is the head of a POST request without the line that frames its body.
func requestHead(path, id string, options ...platformtest.HeaderOption) string {
	h := http.Header{}
	platformtest.WithAttempt(id)(h)
	platformtest.WithKey(platformtest.Key)(h)
	platformtest.WithDeadline("8000")(h)
	for _, o := range options {
		o(h)
	}
	var b strings.Builder
	b.WriteString("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = h.Write(&b)
	return b.String()
}

// dial opens a connection and sends text on it.
func dial(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.WriteString(conn, text) }()
	return conn
}

func readResponse(t *testing.T, conn net.Conn) response {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), complete: true, closes: resp.Close}
}

// Guards against a gateway that waits for a body although the head decides, and against a
// client that goes on sending it.
func TestHeadDecidesBeforeBody(t *testing.T) {
	f, address := newSmallGateway(t)
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"no route":  {requestHead("/nowhere", "a1") + "Content-Length: 1000000\r\n\r\n", http.StatusNotFound},
		"no key":    {requestHead(bookingPath, "a1", platformtest.WithoutKey) + "Transfer-Encoding: chunked\r\n\r\n", http.StatusUnauthorized},
		"too large": {requestHead(bookingPath, "a1") + "Content-Length: 1000000000\r\n\r\n", http.StatusRequestEntityTooLarge},
		"deadline":  {requestHead(bookingPath, "a1", platformtest.WithDeadline("x")) + "Content-Length: 1000000\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			resp := readResponse(t, dial(t, address, c.head))
			require.Equal(t, c.status, resp.status)
			require.True(t, resp.closes)
			require.Zero(t, f.gateway.memory.Held())
		})
	}
}

// Guards against a gateway whose bodies take more than its memory, against a refusal without
// its promise or the time to come back, and against unfinished bodies that keep an ordinary
// request out.
func TestBodiesBeyondMemory(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.NoResponse, platformtest.NoResponse)
	defer s.Close()
	f, address := newSmallGateway(t, s)
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", largestBody)
	body := strings.Repeat("x", largestBody)
	var running []net.Conn
	for _, id := range []string{"a1", "a2"} {
		running = append(running, dial(t, address, requestHead(bookingPath, id)+framing+body))
	}
	f.eventually(func() bool { return s.RequestCount() == 2 })
	for i := range 4 {
		dial(t, address, requestHead(bookingPath, fmt.Sprint("u", i))+framing+body[1:])
	}
	refused := readResponse(t, dial(t, address, requestHead(bookingPath, "a3")+framing+body))
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "a3", platformtest.AttemptID(refused.header))
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Contains(t, refused.body, "memory_exhausted")
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, bookingPath, "ordinary").status)
	require.LessOrEqual(t, f.gateway.memory.Held(), int64(smallMemory)/4)
	for _, conn := range running {
		require.Equal(t, http.StatusGatewayTimeout, readResponse(t, conn).status)
	}
	require.Len(t, s.ExecutedRequests(), 3)
	f.eventually(func() bool { return f.gateway.memory.Held() < largestBody })
}

// Guards against a caller that reads its response slowly and keeps a slot of the server, or the
// memory of its request.
func TestSlowReaderFreesSlot(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.BufferedBody)
	defer s.Close()
	f, address := newSmallGateway(t, s)
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", largestBody)
	conn := dial(t, address, requestHead(bookingPath, "a1")+framing+strings.Repeat("x", largestBody))
	f.eventually(func() bool {
		inFlight, _, _ := svc.load()
		return s.RequestCount() == 1 && inFlight == 0
	})
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 1, f.gateway.gate.InFlight())
	require.Greater(t, f.gateway.memory.Held(), int64(platformtest.BufferedBodyBytes))
	require.Less(t, f.gateway.memory.Held(), int64(largestBody))
	resp := readResponse(t, conn)
	require.Equal(t, http.StatusOK, resp.status)
	require.Len(t, resp.body, platformtest.BufferedBodyBytes)
	f.eventually(func() bool { return f.gateway.memory.Held() == 0 })
}

// Guards against requests in progress that use up the descriptors with connections to backend
// servers. Those beyond the bound are refused.
func TestConnectionsToServersAreBounded(t *testing.T) {
	var servers []*platformtest.Server
	for i := range 4 {
		servers = append(servers, platformtest.NewServer(fmt.Sprint("s", i), slices.Repeat([]platformtest.Behaviour{platformtest.NoResponse}, 5)...))
		defer servers[i].Close()
	}
	s := settings()
	s.MaxDescriptors = 264
	f := newFixtureWith(t, s, 0, servers...)
	bound := divideSockets(s).servers
	statuses := make(chan int, 2*bound)
	for i := range bound + 2 {
		go func() {
			resp, _ := f.trySend(t.Context(), http.MethodPost, bookingPath, fmt.Sprint("a", i))
			statuses <- resp.status
		}()
	}
	for range 2 {
		require.Equal(t, http.StatusServiceUnavailable, <-statuses)
	}
	for range bound {
		require.Equal(t, http.StatusGatewayTimeout, <-statuses)
	}
}

// Guards against a gateway that has more sockets than its descriptors allow.
func TestDivideSockets(t *testing.T) {
	for _, descriptors := range []int{264, 400, 2870, 8192} {
		s := settings()
		s.MaxDescriptors = descriptors
		d := divideSockets(s)
		require.Greater(t, d.callers, d.servers)
		require.Greater(t, d.servers, 10)
		require.LessOrEqual(t, d.callers+d.servers+min(ownSockets, (descriptors-200)/2), descriptors-200)
	}
}
