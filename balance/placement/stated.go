package placement

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// SetStated sets what a server has stated about itself: that it is leaving, and until when
// it wants no requests. Such a server gets none, even if there is no other one.
func (s *Scheduler[T]) SetStated(id string, leaving bool, pausedUntil time.Time) {
	if srv, ok := s.servers[id]; ok {
		srv.leaving, srv.pausedUntil = leaving, pausedUntil
	}
}

// unusable reports whether a server gets no requests now, whatever the others do.
func (c *server) unusable(now time.Time) bool {
	return c.gone(now) || c.pausedUntil.After(now)
}

// gone reports whether a server gets no requests because it is leaving, has lost its
// address or is evacuated.
func (c *server) gone(now time.Time) bool {
	return c.leaving || c.evacuated || c.bannedUntil.After(now)
}

// refuseByPause refuses a request if all servers that it may use want no requests for
// longer than it may wait.
func (s *Scheduler[T]) refuseByPause(now time.Time, r Request[T]) (Outcome[T], bool) {
	shortest := farFuture
	for _, id := range s.serverIDs {
		c := s.servers[id]
		if c.gone(now) || !r.allows(c) || s.groupBlocked(now, c.Group) {
			continue
		}
		shortest = min(shortest, max(c.pausedUntil.Sub(now), 0))
	}
	if shortest <= r.MaxWait || shortest == farFuture {
		return Outcome[T]{}, false
	}
	err := errkind.New(errkind.DeadlineUnreachable, "all backend servers want no requests for %s", shortest)
	return Outcome[T]{Value: r.Value, Err: err.WithRetryAfter(min(max(shortest, minRetryAfter), maxRetryAfter))}, true
}
