package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/internal/seeds"
)

// longestRetryAfter is the longest Retry-After of a refusal.
const longestRetryAfter = 2600 * time.Millisecond

// twoDomains returns a scheduler with one server of one slot in each of two failure domains
// and regions.
func twoDomains() *placement.Scheduler[int] {
	s := scheduler(0, 0)
	s.SetServers([]placement.Server{
		{ID: "a", FailureDomain: "a", Region: "north", Slots: 1},
		{ID: "b", FailureDomain: "b", Region: "south", Slots: 1},
	})
	return s
}

// Guards against requests to the servers of an evacuated failure domain while others are
// full, and against servers that are not used again after the evacuation.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	s := twoDomains()
	require.Empty(t, s.SetEvacuated(start, []string{"b"}))
	for i := range 2 { // a slot and a place in the queue of the server
		require.Equal(t, "a", place(t, s, start, request(i)))
	}
	_, ok := s.TryPlace(start, placement.Constraint{})
	require.False(t, ok)
	require.False(t, s.HasFreeSlot(start, placement.Constraint{}))
	ticket, out := s.Place(start, request(3))
	require.NotNil(t, ticket)
	require.Empty(t, out)
	require.Empty(t, s.Dispatch(start))
	inFlight, slots := s.TotalLoad()
	require.Equal(t, 2, inFlight)
	require.Equal(t, 1, slots, "evacuated servers offer no slots")
	// A server that starts again stays evacuated.
	s.SetServers([]placement.Server{
		{ID: "a", FailureDomain: "a", Slots: 1}, {ID: "b", FailureDomain: "b", Slots: 1, Incarnation: "2"}, {ID: "b2", FailureDomain: "b", Slots: 1},
	})
	require.Empty(t, s.Dispatch(start))
	s.SetEvacuated(start, nil)
	out = s.Dispatch(start)
	require.Len(t, out, 1)
	require.Contains(t, []string{"b", "b2"}, out[0].Server)
}

// Guards against requests that wait in vain, or are refused without the reason, because all
// servers that are left are evacuated, and against requests in flight there that are no
// longer counted.
func TestLastServersAreEvacuated(t *testing.T) {
	s := twoDomains()
	for i := range 4 {
		place(t, s, start, request(i))
	}
	ticket, _ := s.Place(start, request(4))
	require.NotNil(t, ticket)
	require.Empty(t, s.SetEvacuated(start, []string{"a"}))
	refused := s.SetEvacuated(start, []string{"a", "b"})
	require.Len(t, refused, 1, "the queued request")
	_, out := s.Place(start, request(5))
	for _, o := range append(refused, out...) {
		require.True(t, errkind.Is(o.Err, errkind.NoBackendServer))
		require.Contains(t, o.Err.Message, "evacuated failure domains (a, b)")
		require.Equal(t, errkind.NotRun, o.Err.Execution)
		require.Equal(t, longestRetryAfter, o.Err.RetryAfter)
	}
	servers, inFlight := s.DomainLoad("b")
	require.Equal(t, 1, servers)
	require.Equal(t, 2, inFlight)
	s.SetServers([]placement.Server{{ID: "a", FailureDomain: "a", Slots: 1}})
	servers, inFlight = s.DomainLoad("b")
	require.Zero(t, servers)
	require.Equal(t, 2, inFlight)
	s.Finish("b", time.Second, 1)
	_, inFlight = s.DomainLoad("b")
	require.Equal(t, 1, inFlight)
}

// Guards against requests that are refused when their rank group is broken and a part of it
// is evacuated, although they may wait for its return.
func TestEvacuationDuringOutage(t *testing.T) {
	s := scheduler(0, 0)
	s.SetServers([]placement.Server{
		{ID: "a", FailureDomain: "a", Slots: 1, Group: "g"}, {ID: "b", FailureDomain: "b", Slots: 1, Group: "g"},
	})
	s.MarkGroupDown(start, "g")
	ticket, _ := s.Place(start, request(1))
	require.NotNil(t, ticket)
	require.Empty(t, s.SetEvacuated(start, []string{"b"}))
	require.Len(t, s.SetEvacuated(start, []string{"a", "b"}), 1)
}

// Guards against a limit for the requests of a rank group that counts the servers that get
// none: the others would get more than their passes allow.
func TestBatchLimitWithoutEvacuatedServers(t *testing.T) {
	s := scheduler(0, 0)
	servers := serverList(6, 6)
	for i := range servers {
		servers[i].Group, servers[i].FailureDomain = "g", fmt.Sprint(i/2)
	}
	s.SetServers(servers)
	s.SetBatchLimit("g", 2.5)
	s.SetEvacuated(start, []string{"0"})
	started := 0
	for i := range 60 {
		_, out := s.Place(start, request(i))
		for _, o := range out {
			if o.Err == nil {
				started++
			}
		}
	}
	require.Equal(t, 10, started, "2.5 on each of 4 servers")
	require.InDelta(t, 2.5, s.MeanLoads()["g"], 1e-9)
}

// Guards against requests that run outside their regions because these are full, wait for
// others that can't start, or wait in vain for regions without a server.
func TestRegions(t *testing.T) {
	s := twoDomains()
	north := request(0)
	north.Regions = []string{"north"}
	for range 2 {
		require.Equal(t, "a", place(t, s, start, north))
	}
	ticket, out := s.Place(start, north)
	require.NotNil(t, ticket)
	require.Empty(t, out)
	require.Empty(t, s.Dispatch(start), "a free slot in another region is none")
	require.Equal(t, "b", place(t, s, start, request(1)), "the queued request can't start there")
	require.Equal(t, "b", place(t, s, start, request(2)))
	ticket, _ = s.Place(start, request(3))
	require.NotNil(t, ticket)
	s.Finish("b", time.Second, 1)
	out = s.Dispatch(start)
	require.Len(t, out, 1)
	require.Equal(t, 3, out[0].Value, "the queued request that can start there")
	s.Finish("a", time.Second, 1)
	out = s.Dispatch(start)
	require.Len(t, out, 1)
	require.Equal(t, 0, out[0].Value)
	require.Equal(t, "a", out[0].Server)

	s.SetServers([]placement.Server{{ID: "a", Region: "north", Slots: 4}, {ID: "unknown", Slots: 4}})
	for _, regions := range [][]string{{"west"}, {}, {""}} {
		north.Regions = regions
		ticket, out = s.Place(start, north)
		require.Nil(t, ticket)
		require.True(t, errkind.Is(out[0].Err, errkind.NoBackendServer))
		require.Contains(t, out[0].Err.Message, "allowed regions")
		require.Equal(t, longestRetryAfter, out[0].Err.RetryAfter)
	}
}

// Guards against a request that starts on an evacuated server or outside its regions in any
// sequence of events, and against one that never starts although a server could take it.
func TestConstraintsHoldInAnyOrder(t *testing.T) {
	servers := serverList(6, 2)
	for i := range servers {
		servers[i].FailureDomain, servers[i].Region = fmt.Sprint(i/2), fmt.Sprint(i/4)
	}
	byID := map[string]placement.Server{}
	for _, server := range servers {
		byID[server.ID] = server
	}
	lists := [][]string{nil, {"0"}, {"1"}, {"0", "1"}, {"2"}, {}}
	for _, seed := range seeds.ForTest(t, 200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s := scheduler(0, 0)
		s.SetServers(servers)
		var evacuated, running []string
		regions := map[int][]string{}
		waiting := map[int]bool{}
		now := start
		record := func(out []placement.Outcome[int]) {
			for _, o := range out {
				delete(waiting, o.Value)
				if o.Err != nil {
					continue
				}
				server := byID[o.Server]
				require.NotContains(t, evacuated, server.FailureDomain, seeds.ReplayCommand(t, "balance/placement", seed))
				if bound := regions[o.Value]; bound != nil {
					require.Contains(t, bound, server.Region, seeds.ReplayCommand(t, "balance/placement", seed))
				}
				running = append(running, o.Server)
			}
		}
		for n := range 200 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			switch rng.IntN(8) {
			case 0:
				evacuated = nil
				for _, domain := range []string{"0", "1", "2"} {
					if rng.IntN(3) == 0 {
						evacuated = append(evacuated, domain)
					}
				}
				record(s.SetEvacuated(now, evacuated))
			case 1:
				s.SetServers(servers[:rng.IntN(len(servers)+1)])
			case 2, 3:
				if len(running) > 0 {
					s.Finish(running[0], time.Second, 1)
					running = running[1:]
				}
			case 4:
				if id, ok := s.TryPlace(now, placement.Constraint{Regions: lists[1]}); ok {
					regions[-1] = lists[1]
					record([]placement.Outcome[int]{{Value: -1, Server: id}})
				}
			default:
				r := request(n)
				r.Regions = lists[rng.IntN(len(lists))]
				regions[n] = r.Regions
				waiting[n] = true
				_, out := s.Place(now, r)
				record(out)
			}
			record(s.Dispatch(now))
		}
		s.SetServers(servers)
		evacuated = nil
		record(s.SetEvacuated(now, nil))
		for _, id := range slices.Clone(running) {
			s.Finish(id, time.Second, 1)
		}
		record(s.Dispatch(now))
		require.Empty(t, waiting, seeds.ReplayCommand(t, "balance/placement", seed))
	}
}
