package gateway

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against requests to a server that drains or has left, because the store has executed
// an earlier write of it late or has come back from an older copy, in which it is ready.
func TestOlderRegistrationsGetNoRequests(t *testing.T) {
	leaving, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer leaving.Close()
	defer other.Close()
	f := newFixture(t, other)
	register := func(sequence int64, draining bool) {
		f.deploy.RegisterProcess(leaving.ID, platformtest.PlainService, leaving.Address(),
			platformtest.Process{StartedUnixMs: 1000, Sequence: sequence, Draining: draining})
		f.gateway.requestServerRefresh()
	}
	usable := func() int { return len(f.gateway.state.UsableServers(platformtest.PlainService)) }
	register(1, false)
	f.eventually(func() bool { return usable() == 2 })
	register(9, true)
	f.eventually(func() bool { return usable() == 1 })
	requireUnused := func(id string) {
		t.Helper()
		for n := range 10 {
			require.Equal(t, http.StatusOK, f.send(http.MethodPost, bookingPath, id+strconv.Itoa(n)).status)
		}
		require.Zero(t, leaving.RequestCount())
	}

	register(8, false)
	f.eventually(func() bool { return f.countLogs("older registration of a backend server") == 1 })
	requireUnused("late write while the server drains")

	f.deploy.Deregister(leaving.ID)
	f.gateway.requestServerRefresh()
	f.eventually(func() bool { return f.countLogs("backend server gone") == 1 })
	register(7, false)
	f.eventually(func() bool { return f.countLogs("older registration of a backend server") == 2 })
	requireUnused("late write after the server has left")

	register(10, false)
	f.eventually(func() bool { return usable() == 2 })
}
