package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/balance/requestlimit"
	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// coldLimit allows coldPlaces requests within a second.
var coldLimit = requestlimit.ColdLimit{PerSecond: 28, Overage: 1.5, Tolerance: 5}

const coldPlaces = 47

// setPaces sets the paces of all servers by a table, as the gateway does.
func setPaces(now time.Time, s *placement.Scheduler[int], table *requestlimit.Table, servers []placement.Server) {
	for _, srv := range servers {
		interval, allowed := table.Interval(now, loadshare.ServerKeyOf(srv.ID))
		s.SetPace(now, srv.ID, interval, allowed)
	}
}

// mostInSecond returns the largest number of times within any second from a time on.
func mostInSecond(times []time.Duration, from time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for times[first] < from && first < last || at-times[first] > time.Second {
			first++
		}
		if at >= from {
			most = max(most, last-first+1)
		}
	}
	return most
}

const (
	stampedeTick  = 20 * time.Millisecond
	paceInterval  = 500 * time.Millisecond
	longestDial   = 600 * time.Millisecond
	longestFreeze = 99 * time.Millisecond
	// memberInterval is the time between two changes of the gateways. Requests before a
	// restart count for a second and a half at most, with what is on its way.
	memberInterval = 1500 * time.Millisecond
	newGateways    = 3
)

// stampede is a model of gateways that all want to send as many requests as they may to the
// same few servers: first attempts, requests that waited, standbys, probes of servers, and
// the requests that test a broken rank group. Gateways restart, and new ones start, which
// others hear of late or, if they are cut off, never.
type stampede struct {
	rng      *rand.Rand
	servers  []placement.Server
	gateways []*stampedeGateway
	// limited and withSilent switch on the limit and the counting of silent gateways.
	limited    bool
	withSilent bool
	now        time.Duration
	sends      []pendingSend
	arrivals   map[string][]time.Duration
}

type stampedeGateway struct {
	name      string
	scheduler *placement.Scheduler[int]
	table     *requestlimit.Table
	// knows holds the other gateways that this one has heard of.
	knows    map[string]bool
	listedAt time.Duration
	cutOff   bool
	nextPace time.Duration
}

// pendingSend is a request whose connection is not ready yet.
type pendingSend struct {
	at      time.Duration
	gateway *stampedeGateway
	server  string
}

func newStampede(seed uint64, size stampedeSize, limited, withSilent bool) *stampede {
	m := &stampede{
		rng: rand.New(rand.NewPCG(seed, 3)), limited: limited, withSilent: withSilent, arrivals: make(map[string][]time.Duration),
	}
	for _, srv := range serverList(size.servers, 1000) {
		srv.Region, srv.Group = srv.ID, "g"
		m.servers = append(m.servers, srv)
	}
	for range size.gateways {
		m.addGateway()
	}
	for _, g := range m.gateways {
		g.cutOff = m.rng.IntN(4) == 0
		for _, other := range m.gateways {
			g.knows[other.name] = other != g
		}
	}
	return m
}

func (m *stampede) addGateway() *stampedeGateway {
	g := &stampedeGateway{name: fmt.Sprintf("10.1.0.%d:7340", len(m.gateways)), knows: make(map[string]bool)}
	m.gateways = append(m.gateways, g)
	m.start(g)
	return g
}

// start starts the process of a gateway, which knows nobody before it has read the list.
func (m *stampede) start(g *stampedeGateway) {
	g.scheduler = placement.New[int](placement.Config{QueueCapacity: 8, Classes: []fairqueue.Class{{Name: "usual"}}},
		rand.New(rand.NewPCG(m.rng.Uint64(), 4)))
	g.scheduler.SetServers(m.servers)
	g.table = requestlimit.New()
	if m.limited {
		g.table.SetColdLimit(coldLimit)
	}
	g.table.SetServerCount(len(m.servers))
	g.listedAt, g.nextPace = m.now+time.Duration(m.rng.Int64N(int64(time.Second))), m.now
	if m.now == 0 {
		g.listedAt = 0
	}
}

// changeGateways restarts a gateway or starts a new one.
func (m *stampede) changeGateways(started int) {
	if started >= newGateways || m.rng.IntN(2) == 0 {
		m.start(m.gateways[m.rng.IntN(len(m.gateways))])
		return
	}
	added := m.addGateway()
	for _, g := range m.gateways[:len(m.gateways)-1] {
		added.knows[g.name] = true
		g.knows[added.name] = !g.cutOff
	}
}

func (m *stampede) run(till time.Duration) {
	first := len(m.gateways)
	for ; m.now < till; m.now += stampedeTick {
		if m.now > 0 && m.now%memberInterval == 0 {
			m.changeGateways(len(m.gateways) - first)
		}
		hot := m.servers[int(m.now/time.Second)%len(m.servers)].ID
		for _, g := range m.gateways {
			m.setPaces(g)
			m.press(g, hot)
		}
		m.send()
	}
}

func (m *stampede) setPaces(g *stampedeGateway) {
	if m.now < g.nextPace {
		return
	}
	g.nextPace = m.now + paceInterval
	var known []string
	for _, other := range m.gateways {
		if listed := m.now >= g.listedAt; listed && g.knows[other.name] && (m.withSilent || !g.cutOff && !other.cutOff) {
			known = append(known, other.name)
		}
	}
	g.table.SetGateways(g.name, nil)
	g.table.SetKnownGateways(known, m.now >= g.listedAt)
	setPaces(start.Add(m.now), g.scheduler, g.table, m.servers)
}

// press starts what a gateway may start at one server, mostly the hot one.
func (m *stampede) press(g *stampedeGateway, hot string) {
	now := start.Add(m.now)
	id := hot
	if m.rng.IntN(4) == 0 {
		id = m.servers[m.rng.IntN(len(m.servers))].ID
	}
	r := request(0)
	r.Regions = []string{id}
	started := g.scheduler.Dispatch(now)
	switch m.rng.IntN(5) {
	case 0, 1:
		_, outcomes := g.scheduler.Place(now, r)
		started = append(started, outcomes...)
	case 2:
		if server, ok := g.scheduler.TryPlace(now, r.Constraint); ok {
			started = append(started, placement.Outcome[int]{Server: server})
		}
	case 3:
		if g.scheduler.AllowProbe(now, id) {
			m.arrive(id)
		}
	case 4:
		if m.rng.IntN(10) == 0 {
			g.scheduler.MarkGroupDown(now.Add(-time.Second), "g")
		}
	}
	for _, o := range started {
		if o.Err == nil {
			dial := time.Duration(m.rng.Int64N(int64(stampedeTick)))
			if m.rng.IntN(5) == 0 {
				dial = time.Duration(m.rng.Int64N(int64(longestDial)))
			}
			m.sends = append(m.sends, pendingSend{at: m.now + dial, gateway: g, server: o.Server})
		}
	}
}

// send sends the requests whose connections are ready.
func (m *stampede) send() {
	waiting := m.sends[:0]
	for _, p := range m.sends {
		if p.at > m.now {
			waiting = append(waiting, p)
			continue
		}
		if p.gateway.scheduler.ConfirmSend(start.Add(m.now), p.server) {
			m.arrive(p.server)
		}
		p.gateway.scheduler.Finish(p.server, 0, 0)
	}
	m.sends = waiting
}

// arrive records a request, which may be sent a little late by a process that stands still.
func (m *stampede) arrive(server string) {
	at := m.now + time.Duration(m.rng.Int64N(int64(longestFreeze)))
	i, _ := slices.BinarySearch(m.arrivals[server], at)
	m.arrivals[server] = slices.Insert(m.arrivals[server], i, at)
}

// most returns the largest number of requests that a server got within a second.
func (m *stampede) most() int {
	most := 0
	for _, times := range m.arrivals {
		most = max(most, mostInSecond(times, 0))
	}
	return most
}

type stampedeSize struct {
	gateways, servers int
	time              time.Duration
}

// Guards against a server that gets more requests within a second than a cold one may,
// whatever the gateways know: a server may become cold at any moment.
func TestColdBoundInStampede(t *testing.T) {
	for _, size := range []stampedeSize{
		{8, 6, 12 * time.Second},
		{24, 6, 12 * time.Second},
		{40, 6, 8 * time.Second},
		{60, 24, 6 * time.Second},
		{330, 116, 3200 * time.Millisecond},
	} {
		for _, seed := range seeds.ForTest(t, 1) {
			replay := fmt.Sprintf("%d gateways, %s", size.gateways, seeds.ReplayCommand(t, "balance/placement", seed))
			m := newStampede(seed, size, true, true)
			m.run(size.time)
			require.LessOrEqual(t, m.most(), coldPlaces, replay)
			require.Greater(t, m.most(), coldPlaces/2, replay)
			unlimited := newStampede(seed, size, false, true)
			unlimited.run(time.Second)
			require.Greater(t, unlimited.most(), coldPlaces, replay)
		}
	}
}

// Guards against gateways that take over the share of those that are cut off from them and
// go on: the bound isn't kept if only live gateways are counted.
func TestSilentGatewaysKeepTheirShare(t *testing.T) {
	size := stampedeSize{gateways: 24, servers: 6, time: 6 * time.Second}
	m := newStampede(1, size, true, false)
	m.run(size.time)
	require.Greater(t, m.most(), coldPlaces)
}

// Guards against gateways whose requests that test a broken rank group all go to the same
// server, which is cold.
func TestOutageProbesCountForColdServers(t *testing.T) {
	for _, limited := range []bool{true, false} {
		size := stampedeSize{gateways: 24, servers: 1, time: 4 * time.Second}
		m := newStampede(1, size, limited, true)
		for ; m.now < size.time; m.now += stampedeTick {
			now := start.Add(m.now)
			for _, g := range m.gateways {
				m.setPaces(g)
				_, out := g.scheduler.Place(now, request(0))
				for _, o := range append(out, g.scheduler.Dispatch(now)...) {
					if o.Err != nil || !g.scheduler.ConfirmSend(now, o.Server) {
						continue
					}
					m.arrivals[o.Server] = append(m.arrivals[o.Server], m.now)
					g.scheduler.MarkGroupDown(now, "g")
					g.scheduler.Finish(o.Server, 0, 0)
				}
			}
		}
		require.Equal(t, limited, m.most() <= coldPlaces, "%d requests", m.most())
		require.Greater(t, m.most(), coldPlaces/3)
	}
}
