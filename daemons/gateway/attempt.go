package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	// recentConnection is how long ago a kept connection may have been used to
	// carry a non-idempotent request: its loss would leave the outcome unknown.
	recentConnection = 400 * time.Millisecond
	// waitShare is the part of the objective that a request may wait for a
	// place. The rest is for the answer itself.
	waitShare = 0.6
	// minWait bounds the wait from below for routes without an objective.
	minWait = 100 * time.Millisecond
	// unfinishedRetryAfter is the advice to a caller whose stream can't finish: a
	// slow rank stays slow for seconds.
	unfinishedRetryAfter = 2600 * time.Millisecond
	// unreachableRetryAfter is the advice after a server could not be reached.
	unreachableRetryAfter = 200 * time.Millisecond
)

var (
	errDeadline = errors.New("deadline passed")
	errSilent   = errors.New("the server is silent while others answer")
)

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

// run sends a request to backend servers until it is answered or given up.
func (g *Gateway) run(r *request, out *answerWriter) error {
	ctx, cancel := r.context(r.arrived)
	defer cancel()
	defer context.AfterFunc(g.aborted, cancel)()
	f := r.fingerprint()
	if err := g.crashes.check(f); err != nil {
		return err
	}
	svc := g.services.get(r.service, g.view)
	svc.firstAttempt()
	for {
		r.trace.attempts++
		err := g.attempt(ctx, r, svc, out)
		if err == nil {
			g.crashes.answered(f)
			return nil
		}
		err = r.noteExecution(err)
		d := svc.decideRetry(clock.Now(), retry.Attempt{
			Err:           err,
			Number:        r.trace.attempts,
			Idempotent:    r.route.Repeatable(),
			AnswerStarted: out.started && !out.resumable,
			Deadline:      r.deadline,
		})
		repeat := d.Retry && r.trace.sent < r.route.MaxAttempts
		if !repeat {
			r.trace.decision = d.Reason
			return err
		}
		r.logAttempt(g, err, d)
		g.metrics.AddToCounter("retries", 1)
		if !clock.Sleep(ctx, d.Delay) {
			return ended(ctx, err)
		}
	}
}

// noteExecution keeps in mind that an attempt may have run. A later failure that
// proves that its own attempt did not run says nothing about the earlier one.
func (r *request) noteExecution(err error) error {
	e := *errkind.Of(err)
	if e.Execution != errkind.NotRun {
		r.trace.mayHaveRun = true
	}
	if r.trace.mayHaveRun {
		e.Execution = errkind.Unknown
	}
	return &e
}

// attempt sends a request to one server.
func (g *Gateway) attempt(ctx context.Context, r *request, svc *service, out *answerWriter) error {
	began := clock.Now()
	if left := r.timeLeft(began); !svc.canFinish(began, r.eventsLeft(out), r.route.EventGapObjective, left) {
		return errkind.New(errkind.DeadlineUnreachable, "%d events take longer than %s at the present pace",
			r.eventsLeft(out), left).WithRetryAfter(unfinishedRetryAfter)
	}
	id, err := svc.acquire(ctx, placement.Request[*waiter]{
		Class:        className(r.priority),
		Organisation: r.organisation,
		Cost:         r.cost(),
		MaxWait:      r.maxWait(began),
		Exclude:      r.trace.servers,
	})
	placed := clock.Now()
	r.trace.waited += placed.Sub(began)
	if err != nil {
		return ended(ctx, err)
	}
	r.trace.servers = append(r.trace.servers, id)
	x := &exchange{g: g, r: r, svc: svc, out: out, began: placed}
	server, ok := g.view.Server(id)
	if !ok {
		svc.release(placed, result{server: id, err: errkind.New(errkind.BackendUnavailable, "gone"), innocent: true})
		return notSent(errors.New("the server left the list"))
	}
	x.server = server
	err = x.run(ctx)
	res := x.result(err)
	svc.release(clock.Now(), res)
	if err != nil {
		return ended(ctx, err)
	}
	return nil
}

// eventsLeft returns the number of events that are still expected of a stream.
func (r *request) eventsLeft(out *answerWriter) int {
	engine := r.index.Config.Services[r.service].Engine
	if r.route.Kind != fleet.Streaming || engine == nil {
		return 0
	}
	tokens := r.call.ExpectedOutputTokens
	if tokens == 0 {
		tokens = r.call.MaxOutputTokens / 2
	}
	return max(tokens/engine.StepsPerPass-out.progress.Events(), 0)
}

// maxWait is the longest time that the request may wait for a place.
func (r *request) maxWait(now time.Time) time.Duration {
	share := time.Duration(waitShare * float64(r.route.LatencyObjective))
	return min(max(share, minWait), r.timeLeft(now))
}

// ended replaces the error of a request whose context is over by the reason
// why. What is known about the execution stays.
func ended(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	known := errkind.Of(err)
	kind := errkind.Canceled
	if errors.Is(cause, errDeadline) {
		kind = errkind.BackendTimeout
	}
	e := errkind.Wrap(kind, err, cause.Error())
	e.Execution = known.Execution
	return e
}

// notSent is the failure of an attempt of which no byte left.
func notSent(err error) *errkind.Error {
	return errkind.Wrap(errkind.BackendUnavailable, err, "not sent").WithRetryAfter(unreachableRetryAfter)
}

// exchange is one request at one server.
type exchange struct {
	// ctx ends when the request is given up.
	ctx    context.Context //nolint:containedctx // an exchange lives for one call of run
	g      *Gateway
	r      *request
	svc    *service
	out    *answerWriter
	server fleet.Server
	began  time.Time
	conn   *upstream.Conn
	answer platform.ResponseHeader
	// lastEvents is when the last events arrived.
	lastEvents time.Time
	// full, moved and groupDown say why the server refused.
	full      bool
	moved     bool
	groupDown bool
}

// run sends the request and relays the answer. The error tells what is known
// about the execution.
func (x *exchange) run(ctx context.Context) error {
	conn, err := x.g.pool.Get(ctx, x.server.Address, x.recent())
	if err != nil {
		return notSent(err)
	}
	x.ctx, x.conn = ctx, conn
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	watch := newWatchdog(x)
	defer watch.stop()
	// A sent request counts as an attempt, even if the server refuses it.
	x.r.trace.sent++
	if err := conn.Send(x.request()); err != nil {
		return x.broken(watch, err)
	}
	resp, err := conn.ReadResponse(x.r.http.Method, x.own) //nolint:bodyclose // the body ends with the connection
	if err != nil {
		return x.broken(watch, err)
	}
	x.answer = platform.DecodeResponseHeader(resp.StatusCode, resp.Header)
	if x.answer.NotExecuted {
		return x.refused(resp)
	}
	watch.progress()
	err = x.relay(resp, watch)
	if err != nil {
		conn.Abort()
		return err
	}
	x.keep(resp)
	return nil
}

// recent is the age up to which a kept connection is used.
func (x *exchange) recent() time.Duration {
	if x.r.route.Repeatable() {
		return time.Hour
	}
	return recentConnection
}

func (x *exchange) request() *upstream.Request {
	return &upstream.Request{
		Method: x.r.http.Method,
		Target: x.r.target(),
		Host:   x.r.http.Host,
		Body:   x.r.body,
		Header: platform.ForwardHeader(x.r.http.Header, platform.ForwardParams{
			ServerID:     x.server.ID,
			Organisation: x.r.organisation,
			TimeLeft:     x.r.timeLeft(clock.Now()),
			LastEventID:  x.out.progress.LastID(),
			Priority:     x.r.priority,
		}),
	}
}

// target returns path and query as the caller sent them.
func (r *request) target() string {
	if r.http.URL.Host != "" {
		return r.http.URL.RequestURI()
	}
	return r.http.RequestURI
}

// own reports whether an answer belongs to this request. Refusals may come
// without the id of the request, successes may not.
func (x *exchange) own(resp *http.Response) bool {
	a := platform.DecodeResponseHeader(resp.StatusCode, resp.Header)
	if a.AttemptID == "" {
		return resp.StatusCode >= http.StatusMultipleChoices
	}
	return a.AttemptID == x.r.call.AttemptID
}

// refused ends an attempt that the server did not run.
func (x *exchange) refused(resp *http.Response) error {
	x.keepAfter(resp)
	x.moved = x.answer.WrongServer
	x.full = !x.moved && x.answer.ServerAtFault == ""
	x.groupDown = x.answer.ServerAtFault != ""
	if x.moved {
		x.g.kickServers()
	}
	err := errkind.New(errkind.BackendUnavailable, "the server did not run it, status %d, at fault %q",
		resp.StatusCode, x.answer.ServerAtFault)
	return err.WithRetryAfter(unreachableRetryAfter)
}

// broken ends an attempt whose connection failed before an answer.
func (x *exchange) broken(watch *watchdog, err error) error {
	x.conn.Abort()
	x.g.pool.CloseIdle(x.server.Address)
	x.suspectCrash(watch)
	if watch.silent() {
		err = errSilent
	}
	e := errkind.Wrap(errkind.BackendFailed, err, "no answer")
	e.Execution = errkind.Unknown
	return e
}

// suspectCrash has it found out whether the server is gone, unless the gateway
// itself closed the connection.
func (x *exchange) suspectCrash(watch *watchdog) {
	if !watch.silent() && x.ctx.Err() == nil {
		go x.g.crashes.broken(x.r.fingerprint(), x.server)
	}
}

// keepAfter reads the rest of an answer that doesn't go to the caller, and
// keeps the connection if that works.
func (x *exchange) keepAfter(resp *http.Response) {
	if err := drainBody(resp); err != nil {
		x.conn.Close()
		return
	}
	x.keep(resp)
}

// keep gives the connection back after the whole answer was read.
func (x *exchange) keep(resp *http.Response) {
	if resp.Close || x.answer.ConnectionClose {
		x.conn.Close()
		return
	}
	x.g.pool.Put(x.conn, x.answer.IdleTimeout)
}

func (x *exchange) result(err error) result {
	now := clock.Now()
	res := result{
		server: x.server.ID, full: x.full, moved: x.moved,
		groupDown: x.groupDown, atFault: x.answer.ServerAtFault,
	}
	if err != nil {
		res.err = errkind.Of(err)
		res.innocent = errkind.Is(err, errkind.Canceled) || x.r.http.Context().Err() != nil
		return res
	}
	res.took, res.cost = now.Sub(x.began), x.r.cost()
	res.first = res.took
	if x.r.trace.firstEvent > 0 {
		res.first = x.r.trace.firstEvent - x.began.Sub(x.r.arrived)
	}
	return res
}
