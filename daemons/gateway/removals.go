package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// pendingRemovals delays the removal of servers for a while after the store was
// away. Entries lapse in an outage although their servers live; all of them at
// once would otherwise leave a service without any server.
type pendingRemovals struct {
	until   time.Time
	missing map[string]bool
}

// hold delays removals until a time.
func (p *pendingRemovals) hold(until time.Time) { p.until = until }

// apply takes the changes of one read at now. whole says that changes holds all
// servers.
func (p *pendingRemovals) apply(
	s *fleet.Servers, changes []fleet.ServerChange, whole bool, now time.Time, log zerolog.Logger,
) {
	if whole {
		changes = append(changes, vanished(s, changes)...)
	}
	for _, c := range changes {
		delete(p.missing, c.ID)
		before, known := s.Get(c.ID)
		switch {
		case c.Server == nil && known && now.Before(p.until):
			p.miss(c.ID)
			log.Info().Str("server", c.ID).Msg("backend server missing after an outage of the store")
			continue
		case c.Server == nil && known:
			log.Info().Str("server", c.ID).Str("service", before.Service).Msg("backend server gone")
		case c.Server != nil && !known:
			log.Info().Str("server", c.ID).Str("service", c.Server.Service).Str("address", c.Server.Address).
				Msg("backend server registered")
		case c.Server != nil && c.Server.Draining && !before.Draining:
			log.Info().Str("server", c.ID).Str("service", c.Server.Service).Msg("backend server draining")
		}
		s.Apply([]fleet.ServerChange{c})
	}
	p.expire(s, now, log)
}

func (p *pendingRemovals) miss(id string) {
	if p.missing == nil {
		p.missing = make(map[string]bool)
	}
	p.missing[id] = true
}

// expire removes the servers that are still missing when the delay is over.
func (p *pendingRemovals) expire(s *fleet.Servers, now time.Time, log zerolog.Logger) {
	if now.Before(p.until) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.missing)) {
		s.Apply([]fleet.ServerChange{{ID: id}})
		log.Info().Str("server", id).Msg("backend server gone")
	}
	clear(p.missing)
}

// vanished returns removals of the servers that a whole list lacks.
func vanished(s *fleet.Servers, list []fleet.ServerChange) []fleet.ServerChange {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
	}
	var gone []fleet.ServerChange
	for _, id := range s.IDs() {
		if !listed[id] {
			gone = append(gone, fleet.ServerChange{ID: id})
		}
	}
	return gone
}
