package claimlog

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/claim"
)

type result struct {
	answer claim.Answer
	err    *errkind.Error
}

// liveCall drives one claim.Call. The goroutine in drive owns call; decided,
// replied and ended belong to the partition's mutex.
type liveCall struct {
	client   *Client
	p        *partition
	call     *claim.Call
	identity claim.Identity
	bodyHash string
	deadline time.Time

	// notices carries hints from the writer. They may be dropped when it is
	// full, except that an outcome's own notice always fits.
	notices chan claim.EventKind
	verdict chan claim.Decision // capacity 1: only the first verdict is sent
	ran     chan claim.Event    // capacity 1
	result  chan result         // capacity 1

	decided bool
	replied bool
	ended   bool
}

// noticeCapacity holds one notice per append attempt within DecideWithin at the
// writer's back-off.
const noticeCapacity = 16

func newLiveCall(c *Client, p *partition, call *claim.Call, id claim.Identity, r claim.Request) *liveCall {
	return &liveCall{
		client: c, p: p, call: call, identity: id, bodyHash: r.BodyHash, deadline: r.Deadline,
		notices: make(chan claim.EventKind, noticeCapacity),
		verdict: make(chan claim.Decision, 1),
		ran:     make(chan claim.Event, 1),
		result:  make(chan result, 1),
	}
}

// notify passes a hint of the writer. It never blocks.
func (l *liveCall) notify(kind claim.EventKind) {
	select {
	case l.notices <- kind:
	default:
	}
}

func (l *liveCall) drive(ctx context.Context, run RunFunc) {
	defer func() { <-l.client.slots }()
	defer l.client.calls.Done()
	defer l.p.unregister(l)
	view, down := l.p.register(l)
	first := claim.Event{Kind: claim.Start, View: view}
	if down {
		first.Kind = claim.LogUnavailable
	}
	l.step(ctx, run, first)
	gone, stopped := ctx.Done(), l.client.ctx.Done()
	for l.call.State() != claim.Finished {
		timeout, stop := l.timeout()
		var e claim.Event
		select {
		case v := <-l.verdict:
			e = claim.Event{Kind: claim.ClaimRead, Decision: v}
		case e = <-l.ran:
		case kind := <-l.notices:
			e.Kind = kind
		case <-timeout:
			e.Kind = claim.DeadlinePassed
		case <-gone:
			e.Kind, gone = claim.Canceled, nil
		case <-stopped:
			e.Kind, stopped = claim.Canceled, nil
		}
		stop()
		e.View = l.p.view(l)
		l.step(ctx, run, e)
	}
}

func (l *liveCall) timeout() (<-chan time.Time, func()) {
	at := l.call.NextDeadline()
	if at.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(at.Sub(l.client.now()))
	return t.C, func() { t.Stop() }
}

func (l *liveCall) step(ctx context.Context, run RunFunc, e claim.Event) {
	for _, effect := range l.call.Step(l.client.now(), e) {
		switch effect.Kind {
		case claim.AppendClaim, claim.AppendOutcome:
			if !l.p.enqueue(item{entry: effect.Entry, call: l}) {
				l.notify(claim.AppendRefused)
			}
		case claim.Run:
			go l.execute(ctx, run)
		case claim.Reply:
			l.p.markReplied(l)
			l.result <- result{answer: effect.Answer, err: effect.Err}
		}
	}
}

// execute runs the call. It outlives the caller's context, so that the outcome
// of a booking whose caller has gone still reaches the log.
func (l *liveCall) execute(ctx context.Context, run RunFunc) {
	ctx = context.WithoutCancel(ctx)
	if !l.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, l.deadline)
		defer cancel()
	}
	answer, err := run(ctx)
	switch {
	case err == nil:
		l.ran <- claim.Event{Kind: claim.BackendAnswered, Answer: answer}
	case errkind.Of(err).Execution == errkind.NotRun:
		l.ran <- claim.Event{Kind: claim.BackendRefused, Err: err}
	default:
		l.ran <- claim.Event{Kind: claim.BackendLost, Err: err}
	}
}
