package placement_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/balance/requestlimit"
)

// Load and size of the grown site whose servers may be cold.
const (
	coldGateways  = 24
	coldServers   = 72
	coldSlots     = 10
	calmPerSecond = 255
	burstFactor   = 1.7
	meanService   = 1400 * time.Millisecond
	replayTime    = 10 * time.Second
	coldTime      = 3 * time.Second
	reportGap     = 300 * time.Millisecond
	dispatchGap   = 50 * time.Millisecond
	// returnAt is when a failure domain of a third of the servers returns cold, that was
	// lost at lossAt.
	lossAt, returnAt = 3 * time.Second, 6 * time.Second
)

// coldReplay plays a steady load at gateways that have the limit of cold servers, or not.
type coldReplay struct {
	*gatewayFleet
	tables   []*requestlimit.Table
	limited  bool
	perTick  float64
	arrivals map[string][]time.Duration
	// refused, waited and full count requests: refused, started after a wait at their
	// gateway, and started on a server without a free slot.
	requests, refused, waited, full int
}

func newColdReplay(perSecond float64, limited bool) *coldReplay {
	r := &coldReplay{
		gatewayFleet: newGatewayFleet(coldGateways, coldServers, coldSlots),
		limited:      limited, perTick: perSecond * time.Millisecond.Seconds(), arrivals: make(map[string][]time.Duration),
	}
	var names []string
	for g := range coldGateways {
		names = append(names, fmt.Sprintf("10.1.0.%d:7340", g))
	}
	for g := range coldGateways {
		table := requestlimit.New()
		if limited {
			table.SetColdLimit(coldLimit)
		}
		table.SetServerCount(coldServers)
		table.SetGateways(names[g], nil)
		table.SetKnownGateways(append(append([]string(nil), names[:g]...), names[g+1:]...), true)
		r.tables = append(r.tables, table)
	}
	// The gateways have started before the load.
	r.setServers(-2*time.Second, serverList(coldServers, coldSlots))
	return r
}

func (r *coldReplay) setServers(at time.Duration, servers []placement.Server) {
	for g, s := range r.gateways {
		s.SetServers(servers)
		setPaces(start.Add(at), s, r.tables[g], servers)
	}
}

// run plays the load. If domainLost is set, a third of the servers is lost and returns cold.
func (r *coldReplay) run(domainLost bool) {
	servers := serverList(coldServers, coldSlots)
	due := 0.0
	for at := time.Duration(0); at < replayTime; at += time.Millisecond {
		now := start.Add(at)
		if domainLost && at == lossAt {
			r.setServers(at, servers[coldServers/3:])
		}
		if domainLost && at == returnAt {
			r.returnCold(at, servers)
		}
		r.finish(now)
		for g, s := range r.gateways {
			if now.Sub(r.reportedAt[g]) >= reportGap+time.Duration(g)*time.Millisecond {
				r.report(now, g, true)
			}
			if at%dispatchGap == 0 {
				r.record(at, g, s.Dispatch(now), true)
			}
		}
		for due += r.perTick; due >= 1; due-- {
			g := r.rng.IntN(coldGateways)
			req := request(0)
			req.MaxWait = maxOnTimeWait
			_, out := r.gateways[g].Place(now, req)
			r.requests++
			r.record(at, g, out, false)
		}
	}
}

func (r *coldReplay) returnCold(at time.Duration, servers []placement.Server) {
	for i := range servers[:coldServers/3] {
		servers[i].Incarnation = "restarted"
	}
	r.setServers(at, servers)
	for _, s := range r.gateways {
		for _, srv := range servers[:coldServers/3] {
			s.SetCold(srv.ID, start.Add(at+coldTime))
		}
	}
}

func (r *coldReplay) finish(now time.Time) {
	for len(r.running) > 0 && !r.running[0].at.After(now) {
		done := heap.Pop(&r.running).(completion)
		r.ownLoad[done.gateway][done.server]--
		r.gateways[done.gateway].Finish(done.server, meanService, 100)
		r.record(now.Sub(start), done.gateway, r.gateways[done.gateway].Dispatch(now), true)
	}
}

func (r *coldReplay) record(at time.Duration, g int, out []placement.Outcome[int], waited bool) {
	for _, o := range out {
		if o.Err != nil {
			r.refused++
			continue
		}
		if waited {
			r.waited++
		}
		load := 0
		for _, own := range r.ownLoad {
			load += own[o.Server]
		}
		if load >= r.slots {
			r.full++
		}
		r.ownLoad[g][o.Server]++
		r.arrivals[o.Server] = append(r.arrivals[o.Server], at)
		took := time.Duration((0.5 + r.rng.Float64()) * float64(meanService))
		heap.Push(&r.running, completion{at: start.Add(at + took), gateway: g, server: o.Server})
	}
}

func (r *coldReplay) most() int {
	most := 0
	for _, times := range r.arrivals {
		most = max(most, mostInSecond(times, 0))
	}
	return most
}

// Guards against a limit of cold servers that makes requests wait, be refused or go to full
// servers in normal operation, in a burst, or while a failure domain returns cold, and
// against a cold server that gets too many requests then.
func TestColdLimitHardlyEverBinds(t *testing.T) {
	for _, load := range []float64{1, burstFactor} {
		for _, domainLost := range []bool{false, true} {
			played := fmt.Sprintf("load %g, failure domain lost: %v", load, domainLost)
			r := newColdReplay(load*calmPerSecond, true)
			r.run(domainLost)
			require.LessOrEqual(t, r.most(), coldPlaces, played)
			require.Zero(t, r.refused, played)
			if load == 1 || !domainLost {
				require.Zero(t, r.waited, played)
			}
			without := newColdReplay(load*calmPerSecond, false)
			without.run(domainLost)
			random := r.requests / 100
			require.LessOrEqual(t, r.waited, without.waited+random, played)
			require.LessOrEqual(t, r.full, without.full+random, played)
		}
	}
}
