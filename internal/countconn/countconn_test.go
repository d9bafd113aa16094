package countconn_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/countconn"
)

// Guards against a count that omits one direction or the headers.
func TestCountsBothDirections(t *testing.T) {
	const size = 10_000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", 2*int(n)))
	}))
	defer server.Close()
	var total atomic.Int64
	transport := countconn.Transport(&total)
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("y", size)))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Greater(t, total.Load(), int64(3*size+100))
	require.Less(t, total.Load(), int64(3*size+1000))
}

// Guards against a dial error that is not returned to the caller.
func TestReturnsDialError(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	url := server.URL
	server.Close()
	var total atomic.Int64
	resp, err := (&http.Client{Transport: countconn.Transport(&total)}).Get(url)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
	require.Zero(t, total.Load())
}
