package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// nonIdempotentReuseAge is the longest idle time after which a connection is
	// reused for a non-idempotent request. A connection that turns out to be dead
	// leaves the outcome of such a request unknown.
	nonIdempotentReuseAge = 400 * time.Millisecond
	// unreachableRetryAfter is the Retry-After value after a server could not be
	// reached or refused a request.
	unreachableRetryAfter = 200 * time.Millisecond
)

// exchange sends one attempt of a request to a backend server and relays the
// response.
type exchange struct {
	// ctx ends at the deadline of the request or when it is cancelled.
	ctx       context.Context //nolint:containedctx // an exchange lives for one call of run
	g         *Gateway
	r         *request
	svc       *service
	out       *responseWriter
	server    fleet.Server
	startedAt time.Time
	conn      *upstream.Conn
	watch     *watchdog
	// lastEventID and eventsBefore are the ID of the last event and the number of events
	// that the caller had when the exchange began.
	lastEventID  string
	eventsBefore int
	// crashCheck is closed when the check whether the server has crashed has ended. It is
	// nil if there was no reason for one.
	crashCheck chan struct{}
	// stopAbort keeps the end of ctx from aborting the connection. It returns false if
	// that may have happened already.
	stopAbort func() bool
	response  platform.ResponseHeader
	// lastEventAt is when the last event arrived. arrived counts the events of this server,
	// and events those of them that the caller didn't have.
	lastEventAt time.Time
	arrived     int
	events      int
	// evacuated means that the request was not sent because its server is evacuated.
	evacuated bool
	// partialEvent is what is claimed for an event that hasn't arrived completely.
	partialEvent int
	// released means that the server is done with the request, and its slot free.
	released bool
	// serverFull, wrongServer, unsuitable and groupDown are the reasons for a refusal.
	// wrongServer means that another server has the address now, unsuitable that the
	// server doesn't have what this request expects.
	serverFull  bool
	wrongServer bool
	unsuitable  bool
	groupDown   bool
	// unused means that the response of a hedge is no fault of its server, but can't replace
	// the first attempt.
	unused bool
	// heldBack means that the pace of the server no longer allowed to send the request when
	// its connection was ready.
	heldBack bool
	// hedge means that the attempt is a hedge.
	hedge bool
}

// newExchange returns an exchange with a watchdog that isn't started.
func newExchange(x exchange) *exchange {
	x.watch = newWatchdog(&x)
	return &x
}

// run sends the request and relays the response. waitCtx ends before ctx if the caller
// disconnects; the request is not sent then. The error states whether the request may
// have run.
func (x *exchange) run(ctx, waitCtx context.Context) error {
	if err := x.connect(ctx, waitCtx); err != nil {
		return err
	}
	defer x.stopAbort()
	// A request counts as sent even if the server refuses it.
	x.r.trace.sent++
	x.watch.start(waitCtx)
	x.watch.scheduleHedge()
	defer x.watch.stop()
	resp, err := x.roundTrip() //nolint:bodyclose // the body ends with the connection
	if err != nil {
		return err
	}
	x.watch.progress()
	return x.finish(resp)
}

// connect gets a connection to the server, which the end of ctx aborts.
func (x *exchange) connect(ctx, waitCtx context.Context) error {
	conn, err := x.g.pool.Get(waitCtx, x.server.Address, x.maxReuseAge())
	if err == nil && conn.LastID() == x.r.call.AttemptID {
		// The server may repeat its last response, which could not be told from the
		// response to this attempt.
		conn.Close()
		conn, err = x.g.pool.Get(waitCtx, x.server.Address, 0)
	}
	if err != nil {
		return notSentError(err)
	}
	if waitCtx.Err() != nil {
		conn.Close()
		return notSentError(context.Cause(waitCtx))
	}
	if x.g.evacuations.includes(x.server.FailureDomain) {
		// The evacuation began during the wait for the connection.
		conn.Close()
		x.evacuated = true
		return notSentError(errEvacuated)
	}
	if !x.svc.confirmSend(clock.Now(), x.server.ID) {
		x.heldBack = true
		x.g.pool.Put(conn, 0)
		return notSentError(errPaced)
	}
	x.ctx, x.conn = ctx, conn
	x.stopAbort = context.AfterFunc(ctx, conn.Abort)
	return nil
}

// roundTrip sends the request and reads the header of the response. A response by which
// the server refuses the request is an error.
func (x *exchange) roundTrip() (*http.Response, error) {
	if err := x.conn.Send(x.upstreamRequest()); err != nil {
		return nil, x.connectionFailed(err)
	}
	resp, err := x.conn.ReadResponse(x.r.http.Method, x.matchesRequest)
	if err != nil {
		return nil, x.connectionFailed(err)
	}
	x.response = platform.DecodeResponseHeader(resp.StatusCode, resp.Header)
	x.wrongServer = x.response.Misdirected && !x.response.RefusedBy(x.server.ID)
	if !x.wrongServer {
		// A new limit may start waiting requests, so what else the server states comes first.
		x.svc.recordStatements(x.server.ID, isSuccess(resp.StatusCode), x.response)
		x.svc.recordRequestLimit(x.startedAt, x.server.ID, x.response)
	}
	if x.response.NotExecuted {
		return nil, x.serverRefused(resp)
	}
	return resp, nil
}

// finish relays the response, and gives the connection and the slot back.
func (x *exchange) finish(resp *http.Response) error {
	err := x.relay(resp)
	switch {
	case x.released:
		// The connection may carry another request already.
	case err != nil:
		x.conn.Abort()
	default:
		x.serverDone(resp)
	}
	return err
}

// maxReuseAge returns the longest idle time of a connection that may be reused.
func (x *exchange) maxReuseAge() time.Duration {
	if x.r.route.Retryable() {
		return time.Hour
	}
	return nonIdempotentReuseAge
}

func (x *exchange) upstreamRequest() *upstream.Request {
	return &upstream.Request{
		ID:     x.r.call.AttemptID,
		Method: x.r.http.Method,
		Target: x.r.target(),
		Host:   x.r.http.Host,
		Body:   x.r.memory.Body().Blocks(),
		Header: platform.ForwardHeader(x.r.http.Header, platform.ForwardParams{
			ServerID:     x.server.ID,
			Organisation: x.r.organisation,
			TimeLeft:     x.r.timeLeft(clock.Now()),
			LastEventID:  x.lastEventID,
			Priority:     slices.Index(x.r.index.Urgencies(x.r.service), x.r.urgency),
		}),
	}
}

// matchesRequest reports whether a response belongs to this request. A response
// without an attempt ID is accepted only if its status is 300 or higher, because
// refusals may lack it, and only if it is the first one of its connection: a later one
// may be a refusal of an earlier request that the server has repeated.
func (x *exchange) matchesRequest(resp *http.Response) bool {
	header := platform.DecodeResponseHeader(resp.StatusCode, resp.Header)
	if header.AttemptID == "" {
		return resp.StatusCode >= http.StatusMultipleChoices && !x.conn.Reused()
	}
	return header.AttemptID == x.r.call.AttemptID
}

// serverRefused handles a response by which the server states that it did not run
// the request.
func (x *exchange) serverRefused(resp *http.Response) error {
	x.drainAndReuse(resp)
	switch {
	case x.wrongServer:
		x.g.requestServerRefresh()
	case x.response.Misdirected:
		x.unsuitable = true
	case x.response.ServerAtFault == "":
		x.serverFull = true
	default:
		x.groupDown = true
	}
	err := errkind.New(errkind.BackendUnavailable, "the server did not run the request: status %d, server at fault %q",
		resp.StatusCode, x.response.ServerAtFault)
	return err.WithRetryAfter(unreachableRetryAfter)
}

// connectionFailed handles a connection that failed before the response header.
func (x *exchange) connectionFailed(err error) error {
	x.conn.Abort()
	if !x.lostRace() {
		x.g.pool.CloseIdle(x.server.Address)
	}
	x.checkForCrash()
	if x.watch.hasMoved() {
		err = x.watch.moveCause()
	}
	e := errkind.Wrap(errkind.BackendFailed, err, "no response from the server")
	e.Execution = errkind.Unknown
	return e
}

// lostRace reports whether the gateway has closed the connection because the other one of the
// first attempt and its hedge has an output, or nobody waits for the hedge any more. That says
// nothing against the server.
func (x *exchange) lostRace() bool {
	return x.hedge && x.ctx.Err() != nil || x.watch.movedToHedge()
}

// checkForCrash starts a check whether the server has crashed, unless the gateway
// itself closed the connection.
func (x *exchange) checkForCrash() {
	if x.watch.hasMoved() || x.ctx.Err() != nil {
		return
	}
	lost := x.r.lost
	lost.events = x.events
	done := make(chan struct{})
	x.crashCheck = done
	go func() {
		defer close(done)
		x.g.crashes.checkServer(lost, x.server)
	}()
}

// drainAndReuse discards the body of a response that isn't forwarded, and returns
// the connection to the pool if that succeeds.
func (x *exchange) drainAndReuse(resp *http.Response) {
	x.conn.SetDeadline(time.Now().Add(maxDiscardTime))
	if err := upstream.Discard(resp.Body, maxDiscardedBody); err != nil {
		x.conn.Abort()
		return
	}
	x.reuseConnection(resp)
}

// reuseConnection returns the connection to the pool after the response was read
// completely. It closes the connection if the server announced that it will, or if the
// end of this request may abort it: its caller may disconnect as soon as it has the
// response, and the next request would be on the connection by then.
func (x *exchange) reuseConnection(resp *http.Response) {
	mayBeAborted := !x.stopAbort()
	moved := !x.watch.stop()
	if mayBeAborted || moved || resp.Close || x.response.ConnectionClose {
		x.conn.Close()
		return
	}
	x.g.pool.Put(x.conn, x.response.IdleTimeout)
}

func (x *exchange) result(err error) attemptResult {
	now := clock.Now()
	res := attemptResult{
		server: x.server.ID, tokens: x.r.tokens(), serverFull: x.serverFull, wrongServer: x.wrongServer,
		groupDown: x.groupDown, atFault: x.response.ServerAtFault,
	}
	if x.watch.movedToHedge() {
		res.silentFor = now.Sub(x.startedAt)
	}
	if err != nil {
		res.err = errkind.Of(err)
		res.notServerFault = res.silentFor > 0 || x.unsuitable || x.evacuated || x.heldBack || x.unused || errkind.Is(err, errkind.Canceled) || x.r.http.Context().Err() != nil
		return res
	}
	res.duration, res.cost = now.Sub(x.startedAt), x.r.cost()
	res.timeToFirstOutput = res.duration
	if x.r.trace.timeToFirstEvent > 0 {
		res.timeToFirstOutput = x.r.trace.timeToFirstEvent - x.startedAt.Sub(x.r.arrived)
	}
	return res
}
