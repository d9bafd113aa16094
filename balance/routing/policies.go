package routing

import (
	"math"
	"time"
)

// RoundRobin picks each candidate in turn.
type RoundRobin struct{ next int }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round_robin" }

// Pick implements Policy.
func (p *RoundRobin) Pick(r Request) int {
	if len(r.Candidates) == 0 {
		return -1
	}
	p.next++
	return p.next % len(r.Candidates)
}

// Observe implements Policy.
func (*RoundRobin) Observe(time.Time, Event) {}

// Probes implements Policy.
func (*RoundRobin) Probes(Request) []string { return nil }

// LeastReported picks the candidate with the fewest requests in flight according
// to its last report. Servers without a recent report count as idle, so that they
// get a request and report their load in its response.
type LeastReported struct{ Loads *LoadTable }

// Name implements Policy.
func (*LeastReported) Name() string { return "least_reported" }

// Pick implements Policy.
func (p *LeastReported) Pick(r Request) int {
	best, least, ties := -1, math.MaxInt, 0
	for i, c := range r.Candidates {
		load, _ := p.Loads.Report(r.Now, c.ID)
		switch {
		case load.InFlight < least:
			best, least, ties = i, load.InFlight, 1
		case load.InFlight == least:
			ties++
			if r.Rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// Observe implements Policy.
func (p *LeastReported) Observe(now time.Time, e Event) { p.Loads.Observe(now, e) }

// Probes implements Policy.
func (*LeastReported) Probes(Request) []string { return nil }

// PowerOfTwo compares two random candidates and picks the one to which this entry
// has fewer requests in flight.
type PowerOfTwo struct{ Loads *LoadTable }

// Name implements Policy.
func (*PowerOfTwo) Name() string { return "power_of_two" }

// Pick implements Policy.
func (p *PowerOfTwo) Pick(r Request) int {
	best := -1
	for _, i := range sample(r, 2) {
		if best < 0 || p.Loads.InFlight(r.Candidates[i].ID) < p.Loads.InFlight(r.Candidates[best].ID) {
			best = i
		}
	}
	return best
}

// Observe implements Policy.
func (p *PowerOfTwo) Observe(now time.Time, e Event) { p.Loads.Observe(now, e) }

// Probes implements Policy.
func (*PowerOfTwo) Probes(Request) []string { return nil }
