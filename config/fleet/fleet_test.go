package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
)

var start = time.Unix(1000, 0)

// Guards against a route with a shorter prefix that takes the requests of a
// longer one, and against routes of other hosts.
func TestLongestPrefix(t *testing.T) {
	x := fleet.NewIndex(&fleet.Config{Routes: []fleet.Route{
		{Name: "short", Host: "A.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		r, ok := x.Route("a.EXAMPLE:8080", path)
		require.True(t, ok, path)
		require.Equal(t, want, r.Name, path)
	}
	for _, path := range []string{"/", "/xy/", "/x"} {
		_, ok := x.Route("a.example", path)
		require.False(t, ok, path)
	}
	_, ok := x.Route("c.example", "/x/1")
	require.False(t, ok)
}

// Guards against a key that is asked for where none is needed, or not asked for.
func TestNeedsKey(t *testing.T) {
	private, public := &fleet.Route{}, &fleet.Route{Public: true}
	open := fleet.NewIndex(&fleet.Config{})
	require.False(t, open.RequiresKey(private))
	// An empty list of organisations means that no key is known, not that none
	// is needed.
	closed := fleet.NewIndex(&fleet.Config{Organisations: []fleet.Organisation{}})
	require.True(t, closed.RequiresKey(private))
	require.False(t, closed.RequiresKey(public))
	_, ok := closed.Organisation("")
	require.False(t, ok)
}

// Guards against a proof that counts from the answer: a key that was withdrawn
// while the answer travelled would pass for too long.
func TestFreshnessCountsFromTheQuestion(t *testing.T) {
	var f fleet.Freshness
	require.False(t, f.Known())
	f.RecordRead(start, start.Add(2*time.Second))
	require.Equal(t, 3*time.Second, f.Age(start.Add(3*time.Second)))
	require.Equal(t, time.Second, f.SinceResponse(start.Add(3*time.Second)))
	f.RecordRead(start.Add(-time.Second), start)
	require.Equal(t, 3*time.Second, f.Age(start.Add(3*time.Second)), "an older proof takes nothing back")
}

// Guards against work for servers that drain, left or belong to other services.
func TestUsableServers(t *testing.T) {
	var s fleet.Servers
	s.Apply([]fleet.ServerChange{
		{ID: "a", Server: &fleet.Server{ID: "a", Service: "m"}},
		{ID: "b", Server: &fleet.Server{ID: "b", Service: "m", Draining: true}},
		{ID: "c", Server: &fleet.Server{ID: "c", Service: "p"}},
		{ID: "d", Server: &fleet.Server{ID: "d", Service: "m"}},
		{ID: "d"},
	})
	usable := s.Usable("m")
	require.Len(t, usable, 1)
	require.Equal(t, "a", usable[0].ID)
	require.Equal(t, []string{"a", "b", "c"}, s.IDs())
}

// Guards against a new kind of route that is repeated although it may not be.
func TestRepeatable(t *testing.T) {
	require.False(t, (&fleet.Route{}).Repeatable())
	require.True(t, (&fleet.Route{Kind: fleet.Idempotent}).Repeatable())
	require.False(t, (&fleet.Route{Kind: fleet.Streaming}).Repeatable())
	require.True(t, (&fleet.Route{Kind: fleet.Streaming, Resumable: true}).Repeatable())
}

// Guards against work for servers that died, whose entries stay for seconds after
// another server has started at their address, also one of another service.
func TestNewestServerOfAnAddress(t *testing.T) {
	var s fleet.Servers
	s.Apply([]fleet.ServerChange{
		{ID: "new", Server: &fleet.Server{ID: "new", Service: "m", Address: "a:1"}, Offset: 12},
		{ID: "old", Server: &fleet.Server{ID: "old", Service: "m", Address: "a:1"}, Offset: 7},
		{ID: "other", Server: &fleet.Server{ID: "other", Service: "m", Address: "b:1"}, Offset: 3},
		{ID: "reused", Server: &fleet.Server{ID: "reused", Service: "x", Address: "b:1"}, Offset: 9},
		{ID: "alone", Server: &fleet.Server{ID: "alone", Service: "m", Address: "c:1"}, Offset: 1},
	})
	var usable []string
	for _, server := range s.Usable("m") {
		usable = append(usable, server.ID)
	}
	require.Equal(t, []string{"alone", "new"}, usable)
}
