package gateway

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against servers that never get requests again after they have got each other's
// addresses: while the list was late, each refused the requests for the other one.
func TestServersThatSwapAddresses(t *testing.T) {
	s, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	s.ID, other.ID = "s2", "s1"
	for n := range 6 {
		f.send(http.MethodPost, bookingPath, "a"+strconv.Itoa(n))
	}
	require.Equal(t, 2, f.countLogs("taken over the address"))
	f.deploy.Register("s1", platformtest.PlainService, other.Address())
	f.deploy.Register("s2", platformtest.PlainService, s.Address())
	f.eventually(func() bool {
		server, _ := f.gateway.state.Server("s1")
		return server.Address == other.Address()
	})
	for n := range 10 {
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, bookingPath, "b"+strconv.Itoa(n)).status)
	}
}
