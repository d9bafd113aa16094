package placement

import "time"

// ObserveSlowdown records the duration of a request on a server relative to the
// usual duration of such a request.
func (s *Scheduler[T]) ObserveSlowdown(now time.Time, id string, observed float64) {
	srv, ok := s.servers[id]
	if !ok {
		return
	}
	current := srv.decayedSlowdown(now)
	step := min(slowdownSmoothing*(observed-current), maxSlowdownStep)
	srv.slowdown = min(max(current+step, minSlowdown), maxSlowdown)
	srv.slowdownAt = now
}

// ObserveSlowdownAtLeast records that the duration of a request on a server would have been
// at least this, relative to the usual one. It raises the slowdown or leaves it.
func (s *Scheduler[T]) ObserveSlowdownAtLeast(now time.Time, id string, observed float64) {
	if observed > s.Slowdown(now, id) {
		s.ObserveSlowdown(now, id, observed)
	}
}

// Slowdown returns the measured slowdown of a server, which decays towards 1 with its age.
func (s *Scheduler[T]) Slowdown(now time.Time, id string) float64 {
	srv, ok := s.servers[id]
	if !ok {
		return 1
	}
	return srv.decayedSlowdown(now)
}

// SetCooldown keeps requests away from a server until the given time, unless all
// other servers are in cooldown or full.
func (s *Scheduler[T]) SetCooldown(id string, until time.Time) {
	if srv, ok := s.servers[id]; ok && until.After(srv.cooldownUntil) {
		srv.cooldownUntil = until
	}
}

// Avoid keeps requests away from a server until the given time, unless there is
// no other server. Unlike SetCooldown, it does so also when all others are full,
// because requests on a slow rank delay those of its whole group.
func (s *Scheduler[T]) Avoid(id string, until time.Time) {
	if srv, ok := s.servers[id]; ok && until.After(srv.avoidUntil) {
		srv.avoidUntil = until
	}
}

// Ban keeps all requests away from a server until the given time, or until another
// incarnation of it is listed. It is used when another server has taken over its address.
func (s *Scheduler[T]) Ban(id string, until time.Time) {
	if srv, ok := s.servers[id]; ok && until.After(srv.bannedUntil) {
		srv.bannedUntil = until
	}
}

// SetCold records that a server is cold until the given time, unless it is known to be cold
// for longer.
func (s *Scheduler[T]) SetCold(id string, until time.Time) {
	if srv, ok := s.servers[id]; ok && until.After(srv.coldUntil) {
		srv.coldUntil = until
	}
}

// forget drops what was observed of another incarnation of the server. Its requests in
// flight still count.
func (c *server) forget() {
	c.slowdown, c.slowdownAt = 1, time.Time{}
	c.cooldownUntil, c.avoidUntil, c.bannedUntil = time.Time{}, time.Time{}, time.Time{}
	c.leaving, c.pausedUntil = false, time.Time{}
	c.coldUntil = time.Time{}
}
