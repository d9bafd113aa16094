package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Server is a backend server as it registered itself.
type Server struct {
	// ID is new with most starts of the server.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it processes at once.
	Slots int
	// Draining servers take no new work.
	Draining bool
	// Born is the start of the process in Unix milliseconds, or 0. A server
	// that starts again under its id holds nothing of what it held before.
	StartedUnixMs int64
	// ColdFor is how much longer the server is slow after its start.
	WarmUpRemaining time.Duration
	// Group is the rank group of the server, or empty; Rank its number in the
	// group and GroupSize the number of ranks.
	Group     string
	Rank      int
	GroupSize int
}

// ServerChange is one change of the registered servers.
type ServerChange struct {
	ID string
	// Server is nil if the entry was removed or can't be used.
	Server *Server
	// Written orders the changes: later ones have higher numbers.
	Offset int64
}

// Servers is the list of registered backend servers. The zero value is empty.
type Servers struct {
	byID map[string]entry
}

type entry struct {
	Server
	written int64
}

// Apply takes changes in the order in which they were made.
func (s *Servers) Apply(changes []ServerChange) {
	if s.byID == nil {
		s.byID = make(map[string]entry, len(changes))
	}
	for _, c := range changes {
		if c.Server == nil {
			delete(s.byID, c.ID)
			continue
		}
		s.byID[c.ID] = entry{Server: *c.Server, written: c.Offset}
	}
}

// Len returns the number of servers.
func (s *Servers) Len() int { return len(s.byID) }

// IDs returns the ids of all servers in order.
func (s *Servers) IDs() []string { return slices.Sorted(maps.Keys(s.byID)) }

// Get returns a server by its id.
func (s *Servers) Get(id string) (Server, bool) {
	e, ok := s.byID[id]
	return e.Server, ok
}

// Usable returns the servers of a service that take new work, by id. Entries of
// servers that died stay for seconds, and another server may have started at the
// same address meanwhile: only the one that wrote last is there.
func (s *Servers) Usable(service string) []Server {
	newest := s.newestByAddress()
	var usable []Server
	for e := range maps.Values(s.byID) {
		if e.Service == service && !e.Draining && newest[e.Address] == e.written {
			usable = append(usable, e.Server)
		}
	}
	slices.SortFunc(usable, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return usable
}

func (s *Servers) newestByAddress() map[string]int64 {
	newest := make(map[string]int64, len(s.byID))
	for e := range maps.Values(s.byID) {
		newest[e.Address] = max(newest[e.Address], e.written)
	}
	return newest
}
