package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/errkind"
)

// Guards against a server with a pace that gets more requests because it has the least
// load, and against one that gets none.
func TestPacedServer(t *testing.T) {
	const interval, step, steps = time.Second, 50 * time.Millisecond, 100
	s := scheduler(2, 4)
	s.SetPace(start, "s0", interval, true)
	perServer := make(map[string]int)
	for n := range steps {
		now := start.Add(time.Duration(n) * step)
		id := place(t, s, now, request(n))
		perServer[id]++
		s.Finish(id, step, 100)
	}
	seconds := int(steps * step / interval)
	require.InDelta(t, seconds, perServer["s0"], 1)
	require.Equal(t, steps, perServer["s0"]+perServer["s1"])

	s.SetPace(start, "s0", 0, true)
	s.SetPace(start, "s1", 0, false)
	for n := range steps {
		require.Equal(t, "s0", place(t, s, start, request(n)), "s1 gets none")
		s.Finish("s0", step, 100)
	}
}

// Guards against exceeding the pace of a server because all others are full: the
// request waits, and starts as soon as the pace allows it.
func TestPaceHoldsWhileOthersAreFull(t *testing.T) {
	const interval = 100 * time.Millisecond
	s := scheduler(2, 1)
	s.SetPeerLoad(loads(map[string]int{"s1": 2}))
	s.SetPace(start, "s0", interval, true)
	now := start.Add(interval)
	require.Equal(t, "s0", place(t, s, now, request(1)))
	s.Finish("s0", time.Millisecond, 100)
	ticket, _ := s.Place(now, request(2))
	require.NotNil(t, ticket)
	require.Empty(t, s.Dispatch(now.Add(interval-time.Millisecond)))
	out := s.Dispatch(now.Add(interval))
	require.Len(t, out, 1)
	require.Equal(t, "s0", out[0].Server)
}

// Guards against a request that waits until its objective has passed although the
// paces of all servers are known to be too slow for it.
func TestRequestBeyondAllPacesIsRefusedAtOnce(t *testing.T) {
	s := scheduler(2, 4)
	for _, id := range []string{"s0", "s1"} {
		s.SetPace(start, id, time.Minute, true)
	}
	first := start.Add(2 * time.Minute)
	for n := range 2 {
		place(t, s, first, request(n))
	}
	ticket, out := s.Place(first, request(2))
	require.Nil(t, ticket)
	require.True(t, errkind.Is(out[0].Err, errkind.DeadlineUnreachable))
	require.Positive(t, out[0].Err.RetryAfter)
	for _, id := range []string{"s0", "s1"} {
		s.SetPace(first, id, 0, false)
	}
	ticket, out = s.Place(first, request(3))
	require.Nil(t, ticket)
	require.True(t, errkind.Is(out[0].Err, errkind.NoBackendServer))
	require.Equal(t, errkind.NotRun, out[0].Err.Execution)
}

// Guards against requests that reach a server closer to each other than its pace allows:
// their connections took different times, or the server was not listed for a moment.
func TestPaceHoldsUntilRequestIsSent(t *testing.T) {
	const interval = 500 * time.Millisecond
	s := scheduler(1, 4)
	s.SetPace(start, "s0", interval, true)
	first := start.Add(interval)
	place(t, s, first, request(1))
	second := first.Add(interval)
	place(t, s, second, request(2))
	sent := second.Add(50 * time.Millisecond)
	require.True(t, s.ConfirmSend(sent, "s0"), "the second connection is ready first")
	require.False(t, s.ConfirmSend(sent.Add(interval-time.Millisecond), "s0"))
	s.Finish("s0", 0, 0)
	s.Finish("s0", 0, 0)
	s.SetServers(nil)
	s.SetServers(serverList(1, 4))
	s.SetPace(sent, "s0", interval, true)
	for _, after := range []time.Duration{0, interval - time.Millisecond} {
		require.False(t, s.HasFreeSlot(sent.Add(after), placement.Constraint{}), after)
		require.False(t, s.AllowProbe(sent.Add(after), "s0"), after)
	}
	require.True(t, s.AllowProbe(sent.Add(interval), "s0"))
	require.False(t, s.HasFreeSlot(sent.Add(interval), placement.Constraint{}), "the probe counts")
	_, ok := s.TryPlace(sent.Add(2*interval), placement.Constraint{})
	require.True(t, ok)
	require.False(t, s.HasFreeSlot(sent.Add(2*interval), placement.Constraint{}), "the standby counts")
	s.SetPace(sent, "s0", 0, false)
	require.False(t, s.ConfirmSend(sent.Add(time.Hour), "s0"), "other gateways use the server now")
}

// Guards against a refusal that doesn't tell that the protection of cold servers is its
// cause, at once and after a wait, and against one that blames it for full servers.
func TestRefusalNamesColdServers(t *testing.T) {
	const interval = 100 * time.Millisecond
	s := scheduler(1, 4)
	s.SetPace(start, "s0", interval, true)
	s.SetPaceReason("s0", placement.ErrCold)
	now := start.Add(interval)
	place(t, s, now, request(1))
	hurried := request(2)
	hurried.MaxWait = interval / 2
	_, out := s.Place(now, hurried)
	require.ErrorIs(t, out[0].Err, placement.ErrCold)

	overtaken, urgent := request(3), request(4)
	overtaken.MaxWait, urgent.Class = 3*interval/2, "urgent"
	for _, r := range []placement.Request[int]{overtaken, urgent} {
		ticket, _ := s.Place(now, r)
		require.NotNil(t, ticket)
	}
	require.Len(t, s.Dispatch(now.Add(interval)), 1)
	out = s.Dispatch(now.Add(overtaken.MaxWait + time.Millisecond))
	require.Equal(t, 3, out[0].Value)
	require.ErrorIs(t, out[0].Err, placement.ErrCold)

	s.SetPeerLoad(loads(map[string]int{"s0": 5}))
	now = now.Add(time.Second)
	ticket, _ := s.Place(now, request(5))
	require.NotNil(t, ticket)
	out = s.Dispatch(now.Add(time.Second))
	require.NotErrorIs(t, out[0].Err, placement.ErrCold)
}

// Guards against a cold server that gets as much as a warm one while those have room, and
// against one that gets nothing.
func TestColdServerGetsLessWork(t *testing.T) {
	s := scheduler(2, 8)
	s.SetCold("s0", start.Add(time.Second))
	counts := make(map[string]int)
	for n := range 8 {
		counts[place(t, s, start, request(n))]++
	}
	require.Equal(t, map[string]int{"s0": 3, "s1": 5}, counts)
	for n := range 4 {
		counts[place(t, s, start.Add(time.Second), request(n))]++
	}
	require.Equal(t, map[string]int{"s0": 6, "s1": 6}, counts)
}
