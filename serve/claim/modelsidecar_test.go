package claim_test

import (
	"fmt"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/claim"
)

func (w *world) newSidecar() *sidecar {
	w.order++
	sc := &sidecar{
		w: w, incarnation: fmt.Sprintf("i%d", w.order), book: claim.NewIndex(w.settings),
		skew:  w.upTo(w.settings.MaxClockSkew) - w.settings.MaxClockSkew/2,
		calls: make(map[uint64]*modelCall),
	}
	sc.poll()
	return sc
}

func (sc *sidecar) now() time.Time { return sc.w.now.Add(sc.skew) }

// do performs one action of the process: never once it is dead, and after the
// pause while it is paused.
func (sc *sidecar) do(action func()) {
	if sc.dead {
		return
	}
	if wait := sc.pausedUntil.Sub(sc.w.now); wait > 0 {
		sc.w.after(wait, func() { sc.do(action) })
		return
	}
	action()
}

func (sc *sidecar) later(d time.Duration, action func()) {
	sc.w.after(d, func() { sc.do(action) })
}

// crash ends the process and starts its replacement with a new incarnation.
func (sc *sidecar) crash() {
	sc.dead = true
	for i, other := range sc.w.sidecars {
		if other == sc {
			sc.w.sidecars[i] = sc.w.newSidecar()
		}
	}
}

func (sc *sidecar) receive(s *send, r claim.Request) {
	sc.seq++
	id := claim.ID{Incarnation: sc.incarnation, Seq: sc.seq}
	c := &modelCall{Call: claim.NewCall(sc.w.settings, id, r, sc.now()), send: s, hash: r.BodyHash}
	sc.calls[sc.seq] = c
	kind := claim.Start
	if sc.w.outage && sc.w.chance(0.5) {
		kind = claim.LogUnavailable
	}
	sc.step(c, claim.Event{Kind: kind})
}

func (sc *sidecar) step(c *modelCall, e claim.Event) {
	if sc.dead {
		return
	}
	e.View = sc.book.View(c.send.identity, c.hash)
	if sc.w.off == gapIsUnknown && e.View.Status == claim.Gap {
		e.View = claim.View{}
	}
	before := c.State()
	effects := c.Step(sc.now(), e)
	if c.State() >= claim.Abandoning && !c.refused {
		c.refused = true
		first := sc.w.runs[c.send.identity]
		c.earlier = first != nil && first.number < c.send.number
	}
	for _, effect := range effects {
		sc.fault()
		if sc.dead {
			return
		}
		sc.do(func() { sc.execute(c, effect) })
	}
	if at := c.NextDeadline(); c.State() != before && c.State() != claim.Finished && !at.IsZero() {
		sc.later(at.Sub(sc.now()), func() { sc.step(c, claim.Event{Kind: claim.DeadlinePassed}) })
	}
	if c.State() == claim.Finished {
		delete(sc.calls, c.ID().Seq)
	}
}

// fault crashes or pauses the process.
func (sc *sidecar) fault() {
	if sc.w.chance(crashRate) {
		sc.crash()
	} else if sc.w.chance(pauseRate) {
		sc.pausedUntil = sc.w.now.Add(sc.w.upTo(5 * time.Minute))
	}
}

func (sc *sidecar) execute(c *modelCall, e claim.Effect) {
	switch e.Kind {
	case claim.AppendClaim, claim.AppendOutcome:
		sc.append(c, e.Entry, 0)
	case claim.Run:
		sc.later(sc.w.upTo(20*time.Millisecond), func() { sc.runCall(c) })
	case claim.Reply:
		sc.w.reply(c, e)
	}
}

func (sc *sidecar) runCall(c *modelCall) {
	w := sc.w
	if w.chance(refusedRate) {
		sc.step(c, claim.Event{Kind: claim.BackendRefused, Err: errkind.New(errkind.BackendUnavailable, "refused")})
		return
	}
	answer := w.backend(c.send)
	e := claim.Event{Kind: claim.BackendAnswered, Answer: answer}
	if w.chance(brokenRate) {
		e = claim.Event{Kind: claim.BackendLost, Err: errkind.New(errkind.BackendFailed, "broken")}
		if w.off == brokenIsLost {
			e = claim.Event{Kind: claim.BackendRefused, Err: errkind.New(errkind.BackendUnavailable, "broken")}
		}
	}
	sc.fault()
	sc.later(w.upTo(3*time.Second), func() { sc.step(c, e) })
}

// append sends one entry with all faults of the log. c is nil for the
// abandonment of a claim whose call has ended. Unresolved and rate-limited
// appends are repeated, so that the log may hold copies.
func (sc *sidecar) append(c *modelCall, e claim.Entry, attempt int) {
	w := sc.w
	if attempt > 8 || e.Type == claim.EntryClaim && c.State() == claim.Finished {
		return
	}
	data, _ := claim.Encode("r", sc.incarnation, []claim.Entry{e})
	again := func() { sc.append(c, e, attempt+1) }
	latency := w.upTo(50 * time.Millisecond)
	x := w.rng.Float64()
	switch {
	case w.outage, x < lostRate:
		sc.later(latency, func() { sc.unresolved(c, e, again) })
	case x < lostRate+limitedRate:
		sc.later(latency, func() {
			sc.notify(c, claim.Event{Kind: claim.AppendRateLimited})
			sc.later(200*time.Millisecond, again)
		})
	case x < lostRate+limitedRate+lostLateRate:
		w.after(w.upTo(3*time.Minute), func() { w.put(data) })
		sc.later(latency, func() { sc.unresolved(c, e, again) })
	default:
		lost := x < lostRate+limitedRate+lostLateRate+lostAfterRate
		w.after(latency/2, func() {
			offset := w.put(data)
			w.after(latency/2, func() { sc.do(func() { sc.acknowledged(c, e, offset, lost, again) }) })
		})
	}
}

func (sc *sidecar) acknowledged(c *modelCall, e claim.Entry, offset infra.Offset, lost bool, again func()) {
	if lost {
		sc.unresolved(c, e, again)
		return
	}
	if e.Type != claim.EntryClaim {
		sc.notify(c, claim.Event{Kind: claim.OutcomeWritten})
		return
	}
	sc.notify(c, claim.Event{Kind: claim.ClaimAppended})
	if sc.w.off == readOwnRecord {
		sc.notify(c, claim.Event{Kind: claim.ClaimRead, Decision: claim.Decision{
			Claim: c.ID(), Identity: c.send.identity, Offset: offset, Won: true,
		}})
	}
}

func (sc *sidecar) unresolved(c *modelCall, e claim.Entry, again func()) {
	if e.Type == claim.EntryClaim {
		sc.notify(c, claim.Event{Kind: claim.AppendLost})
		if sc.w.off == lostIsUnknown && !c.send.answered {
			sc.w.reply(c, claim.Effect{Kind: claim.Reply, Err: errkind.New(errkind.LogUnavailable, "failed")})
		}
	}
	sc.later(300*time.Millisecond, again)
}

func (sc *sidecar) notify(c *modelCall, e claim.Event) {
	if c != nil && c.State() != claim.Finished {
		sc.step(c, e)
	}
}

func (w *world) put(data []byte) infra.Offset {
	offset := w.trimmed + infra.Offset(len(w.records)) + 1
	w.records = append(w.records, infra.Record{Offset: offset, Time: w.now, Data: data})
	return offset
}

// poll reads a few records, with an answer that may be slow, and goes on.
func (sc *sidecar) poll() {
	w := sc.w
	delay := w.upTo(30 * time.Millisecond)
	if w.chance(0.05) {
		delay = w.upTo(5 * time.Second)
	}
	after, trimmed := sc.book.Offset(), w.trimmed
	var read []infra.Record
	if !w.outage && after >= trimmed {
		read = w.records[min(int(after-trimmed), len(w.records)):]
		read = read[:min(len(read), 1+w.rng.IntN(8))]
	}
	idle := 500 * time.Millisecond // bounds the events of an idle model
	if len(read) > 0 {
		idle = 0
	}
	sc.later(delay+w.upTo(idle+1), func() {
		sc.book.MarkTrimmed(trimmed + 1)
		for _, r := range read {
			sc.apply(r)
		}
		sc.poll()
	})
}

func (sc *sidecar) apply(r infra.Record) {
	for _, v := range sc.book.Apply(r).Decisions {
		if v.Claim.Incarnation != sc.incarnation {
			continue
		}
		if sc.w.off == gapIsUnknown && v.Before.Status == claim.Gap {
			v.Before = claim.View{}
		}
		c := sc.calls[v.Claim.Seq]
		switch {
		case c != nil && !c.decided:
			c.decided = true
			sc.step(c, claim.Event{Kind: claim.ClaimRead, Decision: v})
		case v.Won && sc.w.off == endsWhenRefuse:
			sc.runOrphan(v)
		case v.Won:
			sc.append(nil, claim.AbandonedEntry(v), 0)
		}
	}
}

// runOrphan runs a claim whose call was refused, which the rule forbids.
func (sc *sidecar) runOrphan(v claim.Decision) {
	for _, s := range sc.w.sends {
		if s.identity == v.Identity && s.notRun {
			sc.w.backend(s)
			return
		}
	}
}
