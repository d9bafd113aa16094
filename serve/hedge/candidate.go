package hedge

import (
	"math/bits"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// Candidate is a request that may be hedged. Every step towards a hedge takes one, and
// NewCandidate makes them of requests of retryable routes only, so a request that must not
// run twice has no way to a hedge. The zero value stands for such a request: nothing is
// hedged or recorded for it.
type Candidate struct {
	key   key
	valid bool
}

// key identifies the requests whose latencies are compared with each other.
type key struct {
	route string
	size  int
}

const (
	// smallPrompt is the number of prompt tokens up to which prompts are of the smallest size
	// class. Each further class goes up to four times as many tokens.
	smallPrompt = 256
	// largestClass is the size class of all longer prompts, from 65,537 tokens on.
	largestClass = 5
)

// NewCandidate returns the candidate for a request with this many prompt tokens. It returns
// false if requests of the route must not run more than once.
func NewCandidate(route *fleet.Route, promptTokens int) (Candidate, bool) {
	if !route.Retryable() {
		return Candidate{}, false
	}
	return Candidate{key: key{route: route.Name, size: sizeClass(promptTokens)}, valid: true}, true
}

func sizeClass(promptTokens int) int {
	if promptTokens <= smallPrompt {
		return 0
	}
	doublings := bits.Len(uint(promptTokens-1) / smallPrompt)
	return min((doublings+1)/2, largestClass)
}
