// Package statement holds what backend servers state about themselves in their
// responses to this process: that they are leaving, or that they want no requests for a
// while.
//
// It is designed for servers that shed load or shut down while the list of servers is
// late. A statement binds this process at once, and no other one. It ends with the run
// of the server that made it: the address or the ID may be used again by a server that
// states nothing.
//
// The package is deterministic and does no I/O.
package statement

import "time"

const (
	// MaxPause bounds the time for which a server may want no requests. A longer one can't
	// be meant, and the server is asked again then.
	MaxPause = 24 * time.Hour
	// retention is how long the statements of a server are kept that isn't listed. Its
	// registration may be missing for a while, or be unreadable.
	retention = 10 * time.Minute
	// returnSpread is the longest time by which the return to a server is delayed,
	// relative to the pause, and maxReturnSpread bounds it. Without the spread, all
	// gateways would return at the same moment.
	returnSpread    = 0.2
	maxReturnSpread = time.Second
)

// Table holds the statements of the servers of one service. It isn't safe for concurrent
// use.
type Table struct {
	servers map[string]*server
	// random returns a number in [0, 1).
	random func() float64
}

type server struct {
	startedUnixMs int64
	leaving       bool
	// pausedUntil is the end of the last pause. It is from a monotonic clock, so that a
	// clock that is set doesn't change it.
	pausedUntil time.Time
	// unlistedAt is when the server was first missing from the list, or zero.
	unlistedAt time.Time
}

// New returns an empty table. random returns a number in [0, 1).
func New(random func() float64) *Table {
	return &Table{servers: make(map[string]*server), random: random}
}

// SetServers replaces the listed servers, with the start time of each one in Unix
// milliseconds, or 0. A server that has started again has stated nothing. One that isn't
// listed keeps its statements for a while, if its start time tells whether it is the same
// run that returns.
func (t *Table) SetServers(now time.Time, startedUnixMs map[string]int64) {
	for id, s := range t.servers {
		started, listed := startedUnixMs[id]
		switch {
		case listed && started != s.startedUnixMs, !listed && s.startedUnixMs == 0:
			delete(t.servers, id)
		case listed:
			s.unlistedAt = time.Time{}
		case s.unlistedAt.IsZero():
			s.unlistedAt = now
		case now.Sub(s.unlistedAt) > retention:
			delete(t.servers, id)
		}
	}
	for id, started := range startedUnixMs {
		if t.servers[id] == nil {
			t.servers[id] = &server{startedUnixMs: started}
		}
	}
}

// RecordLeaving records that a server is leaving. It returns true if this is new.
func (t *Table) RecordLeaving(id string) bool {
	s, ok := t.servers[id]
	if !ok || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// RecordPause records that a server wants no requests for a time. It returns true if the
// server has no earlier pause that still lasts.
func (t *Table) RecordPause(now time.Time, id string, pause time.Duration) bool {
	s, ok := t.servers[id]
	if !ok || pause <= 0 {
		return false
	}
	began := !s.pausedUntil.After(now)
	pause = min(pause, MaxPause)
	spread := min(time.Duration(returnSpread*float64(pause)), maxReturnSpread)
	if until := now.Add(pause + time.Duration(t.random()*float64(spread))); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return began
}

// Leaving reports whether a server has stated that it is leaving.
func (t *Table) Leaving(id string) bool {
	s, ok := t.servers[id]
	return ok && s.leaving
}

// PausedUntil returns until when a server wants no requests. It is in the past for most
// servers.
func (t *Table) PausedUntil(id string) time.Time {
	if s, ok := t.servers[id]; ok {
		return s.pausedUntil
	}
	return time.Time{}
}
