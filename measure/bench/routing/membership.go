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
	memberServers = 12
	memberEntries = 4
	memberRate    = 30.0
	memberFor     = 60 * time.Second
	lossAt        = 20 * time.Second
	memberAnswer  = 100 * time.Millisecond // mean time to first token
	memberTick    = 50 * time.Millisecond
	listLag       = 15 * time.Second
	memberService = "text-desk"
)

// fault is a way in which servers stop.
type fault string

const (
	refuses fault = "connections fail"
	silent  fault = "silent"
	leaves  fault = "leaving"
)

// MembershipResult holds the figures of one fault.
type MembershipResult struct {
	Fault   fault `json:"fault"`
	Servers int   `json:"servers"`
	// LastSentSeconds is the time from the fault to the last request that any
	// entry sent to an affected server; 0 if none was sent.
	LastSentSeconds float64 `json:"last_sent_seconds"`
	// InFlight were sent before the fault and unanswered, SentAfter were sent
	// later. A leaving server answers the former and refuses the latter as
	// not_run, so neither is lost.
	UnansweredAtFault int `json:"unanswered_at_fault"`
	SentAfterFault    int `json:"sent_after_fault"`
	// Lost is the number of requests that no server ran to the first token.
	Lost     int `json:"lost"`
	Requests int `json:"requests"`
}

type memberRun struct {
	clock   *clock
	rng     *rand.Rand
	fault   fault
	hit     map[string]bool
	rows    []infra.Instance
	entries []*memberEntry
	result  MembershipResult
}

type memberEntry struct {
	view   *membership.View
	policy decide.Policy
}

func newMemberRun(seed uint64, f fault, hit func(i int) bool) *memberRun {
	r := &memberRun{clock: newClock(), rng: newRand(seed, 1), fault: f, hit: make(map[string]bool)}
	r.result.Fault = f
	for i := range memberServers {
		row := infra.Instance{
			ID: fmt.Sprintf("replica-%02d", i), Role: infra.RoleBackend, Service: memberService,
			FailureDomain: domainName(i), State: infra.Live,
		}
		r.rows = append(r.rows, row)
		if hit(i) {
			r.hit[row.ID] = true
			r.result.Servers++
		}
	}
	for range memberEntries {
		loads := decide.NewLoadTable(reportsMaxAge)
		e := &memberEntry{membership.New(membership.DefaultConfig()), &decide.PowerOfTwo{Loads: loads}}
		e.view.ApplyList(epoch, r.rows)
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *memberRun) run() MembershipResult {
	for _, e := range r.entries {
		r.clock.after(seconds(memberTick.Seconds()*r.rng.Float64()), func() {
			r.clock.every(memberTick, func() { r.probe(e) })
		})
	}
	r.clock.after(lossAt+listLag, r.updateList)
	r.clock.arrivals(r.rng, memberRate, r.arrive)
	r.clock.run(memberFor)
	return r.result
}

func (r *memberRun) affected(id string) bool { return r.hit[id] && r.clock.elapsed() >= lossAt }

func (r *memberRun) updateList() {
	var rows []infra.Instance
	for _, row := range r.rows {
		if !r.hit[row.ID] {
			rows = append(rows, row)
		}
	}
	for _, e := range r.entries {
		e.view.ApplyList(r.clock.now, rows)
	}
}

func (r *memberRun) probe(e *memberEntry) {
	for _, id := range e.view.DueProbes(r.clock.now) {
		sent := r.clock.now
		r.clock.after(farOneWay, func() {
			if r.affected(id) && r.fault != leaves {
				if r.fault == refuses {
					r.fail(e, id, sent)
				}
				return
			}
			r.answer(e, id, sent)
		})
	}
}

func (r *memberRun) fail(e *memberEntry, id string, sent time.Time) {
	r.clock.after(farOneWay, func() {
		e.view.ApplyFailure(r.clock.now, membership.Failure{ID: id, SentAt: sent})
	})
}

func (r *memberRun) answer(e *memberEntry, id string, sent time.Time) {
	signal := membership.Success{ID: id, Incarnation: "1", SentAt: sent, Leaving: r.affected(id)}
	r.clock.after(farOneWay, func() { e.view.ApplySuccess(r.clock.now, signal) })
}

func (r *memberRun) arrive() {
	e := r.entries[r.rng.IntN(len(r.entries))]
	r.result.Requests++
	var candidates []decide.Candidate
	for _, s := range e.view.Candidates(memberService) {
		candidates = append(candidates, decide.Candidate{ID: s.ID, FailureDomain: s.FailureDomain})
	}
	i := e.policy.Pick(decide.Request{Now: r.clock.now, Rand: r.rng, Candidates: candidates})
	if i < 0 {
		r.result.Lost++
		return
	}
	r.send(e, candidates[i].ID)
}

func (r *memberRun) send(e *memberEntry, id string) {
	sent := r.clock.now
	after := r.affected(id)
	if after {
		r.result.SentAfterFault++
		r.result.LastSentSeconds = (r.clock.elapsed() - lossAt).Seconds()
	}
	e.view.MarkSent(sent, id)
	e.policy.Observe(sent, decide.Event{Kind: decide.Sent, Server: id})
	if r.affected(id) && r.fault == refuses {
		r.result.Lost++
		r.fail(e, id, sent)
		return
	}
	if r.affected(id) && r.fault == leaves {
		r.answer(e, id, sent)
		return
	}
	r.clock.after(seconds(memberAnswer.Seconds()*r.rng.ExpFloat64()), func() {
		e.policy.Observe(r.clock.now, decide.Event{Kind: decide.Finished, Server: id})
		if !r.affected(id) || r.fault == leaves {
			r.answer(e, id, sent)
			return
		}
		r.result.Lost++
		if !after {
			r.result.UnansweredAtFault++
		}
	})
	if r.hit[id] && !after && r.fault == refuses {
		r.breakAt(e, id, sent)
	}
}

// breakAt reports the connection that breaks at the fault.
func (r *memberRun) breakAt(e *memberEntry, id string, sent time.Time) {
	left := lossAt - r.clock.elapsed()
	if left < memberAnswer {
		r.clock.after(left, func() { r.fail(e, id, sent) })
	}
}

func runMembership(seed uint64) []MembershipResult {
	one := func(i int) bool { return i == 4 }
	domain := func(i int) bool { return domainName(i) == "b" }
	var results []MembershipResult
	for _, f := range []fault{refuses, silent, leaves} {
		results = append(results, newMemberRun(seed, f, one).run(), newMemberRun(seed, f, domain).run())
	}
	return results
}

func printMembership(p *printer, results []MembershipResult) {
	if len(results) == 0 {
		return
	}
	p.line("\n%-18s%9s%14s%12s%12s%7s%10s", "fault", "servers", "last sent s", "unanswered", "sent after", "lost", "requests")
	for _, x := range results {
		p.line("%-18s%9d%14.3f%12d%12d%7d%10d", x.Fault, x.Servers, x.LastSentSeconds, x.UnansweredAtFault, x.SentAfterFault, x.Lost, x.Requests)
	}
}
