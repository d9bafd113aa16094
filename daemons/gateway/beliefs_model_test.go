package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/liveness"
	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/balance/requestlimit"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	beliefServers = 5
	// beliefPause is the longest pause that a server states, and beliefCold how long a server
	// is cold after a start.
	beliefPause = 20 * time.Second
	beliefCold  = 5 * time.Second
	// beliefWait is how long a request of the model may wait for a slot.
	beliefWait = 2 * time.Second
)

// stated is what a run of a server has stated to the gateway.
type stated struct {
	startedUnixMs int64
	leaving       bool
	pausedUntil   time.Time
}

// beliefModel applies random news, answers, statements, restarts and swaps of addresses to a
// service, and sends it requests in all ways that a gateway has.
type beliefModel struct {
	svc *service
	rng *rand.Rand
	now time.Time
	// list is the truth, and known what the gateway has read of it.
	list  []fleet.Server
	known map[string]fleet.Server
	// sound means that nothing happens to the first server.
	sound bool
	next  int64
	// timeOfDay is what the wall clocks of the servers are off, in milliseconds.
	timeOfDay int64
	evacuated []string
	stated    map[string]stated
	// placed holds the servers of the requests that wait for a connection, inFlight those of
	// the requests that were sent.
	placed, inFlight []string
	waiters          []*waiter
	// lastServed is when a request last started.
	lastServed time.Time
	// violation is what was sent to a server that must not get it.
	violation string
}

func newBeliefModel(seed uint64) *beliefModel {
	rng := rand.New(rand.NewPCG(seed, 33))
	m := &beliefModel{
		rng: rng, now: time.Unix(1000, 0), sound: rng.IntN(2) == 0, next: 1000,
		known: make(map[string]fleet.Server), stated: make(map[string]stated),
		svc: newService("s", "zone-1", retry.Config{Burst: 1e6, MaxAttempts: 9}, rng, zerolog.Nop()),
	}
	m.lastServed = m.now
	m.svc.scheduler.SetClasses([]fairqueue.Class{{Name: "usual"}})
	if rng.IntN(2) == 0 {
		m.svc.setColdLimit(m.now, fleet.ColdStart{RequestsPerSecond: 8, Duration: beliefCold}, &platform.Bounds{ColdOverage: 1.5, ColdTolerance: 2})
	}
	grouped := rng.IntN(2) == 0
	for n := range beliefServers {
		s := fleet.Server{
			ID: "s" + strconv.Itoa(n), Service: "s", Address: "10.0.0." + strconv.Itoa(n+1) + ":80", Slots: 2, StartedUnixMs: int64(n),
			FailureDomain: "zone-" + strconv.Itoa(n),
		}
		if grouped && n > 0 {
			s.Group = "g" + strconv.Itoa(n%2)
		}
		m.list = append(m.list, s)
	}
	m.gateways()
	m.news(m.list)
	return m
}

// gateways applies the list of the gateways, as the load reports do.
func (m *beliefModel) gateways() {
	m.svc.setGateways(m.now, gatewayList{self: "a:1", live: []string{"b:1", "c:1"}, known: []string{"b:1", "c:1"}, listed: true})
}

// news makes the gateway read a list of the servers.
func (m *beliefModel) news(list []fleet.Server) {
	m.svc.setServers(m.now, list)
	listed := make(map[string]bool)
	for _, l := range list {
		listed[l.ID] = true
		if m.stated[l.ID].startedUnixMs != l.StartedUnixMs {
			delete(m.stated, l.ID)
		}
		m.known[l.ID] = l
	}
	for id := range m.stated {
		if !listed[id] && m.stated[id].startedUnixMs == 0 {
			delete(m.stated, id) // it can't be told from another run
		}
	}
}

// server returns a random server to which something happens.
func (m *beliefModel) server() *fleet.Server {
	if m.sound {
		return &m.list[1+m.rng.IntN(len(m.list)-1)]
	}
	return &m.list[m.rng.IntN(len(m.list))]
}

// step applies a random event, and sends requests.
func (m *beliefModel) step() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(1200)) * time.Millisecond)
	events := []func(){
		m.swapAddresses, m.restart, m.readNews, m.readPartOfNews, m.changeGroup, m.stepTimeOfDay, m.evacuate,
		m.state, m.limit, m.slowRank, m.gateways, m.answer, m.answer, m.answer, m.probe, m.probe,
		m.firstAttempt, m.firstAttempt, m.retry, m.standby, m.sendPlaced, m.sendPlaced, m.sendPlaced,
	}
	events[m.rng.IntN(len(events))]()
	m.svc.dispatch(m.now)
	m.collect()
	if m.sound {
		m.serveSound()
	}
}

// swapAddresses gives two servers each other's addresses.
func (m *beliefModel) swapAddresses() {
	a, b := m.server(), m.server()
	a.Address, b.Address = b.Address, a.Address
}

func (m *beliefModel) restart() { m.restartServer(m.server()) }

// restartServer starts a server again. Its start time may be before the former one if the
// time of day has been set.
func (m *beliefModel) restartServer(s *fleet.Server) {
	m.next++
	s.StartedUnixMs = m.next + m.timeOfDay
}

func (m *beliefModel) stepTimeOfDay() {
	m.timeOfDay = time.Duration(m.rng.Int64N(int64(4*time.Hour)) - int64(2*time.Hour)).Milliseconds()
}

func (m *beliefModel) readNews() { m.news(m.list) }

// readPartOfNews reads a list in which registrations are missing.
func (m *beliefModel) readPartOfNews() {
	first := 0
	if m.sound {
		first = 1
	}
	m.news(m.list[:first+m.rng.IntN(len(m.list)-first)])
}

func (m *beliefModel) changeGroup() {
	if s := m.server(); s.Group != "" {
		s.Group = "g" + strconv.Itoa(m.rng.IntN(3))
	}
}

// evacuate evacuates a failure domain, or ends all evacuations.
func (m *beliefModel) evacuate() {
	domain := m.server().FailureDomain
	m.setEvacuated(append(slices.Clone(m.evacuated), domain))
	if m.rng.IntN(3) == 0 {
		m.setEvacuated(nil)
	}
}

func (m *beliefModel) setEvacuated(domains []string) {
	m.evacuated = domains
	m.svc.setEvacuated(m.now, domains)
}

// state makes a server state that it is leaving, wants no requests or is cold.
func (m *beliefModel) state() {
	id := m.server().ID
	known, ok := m.known[id]
	if !ok || m.svc.incarnations[id] == "" {
		return
	}
	h := platform.ResponseHeader{ColdFor: time.Duration(m.rng.Int64N(int64(beliefCold)))}
	s := m.stated[id]
	s.startedUnixMs = known.StartedUnixMs
	if m.rng.IntN(3) == 0 {
		h.Leaving, s.leaving = true, true
	} else {
		h.Pause = time.Duration(m.rng.Int64N(int64(beliefPause)))
		if until := m.now.Add(h.Pause); until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	}
	m.stated[id] = s
	m.svc.applyResponse(m.now, id, h)
}

func (m *beliefModel) limit() { m.observeLimit(m.server().ID, true) }

// observeLimit applies a response that states a request limit or none.
func (m *beliefModel) observeLimit(id string, limited bool) {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	key := loadshare.ServerKeyOf(id)
	if m.svc.requestLimits.Observe(key, requestlimit.Statement{Limited: limited, Rate: 4 * m.rng.Float64(), At: m.now}) {
		m.svc.applyRequestLimits(m.now)
	}
}

func (m *beliefModel) slowRank() { m.svc.avoidSlowRank(m.now, m.server().Address) }

// probe probes the server of a request in flight if the gateway would do so.
func (m *beliefModel) probe() {
	if len(m.inFlight) == 0 {
		return
	}
	id := m.inFlight[m.rng.IntN(len(m.inFlight))]
	if m.svc.serverLiveness(m.now, id) != liveness.NeedsProbe {
		return
	}
	m.check("probe", id)
	var err error
	if m.rng.IntN(2) == 0 {
		err = errkind.New(errkind.BackendUnavailable, "silent")
	}
	m.svc.recordProbe(m.now, id, err)
}

// exclude returns a random server on which a request was tried.
func (m *beliefModel) exclude() []string { return []string{m.server().ID} }

func (m *beliefModel) firstAttempt() { m.place(placement.Constraint{}) }

// retry places a request, or the rest of a stream, that was tried on a server before.
func (m *beliefModel) retry() { m.place(placement.Constraint{Exclude: m.exclude()}) }

func (m *beliefModel) place(c placement.Constraint) {
	w := &waiter{outcome: make(chan placement.Outcome[*waiter], 1)}
	m.svc.mu.Lock()
	_, out := m.svc.scheduler.Place(m.now, placement.Request[*waiter]{Class: "usual", Cost: 1, MaxWait: beliefWait, Constraint: c, Value: w})
	m.svc.deliver(out)
	m.svc.mu.Unlock()
	m.waiters = append(m.waiters, w)
}

func (m *beliefModel) standby() {
	err := errkind.New(errkind.StreamIncomplete, "silent")
	id, ok := m.svc.reserveStandby(m.now, retry.Attempt{Err: err, Number: 1, Idempotent: true}, placement.Constraint{Exclude: m.exclude()})
	if ok {
		m.started("standby", id)
	}
}

// collect takes the outcomes of the requests that wait.
func (m *beliefModel) collect() {
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool {
		if len(w.outcome) == 0 {
			return false
		}
		if o := <-w.outcome; o.Err == nil {
			m.started("first attempt, retry or queued request", o.Server)
		}
		return true
	})
}

func (m *beliefModel) started(what, id string) {
	m.check(what, id)
	m.lastServed = m.now
	m.placed = append(m.placed, id)
}

// sendPlaced sends the oldest request whose connection is ready, if it may still be sent.
func (m *beliefModel) sendPlaced() {
	if len(m.placed) == 0 {
		return
	}
	id := m.placed[0]
	m.placed = m.placed[1:]
	if !m.svc.confirmSend(m.now, id) {
		m.svc.release(m.now, attemptResult{server: id, err: errkind.New(errkind.BackendUnavailable, "not sent"), notServerFault: true})
		return
	}
	m.check("request that waited for its connection", id)
	m.inFlight = append(m.inFlight, id)
}

// check notes that a server gets a request although it must not.
func (m *beliefModel) check(what, id string) {
	s := m.stated[id]
	switch {
	case s.leaving:
		m.violation = what + " at leaving server " + id
	case s.pausedUntil.After(m.now):
		m.violation = what + " at paused server " + id
	case slices.Contains(m.evacuated, m.known[id].FailureDomain):
		m.violation = what + " at evacuated server " + id
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
	kind := m.rng.IntN(7)
	if m.sound && id == m.list[0].ID {
		kind = 3
	}
	switch kind {
	case 0:
		r.wrongServer = true
	case 1:
		r.serverFull = true
	case 2:
		r.notServerFault = true
	case 3:
		m.svc.recordProgress(m.now, id)
		r = attemptResult{server: id, duration: time.Second, cost: 1, timeToFirstOutput: time.Duration(m.rng.IntN(9000)) * time.Millisecond}
	case 4:
		r.groupDown = m.known[id].Group != ""
	}
	m.svc.release(m.now, r)
}

// succeed sends the requests that were placed on a server and answers all that it has.
func (m *beliefModel) succeed(id string) {
	finish := func(server string) bool {
		if server != id {
			return false
		}
		m.svc.recordProgress(m.now, id)
		m.svc.release(m.now, attemptResult{server: id, duration: time.Second, cost: 1, timeToFirstOutput: time.Second})
		m.observeLimit(id, false)
		return true
	}
	m.placed = slices.DeleteFunc(m.placed, finish)
	m.inFlight = slices.DeleteFunc(m.inFlight, finish)
}

// serveSound sends a request while the first server is sound.
func (m *beliefModel) serveSound() {
	m.firstAttempt()
	m.collect()
	m.succeed(m.list[0].ID)
}

// recover ends all faults and lets the time pass while the list is read and requests are
// answered.
func (m *beliefModel) recover(duration time.Duration) {
	m.setEvacuated(nil)
	for i, s := range m.list {
		if m.stated[s.ID].leaving {
			m.restartServer(&m.list[i])
		}
	}
	for end := m.now.Add(duration); m.now.Before(end); m.now = m.now.Add(time.Second) {
		m.news(m.list)
		m.gateways()
		m.svc.dispatch(m.now)
		m.collect()
		for _, s := range m.list {
			m.succeed(s.ID)
			if m.placeOn(s.ID) {
				m.placed = append(m.placed, s.ID)
			}
			m.succeed(s.ID)
		}
	}
}

// placeOn takes a slot on the server if that is possible, and on none else.
func (m *beliefModel) placeOn(id string) bool {
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
