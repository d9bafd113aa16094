package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/filbertmux/filbertmux/invariant"
	"github.com/filbertmux/filbertmux/platform"
)

// Status is the JSON body of /statusz.
type Status struct {
	Role          string          `json:"role"`
	Instance      string          `json:"instance"`
	Incarnation   string          `json:"incarnation"`
	Region        string          `json:"region"`
	FailureDomain string          `json:"failure_domain"`
	Office        string          `json:"office,omitempty"`
	TableOffset   platform.Offset `json:"table_offset"`
	InFlight      int             `json:"in_flight"`
	Leaving       bool            `json:"leaving"`
	Violations    int64           `json:"invariant_violations"`
}

func (s *Server) status() Status {
	return Status{
		Role:          string(platform.RoleEntry),
		Instance:      s.settings.Instance,
		Incarnation:   string(s.incarnation),
		Region:        s.settings.Region,
		FailureDomain: s.settings.FailureDomain,
		Office:        s.settings.Office,
		TableOffset:   s.table.View().Offset(),
		InFlight:      s.gate.InFlight(),
		Leaving:       s.gate.IsLeaving(),
		Violations:    invariant.Violations(),
	}
}

func (s *Server) serveStatus(c *gin.Context) { c.JSON(http.StatusOK, s.status()) }

// serveReady tells the platform's balancer whether to send requests here.
func (s *Server) serveReady(c *gin.Context) {
	switch {
	case s.gate.IsLeaving():
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
