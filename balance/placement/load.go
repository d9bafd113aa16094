package placement

import (
	"time"
)

// SetPeerLoad sets the requests in flight of all other gateways on each server.
func (s *Scheduler[T]) SetPeerLoad(load func(id string) int) {
	for id, srv := range s.servers {
		srv.peerInFlight = load(id)
	}
	s.countBatches()
}

// SetPeerStaleness sets the sum of the ages of the other gateways' load reports.
func (s *Scheduler[T]) SetPeerStaleness(sum time.Duration) { s.peerStaleness = sum }

// VisitOwnLoad calls report for each server on which this gateway has requests in
// flight.
func (s *Scheduler[T]) VisitOwnLoad(report func(id string, inFlight int)) {
	for id, srv := range s.servers {
		if srv.ownInFlight > 0 {
			report(id, srv.ownInFlight)
		}
	}
}

// TotalLoad returns the requests in flight of all gateways and the number of
// slots, summed over all listed servers that aren't evacuated.
func (s *Scheduler[T]) TotalLoad() (inFlight, slots int) {
	for _, id := range s.serverIDs {
		if s.servers[id].evacuated {
			continue
		}
		inFlight += s.servers[id].inFlight()
		slots += s.servers[id].Slots
	}
	return inFlight, slots
}

// ServerLoad returns the requests in flight of all gateways on a server, and its
// number of slots.
func (s *Scheduler[T]) ServerLoad(id string) (inFlight, slots int) {
	srv, ok := s.servers[id]
	if !ok {
		return 0, 0
	}
	return srv.inFlight(), srv.Slots
}
