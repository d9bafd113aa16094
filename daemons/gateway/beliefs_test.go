package gateway

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	beliefServers = 3
	// beliefPause is the longest pause that a server states.
	beliefPause = 20 * time.Second
)

// beliefBound is the time after which each server has to get requests again, if all are sound
// and the list is read each second: the longest ejection after failures, and a read.
var beliefBound = membership.DefaultOutlierConfig().MaxEjectionTime + time.Second

// beliefModel applies random news, answers, restarts and swaps of addresses to a service.
type beliefModel struct {
	svc  *service
	rng  *rand.Rand
	now  time.Time
	list []fleet.Server
	next int
	// inFlight holds the servers of the attempts in flight.
	inFlight []string
}

func newBeliefModel(seed uint64) *beliefModel {
	rng := rand.New(rand.NewPCG(seed, 33))
	m := &beliefModel{
		svc: newService("s", "zone-1", retry.Config{Burst: 9}, rng, zerolog.Nop()), rng: rng, now: time.Unix(1000, 0),
	}
	for n := range beliefServers {
		m.list = append(m.list, fleet.Server{
			ID: "s" + strconv.Itoa(n), Service: "s", Address: "10.0.0." + strconv.Itoa(n+1) + ":80", Slots: 4, StartedUnixMs: int64(n + 1),
		})
	}
	m.news()
	return m
}

func (m *beliefModel) news() { m.svc.setServers(m.now, m.list) }

func (m *beliefModel) server() *fleet.Server { return &m.list[m.rng.IntN(len(m.list))] }

// step applies a random event.
func (m *beliefModel) step() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(1500)) * time.Millisecond)
	id := m.server().ID
	switch m.rng.IntN(10) {
	case 0: // two servers get each other's addresses
		a, b := m.server(), m.server()
		a.Address, b.Address = b.Address, a.Address
	case 1: // a server starts again
		m.next++
		m.server().StartedUnixMs = int64(1000 + m.next)
	case 2:
		m.news()
	case 3: // its registration is missing for a while
		m.svc.setServers(m.now, m.list[:m.rng.IntN(len(m.list))])
	case 4:
		m.svc.recordProbe(m.now, id, errkind.New(errkind.BackendUnavailable, "silent"))
	case 5:
		m.svc.mu.Lock()
		m.svc.statements.RecordPause(m.now, id, time.Duration(m.rng.Int64N(int64(beliefPause))))
		m.svc.applyStatements(id)
		m.svc.mu.Unlock()
	case 6, 7:
		if m.place(id) {
			m.inFlight = append(m.inFlight, id)
		}
	default:
		m.answer()
	}
}

// answer applies the result of the oldest attempt.
func (m *beliefModel) answer() {
	if len(m.inFlight) == 0 {
		return
	}
	id := m.inFlight[0]
	m.inFlight = m.inFlight[1:]
	r := attemptResult{server: id, err: errkind.New(errkind.BackendFailed, "failed")}
	switch m.rng.IntN(6) {
	case 0:
		r.wrongServer = true
	case 1:
		r.serverFull = true
	case 2:
		r.notServerFault = true
	case 3:
		r = attemptResult{server: id, duration: time.Second, cost: 1, timeToFirstOutput: time.Duration(m.rng.IntN(9000)) * time.Millisecond}
	}
	m.svc.release(m.now, r)
}

// place takes a slot on the server if that is possible, and on none else.
func (m *beliefModel) place(id string) bool {
	var exclude []string
	for _, s := range m.list {
		if s.ID != id {
			exclude = append(exclude, s.ID)
		}
	}
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	_, ok := m.svc.scheduler.TryPlace(m.now, placement.Constraint{Exclude: exclude})
	return ok
}

// Guards against a belief against a sound server that outlives its reason: whatever was
// answered, stated or listed before, each server gets requests again within the bound while
// the list is read.
func TestBeliefsAgainstSoundServersEnd(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 3000) {
		m := newBeliefModel(seed)
		for range 5 + m.rng.IntN(80) {
			m.step()
		}
		for len(m.inFlight) > 0 {
			m.answer()
		}
		for end := m.now.Add(beliefBound); m.now.Before(end); m.now = m.now.Add(time.Second) {
			m.news()
		}
		for _, s := range m.list {
			require.True(t, m.place(s.ID), "server %s; %s", s.ID, seeds.ReplayCommand(t, "daemons/gateway", seed))
		}
	}
}
