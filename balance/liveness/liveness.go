// Package liveness decides at one gateway whether a backend server that sends
// nothing is alive.
//
// The load it answers is a full service one of whose servers falls silent. A
// stream that waits in the queue of a full server hears nothing for a while
// either, and would only wait again elsewhere, so silence alone is no reason to
// move it. A server that doesn't answer a question either is one.
//
// The package is deterministic: time is passed in, and it does no I/O. A Tracker
// has one owner.
package liveness

import "time"

const (
	// signValid is how long a sign of life counts: a few events of a stream.
	signValid = 400 * time.Millisecond
	// silenceValid is how long a question without an answer counts. Frozen
	// instances wake after seconds.
	silenceValid = time.Second
)

// State is what is known of a server.
type State uint8

// Verdicts.
const (
	// Alive: the server sent something a moment ago.
	Alive State = iota
	// Silent: the server did not answer a question a moment ago.
	Unresponsive
	// Unknown: the caller should ask the server now.
	NeedsProbe
	// Asked: a question is under way.
	Probing
)

type server struct {
	sign   time.Time
	silent time.Time
	asked  bool
}

// Tracker follows the servers of one service.
type Tracker struct {
	servers map[string]*server
}

// New returns a tracker that knows no server.
func New() *Tracker { return &Tracker{servers: make(map[string]*server)} }

func (t *Tracker) get(id string) *server {
	s, ok := t.servers[id]
	if !ok {
		s = &server{}
		t.servers[id] = s
	}
	return s
}

// RecordActivity notes that a server sent something.
func (t *Tracker) RecordActivity(now time.Time, id string) { t.get(id).sign = now }

// Check returns what is known of a server. After Unknown the caller asks the
// server once and calls Answered.
func (t *Tracker) Check(now time.Time, id string) State {
	s := t.get(id)
	switch {
	case now.Sub(s.sign) < signValid:
		return Alive
	case s.silent.After(s.sign) && now.Sub(s.silent) < silenceValid:
		return Unresponsive
	case s.asked:
		return Probing
	default:
		s.asked = true
		return NeedsProbe
	}
}

// RecordProbe notes the end of a question.
func (t *Tracker) RecordProbe(now time.Time, id string, alive bool) {
	s := t.get(id)
	s.asked = false
	if alive {
		s.sign = now
		return
	}
	s.silent = now
}

// Retain forgets the servers that aren't kept.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id, s := range t.servers {
		if !keep(id) && !s.asked {
			delete(t.servers, id)
		}
	}
}
