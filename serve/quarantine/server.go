package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Decision is the result of Server.Admit.
type Decision uint8

// Verdicts.
const (
	Run Decision = iota
	// Wait: ask again when a request ends; the server isn't free for a
	// request alone, or such a request runs or waits.
	Wait
	Refuse
)

// ServerTracker tracks the requests in flight on one backend server. A waiting
// suspect stops further admissions, so that the server becomes free for it.
type ServerTracker struct {
	register *Registry
	inFlight map[uint64]running
	alone    bool
	// reserved is the suspect that waits for the server to become free.
	reserved      uint64
	reservedUntil time.Time
}

type running struct {
	fingerprint Fingerprint
	began       time.Time
}

// reservation is how long a waiting suspect stops other admissions since it
// last asked. A caller that has gone doesn't block the server for longer.
const reservation = time.Second

// NewServerTracker returns the tracker of a backend server without requests.
func NewServerTracker(r *Registry) *ServerTracker {
	return &ServerTracker{register: r, inFlight: make(map[uint64]running)}
}

// InFlight returns the number of requests on the server.
func (s *ServerTracker) InFlight() int { return len(s.inFlight) }

// Admit decides whether request id may run at now. After Run the request is in
// flight until End or Crashed.
func (s *ServerTracker) Admit(now time.Time, id uint64, f Fingerprint) Decision {
	handling := s.register.Handling(now, f)
	held := s.reserved != 0 && s.reserved != id && now.Before(s.reservedUntil)
	switch {
	case handling == Refused:
		return Refuse
	case s.alone || held:
		return Wait
	case handling == Alone && len(s.inFlight) > 0:
		s.reserved, s.reservedUntil = id, now.Add(reservation)
		return Wait
	}
	if s.reserved == id {
		s.reserved = 0
	}
	s.alone = handling == Alone
	s.inFlight[id] = running{fingerprint: f, began: now}
	return Run
}

// CancelReservation gives up the reservation of a waiting request.
func (s *ServerTracker) CancelReservation(id uint64) {
	if s.reserved == id {
		s.reserved = 0
	}
}

// End removes a request. answered says that the backend server survived it and
// answered it in full; a cancelled request clears nothing. clearance is a
// unique id for a report, which is returned if the request was a suspect.
func (s *ServerTracker) End(now time.Time, id uint64, answered bool, clearance string) (Report, bool) {
	r, ok := s.inFlight[id]
	if !ok {
		return Report{}, false
	}
	wasAlone := s.alone
	delete(s.inFlight, id)
	s.alone = false
	if !wasAlone || !answered {
		return Report{}, false
	}
	return s.register.RecordAnswer(now, r.began, clearance, r.fingerprint)
}

// RecordCrash reports that the backend server died. All requests in flight end.
func (s *ServerTracker) RecordCrash(now time.Time, crash string) []Report {
	var fingerprints []Fingerprint
	for _, id := range slices.Sorted(maps.Keys(s.inFlight)) {
		fingerprints = append(fingerprints, s.inFlight[id].fingerprint)
	}
	s.inFlight = make(map[uint64]running)
	s.alone = false
	return s.register.RecordCrash(now, crash, fingerprints)
}
