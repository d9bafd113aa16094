package gateway

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a gateway that ends, stops following the registered servers, or sends
// requests to the address of an entry that another writer has left among them.
func TestInvalidRegistrationsBesideValidOnes(t *testing.T) {
	s, later := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer s.Close()
	defer later.Close()
	f := newFixture(t, s)
	invalid := platformtest.InvalidRegistrations(platformtest.PlainService, 0, 1)
	for name, entry := range invalid {
		f.store.Put(platform.ServerTopic, "odd "+name[:min(len(name), 100)], []byte(entry))
	}
	f.store.PutUnreadable(platform.ServerTopic)
	f.deploy.Register("s2", platformtest.PlainService, later.Address())
	usable := func() int { return len(f.gateway.state.UsableServers(platformtest.PlainService)) }
	f.eventually(func() bool { _, ok := f.gateway.state.Server("s2"); return ok })
	require.Equal(t, 2, usable())
	for n := range 20 {
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, bookingPath, "a"+strconv.Itoa(n)).status)
	}
	require.Equal(t, 20, s.RequestCount()+later.RequestCount())
	require.Zero(t, f.countLogs("attempt failed"))
	f.deploy.Deregister("s2")
	f.eventually(func() bool { return usable() == 1 })
}
