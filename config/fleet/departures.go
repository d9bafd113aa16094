package fleet

import "time"

const (
	// lateWritePeriod is longer than the store takes to execute a write late, and than the
	// time by which it may go back with an older copy.
	lateWritePeriod = time.Minute
	// maxDepartures bounds the memory.
	maxDepartures = 4096
)

// registeredBefore reports whether s is an older registration than other. Registrations
// without a start time or a number can't be compared.
func (s Server) registeredBefore(other Server) bool {
	if s.StartedUnixMs == 0 || other.StartedUnixMs == 0 {
		return false
	}
	if s.StartedUnixMs != other.StartedUnixMs {
		return s.StartedUnixMs < other.StartedUnixMs
	}
	return s.Sequence != 0 && s.Sequence < other.Sequence
}

// sameRegistration reports whether two registrations are known to be the same.
func (s Server) sameRegistration(other Server) bool {
	return s.StartedUnixMs != 0 && s.StartedUnixMs == other.StartedUnixMs && s.Sequence != 0 && s.Sequence == other.Sequence
}

// departures holds the last registrations of servers that were removed, for lateWritePeriod.
type departures struct {
	byID map[string]departure
}

type departure struct {
	last Server
	// deleted means that the registration was deleted, so that it doesn't count if it is
	// read again.
	deleted bool
	at      time.Time
}

// add records a removal. last is the last registration of the server.
func (d *departures) add(c ServerChange, last Server) {
	if d.byID == nil {
		d.byID = make(map[string]departure)
	}
	for id, old := range d.byID {
		if c.ReadAt.Sub(old.at) > lateWritePeriod {
			delete(d.byID, id)
		}
	}
	if len(d.byID) < maxDepartures {
		d.byID[c.ID] = departure{last: last, deleted: c.Deleted, at: c.ReadAt}
	}
}

func (d *departures) remove(id string) { delete(d.byID, id) }

// supersede reports whether a registration is outdated by the removal of its server.
func (d *departures) supersede(c ServerChange) bool {
	gone, ok := d.byID[c.ID]
	if !ok || c.ReadAt.Sub(gone.at) > lateWritePeriod {
		return false
	}
	return c.Server.registeredBefore(gone.last) || gone.deleted && c.Server.sameRegistration(gone.last)
}
