package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/balance/liveness"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
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
	probeTimeout = 150 * time.Millisecond
	// otherActivityWindow is how recently another server must have sent
	// something. If all servers are silent, their group has stalled and no other
	// server would be better.
	otherActivityWindow = 250 * time.Millisecond
)

// watchdog aborts an exchange whose server is silent while others respond, if the
// request can be retried on another server. A stream that may still be waiting in
// the queue of its server is aborted before its first event only if the server
// doesn't answer a probe either. On another server the stream would wait again, and
// its prompt would be processed a second time.
type watchdog struct {
	x     *exchange
	limit time.Duration

	mu             sync.Mutex
	timer          *time.Timer
	lastProgressAt time.Time
	started        bool
	fired          bool
	stopped        bool
}

func newWatchdog(x *exchange) *watchdog {
	w := &watchdog{x: x, lastProgressAt: clock.Now()}
	if !x.r.route.Retryable() || x.r.trace.sent+1 >= x.r.route.MaxAttempts {
		return w
	}
	w.limit = silenceLimit
	if x.r.route.Kind != fleet.Streaming {
		w.limit = plainSilenceFactor * x.r.route.LatencyObjective
	}
	if w.limit <= 0 {
		return w
	}
	w.timer = time.AfterFunc(w.limit, w.check)
	return w
}

// progress records that the server sent something.
func (w *watchdog) progress() {
	now := clock.Now()
	w.mu.Lock()
	w.lastProgressAt, w.started = now, true
	w.mu.Unlock()
	w.x.svc.recordProgress(now, w.x.server.ID)
}

func (w *watchdog) check() {
	now := clock.Now()
	othersActive := now.Sub(w.x.svc.lastProgress()) < otherActivityWindow
	w.mu.Lock()
	silentFor, started, stopped := now.Sub(w.lastProgressAt), w.started, w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	stream := w.x.r.route.Kind == fleet.Streaming
	if silentFor >= w.limit && (!stream || othersActive && (started || !w.mayBeQueued(now))) {
		w.fire()
		return
	}
	w.timer.Reset(max(w.limit-silentFor, otherActivityWindow))
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return // another request may use the connection
	}
	w.fired = true
	w.x.conn.Abort()
}

// mayBeQueued reports whether the request may be waiting in the queue of a live
// server. If it starts a probe, the result is available at the next check.
func (w *watchdog) mayBeQueued(now time.Time) bool {
	id := w.x.server.ID
	if !w.x.svc.atCapacity(id) {
		return false
	}
	switch w.x.svc.serverLiveness(now, id) {
	case liveness.Unresponsive:
		return false
	case liveness.NeedsProbe:
		if w.x.svc.isPaused(now, id) {
			w.x.svc.recordProbe(now, id, nil) // it has just answered another request
		} else {
			go w.probe()
		}
	case liveness.Alive, liveness.Probing:
	}
	return true
}

// probe requests the rank state of the server to check whether it responds at
// all.
func (w *watchdog) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	client := platform.NewRankClient(w.x.server.Address)
	defer client.CloseIdleConnections()
	_, err := client.State(ctx)
	w.x.svc.recordProbe(clock.Now(), w.x.server.ID, err)
}

// timedOut reports whether the watchdog closed the connection.
func (w *watchdog) timedOut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}

// stop ends the watch. The connection isn't aborted after it.
func (w *watchdog) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
