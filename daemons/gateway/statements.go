package gateway

import (
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
)

// recordStatements records what a server states about itself in its response. A
// successful response that isn't signed states nothing.
func (s *service) recordStatements(server string, success bool, h platform.ResponseHeader) {
	if success && !h.Signed {
		return
	}
	if h.InvalidPause != "" {
		s.log.Warn().Str("server", server).Str("value", h.InvalidPause).
			Msg("backend server refuses requests for a time that can't be read")
	}
	if !h.Leaving && h.Pause <= 0 && h.ColdFor <= 0 {
		return
	}
	s.applyResponse(clock.Now(), server, h)
}

// applyResponse records what a server states in a response. Waiting requests that no server
// can take any more in time are refused.
func (s *service) applyResponse(now time.Time, server string, h platform.ResponseHeader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaves := h.Leaving && s.statements.RecordLeaving(server)
	if leaves {
		s.log.Info().Str("server", server).Msg("backend server states that it is leaving; sending no more requests to it")
	}
	if s.statements.RecordPause(now, server, h.Pause) {
		s.log.Info().Str("server", server).Dur("pause_ms", h.Pause).Msg("backend server wants no requests for a time")
	}
	// Applying the limits starts waiting requests, so what the server has stated comes first.
	s.applyStatements(server)
	if s.recordCold(now, server, now.Add(h.ColdFor)) {
		s.applyRequestLimits(now)
	}
	if leaves || h.Pause > 0 {
		s.deliver(s.scheduler.RefuseUnservable(now))
	}
}

// retainStatements forgets the statements of servers that have started again or are gone for
// long. The caller holds the mutex.
func (s *service) retainStatements(now time.Time, list []fleet.Server) {
	started := make(map[string]int64, len(list))
	for _, l := range list {
		started[l.ID] = l.StartedUnixMs
	}
	s.statements.SetServers(now, started)
	for id := range started {
		s.applyStatements(id)
	}
}

func (s *service) applyStatements(server string) {
	s.scheduler.SetStated(server, s.statements.Leaving(server), s.statements.PausedUntil(server))
}
