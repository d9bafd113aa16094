package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const (
	// crashCheckDelay is the time between a broken connection and the check
	// whether its server has crashed.
	crashCheckDelay = 50 * time.Millisecond
	// crashCheckTimeout limits the check.
	crashCheckTimeout = 400 * time.Millisecond
	// crashRetryAfter is the Retry-After value of a refused request. It is the
	// longest one that callers honour.
	crashRetryAfter = 10 * time.Second
)

// crashTracker detects poison requests, which crash their backend servers. It finds
// the feature that the requests in flight at the crashes share, and refuses requests
// with it. It is safe for concurrent use.
type crashTracker struct {
	pool    *upstream.Pool
	metrics *telemetry.Metrics
	log     zerolog.Logger
	// reportCrash and reportResponse tell the other gateways.
	reportCrash    func(r lostRequest, crashID string)
	reportResponse func(features []quarantine.Feature)
	// keepRefusal stores a change of the refusals.
	keepRefusal func(refusalChange)

	mu      sync.Mutex
	counter *quarantine.CrashCounter
}

// lostRequest is a request whose connection to its backend server broke.
type lostRequest struct {
	id          string
	fingerprint quarantine.Fingerprint
	promptParts []string
	// events is the number of events of a stream that the server had sent.
	events int
}

func (r lostRequest) features() []quarantine.Feature {
	return quarantine.Features(r.fingerprint, r.promptParts)
}

func newCrashTracker(pool *upstream.Pool, metrics *telemetry.Metrics, log zerolog.Logger) *crashTracker {
	return &crashTracker{
		pool: pool, metrics: metrics, log: log, counter: quarantine.NewCrashCounter(),
		reportCrash:    func(lostRequest, string) {},
		reportResponse: func([]quarantine.Feature) {},
		keepRefusal:    func(refusalChange) {},
	}
}

// check refuses a request with features that have crashed too many servers.
func (c *crashTracker) check(features []quarantine.Feature) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.counter.Refuses(clock.Now(), features) {
		return nil
	}
	return errkind.New(errkind.SuspectRequest, "requests like this one crashed their backend servers").
		WithRetryAfter(crashRetryAfter)
}

// suspects reports whether requests with one of the features were in flight at a
// crash and none was answered since.
func (c *crashTracker) suspects(features []quarantine.Feature) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.Suspects(features)
}

// recordResponse records a response that shows that a request with these features
// doesn't crash its server. It tells the other gateways if they were suspected.
func (c *crashTracker) recordResponse(features []quarantine.Feature) {
	cleared := c.clear(features)
	if len(cleared.Features) == 0 {
		return
	}
	c.reportResponse(cleared.Features)
	for _, r := range cleared.Withdrawn {
		c.log.Info().Strs("features", quarantine.FeatureNames(r.Features)).Msg("requests with these features are no longer refused: one was answered")
		c.keepRefusal(refusalChange{refusal: r, withdrawn: true})
	}
	for _, r := range cleared.Narrowed {
		c.logRefusal(r)
		c.keepRefusal(refusalChange{refusal: r})
	}
}

// recordProgress records the number of events of a stream that a server has sent. They may
// show that parts of the prompt don't crash servers.
func (c *crashTracker) recordProgress(features []quarantine.Feature, events int) {
	c.mu.Lock()
	cleared := c.counter.RecordProgress(features, events)
	c.mu.Unlock()
	if len(cleared.Features) > 0 {
		c.reportResponse(cleared.Features)
	}
}

// clear removes the suspicion of features.
func (c *crashTracker) clear(features []quarantine.Feature) quarantine.Clearance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.RecordResponse(features)
}

// addRefusal adds a refusal that another gateway has stored.
func (c *crashTracker) addRefusal(r quarantine.Refusal) {
	c.mu.Lock()
	isNew := c.counter.AddRefusal(clock.Now(), r)
	c.mu.Unlock()
	if isNew {
		c.logRefusal(r)
	}
}

// refusals returns the refusals in force.
func (c *crashTracker) refusals() []quarantine.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.Refusals(clock.Now())
}

// checkServer determines whether a server whose connection broke has crashed, and records
// the crash.
func (c *crashTracker) checkServer(r lostRequest, s fleet.Server) {
	time.Sleep(crashCheckDelay)
	if err := c.connect(s); err != nil {
		c.serverLost(r, s, err)
	}
}

// checkAnswered determines whether a server crashed as it ended a connection, whose end is
// that of a response, and records the crash or the response.
func (c *crashTracker) checkAnswered(r lostRequest, s fleet.Server) {
	time.Sleep(crashCheckDelay)
	if err := c.connect(s); err != nil {
		c.serverLost(r, s, err)
		return
	}
	c.recordResponse(r.features())
}

// connect opens a connection to a server, which goes to the pool. A server that accepts one
// has not crashed.
func (c *crashTracker) connect(s fleet.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, s.Address, 0)
	if err == nil {
		c.pool.Put(conn, 0)
	}
	return err
}

// serverLost records a crash, unless another gateway has reported it before, and tells the
// other gateways.
func (c *crashTracker) serverLost(r lostRequest, s fleet.Server, cause error) {
	crashID := s.ID + "@" + time.UnixMilli(s.StartedUnixMs).UTC().Format(time.RFC3339Nano)
	if !c.recordCrash(r.features(), r.events, crashID) {
		return
	}
	c.metrics.AddToCounter("crashes_detected", 1)
	c.log.Warn().Err(cause).Str("server", s.ID).Str("fingerprint", r.fingerprint.BodyHash).
		Str("organisation", r.fingerprint.Organisation).Str("request_id", r.id).
		Strs("prompt_parts", r.promptParts).Int("events", r.events).
		Msg("backend server lost with a request in flight")
	c.reportCrash(r, crashID)
}

// recordReport records a crash that another gateway has detected.
func (c *crashTracker) recordReport(r lostRequest, crashID string) {
	if !c.recordCrash(r.features(), r.events, crashID) {
		return
	}
	c.metrics.AddToCounter("crashes_reported", 1)
	c.log.Info().Str("crash", crashID).Str("fingerprint", r.fingerprint.BodyHash).
		Str("organisation", r.fingerprint.Organisation).Strs("prompt_parts", r.promptParts).
		Msg("another gateway lost a backend server with a request in flight")
}

// recordCrash records a crash that was detected by this or another gateway, and
// reports whether it was unknown before. The crash ID consists of the server ID and
// the start time of the process, so that a crash that several gateways report
// counts once.
func (c *crashTracker) recordCrash(features []quarantine.Feature, events int, crashID string) bool {
	now := clock.Now()
	c.mu.Lock()
	isNew, refusals := c.counter.RecordCrash(now, crashID, features, events)
	withdrawn := c.counter.Reconsider(now)
	c.mu.Unlock()
	for _, refusal := range refusals {
		c.logRefusal(refusal)
		c.keepRefusal(refusalChange{refusal: refusal})
	}
	for _, refusal := range withdrawn {
		c.log.Info().Strs("features", quarantine.FeatureNames(refusal.Features)).
			Msg("requests with these features are no longer refused: others explain the crashes as well")
		c.keepRefusal(refusalChange{refusal: refusal, withdrawn: true})
	}
	return isNew
}

func (c *crashTracker) logRefusal(r quarantine.Refusal) {
	c.log.Warn().Strs("features", quarantine.FeatureNames(r.Features)).Str("service", r.Features[0].Service).
		Msg("requests with these features are refused from now on: they were in flight when backend servers were lost")
}

// fingerprint returns the fingerprint that this request shares with its retries and
// duplicates.
func (r *request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.service, r.organisation, r.http.Method, r.target(), r.memory.Body().Blocks()...)
}
