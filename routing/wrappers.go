package routing

import (
	"slices"
	"time"
)

// AffinityConfig holds the parameters of PrefixAffinity.
type AffinityConfig struct {
	// Choices is the number of rendezvous choices per prefix.
	Choices int
	// Bound is the load of a choice, relative to the inner policy's pick, up
	// to which the choice is taken.
	Bound float64
	// Slack is the latency that a cache hit saves: a choice may also be this
	// much slower than the inner policy's pick.
	Slack time.Duration
}

// DefaultAffinityConfig allows a choice 25% more load than the average pick.
func DefaultAffinityConfig() AffinityConfig {
	return AffinityConfig{Choices: 2, Bound: 1.25, Slack: 100 * time.Millisecond}
}

// PrefixAffinity sends requests with the same prompt prefix to the same few
// servers, by bounded-load rendezvous hashing: a choice is taken only while
// its load is within a bound of what the inner policy would pick. Cache events
// of the engines are not needed; they come late and with gaps.
type PrefixAffinity struct {
	Config AffinityConfig
	Inner  Policy
	Loads  *Loads
}

// Name implements Policy.
func (p *PrefixAffinity) Name() string { return p.Inner.Name() + "+prefix" }

// Observe implements Policy.
func (p *PrefixAffinity) Observe(now time.Time, e Event) { p.Inner.Observe(now, e) }

// Probes implements Policy. The first choices are probed in place of some of
// the random servers, so the number of probes stays the same.
func (p *PrefixAffinity) Probes(r Request) []string {
	ids := p.Inner.Probes(r)
	if r.Prefix == 0 {
		return ids
	}
	for k, i := range firstChoices(r.Prefix, r.Candidates, p.Config.Choices) {
		id := r.Candidates[i].ID
		if k < len(ids) && !slices.Contains(ids, id) {
			ids[k] = id
		}
	}
	return ids
}

// Pick implements Policy.
func (p *PrefixAffinity) Pick(r Request) int {
	inner := p.Inner.Pick(r)
	if r.Prefix == 0 || inner < 0 {
		return inner
	}
	limit, known := p.Loads.Report(r.Now, r.Candidates[inner].ID)
	for _, i := range firstChoices(r.Prefix, r.Candidates, p.Config.Choices) {
		if p.within(r, i, limit, known) {
			return i
		}
	}
	return inner
}

// within reports whether candidate i is within the bound. Without reports the
// bound applies to this entry's own counts.
func (p *PrefixAffinity) within(r Request, i int, limit Load, known bool) bool {
	load, ok := p.Loads.Report(r.Now, r.Candidates[i].ID)
	if !ok || !known {
		return p.withinOwn(r, i)
	}
	bound := time.Duration(p.Config.Bound * float64(limit.Latency))
	return load.Latency <= bound+p.Config.Slack
}

func (p *PrefixAffinity) withinOwn(r Request, i int) bool {
	total := 1
	for _, c := range r.Candidates {
		total += p.Loads.InFlight(c.ID)
	}
	bound := p.Config.Bound * float64(total) / float64(len(r.Candidates))
	return float64(p.Loads.InFlight(r.Candidates[i].ID)) < max(1, bound)
}

// DomainPreference prefers the candidates in the entry's own failure domain
// until their latency exceeds that of the others by the cross-domain cost.
type DomainPreference struct {
	Domain string
	// CrossCost is the added cost of a server in another failure domain: one
	// round trip.
	CrossCost time.Duration
	Inner     Policy
	Loads     *Loads
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
	if nearKnown && farKnown && nearLoad.Latency > farLoad.Latency+p.CrossCost {
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
