package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/balance/statement"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// Guards against callers that wait in vain, or are told to return before any server wants
// requests, because all servers want a pause that is longer than a request may wait.
func TestCallersAreToldTheShortestPause(t *testing.T) {
	const pause = 5 * time.Second
	requireTold := func(o placement.Outcome[int]) {
		require.NotNil(t, o.Err)
		require.Equal(t, errkind.DeadlineUnreachable, o.Err.Kind)
		require.GreaterOrEqual(t, o.Err.RetryAfter, pause)
		require.LessOrEqual(t, o.Err.RetryAfter, pause*5/4)
	}
	s := scheduler(2, 1)
	for i := range 4 {
		place(t, s, start, request(i))
	}
	ticket, out := s.Place(start, request(5))
	require.NotNil(t, ticket, "all slots are taken")
	require.Empty(t, out)
	s.SetStated("s0", false, start.Add(pause))
	require.Empty(t, s.RefuseUnservable(start), "the other server may take it")
	s.SetStated("s1", false, start.Add(2*pause))
	out = s.RefuseUnservable(start)
	require.Len(t, out, 1)
	requireTold(out[0])
	require.False(t, s.Cancel(ticket))
	for _, exclude := range [][]string{nil, {"s0"}} {
		r := request(6)
		r.Exclude = exclude
		ticket, out = s.Place(start, r)
		require.Nil(t, ticket)
		requireTold(out[0])
	}
	ticket, _ = s.Place(start.Add(pause-request(7).MaxWait), request(7))
	require.NotNil(t, ticket, "the pause ends while it may wait")
}

// Guards against queued requests that wait in vain for the last server of their service,
// which is leaving.
func TestQueuedRequestsAreRefusedIfTheLastServerLeaves(t *testing.T) {
	s := scheduler(1, 1)
	place(t, s, start, request(1))
	place(t, s, start, request(2))
	ticket, _ := s.Place(start, request(3))
	require.NotNil(t, ticket)
	s.SetStated("s0", true, time.Time{})
	out := s.RefuseUnservable(start)
	require.Len(t, out, 1)
	require.Equal(t, errkind.NoBackendServer, out[0].Err.Kind)
}

// The model of a pause of all servers: callers of many gateways who return when they are told
// to.
const (
	pausedGateways  = 35
	pausedServers   = 12
	pauseStep       = 10 * time.Millisecond
	pauseLength     = 10 * time.Second
	pauseReportAge  = 300 * time.Millisecond
	pausedDuration  = 400 * time.Millisecond
	pausedPerSecond = 100
	// pauseWindow is 100 ms, in which at most firstReturns requests start at the end of the
	// pause and mostReturns at any time. 1,000 callers wait by then. Without the spread over
	// the gateways 127 to 154 start in the first window; without that over the callers 300 to
	// 364 in one window, and without both 1,000.
	pauseWindow  = 10
	firstReturns = 90
	mostReturns  = 200
)

type pauseModel struct {
	rng        *rand.Rand
	schedulers []*placement.Scheduler[int]
	// reports are the loads of the servers over all gateways, by step.
	reports []map[string]int
	// returns holds the numbers of callers that return, and ends what ends, by step.
	returns map[int]int
	ends    map[int][]started
	// starts is the number of requests that the servers got in each step.
	starts map[int]int
}

type started struct {
	gateway int
	server  string
}

// newPauseModel returns a model in which all servers have just stated to all gateways that
// they want no requests.
func newPauseModel(seed uint64) *pauseModel {
	m := &pauseModel{
		rng: rand.New(rand.NewPCG(seed, 9)), returns: map[int]int{}, ends: map[int][]started{}, starts: map[int]int{},
	}
	known := make(map[string]int64)
	for _, l := range serverList(pausedServers, 6) {
		known[l.ID] = 1
	}
	for range pausedGateways {
		rng := rand.New(rand.NewPCG(m.rng.Uint64(), 1))
		s := placement.New[int](placement.Config{
			FailureDomain: "a", ServerQueueDepth: 1, QueueCapacity: 64, Classes: []fairqueue.Class{{Name: "usual"}},
		}, rng)
		s.SetServers(serverList(pausedServers, 6))
		table := statement.New(rng.Float64)
		table.SetServers(start, known)
		for _, l := range serverList(pausedServers, 6) {
			table.RecordPause(start, l.ID, pauseLength)
			s.SetStated(l.ID, false, table.PausedUntil(l.ID))
		}
		m.schedulers = append(m.schedulers, s)
	}
	return m
}

func (m *pauseModel) play(duration time.Duration) {
	for step := range int(duration / pauseStep) {
		now := start.Add(time.Duration(step) * pauseStep)
		for _, e := range m.ends[step] {
			m.schedulers[e.gateway].Finish(e.server, pausedDuration, 100)
		}
		m.report(step)
		for g, s := range m.schedulers {
			m.record(step, g, s.Dispatch(now))
		}
		arriving := m.returns[step]
		if m.rng.Float64() < pausedPerSecond*pauseStep.Seconds() {
			arriving++
		}
		for range arriving {
			g := m.rng.IntN(pausedGateways)
			_, out := m.schedulers[g].Place(now, request(step))
			m.record(step, g, out)
		}
	}
}

// report gives each gateway the load of the others as it was a while ago.
func (m *pauseModel) report(step int) {
	total := make(map[string]int)
	for _, s := range m.schedulers {
		s.VisitOwnLoad(func(id string, n int) { total[id] += n })
	}
	m.reports = append(m.reports, total)
	old := m.reports[max(step-int(pauseReportAge/pauseStep), 0)]
	for _, s := range m.schedulers {
		own := make(map[string]int)
		s.VisitOwnLoad(func(id string, n int) { own[id] = n })
		s.SetPeerLoad(func(id string) int { return max(old[id]-own[id], 0) })
		s.SetPeerStaleness(pausedGateways * pauseReportAge)
	}
}

func (m *pauseModel) record(step, g int, out []placement.Outcome[int]) {
	for _, o := range out {
		if o.Err != nil {
			m.returns[step+1+int(o.Err.RetryAfter/pauseStep)]++
			continue
		}
		m.starts[step]++
		end := step + int(pausedDuration/pauseStep)
		m.ends[end] = append(m.ends[end], started{gateway: g, server: o.Server})
	}
}

// mostStarts returns the largest number of requests that the servers got within 100 ms.
func (m *pauseModel) mostStarts(duration time.Duration) int {
	most := 0
	for from := range int(duration / pauseStep) {
		sum := 0
		for i := range pauseWindow {
			sum += m.starts[from+i]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a wave at the end of a pause of all servers, in which the gateways and the
// callers that were told to return all come at the same moment.
func TestReturnsAfterPauseAreSpread(t *testing.T) {
	const duration = pauseLength + 6*time.Second
	for seed := range uint64(5) {
		m := newPauseModel(seed)
		m.play(duration)
		for step := range int(pauseLength / pauseStep) {
			require.Zero(t, m.starts[step], "before the end of the pause")
		}
		first := 0
		for step := range pauseWindow {
			first += m.starts[int(pauseLength/pauseStep)+step]
		}
		require.LessOrEqual(t, first, firstReturns, "gateways return together; seed %d", seed)
		require.LessOrEqual(t, m.mostStarts(duration), mostReturns, "callers return together; seed %d", seed)
	}
}
