package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/daemon"
)

// Status is the JSON body of /statusz.
type Status struct {
	daemon.Status
	Office string `json:"office,omitempty"`
	// BackendServers is the number of servers of each service that get new work.
	BackendServers map[string]int `json:"backend_servers"`
}

func (s *Server) status() Status {
	common := s.settings.Common
	return Status{
		Status: daemon.NewStatus(string(infra.RoleEntry), common, s.incarnation, s.table.View().Offset(), s.gate),
		Office: common.Office, BackendServers: s.usableServers(),
	}
}

func (s *Server) usableServers() map[string]int {
	usable := make(map[string]int)
	for _, service := range s.table.View().Services() {
		usable[service.Name] = s.servers.UsableCount(service.Name)
	}
	return usable
}

func (s *Server) serveStatus(c *gin.Context) { c.JSON(http.StatusOK, s.status()) }

// serveReady tells the platform's balancer whether to send requests here.
func (s *Server) serveReady(c *gin.Context) {
	switch {
	case s.gate.IsDraining():
		c.String(http.StatusServiceUnavailable, "leaving\n")
	case !s.table.Loaded():
		c.String(http.StatusServiceUnavailable, "the table has not been read yet\n")
	case !s.servers.Ready():
		c.String(http.StatusServiceUnavailable, "the instance list has not been read yet\n")
	default:
		// The buckets of new limits start empty, so they start ahead of the
		// first request.
		s.quota.Refresh()
		c.String(http.StatusOK, "ready\n")
	}
}
