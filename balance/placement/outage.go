package placement

import (
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

const (
	// probeInterval is the time between two requests that find out whether a
	// broken group serves again.
	probeInterval = 400 * time.Millisecond
	// outagePatience is how long after the begin of an outage requests wait for
	// its end. Groups whose ranks were restarted are open again within it; after
	// it, a caller is better off coming back later.
	outagePatience = 2500 * time.Millisecond
)

// outage is a group that is known to be broken. It ends with the first sign that
// the group serves.
type outage struct {
	began time.Time
	// until is when the next request may find out whether it goes on, and probe
	// the server of the one that does, or empty.
	until time.Time
	probe string
}

// MarkGroupDown notes that a group is broken, and reports whether that is news. The
// group gets no work but one request at a time, each a while after the other.
func (s *Scheduler[T]) MarkGroupDown(now time.Time, group string) bool {
	if group == "" {
		return false
	}
	o, known := s.outages[group]
	if !known {
		o = &outage{began: now}
		s.outages[group] = o
	}
	o.until, o.probe = now.Add(probeInterval), ""
	return !known
}

// MarkGroupUp notes that a group serves, and reports whether that ends an outage.
func (s *Scheduler[T]) MarkGroupUp(group string) bool {
	_, ok := s.outages[group]
	delete(s.outages, group)
	return ok
}

// closed reports whether a group may get no request now.
func (s *Scheduler[T]) closed(now time.Time, group string) bool {
	o, ok := s.outages[group]
	return ok && (now.Before(o.until) || o.probe != "")
}

// probed notes that a request ended without a sign of the group. Another one may
// be sent.
func (s *Scheduler[T]) probed(c *server) {
	if o, ok := s.outages[c.Group]; ok && o.probe == c.ID {
		o.probe = ""
	}
}

// patience returns how long a request that no server can take now may wait. It
// is false if the servers are missing for another reason than a recent outage.
func (s *Scheduler[T]) patience(now time.Time, exclude []string) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, id := range s.order {
		c := s.servers[id]
		o, ok := s.outages[c.Group]
		if !ok || c.banned || slices.Contains(exclude, id) {
			continue
		}
		longest = max(longest, outagePatience-now.Sub(o.began))
	}
	return longest, longest > 0
}

// refuseUnserved refuses a request that no server can take. During an outage,
// callers that come back soon are refused again, so they are sent away for as
// long as they heed.
func (s *Scheduler[T]) refuseUnserved(now time.Time, value T) Outcome[T] {
	for _, id := range s.order {
		if s.closed(now, s.servers[id].Group) {
			err := errkind.New(errkind.NoBackendServer, "the rank group is broken")
			return Outcome[T]{Value: value, Err: err.WithRetryAfter(maxRetryAfter)}
		}
	}
	return s.refuse(value, errkind.New(errkind.NoBackendServer, "no other backend server is left"))
}
