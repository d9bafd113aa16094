package sidecar

import (
	"context"
	"time"
)

// holdWhileLeaving keeps the process, and with it the answer, for the resume
// window if the end chunk may have gone into a silent connection. An entry
// closes its connection once it has the whole answer, which ends the wait. The
// drain timeout bounds it.
func (s *Server) holdWhileLeaving(a *attempt) {
	if !s.gate.IsDraining() {
		return
	}
	timer := time.NewTimer(s.settings.ResumeWindow)
	defer timer.Stop()
	select {
	case <-a.closed:
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// awaitClose keeps a connection of a leaving sidecar open after the end chunk,
// until the entry closes it or resumes on another one.
func (s *Server) awaitClose(ctx context.Context, a *attempt, connection uint64) {
	if !s.gate.IsDraining() {
		return
	}
	timer := time.NewTimer(s.settings.ResumeWindow)
	defer timer.Stop()
	for {
		changed, unclosed := a.unclosed(connection)
		if !unclosed {
			return
		}
		select {
		case <-ctx.Done():
			a.close()
			return
		case <-changed:
		case <-timer.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}
