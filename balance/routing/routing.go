// Package routing picks the backend server for a request.
//
// A Policy has two sides: Observe updates its state from events, Pick chooses.
// Wrappers add prefix affinity and failure-domain preference to any policy.
//
// The package is deterministic: time and random source are passed in, and it
// has no goroutines and no I/O. A policy and its Loads have one owner
// goroutine and aren't safe for concurrent use.
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

// Request holds what a policy knows about one request at one time.
type Request struct {
	Now  time.Time
	Rand *rand.Rand
	// Prefix is the hash of the prompt prefix; 0 means that there is none.
	Prefix uint64
	// Candidates are sorted by ID.
	Candidates []Candidate
}

// EventKind tells what an Event reports.
type EventKind uint8

// Kinds of events.
const (
	// Sent says that a request was sent to the server.
	Sent EventKind = iota
	// Finished says that such a request ended, with or without success.
	Finished
	// Reported carries the load that came with an answer or heartbeat.
	Reported
	// Probed carries the load from a probe answer.
	Probed
	// Removed says that the server is no candidate any more.
	Removed
)

// Load is the load of a backend server as it reports it.
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
	// Pick returns the index of the chosen candidate, or -1 if there is none.
	// It counts nothing: the caller reports the request as Sent.
	Pick(r Request) int
	// Observe takes an event. Events of unknown servers are harmless.
	Observe(now time.Time, e Event)
	// Probes returns the ids of the servers to probe because of this request.
	// The answers come back as Probed events. Pick works without them, but is
	// better after them: the caller sends the probes and waits at most a few
	// milliseconds for the answers before it calls Pick.
	Probes(r Request) []string
}

// sample returns the indices of up to k distinct random candidates.
func sample(r Request, k int) []int {
	n := len(r.Candidates)
	k = min(k, n)
	chosen := make([]int, 0, k)
	// Floyd's algorithm takes k random numbers whatever n is.
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
