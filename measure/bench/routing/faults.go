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
	outageEnd      = faultStart + 10*time.Second
	overloadFactor = 1.5 // load during the fault, relative to the capacity
	maxQueueDelay  = 500 * time.Millisecond
)

// lifecycleFault describes a fault of the first servers from faultStart to end.
type lifecycleFault struct {
	name    string
	servers int
	end     time.Duration
	// unreachable makes the servers refuse connections. Otherwise they fail
	// each request after its service time.
	unreachable bool
	load        float64 // during the fault
	retries     retry.Config
	noEjection  bool
}

// In the run faultFailing the servers still answer probes. faultNoEjection
// disables outlier ejection, and faultNoBudget the retry budget as well, to show
// their effect.
const (
	faultFailing    = "30% fail"
	faultNoBudget   = "30% fail, no budget"
	faultNoEjection = "30% fail, no ejection"
)

func lifecycleFaults() []lifecycleFault {
	faults := []lifecycleFault{
		{name: faultFailing, servers: retryFailing, end: faultEnd, load: retryLoad},
		{name: "30% unreachable", servers: retryFailing, end: faultEnd, load: retryLoad, unreachable: true},
		{name: "30% fail, overload", servers: retryFailing, end: faultEnd, load: overloadFactor},
		{name: "overload", end: faultEnd, load: overloadFactor},
		{name: "all fail 10 s", servers: retryServers, end: outageEnd, load: retryLoad},
		{name: "all unreachable 10 s", servers: retryServers, end: outageEnd, load: retryLoad, unreachable: true},
		{name: faultNoEjection, servers: retryFailing, end: faultEnd, load: retryLoad, noEjection: true},
		{name: faultNoBudget, servers: retryFailing, end: faultEnd, load: retryLoad, noEjection: true},
	}
	for i := range faults {
		faults[i].retries = retry.DefaultConfig()
		if faults[i].name == faultNoBudget {
			faults[i].retries = withoutBudget()
		}
	}
	return faults
}

// lifecycleRun simulates one entry with the production packages: the request
// life cycle, the retry budget, membership and power of two choices. Servers
// have FIFO queues and also process requests whose callers have given up.
type lifecycleRun struct {
	clock  *clock
	rng    *rand.Rand
	fault  lifecycleFault
	budget *retry.Budget
	view   *membership.View
	// outliers is nil if outlier ejection is disabled.
	outliers *membership.OutlierDetector
	policy   decide.Policy
	freeAt   map[string]time.Time
	affected map[string]bool
	secondCounters
}

// lifecycleCall is one simulated request.
type lifecycleCall struct {
	request *lifecycle.Request
	arrived time.Time
	second  int
	tried   []string
	server  string // of the current attempt
	sent    time.Time
}

func newLifecycleRun(seed uint64, fault lifecycleFault) *lifecycleRun {
	r := &lifecycleRun{
		clock: newClock(), rng: newRand(seed, 1), fault: fault, secondCounters: newSecondCounters(),
		budget: retry.NewBudget(fault.retries), view: membership.New(membership.DefaultConfig()),
		policy: &decide.PowerOfTwo{Loads: decide.NewLoadTable(maxReportAge)},
		freeAt: make(map[string]time.Time), affected: make(map[string]bool),
	}
	if !fault.noEjection {
		r.outliers = membership.NewOutlierDetector(membership.DefaultOutlierConfig())
	}
	var rows []infra.Instance
	for i := range retryServers {
		row := infra.Instance{
			ID: fmt.Sprintf("replica-%02d", i), Role: infra.RoleBackend, Service: modelService,
			FailureDomain: domainName(i), State: infra.StateLive,
		}
		rows = append(rows, row)
		r.affected[row.ID] = i < fault.servers
	}
	r.view.ApplyList(epoch, rows)
	return r
}

func (r *lifecycleRun) faultActive() bool {
	return r.clock.elapsed() >= faultStart && r.clock.elapsed() < r.fault.end
}

func (r *lifecycleRun) refusesConnections(server string) bool {
	return r.affected[server] && r.fault.unreachable && r.faultActive()
}

func (r *lifecycleRun) run() RetryResult {
	peak := max(retryLoad, r.fault.load)
	r.clock.every(probeTick, r.probe)
	r.clock.poissonArrivals(r.rng, peak*retryServers/retryService.Seconds(), func() {
		load := retryLoad
		if r.faultActive() {
			load = r.fault.load
		}
		if r.rng.Float64() < load/peak {
			r.arrive()
		}
	})
	r.clock.run(retryDuration)
	return r.summarise(r.fault.name, r.fault.end)
}

func (r *lifecycleRun) probe() {
	for _, id := range r.view.DueProbes(r.clock.now) {
		sent := r.clock.now
		r.clock.after(2*crossDomainLatency, func() {
			if r.refusesConnections(id) {
				r.view.ApplyFailure(r.clock.now, membership.Failure{ID: id, SentAt: sent})
				return
			}
			r.view.ApplySuccess(r.clock.now, membership.Success{ID: id, Incarnation: "1", SentAt: sent})
		})
	}
}

func (r *lifecycleRun) arrive() {
	c := &lifecycleCall{arrived: r.clock.now, second: int(r.clock.elapsed() / time.Second)}
	c.request = lifecycle.New(lifecycle.Config{
		RequestID: "request", Idempotent: true, MaxResumes: 4,
		Receiver: stream.ReceiverConfig{MaxPending: 64, SilenceTimeout: retryDeadline, ProgressTimeout: retryDeadline},
	})
	r.requests[c.second]++
	r.budget.RecordFirstAttempt()
	r.step(c, lifecycle.Event{Kind: lifecycle.LimitPassed})
	r.step(c, lifecycle.Event{Kind: lifecycle.SlotGranted})
	r.clock.after(retryDeadline, func() {
		r.step(c, lifecycle.Event{Kind: lifecycle.CallerGone, Err: errkind.New(errkind.Canceled, "deadline")})
	})
}

func (r *lifecycleRun) step(c *lifecycleCall, event lifecycle.Event) {
	for _, effect := range c.request.Step(r.clock.now, event) {
		r.apply(c, effect)
	}
}

func (r *lifecycleRun) apply(c *lifecycleCall, e lifecycle.Effect) {
	switch e.Kind {
	case lifecycle.Pick:
		r.pick(c)
	case lifecycle.Call:
		r.call(c, e.Attempt)
	case lifecycle.Resume:
		r.endConnection(c, e.Connection, r.refusesConnections(c.server))
	case lifecycle.Deliver:
		r.step(c, lifecycle.Event{Kind: lifecycle.Delivered})
	case lifecycle.Finish:
		r.answeredInTime[c.second]++
		r.step(c, lifecycle.Event{Kind: lifecycle.AnswerWritten})
	case lifecycle.ReportConnectionLost, lifecycle.ReportConnectionSilent:
		r.view.ApplyFailure(r.clock.now, membership.Failure{
			ID: c.server, SentAt: c.sent, Timeout: e.Kind == lifecycle.ReportConnectionSilent,
		})
	case lifecycle.EndAttempt:
		r.recordOutcome(c.server, e.Failure)
		r.policy.Observe(r.clock.now, decide.Event{Kind: decide.Finished, Server: c.server})
	case lifecycle.AskRetry:
		r.askRetry(c, e)
	case lifecycle.Wait:
		r.clock.after(e.Delay, func() { r.step(c, lifecycle.Event{Kind: lifecycle.RetryDue}) })
	case lifecycle.Refuse, lifecycle.Fail:
	}
}

// recordOutcome updates outlier detection at the end of an attempt in the same
// way as package daemons/entry/servers.
func (r *lifecycleRun) recordOutcome(server string, failure *lifecycle.Failure) {
	switch {
	case r.outliers == nil:
	case failure == nil:
		r.outliers.RecordSuccess(server)
	case failure.Err.Kind == errkind.BackendFailed:
		r.outliers.RecordFailure(r.clock.now, server)
	}
}

// candidates returns the usable servers that the request was not yet sent to.
func (r *lifecycleRun) candidates(c *lifecycleCall) []decide.Candidate {
	var found []decide.Candidate
	servers := r.view.Candidates(modelService)
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

func (r *lifecycleRun) pick(c *lifecycleCall) {
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

// call sends an attempt to its server. A broken connection is detected when the
// response is due.
func (r *lifecycleRun) call(c *lifecycleCall, attempt int) {
	r.attempts[int(r.clock.elapsed()/time.Second)]++
	server := c.server
	begin := r.clock.now
	if r.freeAt[server].After(begin) {
		begin = r.freeAt[server]
	}
	switch {
	case r.refusesConnections(server):
		r.endConnection(c, 1, true)
		return
	case begin.Sub(r.clock.now) > maxQueueDelay:
		r.answer(c, attempt, 2*crossDomainLatency, errkind.New(errkind.QueueFull, "%s", server))
		return
	}
	r.freeAt[server] = begin.Add(seconds(retryService.Seconds() * r.rng.ExpFloat64()))
	r.clock.after(r.freeAt[server].Sub(r.clock.now), func() {
		switch {
		case r.refusesConnections(server):
			r.endConnection(c, 1, false)
		case r.affected[server] && r.faultActive():
			r.answer(c, attempt, 0, errkind.New(errkind.BackendFailed, "%s", server))
		default:
			r.answer(c, attempt, 0, nil)
		}
	})
}

func (r *lifecycleRun) endConnection(c *lifecycleCall, connection int, unreachable bool) {
	server := c.server
	r.clock.after(2*crossDomainLatency, func() {
		if c.server == server {
			r.step(c, lifecycle.Event{
				Kind: lifecycle.ConnectionEnded, Connection: connection, DialFailed: unreachable,
				Err: errkind.New(errkind.BackendUnavailable, "%s", server),
			})
		}
	})
}

// answer delivers the chunks of an attempt: a complete response, or an error.
func (r *lifecycleRun) answer(c *lifecycleCall, attempt int, delay time.Duration, failure *errkind.Error) {
	server, sent := c.server, c.sent
	r.clock.after(delay, func() {
		r.view.ApplySuccess(r.clock.now, membership.Success{ID: server, Incarnation: "1", SentAt: sent})
		if failure != nil && failure.Kind == errkind.QueueFull {
			r.budget.RecordOverload(r.clock.now)
		}
		id := &pb.AttemptId{RequestId: "request", Attempt: uint32(attempt), Incarnation: server}
		for _, chunk := range responseChunks(id, failure) {
			r.step(c, lifecycle.Event{Kind: lifecycle.ChunkReceived, Chunk: chunk})
		}
	})
}

func responseChunks(id *pb.AttemptId, failure *errkind.Error) []*pb.Chunk {
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

func (r *lifecycleRun) askRetry(c *lifecycleCall, e lifecycle.Effect) {
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
	for _, fault := range lifecycleFaults() {
		results = append(results, newLifecycleRun(seed, fault).run())
	}
	return results
}
