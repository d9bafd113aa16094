package servers

import (
	"time"

	"github.com/filbertmux/filbertmux/balance/routing"
)

const (
	// DefaultPolicy probes a few servers per request, keeps the requests of one
	// prompt prefix together and prefers the entry's own failure domain.
	DefaultPolicy = "probe_based+prefix+domain"
	// crossDomainCost is the round trip between two failure domains, from the
	// one-way latency of 0.5 ms on the design page.
	crossDomainCost = time.Millisecond
	// maxReportAge is the age from which a load report is not used. At 0.5 s
	// prefix affinity knew fewer servers: 71% prefix hits in place of 76% (decision
	// note 0007).
	maxReportAge = 5 * time.Second
)

// newPolicy returns the policy stack with a name that the settings admit.
func newPolicy(name, failureDomain string) routing.Policy {
	loads := routing.NewLoadTable(maxReportAge)
	near := func(inner routing.Policy) routing.Policy {
		return &routing.DomainPreference{Domain: failureDomain, CrossDomainCost: crossDomainCost, Inner: inner, Loads: loads}
	}
	switch name {
	case "round_robin":
		return &routing.RoundRobin{}
	case "least_reported+domain":
		return near(&routing.LeastReported{Loads: loads})
	case "power_of_two+domain":
		return near(&routing.PowerOfTwo{Loads: loads})
	case "probe_based+domain":
		return near(routing.NewProbeBased(routing.DefaultProbeConfig(), loads))
	default:
		return near(&routing.PrefixAffinity{
			Config: routing.DefaultAffinityConfig(),
			Inner:  routing.NewProbeBased(routing.DefaultProbeConfig(), loads),
			Loads:  loads,
		})
	}
}
