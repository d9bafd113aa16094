package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a response with status 000 that reaches a caller, as it is or as what its body
// looks like, and against a failure that isn't retried because of it.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	s, other := platformtest.NewServer("s1", platformtest.InvalidStatus), platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s)
	require.Equal(t, http.StatusBadGateway, f.send(http.MethodPost, bookingPath, "a1").status, "it may have run")

	f.register(platformtest.PlainService, s, other)
	s.SetBehaviours(platformtest.InvalidStatus, platformtest.InvalidStatus, platformtest.InvalidStatus)
	for n := 0; s.RequestCount() == 1; n++ {
		require.Less(t, n, 100)
		resp := f.send(http.MethodGet, lookupPath, "a2")
		require.Equal(t, http.StatusOK, resp.status)
		require.Equal(t, "answer to a2", resp.body)
	}
}
