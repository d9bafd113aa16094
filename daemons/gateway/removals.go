package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/config/fleet"
)

const (
	// recoveryGrace is how long servers that are missing from the list after a store
	// outage stay in use. Live servers register again within 2 s.
	recoveryGrace = 2100 * time.Millisecond
	// sendMargin is how long before the drain bound a missing server is removed. It
	// covers the requests that are just being sent.
	sendMargin = 200 * time.Millisecond
)

// pendingRemovals delays the removal of servers after a store outage. During an
// outage, registrations expire although their servers are alive, and removing all
// of these servers at once would leave a service without servers.
//
// A server that is still listed in the first read after an outage, and not in a later
// one, may have left: the store may have been out of reach for this gateway only. Such
// a server is removed within the drain bound.
type pendingRemovals struct {
	// until is the end of the grace period after an outage.
	until time.Time
	// lastRead is when the last read was sent.
	lastRead time.Time
	// missing holds the times at which missing servers are removed.
	missing map[string]time.Time
}

// apply applies the changes of one read. drainTime is the time after its removal in
// which a server has to get no more requests.
func (p *pendingRemovals) apply(
	s *fleet.Servers, changes []fleet.ServerChange, u topicUpdate, drainTime time.Duration, log zerolog.Logger,
) {
	now := u.received
	if u.recovered {
		p.until = now.Add(recoveryGrace)
	}
	removeAt := p.until
	if bound := p.lastRead.Add(drainTime - sendMargin); !u.recovered && bound.Before(removeAt) {
		removeAt = bound
	}
	p.lastRead = u.sent
	if u.snapshot {
		changes = append(changes, missingServers(s, changes)...)
	}
	for _, c := range changes {
		delete(p.missing, c.ID)
		before, known := s.Get(c.ID)
		switch {
		case c.Server == nil && known && now.Before(removeAt):
			p.markMissing(c.ID, removeAt)
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

func (p *pendingRemovals) markMissing(id string, removeAt time.Time) {
	if p.missing == nil {
		p.missing = make(map[string]time.Time)
	}
	p.missing[id] = removeAt
}

// removeMissing removes the servers that are still missing after their delay.
func (p *pendingRemovals) removeMissing(s *fleet.Servers, now time.Time, log zerolog.Logger) {
	for _, id := range slices.Sorted(maps.Keys(p.missing)) {
		if now.Before(p.missing[id]) {
			continue
		}
		delete(p.missing, id)
		s.Apply([]fleet.ServerChange{{ID: id}})
		log.Info().Str("server", id).Msg("backend server gone")
	}
}

// untilNext returns the time until a missing server has to be removed, or limit if that
// is later.
func (p *pendingRemovals) untilNext(now time.Time, limit time.Duration) time.Duration {
	for _, removeAt := range p.missing {
		limit = min(limit, max(removeAt.Sub(now), 0))
	}
	return limit
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
