package lease

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// TokenChecker decides in a sidecar whether a command may pass to its backend
// server, because some backend servers ignore fencing tokens. After a command
// has passed, no command with a lower token passes, even after a restart.
type TokenChecker struct {
	settings   Settings
	projection *Projection
	startedAt  time.Time
	// confirmedAt is when the newest read that reached the end of the stream
	// started. It is zero before the first one.
	confirmedAt   time.Time
	highestPassed map[string]infra.Offset
}

// NewTokenChecker returns a TokenChecker for a process that started at now and
// that applies the stream to projection.
func NewTokenChecker(s Settings, projection *Projection, now time.Time) *TokenChecker {
	return &TokenChecker{settings: s, projection: projection, startedAt: now, highestPassed: make(map[string]infra.Offset)}
}

// ConfirmRead reports that a read that started at the given time reached the
// end of the stream and was applied to the projection.
func (c *TokenChecker) ConfirmRead(startedAt time.Time) {
	if !startedAt.Before(c.startedAt) && startedAt.After(c.confirmedAt) {
		c.confirmedAt = startedAt
	}
}

// CurrentToken returns the newest token of a lease, or zero if it never had a
// holder. It reports false if the view of the log is too old or may lack a term.
func (c *TokenChecker) CurrentToken(now time.Time, leaseName string) (infra.Offset, bool) {
	if !c.isFresh(now) {
		return 0, false
	}
	t, _ := c.projection.Term(leaseName)
	return max(t.Token, c.highestPassed[leaseName]), true
}

func (c *TokenChecker) isFresh(now time.Time) bool {
	return !c.confirmedAt.IsZero() && !c.projection.Uncertain() && now.Sub(c.confirmedAt) <= c.settings.MaxViewAge
}

// Check decides whether a command with the given token may pass. A token above
// the newest known one belongs to a holder that has read more of the log than
// this checker; it passes and fences off all lower ones. The result is nil or an
// error that proves that the command did not run.
func (c *TokenChecker) Check(now time.Time, leaseName string, token infra.Offset) *errkind.Error {
	if !c.isFresh(now) {
		return errkind.New(errkind.LogUnavailable, "the current fencing token of lease %s is not known", leaseName).
			WithRetryAfter(time.Second)
	}
	t, known := c.projection.Term(leaseName)
	newest := max(t.Token, c.highestPassed[leaseName])
	if token < newest || token == 0 {
		return errkind.New(errkind.StaleFencingToken, "lease %s has token %d, the command has token %d", leaseName, newest, token)
	}
	if token <= c.projection.gapEnd && token != t.Token {
		return errkind.New(errkind.StaleFencingToken, "records of lease %s with a later token than %d may be missing", leaseName, token)
	}
	if known && t.Token == token && t.Released {
		return errkind.New(errkind.StaleFencingToken, "the holder of lease %s released token %d", leaseName, token)
	}
	if _, seen := c.highestPassed[leaseName]; !seen && len(c.highestPassed) >= c.settings.MaxLeases {
		return errkind.New(errkind.QueueFull, "commands of too many leases have passed the token check")
	}
	c.highestPassed[leaseName] = token
	return nil
}
