// Package liveness decides at one gateway whether a backend server that sends
// nothing is alive.
//
// A stream that waits in the queue of a full server receives nothing for a while,
// like a stream on a server that has failed. On another server it would wait again,
// so silence alone is no reason to move a stream. It is moved if its server doesn't
// answer a probe either.
//
// The package is deterministic: time is passed in, and it does no I/O. A Tracker
// isn't safe for concurrent use.
package liveness

import "time"

const (
	// activityMaxAge is how long a server counts as alive after it sent something:
	// the time of a few events of a stream.
	activityMaxAge = 400 * time.Millisecond
	// failedProbeMaxAge is how long a server counts as unresponsive after a failed
	// probe. Frozen instances resume after seconds.
	failedProbeMaxAge = time.Second
)

// State is the liveness state of a server.
type State uint8

// Liveness states.
const (
	// Alive servers sent something recently.
	Alive State = iota
	// Unresponsive servers failed a probe recently.
	Unresponsive
	// NeedsProbe means that the state is unknown and the caller must probe the
	// server now.
	NeedsProbe
	// Probing means that a probe is in progress.
	Probing
)

type server struct {
	activeAt      time.Time
	probeFailedAt time.Time
	probing       bool
}

// Tracker tracks the liveness of the servers of one service.
type Tracker struct {
	servers map[string]*server
}

// New returns a tracker without servers.
func New() *Tracker { return &Tracker{servers: make(map[string]*server)} }

func (t *Tracker) get(id string) *server {
	s, ok := t.servers[id]
	if !ok {
		s = &server{}
		t.servers[id] = s
	}
	return s
}

// RecordActivity records that a server sent something.
func (t *Tracker) RecordActivity(now time.Time, id string) { t.get(id).activeAt = now }

// Check returns the state of a server. If it returns NeedsProbe, the caller must
// send one probe and call RecordProbe with its result, or call CancelProbe.
func (t *Tracker) Check(now time.Time, id string) State {
	s := t.get(id)
	switch {
	case now.Sub(s.activeAt) < activityMaxAge:
		return Alive
	case s.probeFailedAt.After(s.activeAt) && now.Sub(s.probeFailedAt) < failedProbeMaxAge:
		return Unresponsive
	case s.probing:
		return Probing
	default:
		s.probing = true
		return NeedsProbe
	}
}

// CancelProbe records that a probe is not sent.
func (t *Tracker) CancelProbe(id string) { t.get(id).probing = false }

// RecordProbe records the result of a probe.
func (t *Tracker) RecordProbe(now time.Time, id string, alive bool) {
	s := t.get(id)
	s.probing = false
	if alive {
		s.activeAt = now
		return
	}
	s.probeFailedAt = now
}

// Retain removes the servers for which keep returns false, unless a probe is in
// progress.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id, s := range t.servers {
		if !keep(id) && !s.probing {
			delete(t.servers, id)
		}
	}
}
