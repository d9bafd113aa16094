package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/balance/membership"
	decide "github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/infra"
)

// Parameters of the membership experiment.
const (
	membershipServers     = 12
	membershipEntries     = 4
	membershipRequestRate = 30.0
	membershipDuration    = 60 * time.Second
	membershipFaultAt     = 20 * time.Second
	meanFirstToken        = 100 * time.Millisecond // mean time to first token
	probeTick             = 50 * time.Millisecond
	instanceListDelay     = 15 * time.Second
	modelService          = "text-desk"
)

// serverFault is the way in which servers stop serving.
type serverFault string

const (
	faultRefused serverFault = "connections fail"
	faultSilent  serverFault = "silent"
	faultLeaving serverFault = "leaving"
)

// MembershipResult holds the results of one fault.
type MembershipResult struct {
	Fault   serverFault `json:"fault"`
	Servers int         `json:"servers"`
	// LastSentSeconds is the time from the fault to the last request that any
	// entry sent to an affected server; 0 if none was sent.
	LastSentSeconds float64 `json:"last_sent_seconds"`
	// UnansweredAtFault is the number of requests sent before the fault and
	// unanswered at it, SentAfterFault the number sent later. A leaving server
	// answers the former and refuses the latter as not_run, so neither is lost.
	UnansweredAtFault int `json:"unanswered_at_fault"`
	SentAfterFault    int `json:"sent_after_fault"`
	// Lost is the number of requests that got no first token.
	Lost     int `json:"lost"`
	Requests int `json:"requests"`
}

type membershipRun struct {
	clock   *clock
	rng     *rand.Rand
	fault   serverFault
	targets map[string]bool
	rows    []infra.Instance
	entries []*membershipEntry
	result  MembershipResult
}

type membershipEntry struct {
	view   *membership.View
	policy decide.Policy
}

func newMembershipRun(seed uint64, f serverFault, targeted func(i int) bool) *membershipRun {
	r := &membershipRun{clock: newClock(), rng: newRand(seed, 1), fault: f, targets: make(map[string]bool)}
	r.result.Fault = f
	for i := range membershipServers {
		row := infra.Instance{
			ID: fmt.Sprintf("replica-%02d", i), Role: infra.RoleBackend, Service: modelService,
			FailureDomain: domainName(i), State: infra.StateLive,
		}
		r.rows = append(r.rows, row)
		if targeted(i) {
			r.targets[row.ID] = true
			r.result.Servers++
		}
	}
	for range membershipEntries {
		loads := decide.NewLoadTable(maxReportAge)
		e := &membershipEntry{membership.New(membership.DefaultConfig()), &decide.PowerOfTwo{Loads: loads}}
		e.view.ApplyList(epoch, r.rows)
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *membershipRun) run() MembershipResult {
	for _, e := range r.entries {
		r.clock.after(seconds(probeTick.Seconds()*r.rng.Float64()), func() {
			r.clock.every(probeTick, func() { r.probe(e) })
		})
	}
	r.clock.after(membershipFaultAt+instanceListDelay, r.updateList)
	r.clock.poissonArrivals(r.rng, membershipRequestRate, r.arrive)
	r.clock.run(membershipDuration)
	return r.result
}

func (r *membershipRun) affected(id string) bool {
	return r.targets[id] && r.clock.elapsed() >= membershipFaultAt
}

func (r *membershipRun) updateList() {
	var rows []infra.Instance
	for _, row := range r.rows {
		if !r.targets[row.ID] {
			rows = append(rows, row)
		}
	}
	for _, e := range r.entries {
		e.view.ApplyList(r.clock.now, rows)
	}
}

func (r *membershipRun) probe(e *membershipEntry) {
	for _, id := range e.view.DueProbes(r.clock.now) {
		sent := r.clock.now
		r.clock.after(crossDomainLatency, func() {
			if r.affected(id) && r.fault != faultLeaving {
				if r.fault == faultRefused {
					r.reportFailure(e, id, sent)
				}
				return
			}
			r.reportSuccess(e, id, sent)
		})
	}
}

func (r *membershipRun) reportFailure(e *membershipEntry, id string, sent time.Time) {
	r.clock.after(crossDomainLatency, func() {
		e.view.ApplyFailure(r.clock.now, membership.Failure{ID: id, SentAt: sent})
	})
}

func (r *membershipRun) reportSuccess(e *membershipEntry, id string, sent time.Time) {
	success := membership.Success{ID: id, Incarnation: "1", SentAt: sent, Leaving: r.affected(id)}
	r.clock.after(crossDomainLatency, func() { e.view.ApplySuccess(r.clock.now, success) })
}

func (r *membershipRun) arrive() {
	e := r.entries[r.rng.IntN(len(r.entries))]
	r.result.Requests++
	var candidates []decide.Candidate
	for _, s := range e.view.Candidates(modelService) {
		candidates = append(candidates, decide.Candidate{ID: s.ID, FailureDomain: s.FailureDomain})
	}
	i := e.policy.Pick(decide.Request{Now: r.clock.now, Rand: r.rng, Candidates: candidates})
	if i < 0 {
		r.result.Lost++
		return
	}
	r.send(e, candidates[i].ID)
}

func (r *membershipRun) send(e *membershipEntry, id string) {
	sent := r.clock.now
	after := r.affected(id)
	if after {
		r.result.SentAfterFault++
		r.result.LastSentSeconds = (r.clock.elapsed() - membershipFaultAt).Seconds()
	}
	e.view.RecordSent(sent, id)
	e.policy.Observe(sent, decide.Event{Kind: decide.Sent, Server: id})
	if r.affected(id) && r.fault == faultRefused {
		r.result.Lost++
		r.reportFailure(e, id, sent)
		return
	}
	if r.affected(id) && r.fault == faultLeaving {
		r.reportSuccess(e, id, sent)
		return
	}
	r.clock.after(seconds(meanFirstToken.Seconds()*r.rng.ExpFloat64()), func() {
		e.policy.Observe(r.clock.now, decide.Event{Kind: decide.Finished, Server: id})
		if !r.affected(id) || r.fault == faultLeaving {
			r.reportSuccess(e, id, sent)
			return
		}
		r.result.Lost++
		if !after {
			r.result.UnansweredAtFault++
		}
	})
	if r.targets[id] && !after && r.fault == faultRefused {
		r.breakConnectionAtFault(e, id, sent)
	}
}

// breakConnectionAtFault reports a failure at the time of the fault if the
// request is likely still unanswered then.
func (r *membershipRun) breakConnectionAtFault(e *membershipEntry, id string, sent time.Time) {
	left := membershipFaultAt - r.clock.elapsed()
	if left < meanFirstToken {
		r.clock.after(left, func() { r.reportFailure(e, id, sent) })
	}
}

func runMembership(seed uint64) []MembershipResult {
	one := func(i int) bool { return i == 4 }
	domain := func(i int) bool { return domainName(i) == "b" }
	var results []MembershipResult
	for _, f := range []serverFault{faultRefused, faultSilent, faultLeaving} {
		results = append(results, newMembershipRun(seed, f, one).run(), newMembershipRun(seed, f, domain).run())
	}
	return results
}

func printMembership(p *errWriter, results []MembershipResult) {
	if len(results) == 0 {
		return
	}
	p.printLine("\n%-18s%9s%14s%12s%12s%7s%10s", "fault", "servers", "last sent s", "unanswered", "sent after", "lost", "requests")
	for _, x := range results {
		p.printLine("%-18s%9d%14.3f%12d%12d%7d%10d", x.Fault, x.Servers, x.LastSentSeconds, x.UnansweredAtFault, x.SentAfterFault, x.Lost, x.Requests)
	}
}
