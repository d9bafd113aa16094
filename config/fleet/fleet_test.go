package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
)

var start = time.Unix(1000, 0)

// The route with the longest prefix of the path must win, and routes of other hosts
// must not match.
func TestRouteWithLongestPrefix(t *testing.T) {
	index := fleet.NewIndex(&fleet.Config{Routes: []fleet.Route{
		{Name: "short", Host: "A.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		r, ok := index.Route("a.EXAMPLE:8080", path)
		require.True(t, ok, path)
		require.Equal(t, want, r.Name, path)
	}
	for _, path := range []string{"/", "/xy/", "/x"} {
		_, ok := index.Route("a.example", path)
		require.False(t, ok, path)
	}
	_, ok := index.Route("c.example", "/x/1")
	require.False(t, ok)
}

// A key must be required for non-public routes of a configuration with
// organisations, and for no others.
func TestRequiresKey(t *testing.T) {
	private, public := &fleet.Route{}, &fleet.Route{Public: true}
	withoutKeys := fleet.NewIndex(&fleet.Config{})
	require.False(t, withoutKeys.RequiresKey(private))
	// An empty list of organisations means that no key is valid, not that none is
	// needed.
	withKeys := fleet.NewIndex(&fleet.Config{Organisations: []fleet.Organisation{}})
	require.True(t, withKeys.RequiresKey(private))
	require.False(t, withKeys.RequiresKey(public))
	_, ok := withKeys.Organisation("")
	require.False(t, ok)
}

// The age of the configuration must count from the time when the read was sent, not
// from its response. Otherwise a key that was revoked while the response was on its
// way would be accepted for too long.
func TestFreshnessCountsFromRequest(t *testing.T) {
	var f fleet.Freshness
	require.False(t, f.Known())
	f.RecordRead(start, start.Add(2*time.Second))
	require.Equal(t, 3*time.Second, f.Age(start.Add(3*time.Second)))
	require.Equal(t, time.Second, f.SinceResponse(start.Add(3*time.Second)))
	f.RecordRead(start.Add(-time.Second), start)
	require.Equal(t, 3*time.Second, f.Age(start.Add(3*time.Second)), "an older read doesn't increase the age")
}

// Servers that are draining, have left or belong to other services must not get
// requests.
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

// Guards against a server that counts as cold again whenever its registration is read once
// more, as after an outage of the store.
func TestColdTimeCountsFromFirstRead(t *testing.T) {
	var s fleet.Servers
	read := func(offset int64, coldUntil time.Time) time.Time {
		server := &fleet.Server{ID: "a", Service: "m", ColdUntil: coldUntil}
		s.Apply([]fleet.ServerChange{{ID: "a", Server: server, Offset: offset}})
		got, _ := s.Get("a")
		return got.ColdUntil
	}
	first, later := start.Add(3*time.Second), start.Add(9*time.Second)
	require.Equal(t, first, read(4, first))
	require.Equal(t, first, read(4, later))
	require.Equal(t, later, read(5, later))
}

// Only requests of idempotent and resumable routes may be retried.
func TestRepeatable(t *testing.T) {
	require.False(t, (&fleet.Route{}).Retryable())
	require.True(t, (&fleet.Route{Kind: fleet.Idempotent}).Retryable())
	require.False(t, (&fleet.Route{Kind: fleet.Streaming}).Retryable())
	require.True(t, (&fleet.Route{Kind: fleet.Streaming, Resumable: true}).Retryable())
}

// The registration of a crashed server stays for seconds, while another server may
// have started at its address, also one of another service. The crashed server must
// get no requests.
func TestUsableServerIsNewestOfAddress(t *testing.T) {
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
