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
	// Offset increases with each change.
	Offset int64
}

// Servers holds the registered backend servers. The zero value is empty.
type Servers struct {
	byID map[string]registration
}

type registration struct {
	Server
	offset int64
}

// Apply applies changes, which must be in the order in which they were made.
func (s *Servers) Apply(changes []ServerChange) {
	if s.byID == nil {
		s.byID = make(map[string]registration, len(changes))
	}
	for _, c := range changes {
		if c.Server == nil {
			delete(s.byID, c.ID)
			continue
		}
		server := *c.Server
		if old, ok := s.byID[c.ID]; ok && old.offset == c.Offset {
			// The same record was read again. The server has become warm meanwhile.
			server.ColdUntil = old.ColdUntil
		}
		s.byID[c.ID] = registration{Server: server, offset: c.Offset}
	}
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
		newest[e.Address] = max(newest[e.Address], e.offset)
	}
	return newest
}
