package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

func newRequest(id string) *upstream.Request {
	h := http.Header{}
	platformtest.WithAttempt(id)(h)
	platformtest.WithExpectedInstance("s")(h)
	return &upstream.Request{Method: http.MethodGet, Target: "/a/b%2Fc?d=%20", Host: "h", Header: h}
}

func matchID(id string) func(*http.Response) bool {
	return func(r *http.Response) bool { return platformtest.AttemptID(r.Header) == id }
}

// roundTrip sends a request and returns the response body and whether the
// connection was reused.
func roundTrip(t *testing.T, pool *upstream.Pool, address, id string) (body string, reused bool, err error) {
	t.Helper()
	conn, err := pool.Get(context.Background(), address, time.Hour)
	require.NoError(t, err)
	conn.SetDeadline(time.Now().Add(time.Second))
	require.NoError(t, conn.Send(newRequest(id)))
	resp, err := conn.ReadResponse(http.MethodGet, matchID(id)) //nolint:bodyclose // the body ends with the connection
	if err != nil {
		conn.Close()
		return "", conn.Reused(), err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		conn.Close()
	} else {
		pool.Put(conn, 5*time.Second)
	}
	return string(data), conn.Reused(), err
}

// Guards against a new connection for each request, and against a request target
// that is re-encoded.
func TestConnectionReuse(t *testing.T) {
	s := platformtest.NewServer("s")
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	for i, id := range []string{"a", "b"} {
		body, reused, err := roundTrip(t, pool, s.Address(), id)
		require.NoError(t, err)
		require.Equal(t, "answer to "+id, body)
		require.Equal(t, i > 0, reused)
	}
	require.Equal(t, "/a/b%2Fc?d=%20", s.ExecutedRequests()[0].Target)
}

// Guards against surplus bytes after a response that are parsed as the response to
// the next request, and against reusing such a connection.
func TestExtraBytesCloseConnection(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.ExtraResponse)
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	_, _, err := roundTrip(t, pool, s.Address(), "a")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	body, reused, err := roundTrip(t, pool, s.Address(), "b")
	require.NoError(t, err)
	require.False(t, reused)
	require.Equal(t, "answer to b", body)
}

// Guards against a late response to another request that is taken for the
// response to the current one.
func TestUnrelatedResponseIsSkipped(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.OtherResponseFirst)
	defer s.Close()
	body, _, err := roundTrip(t, upstream.NewPool(time.Now), s.Address(), "a")
	require.NoError(t, err)
	require.Equal(t, "answer to a", body)
}

// Guards against a truncated or malformed response that is accepted as complete.
func TestTruncatedResponses(t *testing.T) {
	for _, behaviour := range []platformtest.Behaviour{
		platformtest.TruncatedBody, platformtest.ResetCloseDelimited, platformtest.ResetBeforeResponse, platformtest.Malformed,
	} {
		s := platformtest.NewServer("s", behaviour)
		_, _, err := roundTrip(t, upstream.NewPool(time.Now), s.Address(), "a")
		require.Error(t, err, behaviour)
		s.Close()
	}
}

// Guards against rejecting a complete response without a length, which ends with
// the connection.
func TestResponseWithoutLength(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.CloseDelimited)
	defer s.Close()
	body, _, err := roundTrip(t, upstream.NewPool(time.Now), s.Address(), "a")
	require.NoError(t, err)
	require.Equal(t, "answer to a", body)
}

// Guards against reusing an idle connection that has expired, was last used too
// long ago or was closed by the server.
func TestStaleConnectionsAreNotReused(t *testing.T) {
	now := time.Now()
	pool := upstream.NewPool(func() time.Time { return now })
	s := platformtest.NewServer("s")
	_, _, err := roundTrip(t, pool, s.Address(), "a")
	require.NoError(t, err)
	now = now.Add(10 * time.Second)
	_, reused, err := roundTrip(t, pool, s.Address(), "b")
	require.NoError(t, err)
	require.False(t, reused, "expired")
	now = now.Add(time.Second)
	conn, err := pool.Get(context.Background(), s.Address(), 100*time.Millisecond)
	require.NoError(t, err)
	require.False(t, conn.Reused(), "used too long ago")
	conn.Close()
	s.Close()

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1024))
			header := http.Header{"Content-Length": {"0"}}
			platformtest.WithAttempt("a")(header)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_ = header.Write(c)
			_, _ = io.WriteString(c, "\r\n")
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
		}
	}()
	_, _, err = roundTrip(t, pool, listener.Addr().String(), "a")
	require.NoError(t, err)
	time.Sleep(40 * time.Millisecond)
	_, reused, err = roundTrip(t, pool, listener.Addr().String(), "a")
	require.NoError(t, err)
	require.False(t, reused, "closed by the server")
}

// Guards against a request that arrives after it was cancelled: after a plain
// close the kernel still delivers the bytes in the send buffer.
func TestAbortResetsConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := upstream.NewPool(time.Now).Get(context.Background(), listener.Addr().String(), 0)
	require.NoError(t, err)
	peer, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	require.NoError(t, conn.Send(newRequest("a")))
	conn.Abort()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = io.Copy(io.Discard, peer)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against reporting a request as not sent after bytes of it were sent.
func TestSent(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.NoResponse)
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	conn, err := pool.Get(context.Background(), s.Address(), 0)
	require.NoError(t, err)
	require.False(t, conn.Sent())
	conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
	require.NoError(t, conn.Send(newRequest("a")))
	require.True(t, conn.Sent())
	_, err = conn.ReadResponse(http.MethodGet, matchID("a")) //nolint:bodyclose // there is no response
	require.Error(t, err)
	conn.Close()
}

// Guards against more connections to servers than the process has descriptors for, and
// against idle ones that keep a new one out.
func TestOpenConnectionsAreBounded(t *testing.T) {
	s := platformtest.NewServer("s")
	defer s.Close()
	now := time.Now()
	pool := upstream.NewPool(func() time.Time { now = now.Add(time.Millisecond); return now })
	pool.SetMaxOpen(2)
	get := func() (*upstream.Conn, error) { return pool.Get(context.Background(), s.Address(), 0) }
	first, err := get()
	require.NoError(t, err)
	second, err := get()
	require.NoError(t, err)
	_, err = get()
	require.ErrorIs(t, err, upstream.ErrFull)
	pool.Put(first, 5*time.Second)
	third, err := pool.Get(context.Background(), s.ModelAddress(), 0)
	require.NoError(t, err)
	require.Error(t, first.Send(newRequest("a")))
	third.Abort()
	third.Close()
	_, err = get()
	require.NoError(t, err)
	_, err = get()
	require.ErrorIs(t, err, upstream.ErrFull)
	second.Close()
}
