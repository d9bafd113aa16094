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
	// silenceLimit is how long a server may send nothing of a stream while
	// other servers of the service do. Callers leave after two seconds, and the
	// next server needs some of them.
	silenceLimit = 550 * time.Millisecond
	// plainSilenceObjectives is the same for other answers, in objectives of
	// the route: these servers answer independently of each other.
	plainSilenceObjectives = 2
	// questionTimeout bounds a question to a silent server.
	questionTimeout = 150 * time.Millisecond
	// othersRecent is how recently another server must have sent something.
	// When all are silent, their group stalls, and no other server is better.
	othersRecent = 250 * time.Millisecond
)

// watchdog aborts an exchange whose server is silent while
// others answer, if another server can go on with the request. A stream that may
// wait in the queue of its server is left alone until its first event, unless the
// server doesn't answer a question either: sent elsewhere, it would wait again and
// cost a second reading of its prompt.
type watchdog struct {
	x     *exchange
	limit time.Duration

	mu    sync.Mutex
	timer *time.Timer
	last  time.Time
	began bool
	fired bool
}

func newWatchdog(x *exchange) *watchdog {
	w := &watchdog{x: x, last: clock.Now()}
	if !x.r.route.Repeatable() || x.r.trace.sent+1 >= x.r.route.MaxAttempts {
		return w
	}
	w.limit = silenceLimit
	if x.r.route.Kind != fleet.Streaming {
		w.limit = plainSilenceObjectives * x.r.route.LatencyObjective
	}
	if w.limit <= 0 {
		return w
	}
	w.timer = time.AfterFunc(w.limit, w.check)
	return w
}

// progress notes that the server sent something.
func (w *watchdog) progress() {
	now := clock.Now()
	w.mu.Lock()
	w.last, w.began = now, true
	w.mu.Unlock()
	w.x.svc.noteProgress(now, w.x.server.ID)
}

func (w *watchdog) check() {
	now := clock.Now()
	others := now.Sub(w.x.svc.lastProgress()) < othersRecent
	w.mu.Lock()
	quiet, began := now.Sub(w.last), w.began
	w.mu.Unlock()
	stream := w.x.r.route.Kind == fleet.Streaming
	if quiet >= w.limit && (!stream || others && (began || !w.mayWait(now))) {
		w.fire()
		return
	}
	w.timer.Reset(max(w.limit-quiet, othersRecent))
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fired = true
	w.x.conn.Abort()
}

// mayWait reports whether the request may wait in the queue of a live server. The
// answer to a question comes too late for this look, but not for the next one.
func (w *watchdog) mayWait(now time.Time) bool {
	id := w.x.server.ID
	if !w.x.svc.crowded(id) {
		return false
	}
	switch w.x.svc.judge(now, id) {
	case liveness.Unresponsive:
		return false
	case liveness.NeedsProbe:
		go w.ask()
	case liveness.Alive, liveness.Probing:
	}
	return true
}

// ask finds out whether the server answers at all.
func (w *watchdog) ask() {
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
	defer cancel()
	client := platform.NewRankClient(w.x.server.Address)
	defer client.CloseIdleConnections()
	_, err := client.State(ctx)
	w.x.svc.answered(clock.Now(), w.x.server.ID, err)
}

// silent reports whether the watchdog closed the connection.
func (w *watchdog) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
