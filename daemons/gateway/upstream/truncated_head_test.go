package upstream_test

import (
	"context"
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
	address, responses := rawServer(t)
	pool := upstream.NewPool(time.Now)
	for length := range len(head) {
		conn, err := pool.Get(context.Background(), address, 0)
		require.NoError(t, err)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		responses <- head[:length]
		require.NoError(t, conn.Send(newRequest("a")))
		_, err = conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true }) //nolint:bodyclose // no response is expected
		require.Error(t, err, "%q", head[:length])
		conn.Close()
	}
}
