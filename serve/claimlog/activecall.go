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

// activeCall drives one claim.Call. call is owned by the goroutine that runs
// drive; decided, replied and ended are guarded by the partition's mutex.
type activeCall struct {
	client    *Client
	partition *partition
	call      *claim.Call
	identity  claim.Identity
	bodyHash  string
	deadline  time.Time

	// writerEvents carries events from the writer. An event is dropped if the
	// channel is full; the capacity leaves room for OutcomeWritten.
	writerEvents chan claim.EventKind
	decision     chan claim.Decision // capacity 1: only the first decision is sent
	runEnded     chan claim.Event    // capacity 1
	result       chan result         // capacity 1

	decided bool
	replied bool
	ended   bool
}

// writerEventCapacity is enough for one event per append attempt within
// DecisionTimeout, at the backoff of the writer.
const writerEventCapacity = 16

func newActiveCall(c *Client, part *partition, call *claim.Call, id claim.Identity, r claim.Request) *activeCall {
	return &activeCall{
		client: c, partition: part, call: call, identity: id, bodyHash: r.BodyHash, deadline: r.Deadline,
		writerEvents: make(chan claim.EventKind, writerEventCapacity),
		decision:     make(chan claim.Decision, 1),
		runEnded:     make(chan claim.Event, 1),
		result:       make(chan result, 1),
	}
}

// notify passes an event of the writer. It never blocks.
func (a *activeCall) notify(kind claim.EventKind) {
	select {
	case a.writerEvents <- kind:
	default:
	}
}

func (a *activeCall) drive(ctx context.Context, run RunFunc) {
	defer func() { <-a.client.slots }()
	defer a.client.calls.Done()
	defer a.partition.unregister(a)
	view, unavailable := a.partition.register(a)
	first := claim.Event{Kind: claim.Start, View: view}
	if unavailable {
		first.Kind = claim.LogUnavailable
	}
	a.step(ctx, run, first)
	callerDone, clientDone := ctx.Done(), a.client.ctx.Done()
	for a.call.State() != claim.Finished {
		timeout, stop := a.deadlineTimer()
		var e claim.Event
		select {
		case d := <-a.decision:
			e = claim.Event{Kind: claim.ClaimRead, Decision: d}
		case e = <-a.runEnded:
		case kind := <-a.writerEvents:
			e.Kind = kind
		case <-timeout:
			e.Kind = claim.DeadlinePassed
		case <-callerDone:
			e.Kind, callerDone = claim.Canceled, nil
		case <-clientDone:
			e.Kind, clientDone = claim.Canceled, nil
		}
		stop()
		e.View = a.partition.view(a)
		a.step(ctx, run, e)
	}
}

func (a *activeCall) deadlineTimer() (<-chan time.Time, func()) {
	at := a.call.NextDeadline()
	if at.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(at.Sub(a.client.now()))
	return t.C, func() { t.Stop() }
}

func (a *activeCall) step(ctx context.Context, run RunFunc, e claim.Event) {
	for _, effect := range a.call.Step(a.client.now(), e) {
		switch effect.Kind {
		case claim.AppendClaim, claim.AppendOutcome:
			if !a.partition.enqueue(queuedEntry{entry: effect.Entry, call: a}) {
				a.notify(claim.AppendRefused)
			}
		case claim.Run:
			go a.execute(ctx, run)
		case claim.Reply:
			a.partition.markReplied(a)
			a.result <- result{answer: effect.Answer, err: effect.Err}
		}
	}
}

// execute runs the call. It ignores a cancellation by the caller, so that the
// outcome of the call still reaches the log.
func (a *activeCall) execute(ctx context.Context, run RunFunc) {
	ctx = context.WithoutCancel(ctx)
	if !a.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.deadline)
		defer cancel()
	}
	answer, err := run(ctx)
	switch {
	case err == nil:
		a.runEnded <- claim.Event{Kind: claim.BackendAnswered, Answer: answer}
	case errkind.Of(err).Execution == errkind.NotRun:
		a.runEnded <- claim.Event{Kind: claim.BackendRefused, Err: err}
	default:
		a.runEnded <- claim.Event{Kind: claim.BackendLost, Err: err}
	}
}
