package placement

import (
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// minPauseSpread is the least time over which the callers return that were refused because
// all servers want a pause. Those that are refused shortly before its end would all return
// at that moment.
const minPauseSpread = 250 * time.Millisecond

// SetStated sets what a server has stated about itself: that it is leaving, and until when
// it wants no requests. Such a server gets none, even if there is no other one.
// RefuseUnservable must be called afterwards.
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

// pauseLeft returns the time until the first of the servers that may run a request, now or
// later, wants requests again. It returns 0 if one of them wants some now, and farFuture if
// there are none.
func (s *Scheduler[T]) pauseLeft(now time.Time, c Constraint) time.Duration {
	shortest := farFuture
	for _, id := range s.serverIDs {
		srv := s.servers[id]
		if srv.gone(now) || !c.allows(srv) || s.groupBlocked(now, srv.Group) {
			continue
		}
		shortest = min(shortest, max(srv.pausedUntil.Sub(now), 0))
	}
	return shortest
}

// pausedBeyond reports whether all servers that may run a request want no requests until
// after the given time.
func (s *Scheduler[T]) pausedBeyond(now time.Time, c Constraint, until time.Time) bool {
	left := s.pauseLeft(now, c)
	return left < farFuture && left > until.Sub(now)
}

// refuseByPause refuses a request if all servers that it may use want no requests for
// longer than it may wait.
func (s *Scheduler[T]) refuseByPause(now time.Time, r Request[T]) (Outcome[T], bool) {
	if !s.pausedBeyond(now, r.Constraint, now.Add(r.MaxWait)) {
		return Outcome[T]{}, false
	}
	return s.refusalByPause(now, r.Constraint, r.Value), true
}

// refusalByPause returns a refusal with the shortest time that a server wants no requests
// for, those included on which the request was tried: its caller may use them again. The
// callers return spread over a part of that time after its end.
func (s *Scheduler[T]) refusalByPause(now time.Time, c Constraint, value T) Outcome[T] {
	left := s.pauseLeft(now, c)
	if tried := s.pauseLeft(now, c.withoutExclusions()); tried > 0 {
		left = min(left, tried)
	}
	spread := max(time.Duration(retryJitter*float64(left)), minPauseSpread)
	after := left + time.Duration(s.rng.Float64()*float64(spread))
	err := errkind.New(errkind.DeadlineUnreachable, "all backend servers want no requests for %s", left)
	return Outcome[T]{Value: value, Err: err.WithRetryAfter(max(after, minRetryAfter))}
}
