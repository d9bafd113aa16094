package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// standby is an attempt at another server that is made while the server of a request is
// silent, or a hedge. It holds a slot and has used a retry of the budget. One goroutine sends the
// request and reads the header of the response; after that the standby belongs to the
// request, or is abandoned.
type standby struct {
	x      *exchange
	ctx    context.Context //nolint:containedctx // a standby lives for one attempt
	cancel context.CancelFunc
	// done is closed when resp and err are set.
	done chan struct{}
	resp *http.Response
	err  error
}

// newStandby starts an attempt with an exchange that has a slot. started means that the
// caller has a part of the response. opened is called when the standby has a response or
// has failed.
func newStandby(ctx context.Context, x *exchange, started bool, opened func(*standby)) *standby {
	s := &standby{x: x, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	go func() {
		defer close(s.done)
		s.resp, s.err = s.open(started) //nolint:bodyclose // the body ends with the connection
		if s.err != nil {
			s.release(s.err)
		}
		opened(s)
	}()
	return s
}

// open gets a response that can continue the request, with its header read. After an error
// the standby has ended.
func (s *standby) open(started bool) (*http.Response, error) {
	resp, err := s.roundTrip(started)
	if err == nil {
		return resp, nil
	}
	if s.ctx.Err() != nil {
		err = withContextCause(s.ctx, err)
	}
	s.cancel()
	return nil, err
}

func (s *standby) roundTrip(started bool) (*http.Response, error) {
	if err := s.x.connect(s.ctx, s.ctx); err != nil {
		return nil, err
	}
	resp, err := s.x.roundTrip()
	if err != nil {
		return nil, err
	}
	if err := s.x.validate(resp, started); err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, errkind.New(errkind.BackendFailed, "the server failed with status %d", resp.StatusCode)
	}
	if s.x.hedge {
		if err := s.x.awaitOutput(resp); err != nil {
			return nil, err
		}
	}
	return resp, nil
}

// abandon ends a standby that has a response.
func (s *standby) abandon() {
	s.cancel()
	s.release(errkind.New(errkind.Canceled, "the request continues on its server"))
}

// release gives the slot back.
func (s *standby) release(err error) { s.x.svc.release(clock.Now(), s.x.result(err)) }

// finish relays the response of a standby to which its request has moved.
func (s *standby) finish(waitCtx context.Context) error {
	defer s.cancel()
	defer s.x.stopAbort()
	s.x.watch.start(waitCtx)
	defer s.x.watch.stop()
	s.x.watch.progress()
	return s.x.finish(s.resp)
}

// newStandbyExchange returns an exchange with a slot on another server for a request
// whose caller has the events up to lastEventID. It returns false if the request can't
// continue elsewhere now: no slot is free, no retry is left, or the rest of the stream
// would take too long.
func (x *exchange) newStandbyExchange(
	now time.Time, lastEventID string, events int, exclude []string,
) (*exchange, bool) {
	r := x.r
	if !x.svc.canFinish(now, r.eventsLeft(events), r.route.EventGapObjective, r.timeLeft(now)) ||
		x.g.crashes.check(r.features) != nil {
		return nil, false
	}
	id, ok := x.svc.reserveStandby(now, retry.Attempt{
		Err:    errkind.Wrap(errkind.StreamIncomplete, errServerSilent, "the response pauses"),
		Number: r.trace.attempts, Idempotent: true, Deadline: r.deadline,
	}, r.constraint(exclude))
	if !ok {
		return nil, false
	}
	server, ok := x.g.state.Server(id)
	if !ok {
		x.svc.release(now, r.notRegistered(id))
		return nil, false
	}
	x.g.metrics.AddToCounter("standby_attempts", 1)
	return newExchange(exchange{
		g: x.g, r: r, svc: x.svc, out: x.out, server: server, startedAt: now,
		lastEventID: lastEventID, eventsBefore: events,
	}), true
}

// reserveStandby takes a retry from the budget and a free slot on a server that the
// constraint allows, or neither of them.
func (s *service) reserveStandby(now time.Time, a retry.Attempt, c placement.Constraint) (server string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.scheduler.HasFreeSlot(now, c) || !s.budget.Decide(now, a, s.rng).Retry {
		return "", false
	}
	return s.scheduler.TryPlace(now, c)
}

// takeStandby returns the standby that continues the request after its exchange has ended
// with err, or nil. It ends the others and adds them to the trace of the request.
func (x *exchange) takeStandby(waitCtx context.Context, err error) *standby {
	s, earlier := x.watch.standbys()
	for _, e := range earlier {
		x.r.recordStandby(e)
	}
	if s == nil {
		return nil
	}
	wanted := waitCtx.Err() == nil && retry.IsRetryable(retry.Attempt{
		Err: err, Idempotent: true, ResponseStarted: x.out.started && !x.out.resumable,
	})
	if !wanted {
		s.cancel()
	}
	<-s.done
	x.r.recordStandby(s)
	if s.err == nil && !wanted {
		s.abandon()
	}
	if s.err != nil || !wanted {
		return nil
	}
	return s
}

// recordStandby adds a standby that has a response or has ended to the trace.
func (r *request) recordStandby(s *standby) {
	r.trace.servers = append(r.trace.servers, s.x.server.ID)
	if s.x.conn != nil {
		r.trace.sent++
	}
	if s.x.crashCheck != nil {
		r.crashCheck = s.x.crashCheck
	}
	if s.x.conn != nil && (s.err == nil || errkind.Of(s.err).Execution != errkind.NotRun) {
		r.trace.mayHaveRun = true
	}
}

// logMove logs that a request continues on its standby, unless that is a hedge that was the
// first one with an output. Hedges have counters of their own.
func (r *request) logMove(g *Gateway, err error, from string, to *standby) {
	if !to.x.hedge {
		g.metrics.AddToCounter("retries", 1)
		g.metrics.AddToCounter("standby_moves", 1)
	}
	if errors.Is(err, errHedgeFirst) {
		return
	}
	if !g.allowLog(logAttempt) {
		return
	}
	r.log.Warn().Str("error", errkind.Of(err).Error()).Str("server", from).Str("standby", to.x.server.ID).
		Int("attempt", r.trace.attempts).Int("sent", r.trace.sent).Int("max_sent", r.route.MaxAttempts).
		Int("events", to.x.eventsBefore).Msg("attempt failed, continuing on the standby server")
}

// withStandbys returns a list of servers with those of the standbys added.
func withStandbys(list []string, standbys []*standby) []string {
	list = slices.Clone(list)
	for _, s := range standbys {
		list = append(list, s.x.server.ID)
	}
	return list
}
