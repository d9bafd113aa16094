package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

var start = time.Unix(1000, 0)

func scheduler(servers, slots int) *placement.Scheduler[int] {
	s := placement.New[int](placement.Config{
		FailureDomain: "a", ServerQueueDepth: 1, QueueCapacity: 64,
		Classes: []fairqueue.Class{{Name: "urgent"}, {Name: "usual", Reserve: 0.1}},
	}, rand.New(rand.NewPCG(1, 2)))
	s.SetServers(serverList(servers, slots))
	return s
}

func serverList(servers, slots int) []placement.Server {
	var out []placement.Server
	for i := range servers {
		out = append(out, placement.Server{ID: fmt.Sprintf("s%d", i), FailureDomain: "a", Slots: slots})
	}
	return out
}

func loads(m map[string]int) func(string) int { return func(id string) int { return m[id] } }

func request(value int) placement.Request[int] {
	return placement.Request[int]{Class: "usual", Organisation: "o", Cost: 100, MaxWait: 200 * time.Millisecond, Value: value}
}

// place places a request that must start at once, and returns its server.
func place(t *testing.T, s *placement.Scheduler[int], now time.Time, r placement.Request[int]) string {
	t.Helper()
	ticket, out := s.Place(now, r)
	require.Nil(t, ticket)
	require.Len(t, out, 1)
	require.Nil(t, out[0].Err)
	return out[0].Server
}

// A gateway must not count only its own requests: those of other gateways load the
// servers as well.
func TestPicksLeastLoadedServerOverAllGateways(t *testing.T) {
	s := scheduler(3, 4)
	s.SetPeerLoad(loads(map[string]int{"s0": 3, "s1": 1, "s2": 2}))
	require.Equal(t, "s1", place(t, s, start, request(1)))
	s.SetPeerLoad(loads(map[string]int{"s0": 0, "s1": 3, "s2": 3}))
	require.Equal(t, "s0", place(t, s, start, request(2)))
}

// A burst of twice the capacity. Requests must not be queued beyond their maximum
// wait, refusals must carry a retry delay, and no capacity may stay free while
// requests are queued.
func TestBurst(t *testing.T) {
	const servers, slots, service = 4, 6, 400 * time.Millisecond
	s := scheduler(servers, slots)
	type run struct {
		server string
		ends   time.Time
	}
	var running []run
	waiting := map[int]time.Time{}
	served, refused := 0, 0
	record := func(now time.Time, out []placement.Outcome[int]) {
		for _, o := range out {
			if since, ok := waiting[o.Value]; ok {
				require.LessOrEqual(t, now.Sub(since), 210*time.Millisecond)
				delete(waiting, o.Value)
			}
			if o.Err != nil {
				refused++
				require.Equal(t, errkind.NotRun, o.Err.Execution)
				require.GreaterOrEqual(t, o.Err.RetryAfter, 150*time.Millisecond)
				continue
			}
			running = append(running, run{o.Server, now.Add(service)})
		}
	}
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		var unfinished []run
		for _, r := range running {
			if now.Before(r.ends) {
				unfinished = append(unfinished, r)
				continue
			}
			s.Finish(r.server, service, 100)
			served++
		}
		running = unfinished
		record(now, s.Dispatch(now))
		if ms%8 == 0 { // 125 requests per second; the capacity is 60, and 10 more in server queues
			ticket, out := s.Place(now, request(ms))
			if ticket != nil {
				waiting[ms] = now
			}
			record(now, out)
		}
		if len(waiting) > 0 {
			inFlight, _ := s.TotalLoad()
			require.Equal(t, servers*(slots+1), inFlight, "capacity is free while requests are queued")
		}
	}
	require.Greater(t, served, 240, "of the 280 that the capacity allows")
	require.Greater(t, refused, 150)
}

// Urgent requests must not wait behind queued requests of a lower class, and the
// lower class must not starve.
func TestUrgentClassFirstWithoutStarvation(t *testing.T) {
	s := scheduler(1, 1)
	busy := []string{place(t, s, start, request(0)), place(t, s, start, request(1))}
	usual, urgent := request(2), request(3)
	urgent.Class = "urgent"
	for _, r := range []placement.Request[int]{usual, urgent} {
		ticket, out := s.Place(start, r)
		require.NotNil(t, ticket)
		require.Empty(t, out)
	}
	s.Finish(busy[0], time.Second, 100)
	out := s.Dispatch(start.Add(time.Millisecond))
	require.Len(t, out, 1)
	require.Equal(t, 3, out[0].Value)

	s = scheduler(1, 1)
	server := place(t, s, start, request(0))
	place(t, s, start, request(1))
	usualServed := 0
	for i := 2; i < 400; i++ {
		for _, class := range []string{"urgent", "usual"} {
			r := request(i)
			r.Class, r.MaxWait = class, time.Hour
			if class == "usual" {
				r.Value = -i
			}
			s.Place(start, r)
		}
		s.Finish(server, time.Millisecond, 100)
		for _, o := range s.Dispatch(start) {
			if o.Err == nil && o.Value < 0 {
				usualServed++
			}
		}
	}
	require.Greater(t, usualServed, 20, "a tenth of 400 slots is reserved")
}

// A third of the servers fails. Servers in cooldown must get no requests while others
// are available, and must get them when all servers are in cooldown.
func TestServersInCooldownAreLastResort(t *testing.T) {
	s := scheduler(3, 4)
	s.SetCooldown("s0", start.Add(time.Second))
	for i := range 6 {
		require.NotEqual(t, "s0", place(t, s, start, request(i)))
	}
	s.SetCooldown("s1", start.Add(time.Second))
	s.SetCooldown("s2", start.Add(time.Second))
	require.NotEmpty(t, place(t, s, start, request(7)))
	s.Ban("s0", start.Add(time.Minute))
	s.Ban("s1", start.Add(time.Minute))
	for i := range 2 {
		require.Equal(t, "s2", place(t, s, start, request(10+i)))
	}
}

// Servers get each other's addresses after a loss of power, and one refuses requests for
// the other until the list is right. A ban must end with the address or the run of the
// server, and after a while in any case: the server may be back at its address.
func TestBanEnds(t *testing.T) {
	s := scheduler(0, 0)
	list := serverList(1, 4)
	list[0].Incarnation = "a"
	s.SetServers(list)
	until := start.Add(time.Second)
	s.Ban("s0", until)
	s.SetServers(list)
	_, out := s.Place(start, request(1))
	require.Error(t, out[0].Err)
	require.Equal(t, "s0", place(t, s, until, request(2)))
	s.Ban("s0", until.Add(time.Minute))
	list[0].Incarnation = "b"
	s.SetServers(list)
	require.Equal(t, "s0", place(t, s, until, request(3)))
}

func groupScheduler(n int) *placement.Scheduler[int] {
	s := scheduler(0, 0)
	servers := serverList(n, 4)
	for i := range servers {
		servers[i].Group = "g"
	}
	s.SetServers(servers)
	return s
}

// A rank group breaks and serves again after a second. Meanwhile it must get no
// requests except one at a time that tests whether it serves again, and no request
// may be refused, since the group recovers in time.
func TestGroupOutage(t *testing.T) {
	s := groupScheduler(3)
	s.MarkGroupDown(start, "g")
	for i := range 5 {
		ticket, out := s.Place(start.Add(time.Millisecond), request(i))
		require.NotNil(t, ticket)
		require.Empty(t, out)
	}
	require.Empty(t, s.Dispatch(start.Add(300*time.Millisecond)), "the wait exceeds MaxWait during an outage")
	probe := s.Dispatch(start.Add(450 * time.Millisecond))
	require.Len(t, probe, 1, "one request tests the group")
	require.Empty(t, s.Dispatch(start.Add(460*time.Millisecond)))
	s.MarkGroupDown(start.Add(500*time.Millisecond), "g")
	s.Finish(probe[0].Server, 0, 0)
	require.Empty(t, s.Dispatch(start.Add(510*time.Millisecond)))
	require.Len(t, s.Dispatch(start.Add(time.Second)), 1)
	s.MarkGroupUp("g")
	require.Len(t, s.Dispatch(start.Add(1100*time.Millisecond)), 3)
}

// In a long outage, requests must not be queued although the end of the outage is
// unknown, and callers must not be told to retry too early.
func TestLongGroupOutage(t *testing.T) {
	s := groupScheduler(2)
	for ms := 0; ms <= 3000; ms += 300 {
		s.MarkGroupDown(start.Add(time.Duration(ms)*time.Millisecond), "g")
	}
	ticket, out := s.Place(start.Add(3*time.Second), request(1))
	require.Nil(t, ticket)
	require.True(t, errkind.Is(out[0].Err, errkind.NoBackendServer))
	require.Greater(t, out[0].Err.RetryAfter, 2*time.Second)
}

// A test request that ends without a result must not block the group for good.
func TestGroupProbeWithoutResult(t *testing.T) {
	s := groupScheduler(2)
	s.MarkGroupDown(start, "g")
	later := start.Add(time.Second)
	server := place(t, s, later, request(1))
	ticket, _ := s.Place(later, request(2))
	require.NotNil(t, ticket)
	s.Finish(server, 0, 0)
	require.Len(t, s.Dispatch(later), 1)
}

// A server that takes five times as long must not get an equal share, and must be
// tried again after a while.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	s := scheduler(3, 4)
	for range 20 {
		s.ObserveSlowdown(start, "s0", 5)
		s.ObserveSlowdown(start, "s1", 1)
		s.ObserveSlowdown(start, "s2", 1)
	}
	count := map[string]int{}
	for i := range 6 {
		count[place(t, s, start, request(i))]++
	}
	require.LessOrEqual(t, count["s0"], 1)
	later := start.Add(time.Minute)
	for i := range 6 {
		count[place(t, s, later, request(10+i))]++
	}
	require.GreaterOrEqual(t, count["s0"], 3, "the slowdown has decayed")
}

// One rank of a group at full load is slow. The slow rank must get no requests while
// there are other ranks, even if these are full or in cooldown, but it must get
// requests when it is the only one.
func TestAvoidedServer(t *testing.T) {
	s := scheduler(2, 1)
	s.Avoid("s0", start.Add(time.Second))
	s.SetCooldown("s1", start.Add(time.Second))
	for i := range 2 {
		require.Equal(t, "s1", place(t, s, start, request(i)))
	}
	ticket, out := s.Place(start, request(3))
	require.NotNil(t, ticket, "the request is queued for the other server")
	require.Empty(t, out)
	s.Ban("s1", start.Add(time.Minute))
	require.Len(t, s.Dispatch(start), 1, "there is no other server")
	s = scheduler(1, 1)
	s.Avoid("s0", start.Add(time.Second))
	require.Equal(t, "s0", place(t, s, start, request(1)))
}

// A retry must not go to a server on which the request failed before.
func TestRetryExcludesTriedServers(t *testing.T) {
	s := scheduler(2, 4)
	r := request(1)
	r.Exclude = []string{"s0"}
	for range 3 {
		require.Equal(t, "s1", place(t, s, start, r))
	}
	r.Exclude = []string{"s0", "s1"}
	_, out := s.Place(start, r)
	require.True(t, errkind.Is(out[0].Err, errkind.NoBackendServer))
}

// Requests on a server that is no longer listed must not occupy its slots for good.
func TestRemovedServerIsForgotten(t *testing.T) {
	s := scheduler(2, 1)
	first := place(t, s, start, request(1))
	s.SetServers(nil)
	s.Finish(first, time.Second, 1)
	s.SetServers(serverList(2, 1))
	inFlight, slots := s.TotalLoad()
	require.Zero(t, inFlight)
	require.Equal(t, 2, slots)
}

// A cancelled request must not take a slot later.
func TestCancelledRequestTakesNoSlot(t *testing.T) {
	s := scheduler(1, 1)
	server := place(t, s, start, request(0))
	place(t, s, start, request(1))
	ticket, _ := s.Place(start, request(2))
	require.True(t, s.Cancel(ticket))
	s.Finish(server, time.Second, 1)
	require.Empty(t, s.Dispatch(start))
}

// Guards against a server that gets no requests for seconds because of a single slow
// response, and against one that is slow all the time and isn't avoided.
func TestSlowdownNeedsSeveralResponses(t *testing.T) {
	s := scheduler(2, 4)
	s.ObserveSlowdown(start, "s0", 18)
	s.SetPeerLoad(loads(map[string]int{"s1": 1}))
	require.Equal(t, "s0", place(t, s, start, request(1)), "one slow response counts less than a request in flight")
	for range 10 {
		s.ObserveSlowdown(start, "s0", 18)
	}
	s.SetPeerLoad(loads(map[string]int{"s1": 3}))
	require.Equal(t, "s1", place(t, s, start, request(2)))
}

// Guards against an idle service whose requests all go to one server because its last
// responses were a little faster than those of the others.
func TestSmallDifferencesAreIgnored(t *testing.T) {
	s := scheduler(2, 4)
	used := map[string]int{}
	for i := range 100 {
		id := place(t, s, start, request(i))
		used[id]++
		s.Finish(id, time.Second, 100)
		s.ObserveSlowdown(start, id, 0.95)
	}
	require.Greater(t, min(used["s0"], used["s1"]), 25)
}
