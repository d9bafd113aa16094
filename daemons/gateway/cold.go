package gateway

import (
	"time"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/balance/requestlimit"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
)

// coldServersGauge is the gauge of the servers that are known to be cold.
const coldServersGauge = "cold_servers"

// setColdLimit sets how many requests a cold server of the service takes, and how long a
// server is cold after its start.
func (s *service) setColdLimit(now time.Time, c fleet.ColdStart, b *platform.Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldDuration = c.Duration
	s.requestLimits.SetColdLimit(requestlimit.ColdLimit{
		PerSecond: c.RequestsPerSecond, Overage: b.ColdOverage, Tolerance: b.ColdTolerance,
	})
	s.applyRequestLimits(now)
}

// recordColdServers records which servers of a list are cold: those that state so, and those
// that have started since the last list. former holds the incarnations in that list; it is
// nil for the first list, which doesn't tell when its servers started. The caller holds the
// mutex.
func (s *service) recordColdServers(now time.Time, list []fleet.Server, former map[string]string) {
	for _, l := range list {
		s.recordCold(now, l.ID, l.ColdUntil)
		if former != nil && former[l.ID] != s.incarnations[l.ID] {
			s.recordCold(now, l.ID, now.Add(s.coldDuration))
		}
	}
}

// recordCold records that a server is cold until the given time, and reports whether that was
// unknown before. The caller holds the mutex.
func (s *service) recordCold(now time.Time, server string, until time.Time) bool {
	begins := s.requestLimits.SetCold(now, loadshare.ServerKeyOf(server), until)
	if begins {
		s.coldServers[server] = true
		s.log.Info().Str("server", server).Dur("for_ms", until.Sub(now)).Msg("backend server is cold")
	}
	s.scheduler.SetCold(server, until)
	return begins
}

// endCold notes which servers are no longer cold. The caller holds the mutex.
func (s *service) endCold(now time.Time) {
	for server := range s.coldServers {
		if s.requestLimits.Cold(now, loadshare.ServerKeyOf(server)) {
			continue
		}
		delete(s.coldServers, server)
		s.log.Info().Str("server", server).Msg("backend server is no longer cold")
	}
}

// paceReason returns why a server has a pace, or nil if it states its limit itself. The caller
// holds the mutex.
func (s *service) paceReason(now time.Time, server loadshare.ServerKey) error {
	if s.requestLimits.ColdLimited(now, server) {
		return placement.ErrCold
	}
	return nil
}

// confirmSend reports whether a request may be sent now to the server that it was assigned
// to. It must be called right before the request is sent.
func (s *service) confirmSend(now time.Time, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.ConfirmSend(now, server)
}

// coldServers returns the number of servers of all services that are known to be cold.
func (s *serviceRegistry) coldServers() int {
	n := 0
	for _, svc := range s.all() {
		svc.mu.Lock()
		n += len(svc.coldServers)
		svc.mu.Unlock()
	}
	return n
}

// setColdLimitOf updates the limit of the cold servers of a service from the configuration.
func (s *serviceRegistry) setColdLimitOf(now time.Time, svc *service, state *ClusterState) {
	if index := state.Index(); index != nil {
		svc.setColdLimit(now, index.Config.Services[svc.name].Cold, s.bounds.Load())
	}
}
