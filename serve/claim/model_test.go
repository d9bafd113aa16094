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

// modelRule is a rule of the protocol that a simulation can disable.
type modelRule string

const (
	noRule                    modelRule = ""
	runOnlyAfterReadBack      modelRule = "a call runs only after its own claim was read back"
	lostAppendIsUnknown       modelRule = "a lost append may have taken effect"
	missingRecordsAreUnknown  modelRule = "a key with missing records is unknown"
	brokenConnectionIsUnknown modelRule = "a call with a broken backend connection may have run"
	refusedCallNeverRuns      modelRule = "a refused call never runs"
)

// Probabilities of the faults in the model.
const (
	crashRate          = 0.01 // before each effect
	pauseRate          = 0.01 // before each effect
	responseLostRate   = 0.10
	lateAppendRate     = 0.05
	appendLostRate     = 0.05
	rateLimitedRate    = 0.10
	backendRefusedRate = 0.15
	backendBrokenRate  = 0.05
)

// simulation is a discrete-event model of callers, sidecars, the log and a
// backend server. All choices come from one seeded random source.
type simulation struct {
	rng        *rand.Rand
	disabled   modelRule
	settings   claim.Settings
	now        time.Time
	timers     timerHeap
	sequence   int
	records    []infra.Record
	trimmed    infra.Offset
	logOutage  bool
	sidecars   []*sidecar
	requests   []*callerRequest
	runs       map[claim.Identity]*callerRequest
	violations []string
	answers    map[string]int
}

// callerRequest is one request of a caller.
type callerRequest struct {
	// ranBeforeDelivery is set if a call of the identity had run when this
	// request was delivered.
	ranBeforeDelivery bool
	key               uuid.UUID
	number            int // position among the requests with the key
	body              string
	identity          claim.Identity
	ran               bool
	answered          bool
	answeredNotRun    bool
}

type sidecar struct {
	sim         *simulation
	incarnation string
	clockSkew   time.Duration
	index       *claim.Index
	calls       map[uint64]*modelCall
	seq         uint64
	crashed     bool
	pausedUntil time.Time
}

type modelCall struct {
	*claim.Call
	request    *callerRequest
	bodyHash   string
	decided    bool
	earlierRan bool // an earlier request with the key had run when this one was refused
	refused    bool
}

type timer struct {
	at       time.Time
	sequence int
	action   func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, disabled modelRule) *simulation {
	s := claim.DefaultSettings()
	s.KeyWindow, s.MaxClockSkew = 10*time.Minute, 10*time.Second
	s.MaxAnswerBytes, s.MaxTotalAnswerBytes, s.MaxIdentities = 100, 600, 20
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), disabled: disabled, settings: s,
		now:  time.UnixMilli(1_800_000_000_000),
		runs: make(map[claim.Identity]*callerRequest), answers: make(map[string]int),
	}
	for range 3 {
		sim.sidecars = append(sim.sidecars, sim.newSidecar())
	}
	return sim
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.sequence++
	heap.Push(&sim.timers, timer{at: sim.now.Add(d), sequence: sim.sequence, action: action})
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// run schedules requests, outages and trimming over half an hour and processes
// all events. A failed invariant in the tested code counts as a violation.
func (sim *simulation) run() {
	defer func() {
		if failed := recover(); failed != nil {
			sim.recordViolation("%v", failed)
		}
	}()
	for k := range 25 {
		sim.schedule(sim.randomDuration(20*time.Minute), func() { sim.scheduleRequests(k) })
	}
	for range 4 {
		sim.schedule(sim.randomDuration(20*time.Minute), sim.startOutage)
	}
	for range 60 {
		sim.schedule(sim.randomDuration(30*time.Minute), sim.trimLog)
	}
	end := sim.now.Add(45 * time.Minute)
	for len(sim.timers) > 0 && sim.timers[0].at.Before(end) {
		t := heap.Pop(&sim.timers).(timer)
		sim.now = t.at
		t.action()
	}
}

func (sim *simulation) startOutage() {
	sim.logOutage = true
	sim.schedule(sim.randomDuration(time.Minute), func() { sim.logOutage = false })
}

// trimLog drops records older than the retention of 12 minutes and, with a
// probability of 0.3, younger ones too.
func (sim *simulation) trimLog() {
	retention := 12 * time.Minute
	if sim.chance(0.3) {
		retention = sim.randomDuration(time.Minute)
	}
	for len(sim.records) > 0 && sim.now.Sub(sim.records[0].Time) > retention {
		sim.trimmed = sim.records[0].Offset
		sim.records = sim.records[1:]
	}
}

// scheduleRequests schedules the requests with one key: close together, minutes
// apart, or beyond KeyWindow.
func (sim *simulation) scheduleRequests(n int) {
	key := keyAt(sim.now.Add(sim.randomDuration(sim.settings.MaxClockSkew)-sim.settings.MaxClockSkew/2), uint64(n))
	gaps := []time.Duration{20 * time.Millisecond, 3 * time.Second, 4 * time.Minute, 12 * time.Minute}
	delay := time.Duration(0)
	for i := range 1 + sim.rng.IntN(5) {
		req := &callerRequest{key: key, number: i, body: "a"}
		req.identity = claim.Identity{Organisation: "org", Service: "svc", Key: key}
		if sim.chance(0.1) {
			req.body = "b"
		}
		sim.schedule(delay, func() { sim.deliver(req) })
		delay += sim.randomDuration(gaps[sim.rng.IntN(len(gaps))])
	}
}

// deliver passes a request to a random sidecar.
func (sim *simulation) deliver(req *callerRequest) {
	req.ranBeforeDelivery = sim.runs[req.identity] != nil
	sim.requests = append(sim.requests, req)
	sc := sim.sidecars[sim.rng.IntN(len(sim.sidecars))]
	r := claim.Request{
		Organisation: "org", Service: "svc", Key: req.key.String(), BodyHash: req.body,
		Deadline: sc.now().Add(sim.randomDuration(8 * time.Second)),
	}
	sc.whenRunning(func() { sc.receive(req, r) })
}

// runBackend runs a call. It checks that no other request with the identity ran
// and that this one was not answered as not_run.
func (sim *simulation) runBackend(req *callerRequest) claim.Answer {
	if first := sim.runs[req.identity]; first != nil {
		sim.recordViolation("key %s runs twice: requests %d and %d", req.key, first.number, req.number)
	}
	if req.answeredNotRun {
		sim.recordViolation("key %s request %d runs after the reply not_run", req.key, req.number)
	}
	req.ran = true
	sim.runs[req.identity] = req
	size := sim.rng.IntN(100)
	return claim.Answer{Status: 200, Body: fmt.Appendf(nil, "%s/%d/%0*d", req.key, req.number, size, 0)}
}

// checkReply compares a reply with the runs so far.
func (sim *simulation) checkReply(c *modelCall, e claim.Effect) {
	req := c.request
	if req.answered {
		sim.recordViolation("key %s request %d answered twice", req.key, req.number)
	}
	req.answered = true
	status := errkind.Done
	if e.Err != nil {
		status = e.Err.Execution
	}
	sim.answers[status.String()]++
	first := sim.runs[req.identity]
	switch status {
	case errkind.NotRun:
		req.answeredNotRun = true
		reusedKey := e.Err.Kind == errkind.IdempotencyKeyReused
		if req.ran || !reusedKey && (c.earlierRan || req.ranBeforeDelivery) {
			sim.recordViolation("key %s request %d answered not_run (%s), but a call ran", req.key, req.number, e.Err.Kind)
		}
	case errkind.Done:
		if first == nil {
			sim.recordViolation("key %s request %d answered done, but nothing ran", req.key, req.number)
		} else if prefix := fmt.Sprintf("%s/%d/", req.key, first.number); e.Err == nil && string(e.Answer.Body[:len(prefix)]) != prefix {
			sim.recordViolation("key %s request %d answered with the answer of another request", req.key, req.number)
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
