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
	// maxWaitInterval is the longest time between two attempts of a waiting
	// request to be admitted. It is below the lifetime of a reservation.
	maxWaitInterval = 250 * time.Millisecond
	// maxLateHealthChecks is the number of consecutive health checks without a
	// timely response after which new requests are refused. A single late
	// response is normal under load.
	maxLateHealthChecks = 3
)

// healthChecker checks the health of the backend server.
type healthChecker interface {
	checkHealth(ctx context.Context) error
}

// admissionController admits requests to the backend server. It records which
// requests were in flight at a crash and runs suspect requests in isolation. It
// is safe for concurrent use.
type admissionController struct {
	backend  healthChecker
	idPrefix string // unique for this process; prefix of crash and clearance ids
	now      func() time.Time
	publish  func([]quarantine.Report)
	log      zerolog.Logger

	healthCheckMu sync.Mutex // held during a health check

	mu       sync.Mutex
	registry *quarantine.Registry
	// counter refuses requests with a prompt part that crashes servers.
	counter  *quarantine.CrashCounter
	tracker  *quarantine.ServerTracker
	inFlight map[uint64]*admittedRequest
	changed  chan struct{} // closed and replaced when a request ends
	lastID   uint64
	crashes  uint64
	health   *healthTracker
}

// admittedRequest is one request in flight on the backend server.
type admittedRequest struct {
	id             uint64
	fingerprint    quarantine.Fingerprint
	promptParts    []string
	crashesAtStart uint64 // number of crashes when the request was admitted
	cancel         context.CancelCauseFunc
}

func newAdmissionController(backend healthChecker, idPrefix string, now func() time.Time, log zerolog.Logger) *admissionController {
	registry := quarantine.NewRegistry(quarantine.DefaultSettings())
	return &admissionController{
		backend: backend, idPrefix: idPrefix, now: now, log: log,
		publish:  func([]quarantine.Report) {},
		counter:  quarantine.NewCrashCounter(),
		registry: registry, tracker: quarantine.NewServerTracker(registry),
		inFlight: make(map[uint64]*admittedRequest), changed: make(chan struct{}), health: newHealthTracker(healthChart),
	}
}

// acquire waits until the request is admitted. An error proves that the request
// did not run. The returned context is cancelled when the backend server crashes.
//
// promptParts are the hashes of the parts of the prompt that other requests may have
// as well.
func (c *admissionController) acquire(
	ctx context.Context, f quarantine.Fingerprint, promptParts []string,
) (context.Context, *admittedRequest, error) {
	if !c.checkAvailable(ctx) {
		return nil, nil, unavailableError()
	}
	r := &admittedRequest{id: c.nextID(), fingerprint: f, promptParts: promptParts}
	for {
		requestContext, changed, err := c.tryAcquire(ctx, r)
		if err != nil {
			return nil, nil, err
		}
		if requestContext != nil {
			return requestContext, r, nil
		}
		if err := c.waitForChange(ctx, changed); err != nil {
			c.mu.Lock()
			c.tracker.CancelReservation(r.id)
			c.mu.Unlock()
			return nil, nil, err
		}
	}
}

func (c *admissionController) nextID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return c.lastID
}

// tryAcquire returns the context of the admitted request. If the request has to wait,
// it returns a channel that is closed on the next change.
func (c *admissionController) tryAcquire(ctx context.Context, r *admittedRequest) (context.Context, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.health.fire(eventRequestArrived) != actionAdmit {
		c.tracker.CancelReservation(r.id)
		return nil, nil, unavailableError()
	}
	if c.counter.Refuses(c.now(), quarantine.Features(r.fingerprint, r.promptParts)) {
		c.tracker.CancelReservation(r.id)
		return nil, nil, errkind.New(errkind.SuspectRequest, "requests with the same parts in their prompts crashed their backend servers")
	}
	switch c.tracker.Admit(c.now(), r.id, r.fingerprint) {
	case quarantine.Refuse:
		return nil, nil, quarantine.RefusalError()
	case quarantine.Wait:
		return nil, c.changed, nil
	}
	ctx, r.cancel = context.WithCancelCause(ctx)
	r.crashesAtStart = c.crashes
	c.inFlight[r.id] = r
	return ctx, nil, nil
}

func (c *admissionController) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(maxWaitInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		err := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "request cancelled while waiting for admission")
		err.Execution = errkind.NotRun
		return err
	}
	return nil
}

// release ends a request. answered reports whether the backend server sent the
// complete response.
func (c *admissionController) release(r *admittedRequest, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.cancel(nil)
	delete(c.inFlight, r.id)
	report, ok := c.tracker.End(c.now(), r.id, answered, fmt.Sprintf("%s/answer/%d", c.idPrefix, r.id))
	if ok {
		report.PromptParts = r.promptParts
		c.publish([]quarantine.Report{report})
	}
	if answered {
		c.recordAnswer(r, ok)
	}
	c.notifyWaiters()
}

// recordAnswer clears the features of an answered request and reports it to the other
// sidecars, unless a clearance of the suspect is reported already. The caller holds mu.
func (c *admissionController) recordAnswer(r *admittedRequest, reported bool) {
	cleared := c.counter.RecordResponse(quarantine.Features(r.fingerprint, r.promptParts))
	if len(cleared.Features) == 0 || reported {
		return
	}
	c.publish([]quarantine.Report{{
		Op: quarantine.OpAnswered, EventID: fmt.Sprintf("%s/answer/%d", c.idPrefix, r.id),
		Fingerprint: r.fingerprint, PromptParts: r.promptParts, Time: c.now(),
	}})
}

// confirmCrash reports whether the backend server has crashed since the request
// was admitted. It is called after the connection of the request broke, which may
// also have another cause, so it makes a health check.
func (c *admissionController) confirmCrash(r *admittedRequest) bool {
	c.healthCheckMu.Lock()
	defer c.healthCheckMu.Unlock()
	if c.crashedSince(r) {
		return true
	}
	// The context of the call may be cancelled, but the result concerns all
	// requests in flight.
	err := c.backend.checkHealth(context.Background())
	if err == nil {
		return false
	}
	c.recordCrash(eventRequestFailed, err)
	return true
}

func (c *admissionController) crashedSince(r *admittedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes != r.crashesAtStart
}

// recordCrash records a crash of the backend server and cancels all requests in
// flight. It does nothing if the state chart ignores the event, for example because
// the backend server is already down. The caller holds healthCheckMu.
func (c *admissionController) recordCrash(event string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.health.fire(event) != actionCrash {
		return
	}
	c.crashes++
	reports := c.tracker.RecordCrash(c.now(), fmt.Sprintf("%s/crash/%d", c.idPrefix, c.crashes))
	c.addPromptParts(reports)
	c.countCrashes(reports)
	c.log.Error().Err(cause).Int("in_flight", len(reports)).Msg("backend server crashed")
	for _, r := range c.inFlight {
		// cause is not wrapped: a refused connection of the health check would be
		// taken as proof that this request did not run.
		r.cancel(errkind.New(errkind.BackendFailed, "backend server crashed"))
	}
	clear(c.inFlight)
	c.publish(reports)
	c.notifyWaiters()
}

// addPromptParts adds the parts of the prompts of the requests in flight. The caller
// holds mu.
func (c *admissionController) addPromptParts(reports []quarantine.Report) {
	for i, report := range reports {
		for _, r := range c.inFlight {
			if r.fingerprint == report.Fingerprint {
				reports[i].PromptParts = r.promptParts
				break
			}
		}
	}
}

// checkAvailable reports whether the backend server accepts requests. If it is
// down, one caller makes a health check while the others are refused.
func (c *admissionController) checkAvailable(ctx context.Context) bool {
	switch c.fireHealthEvent(eventRequestArrived) {
	case actionAdmit:
		return true
	case actionCheckHealth:
		if !c.healthCheckMu.TryLock() {
			return false
		}
		defer c.healthCheckMu.Unlock()
		return c.runHealthCheck(ctx) == nil
	default:
		return false
	}
}

// runPeriodicCheck makes a health check. It waits for one that is in progress.
func (c *admissionController) runPeriodicCheck(ctx context.Context) {
	c.healthCheckMu.Lock()
	defer c.healthCheckMu.Unlock()
	_ = c.runHealthCheck(ctx) // the result is recorded in the state chart
}

// runHealthCheck makes a health check and records its result. A refused or reset
// connection proves that the backend server crashed; a missing response does not.
// The caller holds healthCheckMu.
func (c *admissionController) runHealthCheck(ctx context.Context) error {
	c.fireHealthEvent(eventCheckStarted)
	err := c.backend.checkHealth(ctx)
	switch {
	case ctx.Err() != nil:
		c.fireHealthEvent(eventCheckCanceled)
		return ctx.Err()
	case err == nil:
		c.fireHealthEvent(eventHealthAnswered)
	case isConnectionLost(err):
		c.recordCrash(eventConnectionLost, err)
	default:
		c.fireHealthEvent(eventHealthLate)
	}
	return err
}

// fireHealthEvent applies an event to the state chart and returns the action.
func (c *admissionController) fireHealthEvent(event string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.health.fire(event)
}

// monitor makes periodic health checks until ctx is done.
func (c *admissionController) monitor(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.runPeriodicCheck(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// applyReports applies suspect reports from the log or from an entry.
func (c *admissionController) applyReports(reports []quarantine.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		c.registry.Apply(c.now(), r)
	}
	c.countCrashes(reports)
}

// countCrashes applies reports to the counter. The caller holds mu.
func (c *admissionController) countCrashes(reports []quarantine.Report) {
	for _, report := range reports {
		for _, refusal := range c.counter.Apply(report) {
			c.log.Warn().Strs("features", quarantine.FeatureNames(refusal.Features)).
				Msg("requests with these features are refused from now on: they were in flight when backend servers were lost")
		}
		for _, refusal := range c.counter.Reconsider(c.now()) {
			c.log.Info().Strs("features", quarantine.FeatureNames(refusal.Features)).
				Msg("requests with these features are no longer refused: others explain the crashes as well")
		}
	}
}

func (c *admissionController) reportsFor(f quarantine.Fingerprint) []quarantine.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Reports(f)
}

// notifyWaiters wakes the waiting requests. The caller holds mu.
func (c *admissionController) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func unavailableError() *errkind.Error {
	return errkind.New(errkind.BackendUnavailable, "backend server is down").WithRetryAfter(refusalRetryAfter)
}
