package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// recoveryGrace is how long servers that are missing from the list after a store
	// outage stay in use. Live servers register again within 2 s.
	recoveryGrace = 2100 * time.Millisecond
	// sendMargin is how long before the bound a missing server is removed. It covers the
	// requests that are just being sent.
	sendMargin = 200 * time.Millisecond
	// minExpiryHeartbeats is the shortest outage in which registrations expire, in heartbeat
	// intervals. They expire after three without a heartbeat, and the last one may have been
	// an interval before the outage.
	minExpiryHeartbeats = 2
)

// pendingRemovals delays the removal of servers after a store outage. During an
// outage, registrations expire although their servers are alive, and removing all
// of these servers at once would leave a service without servers.
//
// The store may have been out of reach for this gateway only, and what is missing may
// have left. So a server that is missing in the first read after an outage is removed
// before the bounds apply to this gateway again, StablePeriod after the outage. One that
// is still listed in that read, and not in a later one, is removed within the drain bound.
type pendingRemovals struct {
	// until is the end of the grace period after an outage.
	until time.Time
	// lastRead is when the last successful read was sent.
	lastRead time.Time
	// missing holds the servers that are missing.
	missing map[string]missingServer
}

// missingServer is a server that will be removed.
type missingServer struct {
	removeAt time.Time
	// deleted means that its registration was deleted, and isn't only missing or invalid.
	deleted bool
}

// apply applies the changes of one read.
func (p *pendingRemovals) apply(
	s *fleet.Servers, changes []fleet.ServerChange, u topicUpdate, bounds *platform.Bounds, log zerolog.Logger,
) {
	now := u.received
	removeAt := p.removalTime(u, bounds)
	p.lastRead = u.sent
	if u.startedOver {
		s.ForgetOffsets()
	}
	if u.snapshot {
		changes = append(changes, s.Missing(changes, now)...)
	}
	for _, c := range changes {
		if s.Outdated(c) {
			log.Info().Str("server", c.ID).Int64("offset", c.Offset).Int64("sequence", c.Server.Sequence).
				Msg("older registration of a backend server; ignoring it")
			continue
		}
		delete(p.missing, c.ID)
		before, known := s.Get(c.ID)
		switch {
		case c.Server == nil && known && now.Before(removeAt):
			p.markMissing(c, removeAt)
			log.Info().Str("server", c.ID).Dur("grace_ms", removeAt.Sub(now)).
				Msg("backend server missing after an outage of the store")
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

// removalTime returns when servers are removed that are missing in a read. It is in the past
// if that is at once.
func (p *pendingRemovals) removalTime(u topicUpdate, bounds *platform.Bounds) time.Time {
	if u.recovered && p.mayHaveExpired(u, bounds) {
		p.until = earlier(u.received.Add(recoveryGrace), p.disturbed(u).Add(bounds.StablePeriod-sendMargin))
		return p.until
	}
	return earlier(p.until, p.lastRead.Add(bounds.DrainTime-sendMargin))
}

// mayHaveExpired reports whether registrations of live servers may have been lost since the
// last read.
func (p *pendingRemovals) mayHaveExpired(u topicUpdate, bounds *platform.Bounds) bool {
	return u.startedOver || u.received.Sub(p.lastRead) >= minExpiryHeartbeats*bounds.HeartbeatInterval
}

// disturbed returns the latest time at which the store is known to have been out of reach. If
// no call has failed, the store was away at some time after the last read.
func (p *pendingRemovals) disturbed(u topicUpdate) time.Time {
	if u.lastFailure.IsZero() {
		return p.lastRead
	}
	return u.lastFailure
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *pendingRemovals) markMissing(c fleet.ServerChange, removeAt time.Time) {
	if p.missing == nil {
		p.missing = make(map[string]missingServer)
	}
	p.missing[c.ID] = missingServer{removeAt: removeAt, deleted: c.Deleted}
}

// removeMissing removes the servers that are still missing after their delay.
func (p *pendingRemovals) removeMissing(s *fleet.Servers, now time.Time, log zerolog.Logger) {
	for _, id := range slices.Sorted(maps.Keys(p.missing)) {
		m := p.missing[id]
		if now.Before(m.removeAt) {
			continue
		}
		delete(p.missing, id)
		s.Apply([]fleet.ServerChange{{ID: id, Deleted: m.deleted, ReadAt: now}})
		log.Info().Str("server", id).Msg("backend server gone")
	}
}

// untilNext returns the time until a missing server has to be removed, or limit if that
// is later.
func (p *pendingRemovals) untilNext(now time.Time, limit time.Duration) time.Duration {
	for _, m := range p.missing {
		limit = min(limit, max(m.removeAt.Sub(now), 0))
	}
	return limit
}
