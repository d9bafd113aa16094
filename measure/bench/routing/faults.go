package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/balance/membership"
	decide "github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/entry/lifecycle"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/retry"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// Parameters of the life cycle experiment beyond those of the retry experiment.
const (
	outageEnd    = faultStart + 10*time.Second
	overload     = 1.5 // load during the fault, as a part of the capacity
	maxServerLag = 500 * time.Millisecond
)

// lifeFault is what happens to the first servers from faultStart on.
type lifeFault struct {
	name    string
	servers int
	ended   time.Duration
	// unreachable servers refuse connections. The others fail each request
	// after they have spent the service time.
	unreachable bool
	load        float64 // during the fault
	retries     retry.Config
	noEjection  bool
}

// failing servers answer probes. The other runs have a rule off and show what
// the rule is for.
const (
	failing    = "30% fail"
	noBudget   = "30% fail, no budget"
	noEjection = "30% fail, no ejection"
)

func lifeFaults() []lifeFault {
	faults := []lifeFault{
		{name: failing, servers: retryFailing, ended: faultEnd, load: retryLoad},
		{name: "30% unreachable", servers: retryFailing, ended: faultEnd, load: retryLoad, unreachable: true},
		{name: "30% fail, overload", servers: retryFailing, ended: faultEnd, load: overload},
		{name: "overload", ended: faultEnd, load: overload},
		{name: "all fail 10 s", servers: retryServers, ended: outageEnd, load: retryLoad},
		{name: "all unreachable 10 s", servers: retryServers, ended: outageEnd, load: retryLoad, unreachable: true},
		{name: noEjection, servers: retryFailing, ended: faultEnd, load: retryLoad, noEjection: true},
		{name: noBudget, servers: retryFailing, ended: faultEnd, load: retryLoad, noEjection: true},
	}
	for i := range faults {
		faults[i].retries = retry.DefaultConfig()
		if faults[i].name == noBudget {
			faults[i].retries = withoutBudget()
		}
	}
	return faults
}

// lifeRun is one entry with the packages that ship: the life cycle of requests,
// the retry budget, membership and power of two choices. Servers have FIFO
// queues, and work for callers that have given up as well.
type lifeRun struct {
	clock  *clock
	rng    *rand.Rand
	fault  lifeFault
	budget *retry.Budget
	view   *membership.View
	// outliers is nil in the run that shows what ejection is for.
	outliers *membership.OutlierDetector
	policy   decide.Policy
	freeAt   map[string]time.Time
	hit      map[string]bool
	perSecond
}

// lifeCall is one request.
type lifeCall struct {
	life    *lifecycle.Request
	arrived time.Time
	second  int
	tried   []string
	server  string // of the present attempt
	sent    time.Time
}

func newLifeRun(seed uint64, fault lifeFault) *lifeRun {
	r := &lifeRun{
		clock: newClock(), rng: newRand(seed, 1), fault: fault, perSecond: newPerSecond(),
		budget: retry.NewBudget(fault.retries), view: membership.New(membership.DefaultConfig()),
		policy: &decide.PowerOfTwo{Loads: decide.NewLoadTable(reportsMaxAge)},
		freeAt: make(map[string]time.Time), hit: make(map[string]bool),
	}
	if !fault.noEjection {
		r.outliers = membership.NewOutlierDetector(membership.DefaultOutlierConfig())
	}
	var rows []infra.Instance
	for i := range retryServers {
		row := infra.Instance{
			ID: fmt.Sprintf("replica-%02d", i), Role: infra.RoleBackend, Service: memberService,
			FailureDomain: domainName(i), State: infra.StateLive,
		}
		rows = append(rows, row)
		r.hit[row.ID] = i < fault.servers
	}
	r.view.ApplyList(epoch, rows)
	return r
}

func (r *lifeRun) faulty() bool {
	return r.clock.elapsed() >= faultStart && r.clock.elapsed() < r.fault.ended
}

func (r *lifeRun) refuses(server string) bool {
	return r.hit[server] && r.fault.unreachable && r.faulty()
}

func (r *lifeRun) run() RetryResult {
	peak := max(retryLoad, r.fault.load)
	r.clock.every(memberTick, r.probe)
	r.clock.arrivals(r.rng, peak*retryServers/retryService.Seconds(), func() {
		load := retryLoad
		if r.faulty() {
			load = r.fault.load
		}
		if r.rng.Float64() < load/peak {
			r.arrive()
		}
	})
	r.clock.run(retryFor)
	return r.figures(r.fault.name, r.fault.ended)
}

func (r *lifeRun) probe() {
	for _, id := range r.view.DueProbes(r.clock.now) {
		sent := r.clock.now
		r.clock.after(2*farOneWay, func() {
			if r.refuses(id) {
				r.view.ApplyFailure(r.clock.now, membership.Failure{ID: id, SentAt: sent})
				return
			}
			r.view.ApplySuccess(r.clock.now, membership.Success{ID: id, Incarnation: "1", SentAt: sent})
		})
	}
}

func (r *lifeRun) arrive() {
	c := &lifeCall{arrived: r.clock.now, second: int(r.clock.elapsed() / time.Second)}
	c.life = lifecycle.New(lifecycle.Config{
		RequestID: "request", Idempotent: true, MaxResumes: 4,
		Receiver: stream.ReceiverConfig{MaxPending: 64, SilenceTimeout: retryDeadline, ProgressTimeout: retryDeadline},
	})
	r.first[c.second]++
	r.budget.RecordFirstAttempt()
	r.step(c, lifecycle.Event{Kind: lifecycle.LimitPassed})
	r.step(c, lifecycle.Event{Kind: lifecycle.SlotGranted})
	r.clock.after(retryDeadline, func() {
		r.step(c, lifecycle.Event{Kind: lifecycle.CallerGone, Err: errkind.New(errkind.Canceled, "deadline")})
	})
}

func (r *lifeRun) step(c *lifeCall, event lifecycle.Event) {
	for _, effect := range c.life.Step(r.clock.now, event) {
		r.carryOut(c, effect)
	}
}

func (r *lifeRun) carryOut(c *lifeCall, e lifecycle.Effect) {
	switch e.Kind {
	case lifecycle.Pick:
		r.pick(c)
	case lifecycle.Call:
		r.call(c, e.Attempt)
	case lifecycle.Resume:
		r.connectionEnds(c, e.Connection, r.refuses(c.server))
	case lifecycle.Deliver:
		r.step(c, lifecycle.Event{Kind: lifecycle.Delivered})
	case lifecycle.Finish:
		r.good[c.second]++
		r.step(c, lifecycle.Event{Kind: lifecycle.AnswerWritten})
	case lifecycle.ReportConnectionLost, lifecycle.ReportConnectionSilent:
		r.view.ApplyFailure(r.clock.now, membership.Failure{
			ID: c.server, SentAt: c.sent, Timeout: e.Kind == lifecycle.ReportConnectionSilent,
		})
	case lifecycle.EndAttempt:
		r.noteResult(c.server, e.Failure)
		r.policy.Observe(r.clock.now, decide.Event{Kind: decide.Finished, Server: c.server})
	case lifecycle.AskRetry:
		r.askRetry(c, e)
	case lifecycle.Wait:
		r.clock.after(e.Delay, func() { r.step(c, lifecycle.Event{Kind: lifecycle.RetryDue}) })
	case lifecycle.Refuse, lifecycle.Fail:
	}
}

// noteResult does what daemons/entry/servers does with the end of an attempt.
func (r *lifeRun) noteResult(server string, failure *lifecycle.Failure) {
	switch {
	case r.outliers == nil:
	case failure == nil:
		r.outliers.RecordSuccess(server)
	case failure.Err.Kind == errkind.BackendFailed:
		r.outliers.RecordFailure(r.clock.now, server)
	}
}

// candidates returns the servers that the request was not tried on.
func (r *lifeRun) candidates(c *lifeCall) []decide.Candidate {
	var found []decide.Candidate
	servers := r.view.Candidates(memberService)
	if r.outliers != nil {
		servers = r.outliers.Filter(r.clock.now, servers)
	}
	for _, s := range servers {
		if !slices.Contains(c.tried, s.ID) {
			found = append(found, decide.Candidate{ID: s.ID, FailureDomain: s.FailureDomain})
		}
	}
	return found
}

func (r *lifeRun) pick(c *lifeCall) {
	candidates := r.candidates(c)
	i := r.policy.Pick(decide.Request{Now: r.clock.now, Rand: r.rng, Candidates: candidates})
	if i < 0 {
		r.step(c, lifecycle.Event{Kind: lifecycle.NoServer, Err: errkind.New(errkind.NoBackendServer, "none")})
		return
	}
	c.server = candidates[i].ID
	c.sent = r.clock.now
	c.tried = append(c.tried, c.server)
	r.view.RecordSent(c.sent, c.server)
	r.policy.Observe(c.sent, decide.Event{Kind: decide.Sent, Server: c.server})
	r.step(c, lifecycle.Event{Kind: lifecycle.Picked})
}

// call sends an attempt to its server. A connection that breaks is noticed when
// the answer is due.
func (r *lifeRun) call(c *lifeCall, attempt int) {
	r.attempts[int(r.clock.elapsed()/time.Second)]++
	server := c.server
	begin := r.clock.now
	if r.freeAt[server].After(begin) {
		begin = r.freeAt[server]
	}
	switch {
	case r.refuses(server):
		r.connectionEnds(c, 1, true)
		return
	case begin.Sub(r.clock.now) > maxServerLag:
		r.answer(c, attempt, 2*farOneWay, errkind.New(errkind.QueueFull, "%s", server))
		return
	}
	r.freeAt[server] = begin.Add(seconds(retryService.Seconds() * r.rng.ExpFloat64()))
	r.clock.after(r.freeAt[server].Sub(r.clock.now), func() {
		switch {
		case r.refuses(server):
			r.connectionEnds(c, 1, false)
		case r.hit[server] && r.faulty():
			r.answer(c, attempt, 0, errkind.New(errkind.BackendFailed, "%s", server))
		default:
			r.answer(c, attempt, 0, nil)
		}
	})
}

func (r *lifeRun) connectionEnds(c *lifeCall, connection int, unreachable bool) {
	server := c.server
	r.clock.after(2*farOneWay, func() {
		if c.server == server {
			r.step(c, lifecycle.Event{
				Kind: lifecycle.ConnectionEnded, Connection: connection, DialFailed: unreachable,
				Err: errkind.New(errkind.BackendUnavailable, "%s", server),
			})
		}
	})
}

// answer sends the chunks of an attempt, whole or with an error at the end.
func (r *lifeRun) answer(c *lifeCall, attempt int, delay time.Duration, failure *errkind.Error) {
	server, sent := c.server, c.sent
	r.clock.after(delay, func() {
		r.view.ApplySuccess(r.clock.now, membership.Success{ID: server, Incarnation: "1", SentAt: sent})
		if failure != nil && failure.Kind == errkind.QueueFull {
			r.budget.RecordOverload(r.clock.now)
		}
		id := &pb.AttemptId{RequestId: "request", Attempt: uint32(attempt), Incarnation: server}
		for _, chunk := range chunksOf(id, failure) {
			r.step(c, lifecycle.Event{Kind: lifecycle.ChunkReceived, Chunk: chunk})
		}
	})
}

func chunksOf(id *pb.AttemptId, failure *errkind.Error) []*pb.Chunk {
	sender := stream.NewSender(id, 1<<10)
	if failure != nil {
		sender.End(failure)
		return []*pb.Chunk{sender.Next()}
	}
	sender.Head(&pb.Head{Status: 200})
	sender.Data([]byte("answer"))
	sender.End(nil)
	return []*pb.Chunk{sender.Next(), sender.Next(), sender.Next()}
}

func (r *lifeRun) askRetry(c *lifeCall, e lifecycle.Effect) {
	event := lifecycle.Event{Kind: lifecycle.RetryRefused}
	if len(r.candidates(c)) > 0 {
		d := r.budget.Decide(r.clock.now, retry.Attempt{
			Err: e.Failure.Err, Number: e.Attempt, Idempotent: true, Deadline: c.arrived.Add(retryDeadline),
		}, r.rng)
		if d.Retry {
			event = lifecycle.Event{Kind: lifecycle.RetryGranted, Delay: d.Delay}
		}
	}
	r.step(c, event)
}

func runFaults(seed uint64) []RetryResult {
	var results []RetryResult
	for _, fault := range lifeFaults() {
		results = append(results, newLifeRun(seed, fault).run())
	}
	return results
}
