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
	// crashCheckDelay is the time from a broken connection to the question
	// whether its server is still there.
	crashCheckDelay = 50 * time.Millisecond
	// crashCheckTimeout bounds the question.
	crashCheckTimeout = 400 * time.Millisecond
	// crashRetryAfter is the advice to the caller of a refused request: as long
	// as callers heed.
	crashRetryAfter = 10 * time.Second
)

// crashes keeps requests that crash their servers from taking down more of them.
// It is safe for concurrent use.
type crashes struct {
	pool *upstream.Pool
	log  zerolog.Logger
	// tell passes a crash on to the other gateways.
	tell func(f quarantine.Fingerprint, crash string)

	mu    sync.Mutex
	tally *quarantine.CrashCounter
}

func newCrashes(pool *upstream.Pool, log zerolog.Logger) *crashes {
	return &crashes{
		pool: pool, log: log, tally: quarantine.NewCrashCounter(),
		tell: func(quarantine.Fingerprint, string) {},
	}
}

// check refuses a request that has crashed too many servers.
func (c *crashes) check(f quarantine.Fingerprint) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tally.Refuses(clock.Now(), f) {
		return nil
	}
	return errkind.New(errkind.SuspectRequest, "requests like this one crashed their backend servers").
		WithRetryAfter(crashRetryAfter)
}

// answered notes a whole answer.
func (c *crashes) answered(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.RecordAnswer(f)
}

// broken finds out whether a server whose connection broke off has crashed. One
// that takes a new connection has not; the connection is kept.
func (c *crashes) broken(f quarantine.Fingerprint, s fleet.Server) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, s.Address, 0)
	if err == nil {
		c.pool.Put(conn, 0)
		return
	}
	crash := s.ID + "@" + time.UnixMilli(s.StartedUnixMs).UTC().Format(time.RFC3339Nano)
	if c.note(f, crash) {
		c.log.Warn().Err(err).Str("server", s.ID).Str("fingerprint", f.BodyHash).Str("organisation", f.Organisation).
			Msg("backend server lost with a request in flight")
		c.tell(f, crash)
	}
}

// note takes a crash that was seen here or at another gateway, and reports
// whether it is news.
func (c *crashes) note(f quarantine.Fingerprint, crash string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	news := c.tally.RecordCrash(now, f, crash)
	if news && c.tally.Refuses(now, f) {
		c.log.Warn().Str("fingerprint", f.BodyHash).Str("service", f.Service).Str("organisation", f.Organisation).
			Msg("request refused from now on: it was in flight when three backend servers were lost")
	}
	return news
}

// fingerprint identifies the requests that act like this one.
func (r *request) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.service, r.organisation, r.http.Method, r.target(), r.body)
}
