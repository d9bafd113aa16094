package gateway

import (
	"time"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/config/fleet"
)

// setEjected sets the servers that are left out because they fail. The caller holds the
// mutex.
func (s *service) setEjected(list map[string]fleet.Server) {
	s.ejected = make(map[string]bool, len(list))
	ejected := make([]placement.Server, 0, len(list))
	for id, l := range list {
		s.ejected[id] = true
		ejected = append(ejected, s.placementServer(l))
	}
	s.scheduler.SetEjected(ejected)
}

// refreshEjections begins and ends ejections that are due. The list of the servers isn't read
// while the store is away, and an ejection must not last until it returns. The caller holds
// the mutex.
func (s *service) refreshEjections(now time.Time) {
	for _, l := range s.listed {
		if s.outliers.Ejected(now, l.ID) != s.ejected[l.ID] {
			s.applyServers(now, s.listed)
			return
		}
	}
}
