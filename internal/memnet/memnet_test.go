package memnet_test

import (
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/memnet"
)

// Guards against a stopped server that still responds, and against dial errors
// that callers cannot recognise as ECONNREFUSED.
func TestStoppedServerRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		transport := network.Transport()
		client := &http.Client{Transport: transport}
		stop, err := network.Serve("a:80", http.NotFoundHandler())
		require.NoError(t, err)
		resp, err := client.Get("http://a:80/")
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusNotFound, resp.StatusCode)
		_, err = network.Listen("a:80")
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		stop()
		_, err = network.DialContext(t.Context(), "tcp", "a:80")
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		transport.CloseIdleConnections()
	})
}
