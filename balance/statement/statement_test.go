package statement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/statement"
)

var start = time.Unix(1000, 0)

func table(random float64) *statement.Table {
	t := statement.New(func() float64 { return random })
	t.SetServers(start, map[string]int64{"a": 7, "b": 7})
	return t
}

// Guards against a server whose address or ID is used again and gets no requests because
// of what its predecessor stated, and against a statement that ends while the server runs.
func TestStatementsEndWithTheServer(t *testing.T) {
	s := table(0)
	require.True(t, s.RecordLeaving("a"))
	require.False(t, s.RecordLeaving("a"))
	require.False(t, s.RecordLeaving("unknown"))
	require.True(t, s.RecordPause(start, "b", time.Minute/4))
	s.SetServers(start, map[string]int64{"a": 7, "b": 7, "c": 9})
	require.True(t, s.Leaving("a"))
	require.False(t, s.Leaving("c"))
	s.SetServers(start, map[string]int64{"a": 8, "c": 9})
	require.False(t, s.Leaving("a"), "started again")
	s.SetServers(start, map[string]int64{"a": 8, "b": 9})
	require.True(t, s.PausedUntil("b").IsZero(), "started again while it was not listed")
}

// Guards against statements that are forgotten because the registration of their server was
// missing or unreadable for a while, and against keeping them for good.
func TestStatementsOutliveMissingRegistration(t *testing.T) {
	s := table(0)
	s.SetServers(start, map[string]int64{"a": 7, "b": 7, "c": 0})
	for _, id := range []string{"a", "b", "c"} {
		require.True(t, s.RecordLeaving(id))
		require.True(t, s.RecordPause(start, id, time.Hour))
	}
	s.SetServers(start, nil)
	s.SetServers(start.Add(9*time.Minute), map[string]int64{"a": 7, "c": 0})
	require.True(t, s.Leaving("a"))
	require.Equal(t, start.Add(time.Hour), s.PausedUntil("a"))
	require.False(t, s.Leaving("c"), "without a start time it may be another run")
	s.SetServers(start.Add(11*time.Minute), nil)
	s.SetServers(start.Add(12*time.Minute), map[string]int64{"b": 7})
	require.False(t, s.Leaving("b"), "it was gone for too long")
}

// Guards against a pause that ends early, that has no end, or after which all gateways
// return at the same moment.
func TestPause(t *testing.T) {
	s := table(0)
	require.True(t, s.RecordPause(start, "a", 2*time.Second))
	require.Equal(t, start.Add(2*time.Second), s.PausedUntil("a"))
	require.False(t, s.RecordPause(start.Add(time.Second), "a", 500*time.Millisecond))
	require.Equal(t, start.Add(2*time.Second), s.PausedUntil("a"), "a shorter one doesn't end a longer one")
	require.True(t, s.RecordPause(start.Add(3*time.Second), "a", time.Hour))
	require.Equal(t, start.Add(3*time.Second+time.Hour), s.PausedUntil("a"), "as the server states it")
	require.False(t, s.RecordPause(start.Add(4*time.Second), "a", 1000*time.Hour))
	require.Equal(t, start.Add(4*time.Second+statement.MaxPause), s.PausedUntil("a"))
	require.False(t, s.RecordPause(start, "b", 0))
	require.False(t, s.RecordPause(start, "b", -time.Second))
	require.True(t, s.PausedUntil("b").IsZero())

	late := table(0.999)
	late.RecordPause(start, "a", 2*time.Second)
	require.Greater(t, late.PausedUntil("a").Sub(start), 2300*time.Millisecond)
	require.Less(t, late.PausedUntil("a").Sub(start), 2500*time.Millisecond)
}
