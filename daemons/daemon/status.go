package daemon

import (
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/invariant"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/serve/drain"
)

// Status is the part of the JSON body of /statusz that all daemons have.
type Status struct {
	Role          string       `json:"role"`
	Instance      string       `json:"instance"`
	Incarnation   string       `json:"incarnation"`
	Region        string       `json:"region"`
	FailureDomain string       `json:"failure_domain"`
	TableOffset   infra.Offset `json:"table_offset"`
	InFlight      int          `json:"in_flight"`
	Leaving       bool         `json:"leaving"`
	Violations    int64        `json:"invariant_violations"`
}

// NewStatus returns the present status of this process.
func NewStatus(role string, s settings.Common, incarnation Incarnation, offset infra.Offset, gate *drain.Gate) Status {
	return Status{
		Role:          role,
		Instance:      s.Instance,
		Incarnation:   string(incarnation),
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		TableOffset:   offset,
		InFlight:      gate.InFlight(),
		Leaving:       gate.IsDraining(),
		Violations:    invariant.Violations(),
	}
}
