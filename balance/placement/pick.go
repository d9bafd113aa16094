package placement

import (
	"slices"
	"time"
)

// hasServer reports whether a server may get the request, now or later.
func (s *Scheduler[T]) hasServer(now time.Time, constraint Constraint) bool {
	return slices.ContainsFunc(s.serverIDs, func(id string) bool {
		c := s.servers[id]
		return !c.gone(now) && constraint.allows(c) && !s.groupBlocked(now, c.Group)
	})
}

// pick returns a server with little relative load that may start a request now, or nil.
func (s *Scheduler[T]) pick(now time.Time, constraint Constraint, need capacityNeed) *server {
	var usable, coolingDown, avoided []*server
	for _, id := range s.serverIDs {
		c := s.servers[id]
		switch {
		case c.unusable(now) || !constraint.allows(c) || s.groupBlocked(now, c.Group) || !c.pace.allows(now):
		case !s.hasMemory(c, constraint.Tokens):
		case c.avoidUntil.After(now):
			avoided = append(avoided, c)
		case c.cooldownUntil.After(now):
			coolingDown = append(coolingDown, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable)+len(coolingDown) == 0 {
		usable = avoided
	}
	if !s.leavesHeadroom(usable, need.headroom) {
		return nil
	}
	if picked := s.pickSpread(now, usable, need); picked != nil {
		return picked
	}
	return s.pickSpread(now, coolingDown, need)
}
