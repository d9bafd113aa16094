package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// registrations applies registrations of one server in the order in which they are read, one
// second apart.
type registrations struct {
	fleet.Servers
	now    time.Time
	offset int64
}

const serverID = "i-1"

func newRegistrations() *registrations { return &registrations{now: start} }

func (r *registrations) put(startedUnixMs, sequence int64, draining bool) {
	r.apply(&fleet.Server{
		ID: serverID, Service: "m", Address: "a:1", StartedUnixMs: startedUnixMs, Sequence: sequence, Draining: draining,
	}, false)
}

func (r *registrations) deleteRecord() { r.apply(nil, true) }

// lose removes the server because it is missing in a list of all servers.
func (r *registrations) lose() { r.apply(nil, false) }

func (r *registrations) apply(s *fleet.Server, deleted bool) {
	r.now = r.now.Add(time.Second)
	r.offset++
	r.Apply([]fleet.ServerChange{{ID: serverID, Server: s, Deleted: deleted, Offset: r.offset, ReadAt: r.now}})
}

func (r *registrations) usable() bool { return len(r.Usable("m")) == 1 }

const (
	ready    = false
	draining = true
)

// Guards against requests to a draining server because the store executes an earlier write of
// it late, or has come back from an older copy.
func TestOlderRegistrationOfDrainingServer(t *testing.T) {
	r := newRegistrations()
	r.put(1000, 1, ready)
	require.True(t, r.usable())
	r.put(1000, 9, draining)
	require.False(t, r.usable())
	r.put(1000, 8, ready)
	require.False(t, r.usable(), "a late write")
	r.now = r.now.Add(time.Hour)
	r.put(1000, 1, ready)
	require.False(t, r.usable(), "an older copy of the store")
	r.put(1000, 10, ready)
	require.True(t, r.usable(), "the server no longer drains")
}

// Guards against requests to a server that has left because an earlier write of it is executed
// late or its registration is listed in an older copy of the store.
func TestOlderRegistrationOfRemovedServer(t *testing.T) {
	r := newRegistrations()
	r.put(1000, 1, ready)
	r.put(1000, 9, draining)
	r.deleteRecord()
	for sequence := range int64(9) {
		r.put(1000, sequence+1, sequence+1 == 9)
		require.False(t, r.usable(), "sequence %d", sequence+1)
	}
	r.put(1000, 11, ready)
	require.True(t, r.usable(), "the registration had expired, and the server lives")
}

// Guards against ignoring a live server whose registration was lost, because the store came
// back from an older copy, and is written again as it was.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	r := newRegistrations()
	r.put(1000, 4, ready)
	r.lose()
	r.put(1000, 3, ready)
	require.False(t, r.usable(), "an older one")
	r.put(1000, 4, ready)
	require.True(t, r.usable())
}

// Guards against ignoring a server that has restarted under its ID, and against the return of
// its previous process by a late write. The numbers of each process start anew.
func TestRegistrationsOfRestartedServer(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprintf("removed=%t", removed), func(t *testing.T) {
			r := newRegistrations()
			r.put(1000, 50, draining)
			if removed {
				r.deleteRecord()
			}
			r.put(9000, 1, ready)
			require.True(t, r.usable())
			r.put(1000, 49, draining)
			require.True(t, r.usable(), "a late write of the previous process")
			r.put(9000, 2, draining)
			require.False(t, r.usable())
			r.put(1000, 48, ready)
			require.False(t, r.usable())
		})
	}
}

// Guards against ignoring a server forever that has restarted after its wall clock was set
// back.
func TestServerRestartsWithEarlierClock(t *testing.T) {
	r := newRegistrations()
	r.put(9000, 50, ready)
	r.now = r.now.Add(2 * time.Minute)
	r.put(1000, 1, draining)
	require.False(t, r.usable())
	r.deleteRecord()
	r.now = r.now.Add(2 * time.Minute)
	r.put(500, 1, ready)
	require.True(t, r.usable())
}

// Guards against judging registrations by numbers that they don't have: a registration of
// another writer has neither.
func TestRegistrationsWithoutNumbers(t *testing.T) {
	r := newRegistrations()
	r.put(0, 5, draining)
	r.put(0, 1, ready)
	require.True(t, r.usable())
	r.put(1000, 5, draining)
	r.put(1000, 0, ready)
	require.True(t, r.usable())
}

// Guards against memory that grows with the number of servers that ever left.
func TestRemovedServersAreForgotten(t *testing.T) {
	var s fleet.Servers
	now := start
	old := &fleet.Server{ID: "first", Service: "m", StartedUnixMs: 1000, Sequence: 2}
	s.Apply([]fleet.ServerChange{{ID: "first", Server: old, ReadAt: now}, {ID: "first", Deleted: true, ReadAt: now}})
	require.True(t, s.Outdated(fleet.ServerChange{ID: "first", Server: old, ReadAt: now}))
	require.False(t, s.Outdated(fleet.ServerChange{ID: "first", Server: old, ReadAt: now.Add(2 * time.Minute)}))
}
