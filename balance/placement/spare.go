package placement

import "time"

// SpareRoom is the room for work that could as well be left out, such as a second attempt of a
// request whose first one hasn't failed.
type SpareRoom struct {
	// InFlight counts the requests of all gateways on the sound servers that the constraint
	// allows, and Slots their slots. Servers on which the request was tried count as well.
	InFlight, Slots int
	// BatchLimited means that the requests of one of these servers are limited to fewer than
	// its slots.
	BatchLimited bool
	// Constraint is the constraint with the other servers and the full ones excluded. TryPlace
	// must get it to assign such work.
	Constraint Constraint
}

// SpareRoom returns the room for work that could as well be left out. A server whose slowdown
// exceeds maxSlowdown isn't sound.
func (s *Scheduler[T]) SpareRoom(now time.Time, c Constraint, maxSlowdown float64) SpareRoom {
	room := SpareRoom{Constraint: c}
	exclude := append([]string(nil), c.Exclude...)
	anyServer := c.withoutExclusions()
	for _, id := range s.serverIDs {
		srv := s.servers[id]
		sound := anyServer.allows(srv) && s.sound(now, srv, maxSlowdown)
		if !sound || srv.inFlight() >= srv.Slots {
			exclude = append(exclude, id)
		}
		if !sound {
			continue
		}
		room.InFlight += srv.inFlight()
		room.Slots += srv.Slots
		_, limited := s.batchLimits[srv.batchKey()]
		room.BatchLimited = room.BatchLimited || limited
	}
	room.Constraint.Exclude = exclude
	return room
}

// sound reports whether nothing speaks against sending more requests to a server than it
// needs. One that states a request limit itself is in need, and one whose group is in an
// outage would get the request that tests the group.
func (s *Scheduler[T]) sound(now time.Time, c *server, maxSlowdown float64) bool {
	_, outage := s.outages[c.Group]
	statesLimit := c.pace.interval > 0 && c.pace.reason == nil
	return !c.unusable(now) && !outage && !statesLimit && !c.coldUntil.After(now) &&
		!c.avoidUntil.After(now) && !c.cooldownUntil.After(now) && c.decayedSlowdown(now) <= maxSlowdown
}
