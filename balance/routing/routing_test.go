package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/balance/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(seed uint64, n int) routing.Request {
	r := routing.Request{Now: start, Rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		r.Candidates = append(r.Candidates, routing.Candidate{
			ID: fmt.Sprintf("s%03d", i), FailureDomain: string(rune('a' + i%3)),
		})
	}
	return r
}

func policies(loads *routing.LoadTable) []routing.Policy {
	probes := routing.NewProbeBased(routing.DefaultProbeConfig(), loads)
	affinity := &routing.PrefixAffinity{Config: routing.DefaultAffinityConfig(), Inner: probes, Loads: loads}
	return []routing.Policy{
		&routing.RoundRobin{},
		&routing.LeastReported{Loads: loads},
		&routing.PowerOfTwo{Loads: loads},
		probes,
		affinity,
		&routing.DomainPreference{Domain: "a", CrossDomainCost: time.Millisecond, Inner: affinity, Loads: loads},
	}
}

// Every policy must pick one of the candidates if there are any, for any number of
// candidates and any order of events.
func TestPoliciesPickCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for _, p := range policies(routing.NewLoadTable(time.Second)) {
			r := request(seed, 0)
			for range 50 {
				r.Candidates = request(seed, r.Rand.IntN(5)).Candidates
				r.Prefix = uint64(r.Rand.IntN(3))
				r.Now = r.Now.Add(time.Duration(r.Rand.IntN(400)) * time.Millisecond)
				for _, id := range p.Probes(r) {
					p.Observe(r.Now, routing.Event{
						Kind: routing.Probed, Server: id, Load: routing.Load{InFlight: r.Rand.IntN(9)},
					})
				}
				i := p.Pick(r)
				if len(r.Candidates) == 0 {
					require.Equal(t, -1, i, p.Name())
					continue
				}
				require.GreaterOrEqual(t, i, 0, p.Name())
				require.Less(t, i, len(r.Candidates), p.Name())
				kind := routing.EventKind(r.Rand.IntN(5))
				p.Observe(r.Now, routing.Event{Kind: kind, Server: r.Candidates[i].ID})
			}
		}
	})
}

func observeProbe(p routing.Policy, id string, inFlight int, latency time.Duration) {
	load := routing.Load{InFlight: inFlight, Latency: latency}
	p.Observe(start, routing.Event{Kind: routing.Probed, Server: id, Load: load})
}

// Servers must not be picked by latency alone, which would send requests to a
// server that is about to be overloaded, nor by results that are used up or belong
// to removed servers.
func TestProbeBasedPrefersColdThenLowLatency(t *testing.T) {
	p := routing.NewProbeBased(routing.DefaultProbeConfig(), routing.NewLoadTable(time.Second))
	r := request(1, 8)
	observeProbe(p, "s000", 50, time.Millisecond)
	observeProbe(p, "s001", 5, 30*time.Millisecond)
	observeProbe(p, "s002", 5, 20*time.Millisecond)
	for _, c := range r.Candidates[3:] {
		observeProbe(p, c.ID, 4, 40*time.Millisecond)
	}
	require.Equal(t, 2, p.Pick(r))
	for range 2 {
		p.Observe(start, routing.Event{Kind: routing.Sent, Server: "s002"})
	}
	require.NotEqual(t, 2, p.Pick(r))
	observeProbe(p, "s002", 0, time.Microsecond)
	require.Equal(t, 2, p.Pick(r))
	p.Observe(start, routing.Event{Kind: routing.Removed, Server: "s002"})
	require.NotEqual(t, 2, p.Pick(r))
}

// A key must keep its order of sidecars when another sidecar joins or leaves.
func TestPreferredOrderIsStable(t *testing.T) {
	all := request(1, 12).Candidates
	first := map[int]int{}
	for k := range 3000 {
		key := fmt.Sprint(k)
		order := routing.PreferredOrder(key, all)
		first[order[0]]++
		var kept []int
		for _, i := range order {
			if i != 11 {
				kept = append(kept, i)
			}
		}
		require.Equal(t, kept, routing.PreferredOrder(key, all[:11]))
	}
	for i := range all {
		require.InDelta(t, 250, first[i], 80)
	}
}

// Prefix affinity must not overload the preferred server, and domain preference
// must not keep to a slow local server.
func TestWrappersYieldUnderLoad(t *testing.T) {
	loads := routing.NewLoadTable(time.Second)
	inner := routing.NewProbeBased(routing.DefaultProbeConfig(), loads)
	affinity := &routing.PrefixAffinity{Config: routing.DefaultAffinityConfig(), Inner: inner, Loads: loads}
	r := request(1, 12)
	r.Prefix = routing.HashPrefix("mill", []byte("Draft a label"), 256)
	for _, c := range r.Candidates {
		observeProbe(affinity, c.ID, 3, 50*time.Millisecond)
	}
	preferred := affinity.Pick(r)
	require.Equal(t, preferred, affinity.Pick(r))
	observeProbe(affinity, r.Candidates[preferred].ID, 30, time.Second)
	require.NotEqual(t, preferred, affinity.Pick(r))

	domain := &routing.DomainPreference{Domain: "b", CrossDomainCost: 2 * time.Millisecond, Inner: inner, Loads: loads}
	r.Prefix = 0
	observeProbe(domain, "s000", 3, 49*time.Millisecond)
	require.Equal(t, "b", r.Candidates[domain.Pick(r)].FailureDomain)
	observeProbe(domain, "s000", 3, 40*time.Millisecond)
	require.Equal(t, "a", r.Candidates[domain.Pick(r)].FailureDomain)
}

// Probes must stay within the budget for control traffic, and no probe result may
// be used more than MaxUses times.
func TestProbeLimits(t *testing.T) {
	config := routing.DefaultProbeConfig()
	p := routing.NewProbeBased(config, routing.NewLoadTable(time.Second))
	r := request(1, 30)
	probes := 0
	for k := range 1000 {
		r.Now = start.Add(time.Duration(k) * 10 * time.Millisecond)
		probes += len(p.Probes(r))
	}
	require.LessOrEqual(t, float64(probes), config.MaxPerSecond*(10+1))
	config.MinPoolSize = 1
	p = routing.NewProbeBased(config, routing.NewLoadTable(time.Second))
	r = request(1, 1)
	observeProbe(p, "s000", 1, time.Millisecond)
	for k := range config.MaxUses + 1 {
		require.Equal(t, min(1, config.MaxUses-k), p.PoolLen(start))
		p.Observe(start, routing.Event{Kind: routing.Sent, Server: "s000"})
	}
}
