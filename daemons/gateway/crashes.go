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

// crashTracker detects poison requests, which crash their backend servers. It
// counts the crashes per request fingerprint and refuses requests that have crashed
// too many servers. It is safe for concurrent use.
type crashTracker struct {
	pool    *upstream.Pool
	metrics *telemetry.Metrics
	log     zerolog.Logger
	// broadcast reports a crash to the other gateways.
	broadcast func(f quarantine.Fingerprint, crashID string)

	mu      sync.Mutex
	counter *quarantine.CrashCounter
}

// lostRequest is a request whose connection to its backend server broke.
type lostRequest struct {
	id          string
	fingerprint quarantine.Fingerprint
	promptParts []string
	// events is the number of events that the caller had got.
	events int
}

func newCrashTracker(pool *upstream.Pool, metrics *telemetry.Metrics, log zerolog.Logger) *crashTracker {
	return &crashTracker{
		pool: pool, metrics: metrics, log: log, counter: quarantine.NewCrashCounter(),
		broadcast: func(quarantine.Fingerprint, string) {},
	}
}

// check refuses a request that has crashed too many servers.
func (c *crashTracker) check(f quarantine.Fingerprint) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.counter.Refuses(clock.Now(), f) {
		return nil
	}
	return errkind.New(errkind.SuspectRequest, "requests like this one crashed their backend servers").
		WithRetryAfter(crashRetryAfter)
}

// recordSuccess records a complete response.
func (c *crashTracker) recordSuccess(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter.RecordResponse(f)
}

// checkServer determines whether a server whose connection broke has crashed. A
// server that accepts a new connection has not crashed, and the connection goes to
// the pool.
func (c *crashTracker) checkServer(r lostRequest, s fleet.Server) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, s.Address, 0)
	if err == nil {
		c.pool.Put(conn, 0)
		return
	}
	crashID := s.ID + "@" + time.UnixMilli(s.StartedUnixMs).UTC().Format(time.RFC3339Nano)
	f := r.fingerprint
	if c.recordCrash(f, crashID) {
		c.metrics.AddToCounter("crashes_detected", 1)
		c.log.Warn().Err(err).Str("server", s.ID).Str("fingerprint", f.BodyHash).Str("organisation", f.Organisation).
			Str("request_id", r.id).Strs("prompt_parts", r.promptParts).Int("events", r.events).
			Msg("backend server lost with a request in flight")
		c.broadcast(f, crashID)
	}
}

// recordReport records a crash that another gateway has detected.
func (c *crashTracker) recordReport(f quarantine.Fingerprint, crashID string) {
	if !c.recordCrash(f, crashID) {
		return
	}
	c.metrics.AddToCounter("crashes_reported", 1)
	c.log.Info().Str("crash", crashID).Str("fingerprint", f.BodyHash).Str("organisation", f.Organisation).
		Msg("another gateway lost a backend server with a request in flight")
}

// recordCrash records a crash that was detected by this or another gateway, and
// reports whether it was unknown before. The crash ID consists of the server ID and
// the start time of the process, so that a crash that several gateways report
// counts once.
func (c *crashTracker) recordCrash(f quarantine.Fingerprint, crashID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	isNew := c.counter.RecordCrash(now, f, crashID)
	if isNew && c.counter.Refuses(now, f) {
		c.log.Warn().Str("fingerprint", f.BodyHash).Str("service", f.Service).Str("organisation", f.Organisation).
			Msg("request refused from now on: it was in flight when three backend servers were lost")
	}
	return isNew
}

// fingerprint returns the fingerprint that this request shares with its retries and
// duplicates.
func (r *request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.service, r.organisation, r.http.Method, r.target(), r.body)
}
