package claim_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// rule names a rule that a run of the model switches off.
type rule string

const (
	none           rule = ""
	readOwnRecord  rule = "read up to the own record ahead of the run"
	lostIsUnknown  rule = "a lost append answer proves nothing"
	gapIsUnknown   rule = "missing records give unknown"
	brokenIsLost   rule = "a broken backend connection proves nothing"
	endsWhenRefuse rule = "a refused call ignores its claim"
)

// rates are the probabilities of each fault of the model.
const (
	crashRate     = 0.01 // ahead of each effect
	pauseRate     = 0.01 // ahead of each effect
	lostAfterRate = 0.10
	lostLateRate  = 0.05
	lostRate      = 0.05
	limitedRate   = 0.10
	refusedRate   = 0.15
	brokenRate    = 0.05
)

// world is a discrete-event model of callers, sidecars, the log and a backend
// server. All choices come from one seeded source.
type world struct {
	rng        *rand.Rand
	off        rule
	settings   claim.Settings
	now        time.Time
	timers     timerHeap
	order      int
	records    []infra.Record
	trimmed    infra.Offset
	outage     bool
	sidecars   []*sidecar
	sends      []*send
	runs       map[claim.Identity]*send
	violations []string
	answers    map[string]int
}

// send is one request of a caller.
type send struct {
	// ranBefore says that the identity had run when this send was delivered.
	ranBefore bool
	key       uuid.UUID
	number    int // position among the sends of the key
	body      string
	identity  claim.Identity
	ran       bool
	answered  bool
	notRun    bool
}

type sidecar struct {
	w           *world
	incarnation string
	skew        time.Duration
	book        *claim.Index
	calls       map[uint64]*modelCall
	seq         uint64
	dead        bool
	pausedUntil time.Time
}

type modelCall struct {
	*claim.Call
	send    *send
	hash    string
	decided bool
	earlier bool // an earlier send of the key had run when this one was refused
	refused bool
}

type timer struct {
	at    time.Time
	order int
	do    func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, off rule) *world {
	s := claim.DefaultSettings()
	s.KeyWindow, s.MaxClockSkew = 10*time.Minute, 10*time.Second
	s.MaxAnswerBytes, s.MaxTotalAnswerBytes, s.MaxIdentities = 100, 600, 20
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), off: off, settings: s,
		now:  time.UnixMilli(1_800_000_000_000),
		runs: make(map[claim.Identity]*send), answers: make(map[string]int),
	}
	for range 3 {
		w.sidecars = append(w.sidecars, w.newSidecar())
	}
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.timers, timer{at: w.now.Add(d), order: w.order, do: do})
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// run schedules the callers, outages and trimming over half an hour and plays
// all events. A failed assertion in the program counts as a violation.
func (w *world) run() {
	defer func() {
		if failed := recover(); failed != nil {
			w.violate("%v", failed)
		}
	}()
	for k := range 25 {
		w.after(w.upTo(20*time.Minute), func() { w.newBooking(k) })
	}
	for range 4 {
		w.after(w.upTo(20*time.Minute), w.startOutage)
	}
	for range 60 {
		w.after(w.upTo(30*time.Minute), w.trim)
	}
	end := w.now.Add(45 * time.Minute)
	for len(w.timers) > 0 && w.timers[0].at.Before(end) {
		t := heap.Pop(&w.timers).(timer)
		w.now = t.at
		t.do()
	}
}

func (w *world) startOutage() {
	w.outage = true
	w.after(w.upTo(time.Minute), func() { w.outage = false })
}

// trim drops records above the retention of 12 minutes and now and then
// younger ones.
func (w *world) trim() {
	retention := 12 * time.Minute
	if w.chance(0.3) {
		retention = w.upTo(time.Minute)
	}
	for len(w.records) > 0 && w.now.Sub(w.records[0].Time) > retention {
		w.trimmed = w.records[0].Offset
		w.records = w.records[1:]
	}
}

// newBooking schedules the sends of one key: close together, minutes apart, or
// beyond the window.
func (w *world) newBooking(n int) {
	key := keyAt(w.now.Add(w.upTo(w.settings.MaxClockSkew)-w.settings.MaxClockSkew/2), uint64(n))
	gaps := []time.Duration{20 * time.Millisecond, 3 * time.Second, 4 * time.Minute, 12 * time.Minute}
	at := time.Duration(0)
	for i := range 1 + w.rng.IntN(5) {
		s := &send{key: key, number: i, body: "a"}
		s.identity = claim.Identity{Organisation: "org", Service: "svc", Key: key}
		if w.chance(0.1) {
			s.body = "b"
		}
		w.after(at, func() { w.deliver(s) })
		at += w.upTo(gaps[w.rng.IntN(len(gaps))])
	}
}

// deliver hands a request to some sidecar.
func (w *world) deliver(s *send) {
	s.ranBefore = w.runs[s.identity] != nil
	w.sends = append(w.sends, s)
	sc := w.sidecars[w.rng.IntN(len(w.sidecars))]
	r := claim.Request{
		Organisation: "org", Service: "svc", Key: s.key.String(), BodyHash: s.body,
		Deadline: sc.now().Add(w.upTo(8 * time.Second)),
	}
	sc.do(func() { sc.receive(s, r) })
}

// backend runs a call. It checks that no other send of the identity ran and
// that this one was not answered.
func (w *world) backend(s *send) claim.Answer {
	if first := w.runs[s.identity]; first != nil {
		w.violate("key %s runs twice: sends %d and %d", s.key, first.number, s.number)
	}
	if s.notRun {
		w.violate("key %s send %d runs after its answer not_run", s.key, s.number)
	}
	s.ran = true
	w.runs[s.identity] = s
	size := w.rng.IntN(100)
	return claim.Answer{Status: 200, Body: fmt.Appendf(nil, "%s/%d/%0*d", s.key, s.number, size, 0)}
}

// reply checks an answer against what ran.
func (w *world) reply(c *modelCall, e claim.Effect) {
	s := c.send
	if s.answered {
		w.violate("key %s send %d answered twice", s.key, s.number)
	}
	s.answered = true
	status := errkind.Done
	if e.Err != nil {
		status = e.Err.Execution
	}
	w.answers[status.String()]++
	first := w.runs[s.identity]
	switch status {
	case errkind.NotRun:
		s.notRun = true
		ofOther := e.Err.Kind == errkind.IdempotencyKeyReused
		if s.ran || !ofOther && (c.earlier || s.ranBefore) {
			w.violate("key %s send %d answered not_run (%s) but ran", s.key, s.number, e.Err.Kind)
		}
	case errkind.Done:
		if first == nil {
			w.violate("key %s send %d answered done but nothing ran", s.key, s.number)
		} else if prefix := fmt.Sprintf("%s/%d/", s.key, first.number); e.Err == nil && string(e.Answer.Body[:len(prefix)]) != prefix {
			w.violate("key %s send %d answered with another answer", s.key, s.number)
		}
	}
}

// keyAt returns a UUIDv7 created at t.
func keyAt(t time.Time, n uint64) uuid.UUID {
	var key uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (40 - 8*i))
	}
	key[6], key[8] = 0x70, 0x80
	key[14], key[15] = byte(n>>8), byte(n)
	return key
}
