package sidecar

import (
	"context"
	"time"
)

// awaitReceiptWhileLeaving delays the exit of a leaving sidecar, because the end
// chunk may have been sent on a connection that no longer delivers data. It waits
// until the entry closes its connection, which it does after the complete
// response, at most for the resume window or until the drain timeout expires.
func (s *Server) awaitReceiptWhileLeaving(a *attempt) {
	if !s.gate.IsDraining() {
		return
	}
	timer := time.NewTimer(s.settings.ResumeWindow)
	defer timer.Stop()
	select {
	case <-a.received:
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// awaitConnectionClose keeps a connection of a leaving sidecar open after the end
// chunk until the entry closes it or resumes on another one. It stops waiting
// after the resume window or when the drain timeout expires.
func (s *Server) awaitConnectionClose(ctx context.Context, a *attempt, connection uint64) {
	if !s.gate.IsDraining() {
		return
	}
	timer := time.NewTimer(s.settings.ResumeWindow)
	defer timer.Stop()
	for {
		changed, awaitsClose := a.awaitsClose(connection)
		if !awaitsClose {
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
