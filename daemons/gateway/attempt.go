package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/serve/hedge"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	// waitWithoutObjective is how long a request of a route without an objective may wait
	// for a slot.
	waitWithoutObjective = 100 * time.Millisecond
	// slowStreamRetryAfter is the Retry-After value for a stream that can't finish
	// before its deadline. A slow rank stays slow for seconds.
	slowStreamRetryAfter = 2600 * time.Millisecond
)

var (
	errDeadline     = errors.New("deadline exceeded")
	errShutdown     = errors.New("the grace period of this process has ended")
	errServerSilent = errors.New("the server sent nothing within the silence limit")
	errPaced        = errors.New("the server takes no request any more since the connection was opened")
)

// forward sends a request to backend servers until one of them returns a complete
// response or no further retry is allowed.
func (g *Gateway) forward(r *request, out *responseWriter) error {
	ctx, cancel := r.context(r.arrived)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer context.AfterFunc(g.abortCtx, func() { abort(errShutdown) })()
	waitCtx, cancelWait := r.waitContext(ctx)
	defer cancelWait()
	r.lost = lostRequest{id: r.call.AttemptID, fingerprint: r.fingerprint(), promptParts: r.call.SharedPromptParts}
	r.features = r.lost.features()
	if err := g.crashes.check(r.features); err != nil {
		return err
	}
	svc := g.services.get(r.service, g.state)
	svc.recordFirstAttempt()
	// A request that must not run twice has no candidate.
	r.hedging, _ = hedge.NewCandidate(r.route, r.call.PromptTokens)
	svc.recordHedgeable(r.hedging)
	var next *standby
	for {
		r.trace.attempts++
		var err error
		next, err = g.attempt(ctx, waitCtx, r, svc, out, next)
		if err == nil {
			return nil
		}
		err = r.recordExecution(err)
		if next != nil {
			continue
		}
		d := svc.decideRetry(clock.Now(), retry.Attempt{
			Err:             err,
			Number:          r.trace.attempts,
			Idempotent:      r.route.Retryable(),
			ResponseStarted: out.started && !out.resumable,
			Deadline:        r.deadline,
		})
		shouldRetry := d.Retry && r.trace.sent < r.route.MaxAttempts
		if !shouldRetry {
			r.trace.noRetryReason = d.Reason
			return err
		}
		r.logFailedAttempt(g, err, d)
		g.metrics.AddToCounter("retries", 1)
		if !clock.Sleep(waitCtx, d.Delay) || !g.awaitCrashCheck(waitCtx, r) {
			return withContextCause(waitCtx, err)
		}
	}
}

// awaitCrashCheck waits until it is known whether the server of the last attempt has
// crashed, if the request may be the cause. Otherwise its retry could crash the next
// server. It returns false if ctx has ended.
func (g *Gateway) awaitCrashCheck(ctx context.Context, r *request) bool {
	if r.crashCheck == nil || !g.crashes.suspects(r.features) {
		return true
	}
	select {
	case <-r.crashCheck:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordExecution records whether an attempt may have run, and returns err with
// the execution state of the whole request. If an earlier attempt may have run,
// that state remains unknown even if this attempt certainly did not run.
func (r *request) recordExecution(err error) error {
	e := *errkind.Of(err)
	if e.Execution != errkind.NotRun {
		r.trace.mayHaveRun = true
	}
	if r.trace.mayHaveRun {
		e.Execution = errkind.Unknown
	}
	return &e
}

// attempt sends the request to one backend server: to that of the standby, or after a
// wait for a slot. waitCtx ends when the request must not be sent any more. If the attempt
// fails and the request continues on another standby, attempt returns that as well.
func (g *Gateway) attempt(
	ctx, waitCtx context.Context, r *request, svc *service, out *responseWriter, s *standby,
) (next *standby, err error) {
	var x *exchange
	if s != nil {
		x = s.x
		r.trace.placedAt = x.startedAt
		err = s.finish(waitCtx)
	} else {
		if x, err = g.place(waitCtx, r, svc, out); err != nil {
			return nil, err
		}
		err = x.run(ctx, waitCtx)
	}
	if x.crashCheck != nil {
		r.crashCheck = x.crashCheck
	}
	x.releaseSlot(err)
	next = x.takeStandby(waitCtx, err)
	x.recordHedge(next)
	if err == nil {
		return nil, nil
	}
	if next != nil {
		r.logMove(g, err, x.server.ID, next)
	}
	return next, withContextCause(waitCtx, err)
}

// place waits for a slot on a backend server and returns an exchange with it.
func (g *Gateway) place(waitCtx context.Context, r *request, svc *service, out *responseWriter) (*exchange, error) {
	startedAt := clock.Now()
	events := out.progress.Events()
	if left := r.timeLeft(startedAt); !svc.canFinish(startedAt, r.eventsLeft(events), r.route.EventGapObjective, left) {
		return nil, errkind.New(errkind.DeadlineUnreachable, "%d events take longer than %s at the current rate",
			r.eventsLeft(events), left).WithRetryAfter(slowStreamRetryAfter)
	}
	id, err := svc.acquire(waitCtx, placement.Request[*waiter]{
		Class:        r.urgency.String(),
		Organisation: r.organisation,
		Cost:         r.cost(),
		MaxWait:      r.maxWait(startedAt, svc),
		Constraint:   r.constraint(r.trace.servers),
	})
	placed := clock.Now()
	r.trace.waited += placed.Sub(startedAt)
	r.trace.placedAt = placed
	if err != nil {
		return nil, withContextCause(waitCtx, err)
	}
	if err := g.crashes.check(r.features); err != nil {
		svc.release(placed, attemptResult{server: id, tokens: r.tokens(), err: errkind.Of(err), notServerFault: true})
		return nil, err
	}
	r.trace.servers = append(r.trace.servers, id)
	server, ok := g.state.Server(id)
	if !ok {
		svc.release(placed, r.notRegistered(id))
		return nil, notSentError(errors.New("the server is no longer registered"))
	}
	return newExchange(exchange{
		g: g, r: r, svc: svc, out: out, server: server, startedAt: placed,
		lastEventID: out.progress.LastID(), eventsBefore: events,
	}), nil
}

// notRegistered is the result of an attempt at a server that is no longer registered.
func (r *request) notRegistered(server string) attemptResult {
	return attemptResult{
		server: server, tokens: r.tokens(), err: errkind.New(errkind.BackendUnavailable, "no longer registered"), notServerFault: true,
	}
}

// eventsLeft estimates how many events of a stream are still to come after some. The engine
// sends one event per pass.
func (r *request) eventsLeft(events int) int {
	engine := r.index.Config.Services[r.service].Engine
	if r.route.Kind != fleet.Streaming || engine == nil {
		return 0
	}
	tokens := r.call.ExpectedOutputTokens
	if tokens == 0 {
		tokens = r.call.MaxOutputTokens / 2
	}
	return max(tokens/engine.StepsPerPass-events, 0)
}

// maxWait returns how long the request may wait for a slot.
func (r *request) maxWait(now time.Time, svc *service) time.Duration {
	budget := waitWithoutObjective
	if r.route.LatencyObjective > 0 {
		budget = svc.waitBudget(r.route.LatencyObjective, now.Sub(r.arrived))
	}
	return min(budget, r.timeLeft(now))
}

// withContextCause replaces err by the cause of the context if the context has
// ended. The execution state of err is kept.
func withContextCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	known := errkind.Of(err)
	kind := errkind.Canceled
	switch {
	case errors.Is(cause, errDeadline):
		kind = errkind.BackendTimeout
	case errors.Is(cause, errShutdown):
		kind = errkind.Leaving
	}
	e := errkind.Wrap(kind, err, cause.Error())
	e.Execution = known.Execution
	return e
}

// notSentError returns the error of an attempt that failed before any byte was
// sent.
func notSentError(err error) *errkind.Error {
	return errkind.Wrap(errkind.BackendUnavailable, err, "the request was not sent").WithRetryAfter(unreachableRetryAfter)
}
