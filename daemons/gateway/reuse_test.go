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

// finishExchange returns an exchange whose response was read completely. aborted means
// that its context has ended since then.
func finishExchange(t *testing.T, s *platformtest.Server, pool *upstream.Pool, aborted bool) *exchange {
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
	x := &exchange{g: &Gateway{pool: pool}, conn: conn, stopAbort: func() bool { return !aborted }}
	x.watch = &watchdog{x: x}
	x.reuseConnection(resp)
	return x
}

// Guards against a request that fails because the caller of the one before it on the same
// connection has disconnected, or because its watchdog was late.
func TestFinishedRequestDoesNotAbortTheNext(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	pool := upstream.NewPool(time.Now)
	x := finishExchange(t, s, pool, false)
	x.watch.standbyOpened(&standby{x: &exchange{startedAt: time.Now()}})
	x = finishExchange(t, s, pool, true)
	require.True(t, x.conn.Reused())
	x = finishExchange(t, s, pool, false)
	require.False(t, x.conn.Reused(), "the connection before may be aborted at any moment")
}
