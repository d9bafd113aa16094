package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
)

// Guards against a status that no server may send, which counts as that of a response or as an
// informational one, so that the bytes after it count as the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const response = "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok"
	address, responses := rawServer(t)
	pool := upstream.NewPool(time.Now)
	read := func(status string) (*http.Response, error) {
		conn, err := pool.Get(context.Background(), address, 0)
		require.NoError(t, err)
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		responses <- "HTTP/1.1 " + status + " x\r\n\r\n" + response
		require.NoError(t, conn.Send(newRequest("a")))
		return conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true })
	}
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999", "2x0", "-20", "20"} {
		_, err := read(status) //nolint:bodyclose // no response is expected
		require.Error(t, err, status)
	}
	for status, want := range map[string]int{"100": 200, "103": 200, "200": 200, "404": 404, "599": 599} {
		resp, err := read(status) //nolint:bodyclose // the body ends with the connection
		require.NoError(t, err, status)
		require.Equal(t, want, resp.StatusCode)
	}
}

// rawServer is a server that reads a request of each connection, writes the bytes of the next
// value of responses and closes the connection.
func rawServer(t *testing.T) (address string, responses chan<- string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	bytes := make(chan string, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request := make([]byte, 1024)
			_, _ = conn.Read(request)
			_, _ = io.WriteString(conn, <-bytes)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), bytes
}
