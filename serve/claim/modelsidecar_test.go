package claim_test

import (
	"fmt"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/claim"
)

func (sim *simulation) newSidecar() *sidecar {
	sim.sequence++
	sc := &sidecar{
		sim: sim, incarnation: fmt.Sprintf("i%d", sim.sequence), index: claim.NewIndex(sim.settings),
		clockSkew: sim.randomDuration(sim.settings.MaxClockSkew) - sim.settings.MaxClockSkew/2,
		calls:     make(map[uint64]*modelCall),
	}
	sc.poll()
	return sc
}

func (sc *sidecar) now() time.Time { return sc.sim.now.Add(sc.clockSkew) }

// whenRunning executes an action of the process: after the pause if the process
// is paused, and never if it is dead.
func (sc *sidecar) whenRunning(action func()) {
	if sc.dead {
		return
	}
	if wait := sc.pausedUntil.Sub(sc.sim.now); wait > 0 {
		sc.sim.schedule(wait, func() { sc.whenRunning(action) })
		return
	}
	action()
}

func (sc *sidecar) schedule(d time.Duration, action func()) {
	sc.sim.schedule(d, func() { sc.whenRunning(action) })
}

// crash ends the process and starts a replacement with a new incarnation.
func (sc *sidecar) crash() {
	sc.dead = true
	for i, other := range sc.sim.sidecars {
		if other == sc {
			sc.sim.sidecars[i] = sc.sim.newSidecar()
		}
	}
}

func (sc *sidecar) receive(req *callerRequest, r claim.Request) {
	sc.seq++
	id := claim.ID{Incarnation: sc.incarnation, Seq: sc.seq}
	c := &modelCall{Call: claim.NewCall(sc.sim.settings, id, r, sc.now()), request: req, bodyHash: r.BodyHash}
	sc.calls[sc.seq] = c
	kind := claim.Start
	if sc.sim.logOutage && sc.sim.chance(0.5) {
		kind = claim.LogUnavailable
	}
	sc.step(c, claim.Event{Kind: kind})
}

func (sc *sidecar) step(c *modelCall, e claim.Event) {
	if sc.dead {
		return
	}
	e.View = sc.index.View(c.request.identity, c.bodyHash)
	if sc.sim.disabled == missingRecordsAreUnknown && e.View.Status == claim.RecordsMissing {
		e.View = claim.View{}
	}
	before := c.State()
	effects := c.Step(sc.now(), e)
	if c.State() >= claim.Abandoning && !c.refused {
		c.refused = true
		first := sc.sim.runs[c.request.identity]
		c.earlierRan = first != nil && first.number < c.request.number
	}
	for _, effect := range effects {
		sc.injectFault()
		if sc.dead {
			return
		}
		sc.whenRunning(func() { sc.execute(c, effect) })
	}
	if at := c.NextDeadline(); c.State() != before && c.State() != claim.Finished && !at.IsZero() {
		sc.schedule(at.Sub(sc.now()), func() { sc.step(c, claim.Event{Kind: claim.DeadlinePassed}) })
	}
	if c.State() == claim.Finished {
		delete(sc.calls, c.ID().Seq)
	}
}

// injectFault crashes or pauses the process at random.
func (sc *sidecar) injectFault() {
	if sc.sim.chance(crashRate) {
		sc.crash()
	} else if sc.sim.chance(pauseRate) {
		sc.pausedUntil = sc.sim.now.Add(sc.sim.randomDuration(5 * time.Minute))
	}
}

func (sc *sidecar) execute(c *modelCall, e claim.Effect) {
	switch e.Kind {
	case claim.AppendClaim, claim.AppendOutcome:
		sc.append(c, e.Entry, 0)
	case claim.Run:
		sc.schedule(sc.sim.randomDuration(20*time.Millisecond), func() { sc.runCall(c) })
	case claim.Reply:
		sc.sim.checkReply(c, e)
	}
}

func (sc *sidecar) runCall(c *modelCall) {
	sim := sc.sim
	if sim.chance(backendRefusedRate) {
		sc.step(c, claim.Event{Kind: claim.BackendRefused, Err: errkind.New(errkind.BackendUnavailable, "refused")})
		return
	}
	answer := sim.runBackend(c.request)
	e := claim.Event{Kind: claim.BackendAnswered, Answer: answer}
	if sim.chance(backendBrokenRate) {
		e = claim.Event{Kind: claim.BackendLost, Err: errkind.New(errkind.BackendFailed, "broken")}
		if sim.disabled == brokenConnectionIsUnknown {
			e = claim.Event{Kind: claim.BackendRefused, Err: errkind.New(errkind.BackendUnavailable, "broken")}
		}
	}
	sc.injectFault()
	sc.schedule(sim.randomDuration(3*time.Second), func() { sc.step(c, e) })
}

// append appends one entry, subject to all faults of the log. c is nil for the
// abandonment of a claim whose call has ended. Lost and rate-limited appends are
// retried, so the log may contain duplicates.
func (sc *sidecar) append(c *modelCall, e claim.Entry, attempt int) {
	sim := sc.sim
	if attempt > 8 || e.Type == claim.EntryClaim && c.State() == claim.Finished {
		return
	}
	data, _ := claim.Encode("r", sc.incarnation, []claim.Entry{e})
	retry := func() { sc.append(c, e, attempt+1) }
	latency := sim.randomDuration(50 * time.Millisecond)
	x := sim.rng.Float64()
	switch {
	case sim.logOutage, x < appendLostRate:
		sc.schedule(latency, func() { sc.handleAppendLost(c, e, retry) })
	case x < appendLostRate+rateLimitedRate:
		sc.schedule(latency, func() {
			sc.notify(c, claim.Event{Kind: claim.AppendRateLimited})
			sc.schedule(200*time.Millisecond, retry)
		})
	case x < appendLostRate+rateLimitedRate+lateAppendRate:
		sim.schedule(sim.randomDuration(3*time.Minute), func() { sim.appendRecord(data) })
		sc.schedule(latency, func() { sc.handleAppendLost(c, e, retry) })
	default:
		answerLost := x < appendLostRate+rateLimitedRate+lateAppendRate+answerLostRate
		sim.schedule(latency/2, func() {
			offset := sim.appendRecord(data)
			sim.schedule(latency/2, func() { sc.whenRunning(func() { sc.handleAppended(c, e, offset, answerLost, retry) }) })
		})
	}
}

func (sc *sidecar) handleAppended(c *modelCall, e claim.Entry, offset infra.Offset, answerLost bool, retry func()) {
	if answerLost {
		sc.handleAppendLost(c, e, retry)
		return
	}
	if e.Type != claim.EntryClaim {
		sc.notify(c, claim.Event{Kind: claim.OutcomeWritten})
		return
	}
	sc.notify(c, claim.Event{Kind: claim.ClaimAppended})
	if sc.sim.disabled == runOnlyAfterReadBack {
		sc.notify(c, claim.Event{Kind: claim.ClaimRead, Decision: claim.Decision{
			Claim: c.ID(), Identity: c.request.identity, Offset: offset, Won: true,
		}})
	}
}

func (sc *sidecar) handleAppendLost(c *modelCall, e claim.Entry, retry func()) {
	if e.Type == claim.EntryClaim {
		sc.notify(c, claim.Event{Kind: claim.AppendLost})
		if sc.sim.disabled == lostAppendIsUnknown && !c.request.answered {
			sc.sim.checkReply(c, claim.Effect{Kind: claim.Reply, Err: errkind.New(errkind.LogUnavailable, "failed")})
		}
	}
	sc.schedule(300*time.Millisecond, retry)
}

func (sc *sidecar) notify(c *modelCall, e claim.Event) {
	if c != nil && c.State() != claim.Finished {
		sc.step(c, e)
	}
}

func (sim *simulation) appendRecord(data []byte) infra.Offset {
	offset := sim.trimmed + infra.Offset(len(sim.records)) + 1
	sim.records = append(sim.records, infra.Record{Offset: offset, Time: sim.now, Data: data})
	return offset
}

// poll reads a few records with a random delay, applies them and schedules the
// next poll.
func (sc *sidecar) poll() {
	sim := sc.sim
	delay := sim.randomDuration(30 * time.Millisecond)
	if sim.chance(0.05) {
		delay = sim.randomDuration(5 * time.Second)
	}
	after, trimmed := sc.index.Offset(), sim.trimmed
	var read []infra.Record
	if !sim.logOutage && after >= trimmed {
		read = sim.records[min(int(after-trimmed), len(sim.records)):]
		read = read[:min(len(read), 1+sim.rng.IntN(8))]
	}
	maxPollPause := 500 * time.Millisecond // bounds the events of an idle model
	if len(read) > 0 {
		maxPollPause = 0
	}
	sc.schedule(delay+sim.randomDuration(maxPollPause+1), func() {
		sc.index.MarkTrimmed(trimmed + 1)
		for _, r := range read {
			sc.applyRecord(r)
		}
		sc.poll()
	})
}

func (sc *sidecar) applyRecord(r infra.Record) {
	for _, d := range sc.index.Apply(r).Decisions {
		if d.Claim.Incarnation != sc.incarnation {
			continue
		}
		if sc.sim.disabled == missingRecordsAreUnknown && d.Before.Status == claim.RecordsMissing {
			d.Before = claim.View{}
		}
		c := sc.calls[d.Claim.Seq]
		switch {
		case c != nil && !c.decided:
			c.decided = true
			sc.step(c, claim.Event{Kind: claim.ClaimRead, Decision: d})
		case d.Won && sc.sim.disabled == refusedCallNeverRuns:
			sc.runOrphanedClaim(d)
		case d.Won:
			sc.append(nil, claim.AbandonedEntry(d), 0)
		}
	}
}

// runOrphanedClaim runs a claim whose call was refused, which breaks the rule
// refusedCallNeverRuns.
func (sc *sidecar) runOrphanedClaim(d claim.Decision) {
	for _, req := range sc.sim.requests {
		if req.identity == d.Identity && req.answeredNotRun {
			sc.sim.runBackend(req)
			return
		}
	}
}
