package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/balance/liveness"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/hedge"
)

const (
	// silenceLimit is how long a server may send nothing of a stream while other
	// servers of the service make progress. Callers disconnect after two
	// seconds, and the next server needs part of that time.
	silenceLimit = 550 * time.Millisecond
	// plainSilenceFactor is the silence limit for responses that are not streams,
	// as a multiple of the route's latency objective. It applies whether or not
	// other servers make progress, because these servers respond independently
	// of each other.
	plainSilenceFactor = 2
	// probeTimeout limits a probe of a silent server.
	probeTimeout = 80 * time.Millisecond
	// otherActivityWindow is how recently another server must have sent
	// something. If all servers are silent, their group has stalled and no other
	// server would be better.
	otherActivityWindow = 250 * time.Millisecond
)

// watchdog watches the server of an exchange. While the server is silent and others
// respond, it makes an attempt at another server, a standby. The exchange moves to the
// standby once that has a response, unless its own server has sent something meanwhile. A
// response that no other server can continue is left where it is: a server may pause a
// request for as long as it likes, for example when its memory is short.
//
// A stream that may still be waiting in the queue of its server gets a standby before its
// first event only if the server doesn't answer a probe either. On another server the
// stream would wait again, and its prompt would be processed a second time.
type watchdog struct {
	x     *exchange
	limit time.Duration
	// ctx ends when the request must not be sent any more.
	ctx context.Context //nolint:containedctx // a watchdog lives as long as its exchange

	mu             sync.Mutex
	timer          *time.Timer
	lastProgressAt time.Time
	started        bool
	// writing means that something that the server sent is being written to the caller.
	// The time that the caller takes to read doesn't count as silence.
	writing bool
	// moved means that the standby has replaced the server, and its connection is aborted.
	moved   bool
	stopped bool
	// lastEventID and events describe what the caller has of a stream.
	lastEventID string
	events      int
	// standby is the newest standby, and earlier are those that have failed.
	standby *standby
	earlier []*standby
	// candidate lets the request be hedged, and hedgeTimer starts the hedge. answered means that
	// the server has sent its first output, and hedgeOutcome is that of the hedge so far.
	candidate    hedge.Candidate
	hedgeTimer   *time.Timer
	answered     bool
	hedgeOutcome string
}

func newWatchdog(x *exchange) *watchdog {
	return &watchdog{x: x, lastEventID: x.lastEventID, events: x.eventsBefore}
}

// start begins the watch, if the request may be sent to another server.
func (w *watchdog) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx, w.lastProgressAt = ctx, clock.Now()
	w.limit = w.x.r.silenceLimit()
	if w.limit <= 0 || !w.x.r.route.Retryable() || w.attemptsLeft() == 0 {
		return
	}
	w.timer = time.AfterFunc(w.limit, w.check)
}

// silenceLimit returns how long a server may be silent before another one is tried, or 0
// for no limit.
func (r *request) silenceLimit() time.Duration {
	if r.route.Kind == fleet.Streaming {
		return silenceLimit
	}
	return plainSilenceFactor * r.route.LatencyObjective
}

// attemptsLeft returns how many more servers the request may be sent to. The caller holds
// the mutex.
func (w *watchdog) attemptsLeft() int {
	return w.x.r.route.MaxAttempts - w.x.r.trace.sent - len(w.earlier)
}

// progress records that the server sent something. It reports whether that is still
// wanted, that is whether the exchange hasn't moved to the standby.
func (w *watchdog) progress() bool {
	now := clock.Now()
	w.mu.Lock()
	w.lastProgressAt, w.started = now, true
	moved := w.moved
	w.mu.Unlock()
	w.x.svc.recordProgress(now, w.x.server.ID)
	return !moved
}

// beginWrite records that events have arrived and are being written to the caller, until
// endWrite. It reports whether they may be.
func (w *watchdog) beginWrite() bool {
	if !w.progress() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = !w.moved
	if w.writing {
		w.answer()
	}
	return w.writing
}

// endWrite records what the caller has after a write.
func (w *watchdog) endWrite() {
	progress := w.x.out.progress
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.lastProgressAt = false, clock.Now()
	w.lastEventID, w.events = progress.LastID(), progress.Events()
}

// check runs when the silence limit may have passed.
func (w *watchdog) check() {
	now := clock.Now()
	othersActive := now.Sub(w.x.svc.lastProgress()) < otherActivityWindow
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	silentFor := now.Sub(w.lastProgressAt)
	stream := w.x.r.route.Kind == fleet.Streaming
	if silentFor >= w.limit && !w.writing && (!stream || othersActive && (w.started || !w.mayBeQueued(now))) {
		w.startStandby(now)
	}
	w.timer.Reset(max(w.limit-silentFor, otherActivityWindow))
}

// startStandby makes an attempt at another server if it is certain that it can be made
// now. The caller holds the mutex.
func (w *watchdog) startStandby(now time.Time) {
	if w.standby != nil || w.ctx.Err() != nil || w.attemptsLeft() == 0 {
		return
	}
	exclude := withStandbys(w.x.r.trace.servers, w.earlier)
	x, ok := w.x.newStandbyExchange(now, w.lastEventID, w.events, exclude)
	if !ok {
		return
	}
	w.standby = newStandby(w.ctx, x, w.events > 0, w.standbyOpened)
}

// standbyOpened moves the exchange to a standby that has a response, or ends the standby.
func (w *watchdog) standbyOpened(s *standby) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return // takeStandby decides
	case s.err != nil:
		w.standby, w.earlier = nil, append(w.earlier, s)
	case s.x.hedge && !w.hedgeOpened(s):
		w.standby, w.earlier = nil, append(w.earlier, s)
	case s.x.hedge:
		w.moved = true
		w.x.conn.Abort()
	case w.writing || w.lastProgressAt.After(s.x.startedAt):
		s.abandon()
		w.standby, w.earlier = nil, append(w.earlier, s)
	default:
		w.moved = true
		w.x.conn.Abort()
	}
}

// mayBeQueued reports whether the request may be waiting in the queue of a live
// server. If it starts a probe, the result is available at the next check.
func (w *watchdog) mayBeQueued(now time.Time) bool {
	id := w.x.server.ID
	if !w.x.svc.atCapacity(id) {
		return false
	}
	if w.x.g.evacuations.includes(w.x.server.FailureDomain) {
		// It gets no probes either. Its queue empties, as no requests follow.
		return true
	}
	switch w.x.svc.serverLiveness(now, id) {
	case liveness.Unresponsive:
		return false
	case liveness.NeedsProbe:
		go w.probe()
	case liveness.Alive, liveness.Probing:
	}
	return true
}

// probe requests the rank state of the server to check whether it responds at
// all.
func (w *watchdog) probe() {
	client := platform.NewRankClientWithTimeout(w.x.server.Address, w.x.g.probeTimeout)
	defer client.CloseIdleConnections()
	_, err := client.State(context.Background())
	w.x.svc.recordProbe(clock.Now(), w.x.server.ID, err)
}

// hasMoved reports whether the exchange has moved to its standby.
func (w *watchdog) hasMoved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moved
}

// stop ends the watch and reports whether the exchange still has its server. It doesn't
// move after that.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.hedgeTimer != nil {
		w.hedgeTimer.Stop()
	}
	return !w.moved
}

// standbys returns the newest standby, if it hasn't failed, and the earlier ones. They don't
// change after stop.
func (w *watchdog) standbys() (newest *standby, earlier []*standby) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.standby, w.earlier
}

// watchedBody is a response body whose bytes count as progress.
type watchedBody struct {
	io.Reader
	watch *watchdog
}

func (b watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 && !b.watch.progress() {
		return 0, errServerSilent
	}
	return n, err
}
