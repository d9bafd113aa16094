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

func get(id string) *upstream.Request {
	h := http.Header{}
	platformtest.WithAttempt(id)(h)
	platformtest.WithExpectedInstance("s")(h)
	return &upstream.Request{Method: http.MethodGet, Target: "/a/b%2Fc?d=%20", Host: "h", Header: h}
}

func own(id string) func(*http.Response) bool {
	return func(r *http.Response) bool { return platformtest.AttemptID(r.Header) == id }
}

// exchange sends a request and returns the body and whether the connection was
// used before.
func exchange(t *testing.T, pool *upstream.Pool, address, id string) (body string, reused bool, err error) {
	t.Helper()
	conn, err := pool.Get(context.Background(), address, time.Hour)
	require.NoError(t, err)
	conn.SetDeadline(time.Now().Add(time.Second))
	require.NoError(t, conn.Send(get(id)))
	resp, err := conn.ReadResponse(http.MethodGet, own(id)) //nolint:bodyclose // the body ends with the connection
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

// Guards against a new connection for each request, and against a target that
// changes on its way.
func TestKeptConnection(t *testing.T) {
	s := platformtest.NewServer("s")
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	for i, id := range []string{"a", "b"} {
		body, reused, err := exchange(t, pool, s.Address(), id)
		require.NoError(t, err)
		require.Equal(t, "answer to "+id, body)
		require.Equal(t, i > 0, reused)
	}
	require.Equal(t, "/a/b%2Fc?d=%20", s.ExecutedRequests()[0].Target)
}

// Guards against bytes beyond an answer that become the answer to the next
// request, and against a connection that is kept after them.
func TestExtraBytesEndTheConnection(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.ExtraResponse)
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	_, _, err := exchange(t, pool, s.Address(), "a")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	body, reused, err := exchange(t, pool, s.Address(), "b")
	require.NoError(t, err)
	require.False(t, reused)
	require.Equal(t, "answer to b", body)
}

// Guards against the late answer to another request that is taken for the own.
func TestForeignAnswerIsSkipped(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.OtherResponseFirst)
	defer s.Close()
	body, _, err := exchange(t, upstream.NewPool(time.Now), s.Address(), "a")
	require.NoError(t, err)
	require.Equal(t, "answer to a", body)
}

// Guards against an answer that ends early and looks complete.
func TestBrokenAnswers(t *testing.T) {
	for _, answer := range []platformtest.Response{
		platformtest.TruncatedBody, platformtest.ResetCloseDelimited, platformtest.ResetBeforeResponse, platformtest.Malformed,
	} {
		s := platformtest.NewServer("s", answer)
		_, _, err := exchange(t, upstream.NewPool(time.Now), s.Address(), "a")
		require.Error(t, err, answer)
		s.Close()
	}
}

// Guards against an answer without length that is refused although it is whole.
func TestUnframedAnswer(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.CloseDelimited)
	defer s.Close()
	body, _, err := exchange(t, upstream.NewPool(time.Now), s.Address(), "a")
	require.NoError(t, err)
	require.Equal(t, "answer to a", body)
}

// Guards against a request on a kept connection that the server has closed, and
// on one that expired or was used too long ago.
func TestStaleConnectionsAreNotUsed(t *testing.T) {
	now := time.Now()
	pool := upstream.NewPool(func() time.Time { return now })
	s := platformtest.NewServer("s")
	_, _, err := exchange(t, pool, s.Address(), "a")
	require.NoError(t, err)
	now = now.Add(10 * time.Second)
	_, reused, err := exchange(t, pool, s.Address(), "b")
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
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
		}
	}()
	_, _, err = exchange(t, pool, listener.Addr().String(), "a")
	require.NoError(t, err)
	time.Sleep(40 * time.Millisecond)
	_, reused, err = exchange(t, pool, listener.Addr().String(), "a")
	require.NoError(t, err)
	require.False(t, reused, "closed by the server")
}

// Guards against a request that arrives after it was cancelled: a plain close
// leaves bytes on their way that are delivered later.
func TestAbortResets(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := upstream.NewPool(time.Now).Get(context.Background(), listener.Addr().String(), 0)
	require.NoError(t, err)
	peer, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	require.NoError(t, conn.Send(get("a")))
	conn.Abort()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = io.Copy(io.Discard, peer)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a request that counts as not sent although bytes left.
func TestSent(t *testing.T) {
	s := platformtest.NewServer("s", platformtest.NoResponse)
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	conn, err := pool.Get(context.Background(), s.Address(), 0)
	require.NoError(t, err)
	require.False(t, conn.Sent())
	conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
	require.NoError(t, conn.Send(get("a")))
	require.True(t, conn.Sent())
	_, err = conn.ReadResponse(http.MethodGet, own("a")) //nolint:bodyclose // there is no answer
	require.Error(t, err)
	conn.Close()
}
