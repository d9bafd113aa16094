package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
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
	// longest that callers honour.
	crashRetryAfter = 10 * time.Second
)

// crashTracker counts the crashes of backend servers per request fingerprint and
// refuses requests that have crashed too many. It is safe for concurrent use.
type crashTracker struct {
	pool *upstream.Pool
	log  zerolog.Logger
	// broadcast reports a crash to the other gateways.
	broadcast func(f quarantine.Fingerprint, crash string)

	mu      sync.Mutex
	counter *quarantine.CrashCounter
}

func newCrashTracker(pool *upstream.Pool, log zerolog.Logger) *crashTracker {
	return &crashTracker{
		pool: pool, log: log, counter: quarantine.NewCrashCounter(),
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
// server that accepts a new connection has not; the connection goes to the pool.
func (c *crashTracker) checkServer(f quarantine.Fingerprint, s fleet.Server) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, s.Address, 0)
	if err == nil {
		c.pool.Put(conn, 0)
		return
	}
	crash := s.ID + "@" + time.UnixMilli(s.StartedUnixMs).UTC().Format(time.RFC3339Nano)
	if c.recordCrash(f, crash) {
		c.log.Warn().Err(err).Str("server", s.ID).Str("fingerprint", f.BodyHash).Str("organisation", f.Organisation).
			Msg("backend server lost with a request in flight")
		c.broadcast(f, crash)
	}
}

// recordCrash records a crash that was detected by this or another gateway, and
// reports whether it was unknown before.
func (c *crashTracker) recordCrash(f quarantine.Fingerprint, crash string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	isNew := c.counter.RecordCrash(now, f, crash)
	if isNew && c.counter.Refuses(now, f) {
		c.log.Warn().Str("fingerprint", f.BodyHash).Str("service", f.Service).Str("organisation", f.Organisation).
			Msg("request refused from now on: it was in flight when three backend servers were lost")
	}
	return isNew
}

// fingerprint returns the fingerprint that this request shares with its
// repetitions.
func (r *request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.service, r.organisation, r.http.Method, r.target(), r.body)
}
