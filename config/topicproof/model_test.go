package topicproof

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/seeds"
)

const (
	// modelPoll is the longest duration of a long poll, and modelTick the longest time between two
	// decisions of a gateway.
	modelPoll = 550 * time.Millisecond
	modelTick = 100 * time.Millisecond
	// faultTime is how long the faults last, and recoveryTime how long afterwards all
	// gateways must be current.
	faultTime    = 12 * time.Second
	recoveryTime = 8 * time.Second
)

// instant is a state of the store that began at a time of the model.
type instant struct {
	at      time.Duration
	history int
	next    int64
	digest  uint64
}

// witness is a read that found nothing beyond what it returned when the store executed it.
type witness struct {
	executed time.Duration
	next     int64
	digest   uint64
}

type event struct {
	at    time.Duration
	order int
	// to is the gateway that the event happens at, or -1.
	to  int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type modelGateway struct {
	address string
	// offset is what the clock of the gateway reads at the begin of the model.
	offset      time.Time
	frozenUntil time.Duration
	incarnation int
	// cutOff means that the store is out of reach.
	cutOff    bool
	knowledge Knowledge
	asker     *Asker
	pollers   Pollers
	// history is that of the store as of the last read, and records the newest record of
	// each key.
	history int
	records Digest
	reading bool
}

// model is a store and several gateways with clocks of their own, connected by a network that
// delays, loses and duplicates datagrams.
type model struct {
	t   *testing.T
	rng *rand.Rand
	// noticed means that a reader notices a store that has started over in each case, and
	// not only if the topic ends before the offset of the read.
	noticed  bool
	faults   bool
	now      time.Duration
	order    int
	queue    eventQueue
	gateways []*modelGateway
	// values holds the newest record of each key, and past all states of the store.
	records   Digest
	past      []instant
	witnesses []witness
	responded time.Duration
	message   string
	// reads counts the reads by their reason, and asked the requests to each gateway.
	reads map[ReadReason]int
	asked map[string]int
}

// newModel returns a model of a number of gateways; 0 stands for a random one.
func newModel(t *testing.T, seed uint64, gateways int) *model {
	rng := rand.New(rand.NewPCG(seed, 8))
	if gateways == 0 {
		gateways = 2 + rng.IntN(7)
	}
	m := &model{
		t: t, rng: rng, noticed: rng.IntN(3) > 0, faults: true, message: seeds.ReplayCommand(t, "config/topicproof", seed),
		past: []instant{{}}, reads: make(map[ReadReason]int), asked: make(map[string]int),
	}
	for n := range gateways {
		g := &modelGateway{address: fmt.Sprint("g", n), offset: time.Unix(rng.Int64N(1e6)+1e5, 0)}
		m.gateways = append(m.gateways, g)
	}
	for n := range gateways {
		m.start(n)
		m.schedule(0, n, func() { m.tick(n) })
	}
	return m
}

func (m *model) schedule(after time.Duration, to int, run func()) {
	m.order++
	heap.Push(&m.queue, event{at: m.now + after, order: m.order, to: to, run: run})
}

func (m *model) clock(g *modelGateway) time.Time { return g.offset.Add(m.now) }

// real converts a time on the clock of a gateway into one of the model.
func (g *modelGateway) real(at time.Time) time.Duration { return at.Sub(g.offset) }

func (m *model) start(n int) {
	g := m.gateways[n]
	g.incarnation++
	g.knowledge, g.records, g.reading = Knowledge{}, Digest{}, false
	g.asker = NewAsker(m.rng.Uint64())
	m.chooseLive(n)
}

// chooseLive gives a gateway a view of who is alive, which may be wrong during faults.
func (m *model) chooseLive(n int) {
	var live []string
	for i, g := range m.gateways {
		if i != n && (!m.faults || m.rng.IntN(4) > 0) {
			live = append(live, g.address)
		}
	}
	g := m.gateways[n]
	g.pollers = Choose(g.address, live)
	if m.faults && m.rng.IntN(3) == 0 {
		g.pollers.Poller = m.rng.IntN(2) == 0
	}
	g.asker.SetPollers(g.pollers)
}

// run plays the events up to a time.
func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if e.to >= 0 && m.gateways[e.to].frozenUntil > m.now {
			m.schedule(m.gateways[e.to].frozenUntil-m.now, e.to, e.run)
			continue
		}
		e.run()
	}
	m.now = until
}

// delay is that of a datagram, of a call or of a process that stands still for a moment.
func (m *model) delay() time.Duration {
	if m.faults && m.rng.IntN(4) == 0 {
		return time.Duration(m.rng.Int64N(int64(2500 * time.Millisecond)))
	}
	return time.Duration(m.rng.Int64N(int64(5 * time.Millisecond)))
}

// send delivers a datagram no, one or two times.
func (m *model) send(to int, deliver func()) {
	copies := 1
	if m.faults {
		copies = []int{0, 1, 1, 1, 2}[m.rng.IntN(5)]
	}
	for range copies {
		m.schedule(m.delay(), to, deliver)
	}
}

func (m *model) tick(n int) {
	g := m.gateways[n]
	now := m.clock(g)
	if !g.reading {
		if reason := g.knowledge.ReadReason(now, g.pollers.Poller); reason != Idle {
			m.read(n, reason)
		}
	}
	if g.knowledge.WantsProof(now, g.pollers.Poller) {
		if r, ok := g.asker.Due(now); ok {
			m.ask(n, r)
		}
	}
	m.schedule(time.Duration(m.rng.Int64N(int64(modelTick))), n, func() { m.tick(n) })
}

func (m *model) index(address string) int {
	for i, g := range m.gateways {
		if g.address == address {
			return i
		}
	}
	return -1
}

func (m *model) ask(n int, r Request) {
	to := m.index(r.To)
	m.asked[r.To]++
	m.send(to, func() {
		responder := m.gateways[to]
		proof, ok := responder.knowledge.Proof(m.clock(responder))
		if !ok {
			return
		}
		m.send(n, func() {
			g := m.gateways[n]
			if asked, known := g.asker.Resolve(r.Number); known {
				g.knowledge.Apply(m.clock(g), asked, proof)
				m.check(g)
				m.checkProof(g)
			}
		})
	})
}

// read sends a read, which the store executes after a delay, or after the time of a long poll
// if nothing new is there before.
func (m *model) read(n int, reason ReadReason) {
	g := m.gateways[n]
	g.reading = true
	m.reads[reason]++
	sent, incarnation := m.clock(g), g.incarnation
	snapshot := reason == Start || reason == OtherHistory
	wait := time.Duration(0)
	if reason == Poll {
		wait = modelPoll - time.Duration(m.rng.Int64N(int64(100*time.Millisecond)))
	}
	finish := func(apply func()) {
		m.schedule(m.delay(), n, func() {
			if g.incarnation != incarnation {
				return
			}
			g.reading = false
			apply()
		})
	}
	m.schedule(m.delay()+wait, -1, func() {
		if g.incarnation != incarnation {
			return
		}
		if g.cutOff || m.faults && m.rng.IntN(10) == 0 {
			finish(func() {})
			return
		}
		m.execute(g, sent, snapshot, finish)
	})
}

// execute performs a read at the store. A read that doesn't continue the history is repeated
// as a snapshot.
func (m *model) execute(g *modelGateway, sent time.Time, snapshot bool, finish func(func())) {
	state := m.past[len(m.past)-1]
	startedOver := state.history != g.history && (m.noticed || g.knowledge.next > state.next)
	r := Read{Next: state.next, Complete: true, Snapshot: snapshot || startedOver, Sent: sent}
	records := m.records.clone()
	if !r.Snapshot && state.history != g.history {
		// The reader takes the records of another history for the next ones of its own.
		records = g.records.clone()
		records.Set("unnoticed", []byte(fmt.Sprint(state.next, state.digest, g.records.Sum())))
		if g.knowledge.next == state.next {
			records = g.records.clone()
		}
	}
	if part, ok := m.page(g); ok && !r.Snapshot {
		r.Next, r.Complete, records = part.next, false, Digest{sum: part.digest}
	}
	r.Digest = records.Sum()
	if r.Complete {
		m.witnesses = append(m.witnesses, witness{executed: m.now, next: r.Next, digest: r.Digest})
	}
	finish(func() {
		if m.now > m.responded {
			m.responded = m.now
		}
		r.Received = m.clock(g)
		g.records = records
		if r.Snapshot || state.history == g.history {
			g.history = state.history
		}
		g.knowledge.RecordRead(r)
		m.check(g)
	})
}

// page returns the state up to which a read returns records if it returns only some of them.
func (m *model) page(g *modelGateway) (instant, bool) {
	part := m.past[m.rng.IntN(len(m.past))]
	last := m.past[len(m.past)-1]
	ok := m.noticed && m.rng.IntN(2) == 0 && part.history == g.history && last.history == g.history &&
		part.next > g.knowledge.next && part.next < last.next
	return part, ok
}

func (d *Digest) clone() Digest {
	c := Digest{sum: d.sum, hashes: make(map[string]uint64, len(d.hashes))}
	for key, hash := range d.hashes {
		c.hashes[key] = hash
	}
	return c
}

// check requires that the knowledge of a gateway was current when it says so.
func (m *model) check(g *modelGateway) {
	current, responded := g.knowledge.CurrentAt()
	if current.IsZero() {
		return
	}
	at := g.real(current)
	// Plain conditions, because the model checks them millions of times.
	if at > m.now || g.real(responded) > m.responded {
		m.t.Fatalf("%s knows of times to come; %s", g.address, m.message)
	}
	if m.noticed && !m.wasState(g, at) {
		m.t.Fatalf("%s counts its knowledge as current at %s; %s", g.address, at, m.message)
	}
}

// checkProof requires that some gateway read what a gateway knows, and nothing more, at the
// time up to which its knowledge counts as current or later. This holds also if readers don't
// notice that the store has started over: a proof is no stronger than the read behind it.
func (m *model) checkProof(g *modelGateway) {
	current, _ := g.knowledge.CurrentAt()
	if m.noticed || current.IsZero() || g.knowledge.provenAt.IsZero() {
		return
	}
	if at := g.real(current); !m.witnessed(g, at) {
		m.t.Fatalf("no read at %s or later found what %s knows; %s", at, g.address, m.message)
	}
}

func (m *model) witnessed(g *modelGateway, at time.Duration) bool {
	for i := len(m.witnesses) - 1; i >= 0 && m.witnesses[i].executed >= at; i-- {
		if m.witnesses[i].next == g.knowledge.next && m.witnesses[i].digest == g.knowledge.digest {
			return true
		}
	}
	return false
}

// wasState reports whether the store was at that time, or later, in the state that a gateway
// knows. If so, it had no further records before.
func (m *model) wasState(g *modelGateway, at time.Duration) bool {
	end := m.now
	for i := len(m.past) - 1; i >= 0 && end >= at; i-- {
		if m.past[i].next == g.knowledge.next && m.past[i].digest == g.knowledge.digest {
			return true
		}
		end = m.past[i].at - 1
	}
	return false
}

// disturb applies a random change or fault.
func (m *model) disturb() {
	state := m.past[len(m.past)-1]
	n := m.rng.IntN(len(m.gateways))
	g := m.gateways[n]
	switch m.rng.IntN(9) {
	case 0, 1: // records are appended
		state.next++
		m.records.Set(fmt.Sprint(m.rng.IntN(3)), []byte(fmt.Sprint(m.rng.IntN(4)))[:m.rng.IntN(2)])
		m.record(state)
	case 2: // the store starts over, with a part of the records
		if m.rng.IntN(3) > 0 {
			return
		}
		state.history++
		state.next = m.rng.Int64N(state.next + 1)
		m.records.Set(fmt.Sprint(m.rng.IntN(3)), []byte(fmt.Sprint("h", m.rng.IntN(2))))
		m.record(state)
	case 3:
		g.frozenUntil = m.now + time.Duration(m.rng.Int64N(int64(4*time.Second)))
	case 4:
		m.start(n)
	case 5:
		g.cutOff = !g.cutOff
	default:
		m.chooseLive(n)
	}
}

func (m *model) record(state instant) {
	state.at, state.digest = m.now, m.records.Sum()
	m.past = append(m.past, state)
}

// Guards against knowledge that counts as current although the store had accepted newer
// records before, whatever the order of reads, datagrams, restarts and faults, and against
// gateways that stay without current knowledge after the faults.
func TestKnowledgeIsCurrentWhenItSaysSo(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 2000) {
		m := newModel(t, seed, 0)
		for m.now < faultTime {
			m.run(m.now + time.Duration(m.rng.Int64N(int64(400*time.Millisecond))))
			m.disturb()
		}
		m.faults = false
		for n, g := range m.gateways {
			g.frozenUntil, g.cutOff = 0, false
			m.chooseLive(n)
		}
		m.run(m.now + recoveryTime)
		if !m.noticed {
			continue
		}
		for _, g := range m.gateways {
			current, _ := g.knowledge.CurrentAt()
			require.Less(t, m.now-g.real(current), 2*MaxProofAge, m.message)
			require.Equal(t, m.past[len(m.past)-1].next, g.knowledge.next, m.message)
			require.Equal(t, m.records.Sum(), g.knowledge.digest, m.message)
		}
		if t.Failed() {
			return
		}
	}
}
