package placement

import "time"

const (
	// groupProbeInterval is the time between two requests that test whether a
	// broken rank group serves again.
	groupProbeInterval = 400 * time.Millisecond
	// maxOutageWait is how long after the start of an outage requests are queued
	// until it ends. A group whose ranks were restarted serves again within this
	// time. In a longer outage, callers are told to retry later.
	maxOutageWait = 2500 * time.Millisecond
)

// outage describes a rank group that is known to be broken. It ends with the
// first report that the group serves.
type outage struct {
	startedAt time.Time
	// nextProbeAt is when the next request may test the group. probeServer is the
	// server that runs the current test request, or empty.
	nextProbeAt time.Time
	probeServer string
}

// MarkGroupDown records that a group is broken and reports whether this was unknown
// before. From then on the group gets a single test request at a time, the next one
// groupProbeInterval after the last call of MarkGroupDown.
func (s *Scheduler[T]) MarkGroupDown(now time.Time, group string) bool {
	if group == "" {
		return false
	}
	o, known := s.outages[group]
	if !known {
		o = &outage{startedAt: now}
		s.outages[group] = o
	}
	o.nextProbeAt, o.probeServer = now.Add(groupProbeInterval), ""
	return !known
}

// MarkGroupUp records that a group serves and reports whether this ends an outage.
func (s *Scheduler[T]) MarkGroupUp(group string) bool {
	_, ok := s.outages[group]
	delete(s.outages, group)
	return ok
}

// groupBlocked reports whether a group must not get a request at the moment.
func (s *Scheduler[T]) groupBlocked(now time.Time, group string) bool {
	o, ok := s.outages[group]
	return ok && (now.Before(o.nextProbeAt) || o.probeServer != "")
}

// clearProbe ends a test request that gave no result, so that another one may be
// sent. It does nothing if c runs no test request. The list may show c in another group than
// when the test began.
func (s *Scheduler[T]) clearProbe(c *server) {
	for _, o := range s.outages {
		if o.probeServer == c.ID {
			o.probeServer = ""
		}
	}
}

// outageWait returns how long a request that no server can take may wait for the
// end of an outage. It returns false if no recent outage is the reason.
func (s *Scheduler[T]) outageWait(now time.Time, constraint Constraint) (time.Duration, bool) {
	wait := time.Duration(0)
	for _, id := range s.serverIDs {
		c := s.servers[id]
		o, ok := s.outages[c.Group]
		if !ok || c.gone(now) || !constraint.allows(c) {
			continue
		}
		wait = max(wait, maxOutageWait-now.Sub(o.startedAt))
	}
	return wait, wait > 0
}
