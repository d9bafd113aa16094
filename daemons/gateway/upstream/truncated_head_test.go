package upstream_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
)

// Guards against a response head that breaks off and counts as a complete head, so that
// the caller gets a 200 with an empty or short body.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\n"
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	lengths := make(chan int, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request := make([]byte, 1024)
			_, _ = conn.Read(request)
			_, _ = conn.Write([]byte(head[:<-lengths]))
			_ = conn.Close()
		}
	}()
	pool := upstream.NewPool(time.Now)
	for length := range len(head) {
		conn, err := pool.Get(context.Background(), listener.Addr().String(), 0)
		require.NoError(t, err)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		lengths <- length
		require.NoError(t, conn.Send(newRequest("a")))
		_, err = conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true }) //nolint:bodyclose // no response is expected
		require.Error(t, err, "%q", head[:length])
		conn.Close()
	}
}
