package lease

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// Guard decides in a sidecar whether a command to its backend server may
// pass, because some backend servers ignore fencing tokens. Once it has passed
// a command, it passes no command with a lower token, over restarts as well.
type TokenChecker struct {
	settings Settings
	fold     *Projection
	started  time.Time
	// confirmed is the start of the newest read that reached the end of the
	// stream; zero until the first one.
	confirmed time.Time
	passed    map[string]infra.Offset
}

// NewGuard returns a Guard of a process that started at now and that folds the
// stream into fold.
func NewTokenChecker(s Settings, fold *Projection, now time.Time) *TokenChecker {
	return &TokenChecker{settings: s, fold: fold, started: now, passed: make(map[string]infra.Offset)}
}

// Confirmed reports that a read which began at the given time has reached the
// end of the stream and was folded.
func (g *TokenChecker) ConfirmRead(began time.Time) {
	if !began.Before(g.started) && began.After(g.confirmed) {
		g.confirmed = began
	}
}

// Current returns the newest token of a duty, zero if it never had a holder.
// It reports false if the guard's view of the log is not recent or may lack a
// tenure.
func (g *TokenChecker) CurrentToken(now time.Time, duty string) (infra.Offset, bool) {
	if !g.fresh(now) {
		return 0, false
	}
	t, _ := g.fold.Term(duty)
	return max(t.Token, g.passed[duty]), true
}

func (g *TokenChecker) fresh(now time.Time) bool {
	return !g.confirmed.IsZero() && !g.fold.Uncertain() && now.Sub(g.confirmed) <= g.settings.MaxViewAge
}

// Check passes or refuses a command. A token above the known one comes from a
// holder that has read further than this guard; it passes and fences off all
// lower ones. The result is nil or a refusal that proves that nothing ran.
func (g *TokenChecker) Check(now time.Time, duty string, token infra.Offset) *errkind.Error {
	if !g.fresh(now) {
		return errkind.New(errkind.LogUnavailable, "the current fencing token of %s was not read", duty).
			WithRetryAfter(time.Second)
	}
	t, known := g.fold.Term(duty)
	newest := max(t.Token, g.passed[duty])
	if token < newest || token == 0 {
		return errkind.New(errkind.StaleFencingToken, "%s has token %d, the command has %d", duty, newest, token)
	}
	if token <= g.fold.gapEnd && token != t.Token {
		return errkind.New(errkind.StaleFencingToken, "a later token of %s than %d may be missing", duty, token)
	}
	if known && t.Token == token && t.Released {
		return errkind.New(errkind.StaleFencingToken, "the holder of %s released token %d", duty, token)
	}
	if _, seen := g.passed[duty]; !seen && len(g.passed) >= g.settings.MaxLeases {
		return errkind.New(errkind.QueueFull, "too many duties")
	}
	g.passed[duty] = token
	return nil
}
