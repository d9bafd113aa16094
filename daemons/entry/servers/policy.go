package servers

import (
	"time"

	"github.com/filbertmux/filbertmux/balance/routing"
)

const (
	// DefaultPolicy probes a few servers per request, sends requests with the same
	// prompt prefix to the same server and prefers the failure domain of the entry.
	DefaultPolicy = "probe_based+prefix+domain"
	// crossDomainLatency is the round-trip time between two failure domains: twice
	// the one-way latency of 0.5 ms on the design page.
	crossDomainLatency = time.Millisecond
	// maxReportAge is the age above which a load report is ignored. With 0.5 s
	// prefix affinity had reports of fewer servers, and 71% instead of 76% of the
	// requests hit a cached prefix (decision note 0007).
	maxReportAge = 5 * time.Second
)

// newPolicy returns the policy with a name that the setting routing-policy allows.
func newPolicy(name, failureDomain string) routing.Policy {
	loads := routing.NewLoadTable(maxReportAge)
	preferLocal := func(inner routing.Policy) routing.Policy {
		return &routing.DomainPreference{Domain: failureDomain, CrossDomainCost: crossDomainLatency, Inner: inner, Loads: loads}
	}
	switch name {
	case "round_robin":
		return &routing.RoundRobin{}
	case "least_reported+domain":
		return preferLocal(&routing.LeastReported{Loads: loads})
	case "power_of_two+domain":
		return preferLocal(&routing.PowerOfTwo{Loads: loads})
	case "probe_based+domain":
		return preferLocal(routing.NewProbeBased(routing.DefaultProbeConfig(), loads))
	default:
		return preferLocal(&routing.PrefixAffinity{
			Config: routing.DefaultAffinityConfig(),
			Inner:  routing.NewProbeBased(routing.DefaultProbeConfig(), loads),
			Loads:  loads,
		})
	}
}
