// Package routing picks the backend server for a request.
//
// A Policy updates its state from events in Observe and picks a server in Pick.
// Wrappers add prefix affinity and failure-domain preference to any policy.
//
// The package is deterministic: time and random source are passed in, and it
// has no goroutines and no I/O. A policy and its LoadTable aren't safe for
// concurrent use.
package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate is a backend server that may get the request.
type Candidate struct {
	ID            string
	FailureDomain string
}

// Request is the input of a policy for one request.
type Request struct {
	Now  time.Time
	Rand *rand.Rand
	// Prefix is the hash of the prompt prefix; 0 means that there is none.
	Prefix uint64
	// Candidates must be sorted by ID.
	Candidates []Candidate
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Sent means that a request was sent to the server.
	Sent EventKind = iota
	// Finished means that a request to the server ended, with or without success.
	Finished
	// Reported carries the load from a response or heartbeat.
	Reported
	// Probed carries the load from a probe response.
	Probed
	// Removed means that the server is no longer a candidate.
	Removed
)

// Load is the load that a backend server reports.
type Load struct {
	InFlight int
	Queued   int
	// Latency is the estimated time to first token of a new request.
	Latency time.Duration
}

// Event updates the state of a policy.
type Event struct {
	Kind   EventKind
	Server string
	// Load is set for Reported and Probed.
	Load Load
}

// Policy picks backend servers.
type Policy interface {
	// Name is the name of the policy in settings and metrics.
	Name() string
	// Pick returns the index of the picked candidate, or -1 if there are no
	// candidates. It doesn't count the request; the caller reports it as Sent.
	Pick(r Request) int
	// Observe updates the state from an event. Events of unknown servers are
	// allowed.
	Observe(now time.Time, e Event)
	// Probes returns the IDs of the servers to probe for this request. The results
	// are passed to Observe as Probed events. Pick works without them, but picks
	// better with them, so the caller sends the probes and waits at most a few
	// milliseconds for the results before it calls Pick.
	Probes(r Request) []string
}

// sample returns the indices of k distinct random candidates, or of all candidates
// if there are fewer.
func sample(r Request, k int) []int {
	n := len(r.Candidates)
	k = min(k, n)
	chosen := make([]int, 0, k)
	// Floyd's algorithm needs only k random numbers for any n.
	for j := n - k; j < n; j++ {
		i := r.Rand.IntN(j + 1)
		for _, c := range chosen {
			if c == i {
				i = j
				break
			}
		}
		chosen = append(chosen, i)
	}
	return chosen
}
