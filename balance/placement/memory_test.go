package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// memoryServers returns servers with this memory in tokens.
func memoryServers(n, slots, tokens int) []placement.Server {
	servers := serverList(n, slots)
	for i := range servers {
		servers[i].MemoryTokens = tokens
	}
	return servers
}

func largeRequest(value, tokens int) placement.Request[int] {
	r := request(value)
	r.Tokens = tokens
	return r
}

// Guards against a request that waits although no server can ever hold it, against one that
// is refused although a server will have room soon, and against smaller ones that wait
// behind it.
func TestRequestsWaitForMemory(t *testing.T) {
	s := scheduler(0, 0)
	s.SetServers(memoryServers(2, 4, 2000))
	ticket, out := s.Place(start, largeRequest(1, 1001))
	require.Nil(t, ticket)
	require.True(t, errkind.Is(out[0].Err, errkind.NoBackendServer))
	require.Equal(t, errkind.NotRun, out[0].Err.Execution)
	require.ErrorContains(t, out[0].Err, "1001 tokens")

	first := place(t, s, start, largeRequest(2, 800))
	require.NotEqual(t, first, place(t, s, start, largeRequest(3, 800)))
	ticket, _ = s.Place(start, largeRequest(4, 700))
	require.NotNil(t, ticket)
	cancelled, _ := s.Place(start, largeRequest(5, 850))
	require.Equal(t, 2, s.QueueLen())
	place(t, s, start, largeRequest(6, 100))
	require.Empty(t, s.Dispatch(start))
	require.True(t, s.Cancel(cancelled))
	s.FreeMemory(first, 800)
	s.Finish(first, time.Second, 100)
	out = s.Dispatch(start)
	require.Equal(t, []placement.Outcome[int]{{Value: 4, Server: first}}, out)

	ticket, _ = s.Place(start, largeRequest(7, 850))
	require.NotNil(t, ticket)
	out = s.Dispatch(start.Add(time.Second))
	require.ErrorContains(t, out[0].Err, "no backend server had memory for 850 tokens")
}

// Guards against a request that is refused, or keeps others waiting, when it gets a slot at
// last and no server has room for it.
func TestQueuedRequestWaitsForMemory(t *testing.T) {
	s := scheduler(0, 0)
	s.SetServers(memoryServers(1, 2, 2000))
	held := []int{700, 100, 100}
	for n, tokens := range held {
		place(t, s, start, largeRequest(n, tokens))
	}
	for n, tokens := range []int{600, 100} {
		ticket, _ := s.Place(start, largeRequest(10+n, tokens))
		require.NotNil(t, ticket)
	}
	finish := func(tokens int) []placement.Outcome[int] {
		s.FreeMemory("s0", tokens)
		s.Finish("s0", time.Second, 100)
		return s.Dispatch(start)
	}
	require.Equal(t, []placement.Outcome[int]{{Value: 11, Server: "s0"}}, finish(100))
	require.Empty(t, finish(100))
	require.Equal(t, []placement.Outcome[int]{{Value: 10, Server: "s0"}}, finish(700))
}

// Guards against requests that get memory in the order of their arrival and not of their
// classes, because the classes were set after the scheduler was made.
func TestMemoryGoesToUrgentRequestFirst(t *testing.T) {
	s := placement.New[int](placement.Config{ServerQueueDepth: 1, QueueCapacity: 8}, rand.New(rand.NewPCG(1, 2)))
	s.SetClasses([]fairqueue.Class{{Name: "urgent"}, {Name: "usual"}})
	s.SetServers(memoryServers(1, 4, 2000))
	place(t, s, start, largeRequest(1, 700))
	for value, class := range []string{"usual", "urgent"} {
		r := largeRequest(10+value, 600)
		r.Class = class
		ticket, _ := s.Place(start, r)
		require.NotNil(t, ticket)
	}
	s.FreeMemory("s0", 700)
	s.Finish("s0", time.Second, 100)
	require.Equal(t, []placement.Outcome[int]{{Value: 11, Server: "s0"}}, s.Dispatch(start))
}

// memoryRegions returns a scheduler with one server in each of two failure domains and regions.
func memoryRegions() *placement.Scheduler[int] {
	s := scheduler(0, 0)
	servers := memoryServers(2, 4, 2000)
	servers[0].FailureDomain, servers[0].Region = "a", "north"
	servers[1].FailureDomain, servers[1].Region = "b", "south"
	s.SetServers(servers)
	return s
}

// placeLarge places a large request that may run in one region.
func placeLarge(s *placement.Scheduler[int], value, tokens int, region string) (*placement.Ticket[int], []placement.Outcome[int]) {
	r := largeRequest(value, tokens)
	r.Regions = []string{region}
	return s.Place(start, r)
}

// Guards against requests that wait in vain for the memory of evacuated servers.
func TestRequestsForEvacuatedMemoryAreRefused(t *testing.T) {
	s := memoryRegions()
	placeLarge(s, 1, 700, "north")
	ticket, _ := placeLarge(s, 2, 600, "north")
	require.NotNil(t, ticket)
	out := s.SetEvacuated(start, []string{"a"})
	require.Len(t, out, 1)
	require.Equal(t, 2, out[0].Value)
	require.True(t, errkind.Is(out[0].Err, errkind.NoBackendServer))
	require.Zero(t, s.QueueLen())
}

// Guards against a request that waits for memory in its region and keeps those of other
// regions, whose servers have memory, from starting.
func TestMemoryOfOtherRegionIsUsed(t *testing.T) {
	s := memoryRegions()
	placeLarge(s, 1, 700, "north")
	placeLarge(s, 2, 700, "south")
	for value, region := range []string{"north", "south", "south"} {
		ticket, _ := placeLarge(s, 10+value, 600-value, region)
		require.NotNil(t, ticket)
	}
	s.FreeMemory("s1", 700)
	s.Finish("s1", time.Second, 100)
	require.Equal(t, []placement.Outcome[int]{{Value: 11, Server: "s1"}}, s.Dispatch(start))
}

// Guards against a request that waits for memory and takes a slot for which a more urgent
// request waits.
func TestUrgentRequestGoesBeforeMemory(t *testing.T) {
	s := scheduler(0, 0)
	s.SetServers(memoryServers(1, 1, 2000))
	place(t, s, start, largeRequest(1, 700))
	waiting, _ := s.Place(start, largeRequest(2, 800))
	require.NotNil(t, waiting)
	place(t, s, start, largeRequest(3, 100))
	urgent := request(4)
	urgent.Class = "urgent"
	ticket, _ := s.Place(start, urgent)
	require.NotNil(t, ticket)
	s.FreeMemory("s0", 700)
	s.Finish("s0", time.Second, 100)
	require.Equal(t, []placement.Outcome[int]{{Value: 4, Server: "s0"}}, s.Dispatch(start))
}

// Guards against memory that counts as used for good, and against servers that get more than
// they hold, after the memory in the configuration changes while requests run.
func TestMemoryChangesWhileRequestsRun(t *testing.T) {
	s := scheduler(0, 0)
	fits := func(tokens int) bool { return s.HasFreeSlot(start, placement.Constraint{Tokens: tokens}) }
	s.SetServers(memoryServers(1, 4, 2000))
	place(t, s, start, largeRequest(1, 100)) // keeps the server in use
	place(t, s, start, largeRequest(2, 700))
	require.False(t, fits(800))
	s.SetServers(memoryServers(1, 4, 40_000)) // a request of 700 tokens is small
	s.FreeMemory("s0", 700)
	s.Finish("s0", time.Second, 100)
	s.SetServers(memoryServers(1, 4, 2000))
	require.True(t, fits(800), "the memory is free")

	s.SetServers(memoryServers(1, 4, 40_000))
	place(t, s, start, largeRequest(3, 700)) // small
	s.SetServers(memoryServers(1, 4, 2000))
	place(t, s, start, largeRequest(4, 450))
	s.FreeMemory("s0", 700)
	s.Finish("s0", time.Second, 100)
	require.False(t, fits(300), "a large request is still running")
}

// Guards against gateways that all fill the memory of a server at the same time, and against
// usual requests that only some gateways may send.
func TestLargeRequestsOfFirstGateways(t *testing.T) {
	s := scheduler(0, 0)
	s.SetServers(memoryServers(1, 10, 233_333))
	for rank, large := range map[int]bool{0: true, 1: true, 2: false, 23: false} {
		s.SetRank("s0", rank)
		require.True(t, s.HasFreeSlot(start, placement.Constraint{Tokens: 7_000}))
		require.Equal(t, large, s.HasFreeSlot(start, placement.Constraint{Tokens: 30_000}), rank)
	}
}

// memoryReplay plays requests of very different sizes at many gateways.
type memoryReplay struct {
	*gatewayFleet
	held map[string]int
	// mostHeld is the most memory that the requests of a server have needed at a time.
	mostHeld                              int
	small, large, smallRefused, largeDone int
}

const (
	memoryTokens = 411_666
	smallTokens  = 1_000
	// The larger half of the requests needs from minLarge to maxLarge tokens.
	minLarge, maxLarge = 20_000, 160_000
)

// run plays 10 s of requests at 24 gateways in front of 72 servers. largeShare is the part of
// the requests that is large.
func (r *memoryReplay) run(perSecond int, largeShare float64) {
	sizes := rand.New(rand.NewPCG(5, 5))
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		r.finish(now)
		for g, s := range r.gateways {
			if now.Sub(r.reportedAt[g]) >= reportGap+time.Duration(g)*time.Millisecond {
				r.report(now, g, true)
			}
			if ms%int(dispatchGap/time.Millisecond) == 0 {
				r.record(now, g, s.Dispatch(now))
			}
		}
		for range (ms+1)*perSecond/1000 - ms*perSecond/1000 {
			tokens := smallTokens
			if sizes.Float64() < largeShare {
				tokens = minLarge + sizes.IntN(maxLarge-minLarge)
			}
			if tokens == smallTokens {
				r.small++
			} else {
				r.large++
			}
			g := r.rng.IntN(len(r.gateways))
			req := largeRequest(tokens, tokens)
			req.MaxWait = maxOnTimeWait
			_, out := r.gateways[g].Place(now, req)
			r.record(now, g, out)
		}
	}
}

func (r *memoryReplay) finish(now time.Time) {
	for len(r.running) > 0 && !r.running[0].at.After(now) {
		done := heap.Pop(&r.running).(completion)
		r.ownLoad[done.gateway][done.server]--
		r.held[done.server] -= done.tokens
		r.gateways[done.gateway].FreeMemory(done.server, done.tokens)
		r.gateways[done.gateway].Finish(done.server, meanService, 100)
		r.record(now, done.gateway, r.gateways[done.gateway].Dispatch(now))
	}
}

func (r *memoryReplay) record(now time.Time, g int, out []placement.Outcome[int]) {
	for _, o := range out {
		if o.Err != nil && o.Value == smallTokens {
			r.smallRefused++
		}
		if o.Err != nil {
			continue
		}
		if o.Value != smallTokens {
			r.largeDone++
		}
		r.held[o.Server] += o.Value
		r.mostHeld = max(r.mostHeld, r.held[o.Server])
		r.ownLoad[g][o.Server]++
		took := time.Duration((0.5 + r.rng.Float64()) * float64(meanService))
		heap.Push(&r.running, completion{at: now.Add(took), gateway: g, server: o.Server, tokens: o.Value})
	}
}

func newMemoryReplay(tokens int) *memoryReplay {
	r := &memoryReplay{gatewayFleet: newGatewayFleet(coldGateways, coldServers, coldSlots), held: make(map[string]int)}
	for _, s := range r.gateways {
		s.SetServers(memoryServers(coldServers, coldSlots, tokens))
	}
	for _, srv := range serverList(coldServers, coldSlots) {
		for rank, g := range r.rng.Perm(coldGateways) {
			r.gateways[g].SetRank(srv.ID, rank)
		}
	}
	return r
}

// Guards against servers that crash because the long prompts of many gateways exceed their
// memory, against small requests that are refused for it, and against memory that limits
// the usual load.
func TestLongPromptsFitMemory(t *testing.T) {
	for _, load := range []struct {
		perSecond  int
		largeShare float64
		// minDone is the least part of the large requests that is started.
		minDone float64
	}{
		{calmPerSecond, 0, 0}, {calmPerSecond, 0.5, 0.85}, {434, 1, 0.5},
	} {
		r := newMemoryReplay(memoryTokens)
		r.run(load.perSecond, load.largeShare)
		require.LessOrEqual(t, r.mostHeld, memoryTokens, load)
		require.Zero(t, r.smallRefused, load)
		require.GreaterOrEqual(t, float64(r.largeDone), load.minDone*float64(r.large), load)
		if load.largeShare > 0 {
			unlimited := newMemoryReplay(0)
			unlimited.run(load.perSecond, load.largeShare)
			require.Greater(t, unlimited.mostHeld, memoryTokens, load)
		}
	}
}
