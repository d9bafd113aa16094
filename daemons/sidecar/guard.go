package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const (
	// askAgain is the longest wait of a request for its turn between two
	// questions. It is below the time for which a reservation holds.
	askAgain = 250 * time.Millisecond
	// maxHealthFailures is the number of periodic health checks without a
	// timely answer after which new work is refused. One late answer is
	// ordinary under load.
	maxHealthFailures = 3
)

// healthChecker asks the backend server whether it works.
type healthChecker interface {
	health(ctx context.Context) error
}

// guard admits requests to the backend server. It knows those in flight when
// the backend server dies and keeps suspects alone. It is safe for concurrent
// use.
type guard struct {
	backend healthChecker
	name    string // unique for this process; prefix of crash names
	now     func() time.Time
	publish func([]quarantine.Report)
	log     zerolog.Logger

	probing sync.Mutex // held during a health check

	mu       sync.Mutex
	register *quarantine.Registry
	server   *quarantine.ServerTracker
	runs     map[uint64]*guardedRun
	changed  chan struct{} // closed and replaced when a request ends
	lastID   uint64
	crashes  uint64
	view     *serverView
}

// guardedRun is one request on the backend server.
type guardedRun struct {
	id      uint64
	crashes uint64 // of the backend server at the start
	cancel  context.CancelCauseFunc
}

func newGuard(backend healthChecker, name string, now func() time.Time, log zerolog.Logger) *guard {
	register := quarantine.NewRegistry(quarantine.DefaultSettings())
	return &guard{
		backend: backend, name: name, now: now, log: log,
		publish:  func([]quarantine.Report) {},
		register: register, server: quarantine.NewServerTracker(register),
		runs: make(map[uint64]*guardedRun), changed: make(chan struct{}), view: newServerView(viewChart),
	}
}

// enter waits for the turn of a request and admits it. An error proves that
// it did not run. The context ends when the backend server dies.
func (g *guard) enter(ctx context.Context, f quarantine.Fingerprint) (context.Context, *guardedRun, error) {
	if !g.recovered(ctx) {
		return nil, nil, unavailable()
	}
	id := g.newID()
	for {
		runContext, r, changed, err := g.admit(ctx, id, f)
		if r != nil || err != nil {
			return runContext, r, err
		}
		if err := g.await(ctx, changed); err != nil {
			g.mu.Lock()
			g.server.CancelReservation(id)
			g.mu.Unlock()
			return nil, nil, err
		}
	}
}

func (g *guard) newID() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	return g.lastID
}

// admit returns no run and no error if the request has to wait.
func (g *guard) admit(ctx context.Context, id uint64, f quarantine.Fingerprint) (context.Context, *guardedRun, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.fire(eventRequestArrived) != actionAdmit {
		g.server.CancelReservation(id)
		return nil, nil, nil, unavailable()
	}
	switch g.server.Admit(g.now(), id, f) {
	case quarantine.Refuse:
		return nil, nil, nil, quarantine.RefusalError()
	case quarantine.Wait:
		return nil, nil, g.changed, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r := &guardedRun{id: id, crashes: g.crashes, cancel: cancel}
	g.runs[id] = r
	return ctx, r, nil, nil
}

func (g *guard) await(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(askAgain)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		err := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the request waited for the backend server")
		err.Execution = errkind.NotRun
		return err
	}
	return nil
}

// exit ends a run. answered says that the backend server answered in full.
func (g *guard) exit(r *guardedRun, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.cancel(nil)
	delete(g.runs, r.id)
	report, ok := g.server.End(g.now(), r.id, answered, fmt.Sprintf("%s/answer/%d", g.name, r.id))
	if ok {
		g.publish([]quarantine.Report{report})
	}
	g.notify()
}

// died reports whether the backend server has died since the run began. The
// caller has lost the connection of the run, which may also have another cause.
func (g *guard) died(r *guardedRun) bool {
	g.probing.Lock()
	defer g.probing.Unlock()
	if g.crashedSince(r) {
		return true
	}
	// The call's context may have ended, and the answer matters to others.
	err := g.backend.health(context.Background())
	if err == nil {
		return false
	}
	g.crash(eventRequestFailed, err)
	return true
}

func (g *guard) crashedSince(r *guardedRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes != r.crashes
}

// crash records the death of the backend server, unless the chart knows it
// already, and ends all runs. The caller holds probing.
func (g *guard) crash(event string, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.fire(event) != actionCrash {
		return
	}
	g.crashes++
	reports := g.server.RecordCrash(g.now(), fmt.Sprintf("%s/crash/%d", g.name, g.crashes))
	g.log.Error().Err(cause).Int("in_flight", len(reports)).Msg("the backend server died")
	for _, r := range g.runs {
		// The cause is left out: the refused connection of the health check
		// would read as a proof that this request did not run.
		r.cancel(errkind.New(errkind.BackendFailed, "the backend server died"))
	}
	clear(g.runs)
	g.publish(reports)
	g.notify()
}

// recovered reports whether the backend server takes work. If it was down, one
// caller asks it and the others are refused meanwhile.
func (g *guard) recovered(ctx context.Context) bool {
	switch g.note(eventRequestArrived) {
	case actionAdmit:
		return true
	case actionCheckHealth:
		if !g.probing.TryLock() {
			return false
		}
		defer g.probing.Unlock()
		return g.probe(ctx) == nil
	default:
		return false
	}
}

// check is the periodic health check.
func (g *guard) check(ctx context.Context) {
	g.probing.Lock()
	defer g.probing.Unlock()
	_ = g.probe(ctx) // the view keeps the result
}

// probe makes a health check and notes its result. A refused or reset
// connection proves that the backend server died; a missing answer does not.
// The caller holds probing.
func (g *guard) probe(ctx context.Context) error {
	g.note(eventCheckStarted)
	err := g.backend.health(ctx)
	switch {
	case ctx.Err() != nil:
		g.note(eventCheckCanceled)
		return ctx.Err()
	case err == nil:
		g.note(eventHealthAnswered)
	case isConnectionLost(err):
		g.crash(eventConnectionLost, err)
	default:
		g.note(eventHealthLate)
	}
	return err
}

// note applies an event and returns the action of the chart.
func (g *guard) note(event string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.fire(event)
}

// watch checks the backend server until ctx ends.
func (g *guard) watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// apply takes reports from the log or from an entry.
func (g *guard) apply(reports []quarantine.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		g.register.Apply(g.now(), r)
	}
}

func (g *guard) reports(f quarantine.Fingerprint) []quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.register.Reports(f)
}

// notify wakes the waiting requests. The caller holds mu.
func (g *guard) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func unavailable() *errkind.Error {
	return errkind.New(errkind.BackendUnavailable, "the backend server is down").WithRetryAfter(retryHint)
}
