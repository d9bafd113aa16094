package gateway

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a caller who expects another version of the weights and takes all servers
// away from the other callers.
func TestOtherVersionIsAboutOneRequest(t *testing.T) {
	s, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	s.RefuseVersion("6")
	other.RefuseVersion("6")
	f := newFixture(t, s, other)
	for n := range 6 {
		id := strconv.Itoa(n)
		resp := f.send(http.MethodPost, bookingPath, "odd"+id, platformtest.WithExpectedVersion("6"))
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, bookingPath, "a"+id).status)
	}
	// A server with that version serves the request.
	other.RefuseVersion("")
	f.eventually(func() bool {
		return f.send(http.MethodGet, lookupPath, "b", platformtest.WithExpectedVersion("6")).status == http.StatusOK
	})
	require.Zero(t, f.countLogs("taken over the address"))
}
