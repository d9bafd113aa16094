package quarantine_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const (
	simGateways = 10
	simServers  = 12
	simParts    = 180
	// simSoundRate and simPoisonRate are requests per second.
	simSoundRate  = 56.0
	simPoisonRate = 1.0
	simDuration   = 60 * time.Second
	// simEvents is the number of events of a complete stream. simBatch of them arrive
	// together, simBatchGap after those before.
	simEvents   = 27
	simBatch    = 3
	simBatchGap = 135 * time.Millisecond
	// simOutage is how long a crash takes all servers of the group out of service.
	simOutage = 3500 * time.Millisecond
	// simContact is the time within which all gateways have to know of the crashes.
	simContact = 3 * time.Second
	simLoss    = 0.2
)

// crashSim replays requests that share a bad part of their prompt, and nothing else,
// beside sound requests: gateways send them to the servers of a rank group that stands
// still for seconds after each crash. Each gateway has its own counter, and reports are
// delayed and lost.
type crashSim struct {
	rng      *rand.Rand
	now      time.Duration
	events   simQueue
	sequence int
	counters []*quarantine.CrashCounter
	inFlight map[int]simRequest
	downTill time.Duration

	// ignoreParts makes the whole request its only feature.
	ignoreParts bool
	// crashDelay is the time until a request with the bad part crashes its server.
	crashDelay time.Duration

	crashes        []time.Duration
	poisonArrivals []time.Duration
	soundSent      int
	soundRefused   int
}

type simRequest struct {
	gateway  int
	server   int
	poison   bool
	retries  int
	events   int
	features []quarantine.Feature
}

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *crashSim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: s.now + d, sequence: s.sequence, run: run})
}

func (s *crashSim) clock() time.Time { return counterStart.Add(s.now) }

func runCrashSim(seed uint64, crashDelay time.Duration, ignoreParts bool) *crashSim {
	s := &crashSim{rng: rand.New(rand.NewPCG(seed, 1)), crashDelay: crashDelay, ignoreParts: ignoreParts, inFlight: make(map[int]simRequest)}
	for range simGateways {
		s.counters = append(s.counters, quarantine.NewCrashCounter())
	}
	s.arrivals(simSoundRate, false)
	s.arrivals(simPoisonRate, true)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simDuration {
			return s
		}
		s.now = e.at
		e.run()
	}
	return s
}

func (s *crashSim) arrivals(rate float64, poison bool) {
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		s.send(s.newRequest(poison))
		s.arrivals(rate, poison)
	})
}

// newRequest returns a request whose first part is one of simParts by a Zipf
// distribution with exponent 0.5.
func (s *crashSim) newRequest(poison bool) simRequest {
	s.sequence++
	u := s.rng.Float64()
	part := int(math.Ceil(u*u*simParts)) - 1
	parts := []string{fmt.Sprintf("part %d", part)}
	if poison {
		parts = append(parts, "bad")
	}
	if s.ignoreParts {
		parts = nil
	}
	return simRequest{
		gateway: s.rng.IntN(simGateways), poison: poison,
		features: counterFeatures(fmt.Sprintf("body %d", s.sequence), parts...),
	}
}

func (s *crashSim) send(r simRequest) {
	refused := s.counters[r.gateway].Refuses(s.clock(), r.features)
	if !r.poison && r.retries == 0 {
		s.soundSent++
		if refused {
			s.soundRefused++
		}
	}
	if refused || s.now < s.downTill {
		return
	}
	s.sequence++
	id := s.sequence
	r.server = s.rng.IntN(simServers)
	s.inFlight[id] = r
	if r.poison {
		s.poisonArrivals = append(s.poisonArrivals, s.now)
		s.after(s.crashDelay, func() { s.crash(id) })
	}
	s.after(simBatchGap, func() { s.progress(id, simBatch) })
}

// progress records that a request has got a number of events.
func (s *crashSim) progress(id, events int) {
	r, ok := s.inFlight[id]
	if !ok {
		return
	}
	r.events = events
	s.inFlight[id] = r
	if events == simEvents {
		s.answered(id)
		return
	}
	s.report(r, s.counters[r.gateway].RecordProgress(r.features, events).Features)
	s.after(simBatchGap, func() { s.progress(id, events+simBatch) })
}

func (s *crashSim) answered(id int) {
	r := s.inFlight[id]
	delete(s.inFlight, id)
	s.report(r, s.counters[r.gateway].RecordResponse(r.features).Features)
}

// report tells the other gateways what a response to a request has cleared.
func (s *crashSim) report(r simRequest, cleared []quarantine.Feature) {
	if len(cleared) > 0 {
		s.broadcast(r.gateway, func(counter *quarantine.CrashCounter) { counter.RecordResponse(cleared) })
	}
}

// crash ends all requests of the group. Those on the crashed server are reported, and
// all are sent again once.
func (s *crashSim) crash(id int) {
	culprit, ok := s.inFlight[id]
	if !ok {
		return
	}
	crashID := fmt.Sprintf("crash %d", len(s.crashes))
	s.crashes = append(s.crashes, s.now)
	for _, other := range slices.Sorted(maps.Keys(s.inFlight)) {
		r := s.inFlight[other]
		if r.server != culprit.server {
			continue
		}
		delete(s.inFlight, other)
		events := r.events
		s.after(60*time.Millisecond, func() {
			s.record(s.counters[r.gateway], crashID, r.features, events)
			s.broadcast(r.gateway, func(counter *quarantine.CrashCounter) {
				s.record(counter, crashID, r.features, events)
			})
		})
		if r.retries++; r.retries == 1 {
			r.events = 0
			s.after(time.Millisecond, func() { s.send(r) })
		}
	}
	s.after(30*time.Millisecond, func() {
		s.downTill = s.now + simOutage
		clear(s.inFlight)
	})
}

func (s *crashSim) record(counter *quarantine.CrashCounter, crashID string, features []quarantine.Feature, events int) {
	counter.RecordCrash(s.clock(), crashID, features, events)
	counter.Reconsider(s.clock())
}

func (s *crashSim) broadcast(from int, apply func(*quarantine.CrashCounter)) {
	for to, counter := range s.counters {
		if to == from {
			continue
		}
		for copies := range 3 {
			if s.rng.Float64() >= simLoss {
				delay := time.Duration(copies)*300*time.Millisecond + time.Duration(s.rng.IntN(20))*time.Millisecond
				s.after(delay, func() { apply(counter) })
			}
		}
	}
}

// laterArrivals returns the number of requests with the bad part that reached a server
// later than simContact after the fifth crash.
func (s *crashSim) laterArrivals() int {
	const knownAfter = 5
	later := 0
	for _, at := range s.poisonArrivals {
		if len(s.crashes) >= knownAfter && at > s.crashes[knownAfter-1]+simContact {
			later++
		}
	}
	return later
}

// Guards against requests that share a bad part of their prompt and go on crashing
// servers, through several gateways, before the first event of a stream or after many, and
// against refusing sound requests that share their other parts.
func TestSimulationOfBadPromptPart(t *testing.T) {
	const maxLater = 3
	for crashDelay, count := range map[time.Duration]int{90 * time.Millisecond: 60, 400 * time.Millisecond: 30, time.Second: 30} {
		for _, seed := range seeds.ForTest(t, count) {
			s := runCrashSim(seed, crashDelay, false)
			replay := fmt.Sprintf("crash after %s; %s", crashDelay, seeds.ReplayCommand(t, "serve/quarantine", seed))
			require.Greater(t, len(s.crashes), 1, replay)
			require.LessOrEqual(t, s.laterArrivals(), maxLater, "%d crashes; %s", len(s.crashes), replay)
			require.Zero(t, s.soundRefused, "of %d; %s", s.soundSent, replay)
			// The control shows that the load of this seed needs the parts.
			require.Greater(t, runCrashSim(seed, crashDelay, true).laterArrivals(), maxLater, replay)
		}
	}
}
