package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// pendingRemovals delays the removal of servers after a store outage. During an
// outage, registrations expire although their servers are alive, and removing all
// of these servers at once would leave a service without servers.
type pendingRemovals struct {
	until   time.Time
	missing map[string]bool
}

// deferUntil delays removals until the given time.
func (p *pendingRemovals) deferUntil(until time.Time) { p.until = until }

// apply applies the changes of one read at now. If snapshot is set, changes holds
// all registered servers.
func (p *pendingRemovals) apply(
	s *fleet.Servers, changes []fleet.ServerChange, snapshot bool, now time.Time, log zerolog.Logger,
) {
	if snapshot {
		changes = append(changes, missingServers(s, changes)...)
	}
	for _, c := range changes {
		delete(p.missing, c.ID)
		before, known := s.Get(c.ID)
		switch {
		case c.Server == nil && known && now.Before(p.until):
			p.markMissing(c.ID)
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
	p.removeMissing(s, now, log)
}

func (p *pendingRemovals) markMissing(id string) {
	if p.missing == nil {
		p.missing = make(map[string]bool)
	}
	p.missing[id] = true
}

// removeMissing removes the servers that are still missing after the delay.
func (p *pendingRemovals) removeMissing(s *fleet.Servers, now time.Time, log zerolog.Logger) {
	if now.Before(p.until) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.missing)) {
		s.Apply([]fleet.ServerChange{{ID: id}})
		log.Info().Str("server", id).Msg("backend server gone")
	}
	clear(p.missing)
}

// missingServers returns removals for the servers that are not in list, which
// holds all registered servers.
func missingServers(s *fleet.Servers, list []fleet.ServerChange) []fleet.ServerChange {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
	}
	var removals []fleet.ServerChange
	for _, id := range s.IDs() {
		if !listed[id] {
			removals = append(removals, fleet.ServerChange{ID: id})
		}
	}
	return removals
}
