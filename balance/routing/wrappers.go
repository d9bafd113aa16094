package routing

import (
	"slices"
	"time"
)

// AffinityConfig holds the parameters of PrefixAffinity.
type AffinityConfig struct {
	// Choices is the number of rendezvous choices per prefix.
	Choices int
	// Bound is the number of requests in flight, relative to the mean of the
	// known servers, up to which a choice is taken.
	LoadBound float64
}

// DefaultAffinityConfig allows a choice 25% more load than the mean.
func DefaultAffinityConfig() AffinityConfig {
	return AffinityConfig{Choices: 2, LoadBound: 1.25}
}

// PrefixAffinity sends requests with the same prompt prefix to the same few
// servers, by bounded-load rendezvous hashing: a choice is taken only if a
// recent report shows that its load is within the bound. The bound is on the
// requests in flight, because the latency to the first token rises only when a
// server is already full, and then stays high for the length of a stream.
// Cache events of the engines are not needed; they come late and with gaps.
type PrefixAffinity struct {
	Config AffinityConfig
	Inner  Policy
	Loads  *LoadTable
}

// Name implements Policy.
func (p *PrefixAffinity) Name() string { return p.Inner.Name() + "+prefix" }

// Observe implements Policy.
func (p *PrefixAffinity) Observe(now time.Time, e Event) { p.Inner.Observe(now, e) }

// Probes implements Policy. The first choices are probed in place of some of
// the random servers, so the number of probes stays the same. One probe always
// goes to a random server: otherwise, where probes are scarce, all entries know
// only the servers of popular prefixes and send everything there.
func (p *PrefixAffinity) Probes(r Request) []string {
	ids := p.Inner.Probes(r)
	if r.Prefix == 0 {
		return ids
	}
	for k, i := range firstChoices(r.Prefix, r.Candidates, p.Config.Choices) {
		id := r.Candidates[i].ID
		if k < len(ids)-1 && !slices.Contains(ids, id) {
			ids[k] = id
		}
	}
	return ids
}

// Pick implements Policy.
func (p *PrefixAffinity) Pick(r Request) int {
	mean, known := p.Loads.MeanInFlight(r.Now)
	if r.Prefix == 0 || !known {
		return p.Inner.Pick(r)
	}
	for _, i := range firstChoices(r.Prefix, r.Candidates, p.Config.Choices) {
		load, ok := p.Loads.Report(r.Now, r.Candidates[i].ID)
		if ok && float64(load.InFlight) <= p.Config.LoadBound*mean {
			return i
		}
	}
	return p.Inner.Pick(r)
}

// DomainPreference prefers the candidates in the entry's own failure domain
// until their latency exceeds that of the others by the cross-domain cost.
type DomainPreference struct {
	Domain string
	// CrossCost is the added cost of a server in another failure domain: one
	// round trip.
	CrossDomainCost time.Duration
	Inner           Policy
	Loads           *LoadTable
}

// Name implements Policy.
func (p *DomainPreference) Name() string { return p.Inner.Name() + "+domain" }

// Observe implements Policy.
func (p *DomainPreference) Observe(now time.Time, e Event) { p.Inner.Observe(now, e) }

// Probes implements Policy.
func (p *DomainPreference) Probes(r Request) []string { return p.Inner.Probes(r) }

// Pick implements Policy.
func (p *DomainPreference) Pick(r Request) int {
	all := p.Inner.Pick(r)
	if all < 0 || r.Candidates[all].FailureDomain == p.Domain {
		return all
	}
	local, index := p.local(r)
	if len(index) == 0 {
		return all
	}
	near := index[p.Inner.Pick(local)]
	nearLoad, nearKnown := p.Loads.Report(r.Now, r.Candidates[near].ID)
	farLoad, farKnown := p.Loads.Report(r.Now, r.Candidates[all].ID)
	if nearKnown && farKnown && nearLoad.Latency > farLoad.Latency+p.CrossDomainCost {
		return all
	}
	return near
}

// local returns the request with the candidates of the own failure domain, and
// for each of them its index among all candidates.
func (p *DomainPreference) local(r Request) (Request, []int) {
	var index []int
	local := r
	local.Candidates = nil
	for i, c := range r.Candidates {
		if c.FailureDomain == p.Domain {
			local.Candidates = append(local.Candidates, c)
			index = append(index, i)
		}
	}
	return local, index
}
