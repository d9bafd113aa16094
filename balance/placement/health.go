package placement

import (
	"math"
	"time"
)

const (
	// slowdownHalfLife is the time in which a measured slowdown loses half of its
	// weight, so that a slow server is tried again.
	slowdownHalfLife = 3 * time.Second
	// slowdownSmoothing is the weight of a new measurement.
	slowdownSmoothing = 0.3
	// maxSlowdownStep is the most by which one measurement raises the slowdown. A single
	// slow response, for example the first one of a process, says little about a server.
	maxSlowdownStep = 0.5
	// slowdownTolerance is the difference from the usual duration that doesn't count. Without
	// it, all requests of an idle service go to the server whose last response was a little
	// faster.
	slowdownTolerance = 0.1
	// minSlowdown and maxSlowdown bound the measured slowdown of a server.
	minSlowdown = 0.5
	maxSlowdown = 8.0
)

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

// decayedSlowdown returns the measured slowdown, which decays towards 1 with its age.
func (c *server) decayedSlowdown(now time.Time) float64 {
	if c.slowdown == 1 {
		return 1
	}
	halfLives := float64(now.Sub(c.slowdownAt)) / float64(slowdownHalfLife)
	return 1 + (c.slowdown-1)*math.Exp2(-halfLives)
}

// currentSlowdown returns the slowdown by which servers are compared. Small differences
// don't count.
func (c *server) currentSlowdown(now time.Time) float64 {
	slowdown := c.decayedSlowdown(now)
	if math.Abs(slowdown-1) < slowdownTolerance {
		return 1
	}
	return slowdown
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
