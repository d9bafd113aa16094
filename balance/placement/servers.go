package placement

import (
	"maps"
	"slices"
	"time"
)

// Server is a backend server that may get requests.
type Server struct {
	ID            string
	FailureDomain string
	// Region is the region of the failure domain, or empty if it isn't known.
	Region string
	Slots  int
	// MemoryTokens is the number of tokens that the server holds over all its requests, or 0
	// if that isn't known. A server with more crashes.
	MemoryTokens int
	// Group is the rank group of the server, or empty. The servers of a group
	// serve only while all of them work.
	Group string
	// Incarnation identifies a run of the server at an address. What was observed of
	// another incarnation doesn't count.
	Incarnation string
}

type server struct {
	Server
	// ownInFlight counts the requests of this gateway, peerInFlight those of all
	// other gateways.
	ownInFlight  int
	peerInFlight int
	// ownLarge holds the tokens of each large request of this gateway, and gatewayRank the
	// place of the gateway in the order in which the gateways use the memory for them.
	ownLarge    []int
	gatewayRank int
	// slowdown is the smoothed duration of a request relative to the usual one;
	// slowdownAt is when it was last measured.
	slowdown   float64
	slowdownAt time.Time
	// Until cooldownUntil the server gets requests only if all others are in
	// cooldown or full. Until avoidUntil it gets requests only if there is no
	// other server. Until bannedUntil it gets none.
	cooldownUntil time.Time
	avoidUntil    time.Time
	bannedUntil   time.Time
	listed        bool
	// leaving means that the server has stated that it is leaving, and pausedUntil until
	// when it has stated to want no requests.
	leaving     bool
	pausedUntil time.Time
	pace        pace
	// evacuated means that the failure domain of the server is evacuated.
	evacuated bool
	// coldUntil is until when the server is known to be cold.
	coldUntil time.Time
}

func (c *server) inFlight() int { return c.ownInFlight + c.peerInFlight }

// SetServers replaces the list of servers. Requests on a server that is no longer
// listed stay counted until they finish.
func (s *Scheduler[T]) SetServers(list []Server) {
	for _, srv := range s.servers {
		srv.listed = false
	}
	s.serverIDs = s.serverIDs[:0]
	for _, l := range list {
		srv, ok := s.servers[l.ID]
		if !ok {
			srv = &server{slowdown: 1}
			s.servers[l.ID] = srv
		}
		if srv.Incarnation != l.Incarnation {
			srv.forget()
		}
		srv.Server, srv.listed = l, true
		srv.evacuated = slices.Contains(s.evacuated, l.FailureDomain)
		s.serverIDs = append(s.serverIDs, l.ID)
	}
	for id, srv := range s.servers {
		if s.removable(srv) {
			delete(s.servers, id)
		}
	}
	s.countBatches()
	s.updateSmall()
	maps.DeleteFunc(s.batchLimits, func(key string, _ float64) bool { return s.batches[key].servers == 0 })
	maps.DeleteFunc(s.ownLoads, func(key string, _ *ownLoad) bool { return s.batches[key].servers == 0 })
}

// removable reports whether a server that is no longer listed may be forgotten. It may be
// listed again at once, and its pace has to hold then as well.
func (s *Scheduler[T]) removable(c *server) bool {
	return !c.listed && c.ownInFlight == 0 && !c.pace.next.After(s.lastNow)
}

// forget drops what was observed of another incarnation of the server. Its requests in
// flight still count.
func (c *server) forget() {
	c.slowdown, c.slowdownAt = 1, time.Time{}
	c.cooldownUntil, c.avoidUntil, c.bannedUntil = time.Time{}, time.Time{}, time.Time{}
	c.leaving, c.pausedUntil = false, time.Time{}
	c.coldUntil = time.Time{}
}
