package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Decision is the result of ServerTracker.Admit.
type Decision uint8

// Decisions.
const (
	Run Decision = iota
	// Wait means that the caller has to ask again when a request ends: either the
	// request has to run alone and the server isn't idle, or another request that
	// has to run alone is running or waiting.
	Wait
	Refuse
)

// ServerTracker tracks the requests in flight on one backend server. A waiting
// suspect blocks further admissions, so that the server becomes idle for it.
type ServerTracker struct {
	registry  *Registry
	inFlight  map[uint64]runningRequest
	runsAlone bool
	// reservedFor is the id of the suspect that waits for the server to become
	// idle, or 0.
	reservedFor   uint64
	reservedUntil time.Time
}

type runningRequest struct {
	fingerprint Fingerprint
	started     time.Time
}

// reservationTimeout is how long a waiting suspect blocks other admissions after
// its last call of Admit. It bounds the blocking by a caller that has gone away.
const reservationTimeout = time.Second

// NewServerTracker returns the tracker of a backend server without requests.
func NewServerTracker(r *Registry) *ServerTracker {
	return &ServerTracker{registry: r, inFlight: make(map[uint64]runningRequest)}
}

// InFlight returns the number of requests on the server.
func (t *ServerTracker) InFlight() int { return len(t.inFlight) }

// Admit decides whether request id may run at now. After Run the request is in
// flight until End or RecordCrash.
func (t *ServerTracker) Admit(now time.Time, id uint64, f Fingerprint) Decision {
	handling := t.registry.Handling(now, f)
	reservedByOther := t.reservedFor != 0 && t.reservedFor != id && now.Before(t.reservedUntil)
	switch {
	case handling == Refused:
		return Refuse
	case t.runsAlone || reservedByOther:
		return Wait
	case handling == Alone && len(t.inFlight) > 0:
		t.reservedFor, t.reservedUntil = id, now.Add(reservationTimeout)
		return Wait
	}
	if t.reservedFor == id {
		t.reservedFor = 0
	}
	t.runsAlone = handling == Alone
	t.inFlight[id] = runningRequest{fingerprint: f, started: now}
	return Run
}

// CancelReservation cancels the reservation of a waiting request.
func (t *ServerTracker) CancelReservation(id uint64) {
	if t.reservedFor == id {
		t.reservedFor = 0
	}
}

// End removes a request. answered is true if the backend server answered it in
// full; a cancelled request clears no suspect. eventID is the unique id of the
// report that is returned if the request was a suspect.
func (t *ServerTracker) End(now time.Time, id uint64, answered bool, eventID string) (Report, bool) {
	r, ok := t.inFlight[id]
	if !ok {
		return Report{}, false
	}
	wasAlone := t.runsAlone
	delete(t.inFlight, id)
	t.runsAlone = false
	if !wasAlone || !answered {
		return Report{}, false
	}
	return t.registry.RecordResponse(now, r.started, eventID, r.fingerprint)
}

// RecordCrash records that the backend server crashed. All requests in flight
// end.
func (t *ServerTracker) RecordCrash(now time.Time, eventID string) []Report {
	var fingerprints []Fingerprint
	for _, id := range slices.Sorted(maps.Keys(t.inFlight)) {
		fingerprints = append(fingerprints, t.inFlight[id].fingerprint)
	}
	t.inFlight = make(map[uint64]runningRequest)
	t.runsAlone = false
	return t.registry.RecordCrash(now, eventID, fingerprints)
}
