package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/eventstream"
	"github.com/filbertmux/filbertmux/serve/hedge"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// A hedge is a standby that starts when the first output of a request is later than usual,
// instead of after the silence limit. The first of the two attempts with a valid head, of a
// stream with its first event, wins, and the connection of the other one is closed at once.

// Outcomes of a hedge in the log line of its request.
const (
	hedgeWon  = "won"
	hedgeLost = "lost"
	// hedgeRefused is followed by the reason.
	hedgeRefused = "refused: "
)

// maxFirstEvent bounds the bytes that a hedge reads up to the end of its first event. Events
// hold a few tokens, and hedges are few, so these bytes aren't claimed.
const maxFirstEvent = readBufferSize

var errHedgeFirst = errors.New("another server sent its first output earlier")

// EnableHedging makes the gateway hedge requests. It must be called before the gateway
// serves.
func (g *Gateway) EnableHedging(c hedge.Config) { g.services.hedging = c }

// newHedger returns the hedger of a service, or nil if requests aren't hedged.
func newHedger(c hedge.Config) *hedge.Hedger {
	if c.Share <= 0 {
		return nil
	}
	return hedge.New(c)
}

// recordHedgeable records a new request that may be hedged.
func (s *service) recordHedgeable(c hedge.Candidate) {
	if s.hedger == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedger.RecordRequest(c)
}

// hedgeDelay returns how long after its placement at a server a request is hedged, or false
// if it isn't.
func (s *service) hedgeDelay(now time.Time, c hedge.Candidate, server string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedger.Delay(now, c, s.scheduler.Slowdown(now, server))
}

// recordHedgeableOutput records the time to the first output of an attempt.
func (s *service) recordHedgeableOutput(now time.Time, c hedge.Candidate, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedger.RecordLatency(now, c, took)
}

// reserveHedge takes a retry from the budget and a slot on a server for a hedge, or neither
// of them. The conditions get their pool and the budget here.
func (s *service) reserveHedge(
	now time.Time, c hedge.Candidate, cond hedge.Conditions, a retry.Attempt, constraint placement.Constraint,
) (server string, reason hedge.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := s.scheduler.SpareRoom(now, constraint, hedge.DoubtfulSlowdown)
	cond.Pool = hedge.Pool{
		InFlight: room.InFlight, Slots: room.Slots, Waiting: s.scheduler.QueueLen(),
		BatchLimited: room.BatchLimited, Overloaded: s.budget.Overloaded(now),
	}
	cond.Retries, cond.RetryBurst = s.budget.Left()
	if reason := s.hedger.Decide(now, c, cond); reason != hedge.Allowed {
		return "", reason
	}
	if !s.scheduler.HasFreeSlot(now, room.Constraint) {
		return "", hedge.NoServer
	}
	if !s.budget.Decide(now, a, s.rng).Retry {
		return "", hedge.RetriesNeeded
	}
	server, ok := s.scheduler.TryPlace(now, room.Constraint)
	if !ok {
		return "", hedge.NoServer
	}
	s.hedger.RecordHedge(c)
	return server, hedge.Allowed
}

// recordSlowOutput records that the first output of a server would have taken longer than a
// time. The caller holds the mutex.
func (s *service) recordSlowOutput(now time.Time, server string, atLeast time.Duration) {
	if mean := s.outputTimes.Mean(); mean > 0 {
		s.scheduler.ObserveSlowdownAtLeast(now, server, float64(atLeast+outputNoise)/float64(mean+outputNoise))
	}
}

// scheduleHedge schedules the hedge of an attempt that was just sent, if the caller has
// nothing of a response yet.
func (w *watchdog) scheduleHedge() {
	if w.x.svc.hedger == nil || w.x.out.started {
		return
	}
	now := clock.Now()
	delay, ok := w.x.svc.hedgeDelay(now, w.x.r.hedging, w.x.server.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.candidate = w.x.r.hedging
	if ok && !w.stopped && !w.answered {
		w.hedgeTimer = time.AfterFunc(delay-now.Sub(w.x.startedAt), w.startHedge)
	}
}

// startHedge runs when the first output is later than usual. It makes an attempt at another
// server, if that is allowed.
func (w *watchdog) startHedge() {
	now := clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.answered || w.standby != nil || w.ctx.Err() != nil {
		return
	}
	x, reason := w.newHedgeExchange(now)
	if reason != hedge.Allowed {
		w.hedgeOutcome = hedgeRefused + string(reason)
		w.x.g.metrics.AddToLabelled("hedges_refused", "reason", string(reason), 1)
		return
	}
	w.x.g.metrics.AddToCounter("hedged_attempts", 1)
	w.hedgeOutcome = hedgeLost
	w.standby = newStandby(w.ctx, x, false, w.standbyOpened)
}

// newHedgeExchange returns an exchange with a slot on another server, or the reason why there
// is none. The caller holds the mutex.
func (w *watchdog) newHedgeExchange(now time.Time) (*exchange, hedge.Reason) {
	r, svc, g := w.x.r, w.x.svc, w.x.g
	if !svc.canFinish(now, r.eventsLeft(0), r.route.EventGapObjective, r.timeLeft(now)) {
		return nil, hedge.DeadlineTooClose
	}
	conditions := hedge.Conditions{
		Suspected:    g.crashes.check(r.features) != nil || g.crashes.suspects(r.features),
		AttemptsLeft: w.attemptsLeft(), TimeLeft: r.timeLeft(now),
	}
	attempt := retry.Attempt{
		Err:    errkind.Wrap(errkind.StreamIncomplete, errServerSilent, "the response is late"),
		Number: r.trace.attempts, Idempotent: true, Deadline: r.deadline,
	}
	id, reason := svc.reserveHedge(now, w.candidate, conditions, attempt, r.constraint(withStandbys(r.trace.servers, w.earlier)))
	if reason != hedge.Allowed {
		return nil, reason
	}
	server, ok := g.state.Server(id)
	if !ok {
		svc.release(now, r.notRegistered(id))
		return nil, hedge.NoServer
	}
	return newExchange(exchange{
		g: g, r: r, svc: svc, out: w.x.out, server: server, startedAt: now, lastEventID: w.lastEventID, hedge: true,
	}), hedge.Allowed
}

// recordFirstOutput records the valid head of a response that isn't a stream. A hedge that
// has none yet has lost.
func (w *watchdog) recordFirstOutput() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.moved {
		w.answer()
	}
}

// answer records that the server has sent a first output that is passed on, and ends a hedge.
// The caller holds the mutex.
func (w *watchdog) answer() {
	if w.x.svc.hedger == nil || w.answered {
		return
	}
	w.answered = true
	w.observeOutput()
	if w.hedgeTimer != nil {
		w.hedgeTimer.Stop()
	}
	if w.standby != nil && w.standby.x.hedge {
		w.standby.cancel()
	}
}

// observeOutput records the time to the first output, or to that of the hedge. The caller
// holds the mutex.
func (w *watchdog) observeOutput() {
	now := clock.Now()
	w.x.svc.recordHedgeableOutput(now, w.candidate, now.Sub(w.x.startedAt))
}

// hedgeOpened decides between the first attempt and a hedge that has an output. It reports
// whether the hedge has won. The caller holds the mutex.
func (w *watchdog) hedgeOpened(s *standby) bool {
	if w.answered {
		s.abandon()
		return false
	}
	w.observeOutput()
	return true
}

// movedToHedge reports whether a hedge has replaced the server of the exchange.
func (w *watchdog) movedToHedge() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moved && w.standby.x.hedge
}

// moveCause returns why the connection was closed when the exchange moved to its standby.
func (w *watchdog) moveCause() error {
	if w.movedToHedge() {
		return errHedgeFirst
	}
	return errServerSilent
}

// recordHedge adds the outcome of the hedge to the trace. next is the standby that continues
// the request, or nil.
func (x *exchange) recordHedge(next *standby) {
	x.watch.mu.Lock()
	defer x.watch.mu.Unlock()
	if x.watch.hedgeOutcome != "" {
		x.r.trace.hedge = x.watch.hedgeOutcome
	}
	if next != nil && next.x.hedge {
		x.r.trace.hedge = hedgeWon
		x.g.metrics.AddToCounter("hedges_won", 1)
	}
}

// awaitOutput waits for the first output of a hedge whose head has arrived: only then may it
// replace an attempt that hasn't failed. Another status than success is left to the first
// attempt.
func (x *exchange) awaitOutput(resp *http.Response) error {
	if !isSuccess(resp.StatusCode) {
		x.unused = true
		return errkind.New(errkind.BackendFailed, "the hedge got status %d", resp.StatusCode)
	}
	if !x.isStream(resp) {
		return nil
	}
	return x.awaitFirstEvent(resp)
}

// awaitFirstEvent reads up to the end of the first event, and puts what it has read back.
func (x *exchange) awaitFirstEvent(resp *http.Response) error {
	var head bytes.Buffer
	var events eventstream.Splitter
	buffer := make([]byte, maxFirstEvent)
	for head.Len() < maxFirstEvent {
		n, err := resp.Body.Read(buffer[:maxFirstEvent-head.Len()])
		head.Write(buffer[:n])
		events.Write(buffer[:n])
		_, ok, malformed := events.Next()
		if malformed != nil {
			return malformed
		}
		if ok {
			resp.Body = prefixedBody{io.MultiReader(&head, resp.Body), resp.Body}
			return nil
		}
		if err != nil {
			return errkind.Wrap(errkind.StreamIncomplete, err, "no event from the server")
		}
	}
	x.unused = true
	return errkind.New(errkind.StreamIncomplete, "no end of the first event within %d bytes", maxFirstEvent)
}

// prefixedBody is a body of which a part was read and put back.
type prefixedBody struct {
	io.Reader
	io.Closer
}
