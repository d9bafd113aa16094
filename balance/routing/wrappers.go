package routing

import (
	"slices"
	"time"
)

// AffinityConfig holds the parameters of PrefixAffinity.
type AffinityConfig struct {
	// Choices is the number of preferred servers per prefix.
	PreferredServers int
	// LoadBound is the number of requests in flight, relative to the mean over all
	// servers with a recent report, up to which a preferred server is picked.
	LoadBound float64
}

// DefaultAffinityConfig allows a preferred server 25% more load than the mean.
func DefaultAffinityConfig() AffinityConfig {
	return AffinityConfig{PreferredServers: 2, LoadBound: 1.25}
}

// PrefixAffinity sends requests with the same prompt prefix to the same few
// servers, by rendezvous hashing with bounded loads: a preferred server is picked
// only if a recent report shows that its load is within the bound. The bound is on
// the requests in flight, because the time to first token rises only when a server
// is already full, and then stays high for the length of a stream. Cache events of
// the engines are not used, since they are delayed and incomplete.
type PrefixAffinity struct {
	Config AffinityConfig
	Inner  Policy
	Loads  *LoadTable
}

// Name implements Policy.
func (p *PrefixAffinity) Name() string { return p.Inner.Name() + "+prefix" }

// Observe implements Policy.
func (p *PrefixAffinity) Observe(now time.Time, e Event) { p.Inner.Observe(now, e) }

// Probes implements Policy. The preferred servers replace some of the random ones,
// so the number of probes stays the same. One probe always goes to a random server:
// otherwise, when probes are scarce, all entries would know only the servers of
// popular prefixes and send all requests there.
func (p *PrefixAffinity) Probes(r Request) []string {
	ids := p.Inner.Probes(r)
	if r.Prefix == 0 {
		return ids
	}
	for k, i := range topChoices(r.Prefix, r.Candidates, p.Config.PreferredServers) {
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
	for _, i := range topChoices(r.Prefix, r.Candidates, p.Config.PreferredServers) {
		load, ok := p.Loads.Report(r.Now, r.Candidates[i].ID)
		if ok && float64(load.InFlight) <= p.Config.LoadBound*mean {
			return i
		}
	}
	return p.Inner.Pick(r)
}

// DomainPreference prefers the candidates in the entry's own failure domain as long
// as their latency exceeds that of the best candidate by at most CrossDomainCost.
type DomainPreference struct {
	Domain string
	// CrossDomainCost is the additional latency of a server in another failure
	// domain: one round trip.
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
	best := p.Inner.Pick(r)
	if best < 0 || r.Candidates[best].FailureDomain == p.Domain {
		return best
	}
	localRequest, indices := p.localCandidates(r)
	if len(indices) == 0 {
		return best
	}
	local := indices[p.Inner.Pick(localRequest)]
	localLoad, localKnown := p.Loads.Report(r.Now, r.Candidates[local].ID)
	bestLoad, bestKnown := p.Loads.Report(r.Now, r.Candidates[best].ID)
	if localKnown && bestKnown && localLoad.Latency > bestLoad.Latency+p.CrossDomainCost {
		return best
	}
	return local
}

// localCandidates returns the request with only the candidates in the entry's
// failure domain, and the index of each of them among all candidates.
func (p *DomainPreference) localCandidates(r Request) (Request, []int) {
	var indices []int
	local := r
	local.Candidates = nil
	for i, c := range r.Candidates {
		if c.FailureDomain == p.Domain {
			local.Candidates = append(local.Candidates, c)
			indices = append(indices, i)
		}
	}
	return local, indices
}
