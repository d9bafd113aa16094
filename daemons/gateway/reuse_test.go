package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// finishedExchange returns an exchange whose response was read completely.
func finishedExchange(t *testing.T, s *platformtest.Server, pool *upstream.Pool) (*exchange, *http.Response) {
	t.Helper()
	conn, err := pool.Get(context.Background(), s.Address(), time.Hour)
	require.NoError(t, err)
	header := http.Header{}
	platformtest.WithAttempt("a")(header)
	platformtest.WithExpectedInstance(s.ID)(header)
	require.NoError(t, conn.Send(&upstream.Request{ID: "a", Method: http.MethodGet, Target: "/", Host: "h", Header: header}))
	resp, err := conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true }) //nolint:bodyclose // the body ends with the connection
	require.NoError(t, err)
	require.NoError(t, upstream.Discard(resp.Body, 1<<10))
	x := &exchange{g: &Gateway{pool: pool}, conn: conn, stopAbort: func() bool { return true }}
	x.watch = &watchdog{x: x}
	return x, resp
}

// Guards against a request that fails because the caller of the one before it on the same
// connection has disconnected, or because its watchdog was late.
func TestFinishedRequestDoesNotAbortTheNext(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	x, resp := finishedExchange(t, s, pool)
	x.reuseConnection(resp)
	x.watch.fire()
	next, resp := finishedExchange(t, s, pool)
	require.True(t, next.conn.Reused())

	// The caller has disconnected; the connection is aborted at any moment.
	next.stopAbort = func() bool { return false }
	next.reuseConnection(resp)
	third, _ := finishedExchange(t, s, pool)
	require.False(t, third.conn.Reused())
	third.conn.Close()
}
