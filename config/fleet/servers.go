package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Server is a backend server as it registered itself.
type Server struct {
	// ID changes with most restarts of the server.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// StartedUnixMs is the start time of the process in Unix milliseconds, or 0. A
	// server that restarts with the same ID has lost all its state.
	StartedUnixMs int64
	// Sequence rises with each registration of a process. It is 0 if the registration has
	// none.
	Sequence int64
	// ColdRemaining is how much longer the server is cold, as of its registration.
	// ColdUntil is when that ends on the clock of this process. It is zero unless
	// ColdRemaining is above 0.
	ColdRemaining time.Duration
	ColdUntil     time.Time
	// Group is the rank group of the server, or empty. Rank is the number of the
	// server in the group, and GroupSize the number of ranks.
	Group     string
	Rank      int
	GroupSize int
}

// ServerChange is a change of the registration of a backend server.
type ServerChange struct {
	ID string
	// Server is nil if the registration was removed or is invalid.
	Server *Server
	// Deleted means that the registration was deleted, and isn't only missing or invalid.
	Deleted bool
	// Offset increases with each change.
	Offset int64
	// ReadAt is when the registration was read.
	ReadAt time.Time
}

// Servers holds the registered backend servers. The zero value is empty.
//
// A registration may be stored after a later one of the same server, because the store
// executes a write late or has come back from an older copy. The later one counts.
type Servers struct {
	byID map[string]registration
	// departed holds the servers that were removed lately.
	departed departures
}

type registration struct {
	Server
	offset int64
	readAt time.Time
}

// Apply applies changes in the order in which they were read. Outdated ones have no effect.
func (s *Servers) Apply(changes []ServerChange) {
	if s.byID == nil {
		s.byID = make(map[string]registration, len(changes))
	}
	for _, c := range changes {
		old, known := s.byID[c.ID]
		if c.Server == nil {
			if known {
				s.departed.add(c, old.Server)
			}
			delete(s.byID, c.ID)
			continue
		}
		if s.Outdated(c) {
			continue
		}
		server := *c.Server
		if known && old.offset == c.Offset {
			// The same record was read again. The server has become warm meanwhile.
			server.ColdUntil = old.ColdUntil
		}
		s.departed.remove(c.ID)
		s.byID[c.ID] = registration{Server: server, offset: c.Offset, readAt: c.ReadAt}
	}
}

// Outdated reports whether a change is an older registration of a server than the last one
// that was applied, or than its removal.
func (s *Servers) Outdated(c ServerChange) bool {
	if c.Server == nil {
		return false
	}
	if old, ok := s.byID[c.ID]; ok {
		return old.supersedes(c)
	}
	return s.departed.supersede(c)
}

// supersedes reports whether a registration that was read later is an older one.
func (r registration) supersedes(c ServerChange) bool {
	if r.StartedUnixMs != c.Server.StartedUnixMs && c.ReadAt.Sub(r.readAt) > lateWritePeriod {
		// The wall clock of the server was set back before it restarted.
		return false
	}
	return c.Server.registeredBefore(r.Server)
}

// ForgetOffsets makes any record newer than those that were applied, because the store has
// come back from an older copy and gives its offsets out again.
func (s *Servers) ForgetOffsets() {
	for id, r := range s.byID {
		r.offset = -1
		s.byID[id] = r
	}
}

// Missing returns removals for the servers that are not in list, which holds all
// registrations that were read at readAt.
func (s *Servers) Missing(list []ServerChange, readAt time.Time) []ServerChange {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
	}
	var removals []ServerChange
	for _, id := range s.IDs() {
		if !listed[id] {
			removals = append(removals, ServerChange{ID: id, ReadAt: readAt})
		}
	}
	return removals
}

// Len returns the number of servers.
func (s *Servers) Len() int { return len(s.byID) }

// IDs returns the sorted IDs of all servers.
func (s *Servers) IDs() []string { return slices.Sorted(maps.Keys(s.byID)) }

// Get returns the server with an ID.
func (s *Servers) Get(id string) (Server, bool) {
	e, ok := s.byID[id]
	return e.Server, ok
}

// Usable returns the servers of a service that take new requests, sorted by ID. The
// registration of a crashed server stays for seconds, while another server may have
// started at its address. Of the servers with the same address, only the one that
// registered last is usable.
func (s *Servers) Usable(service string) []Server {
	newest := s.newestOffsets()
	var usable []Server
	for e := range maps.Values(s.byID) {
		if e.Service == service && !e.Draining && newest[e.Address] == e.offset {
			usable = append(usable, e.Server)
		}
	}
	slices.SortFunc(usable, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return usable
}

func (s *Servers) newestOffsets() map[string]int64 {
	newest := make(map[string]int64, len(s.byID))
	for e := range maps.Values(s.byID) {
		if offset, ok := newest[e.Address]; !ok || e.offset > offset {
			newest[e.Address] = e.offset
		}
	}
	return newest
}
