package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

const (
	// memoryMargin is the part of a server's memory that stays free. It covers what the
	// engine needs beyond the tokens that requests state, such as started blocks.
	memoryMargin = 0.05
	// requestsPerSlot is the number of requests that a server holds for each slot at most,
	// with those in its own queue.
	requestsPerSlot = 3
	// minLargeShare is the least part of the usable memory for large requests.
	minLargeShare = 0.5
	// largeGateways is the number of gateways that send large requests to each server. With
	// one, some gateways would have no server for them; with more, their parts would be too
	// small for the largest requests.
	largeGateways = 2
)

// A request is small if a server can hold as many of its size as it takes at all. Small
// requests need no care. What large ones need isn't known of the other gateways, whose load
// reports only count requests, and all gateways see at once that a server has become free.
// So the memory for large requests is divided among the first gateways in an order that
// each server has, and the sum stays within the memory without any news.

// memory returns the tokens that a server may hold over all its requests, and the size up to
// which a request is small.
func (c *server) memory() (usable, small float64) {
	if c.MemoryTokens <= 0 {
		return math.Inf(1), math.Inf(1)
	}
	usable = (1 - memoryMargin) * float64(c.MemoryTokens)
	return usable, usable / float64(requestsPerSlot*max(c.Slots, 1))
}

// largePart returns the memory of a server that each of its first gateways may use for large
// requests.
func (s *Scheduler[T]) largePart(c *server) float64 {
	usable, _ := c.memory()
	small := float64(requestsPerSlot*c.Slots) * s.meanSmall
	return max(usable-small, minLargeShare*usable) / largeGateways
}

// hasMemory reports whether this gateway may use the memory of a server for a request with
// this number of tokens.
func (s *Scheduler[T]) hasMemory(c *server, tokens int) bool {
	_, small := c.memory()
	return float64(tokens) <= small || c.gatewayRank < largeGateways && c.largeTokens()+float64(tokens) <= s.largePart(c)
}

// largeTokens returns the memory that the large requests of this gateway may need.
func (c *server) largeTokens() float64 {
	sum := 0
	for _, tokens := range c.ownLarge {
		sum += tokens
	}
	return float64(sum)
}

// takeMemory records that a request uses the memory of a server.
func (s *Scheduler[T]) takeMemory(c *server, tokens int) {
	if _, small := c.memory(); float64(tokens) > small {
		c.ownLarge = append(c.ownLarge, tokens)
	} else if tokens > 0 {
		s.meanSmall += meanSmoothing * (float64(tokens) - s.meanSmall)
	}
}

// FreeMemory ends the use of memory by a request that was assigned to a server. It must be
// called before Finish.
func (s *Scheduler[T]) FreeMemory(id string, tokens int) {
	srv, ok := s.servers[id]
	if !ok {
		return
	}
	// The server may hold more or less than when the request started, so what is large now
	// says nothing about it.
	if i := slices.Index(srv.ownLarge, tokens); i >= 0 {
		srv.ownLarge = slices.Delete(srv.ownLarge, i, i+1)
	}
}

// SetRank sets how many gateways come before this one in the order in which they use the
// memory of a server.
func (s *Scheduler[T]) SetRank(id string, rank int) {
	if srv, ok := s.servers[id]; ok {
		srv.gatewayRank = rank
	}
}

// refuseTooLarge refuses a request for which no server has memory, even without other
// requests.
func (s *Scheduler[T]) refuseTooLarge(now time.Time, r Request[T]) (Outcome[T], bool) {
	largest := 0.0
	for _, id := range s.serverIDs {
		c := s.servers[id]
		if c.gone(now) || !r.allows(c) {
			continue
		}
		_, small := c.memory()
		largest = max(largest, small, s.largePart(c))
	}
	if largest == 0 || float64(r.Tokens) <= largest {
		return Outcome[T]{}, false
	}
	err := errkind.New(errkind.NoBackendServer, "the request may need %d tokens of memory; a backend server has %.0f for one request", r.Tokens, largest)
	return Outcome[T]{Value: r.Value, Err: err.WithRetryAfter(maxRetryAfter)}, true
}

// lacksMemory reports whether a request could start now if it needed no memory.
func (s *Scheduler[T]) lacksMemory(now time.Time, constraint Constraint, need capacityNeed) bool {
	if float64(constraint.Tokens) <= s.smallOnAll {
		return false
	}
	constraint.Tokens = 0
	return s.pick(now, constraint, need) != nil
}

// updateSmall computes the size up to which a request is small on all listed servers.
func (s *Scheduler[T]) updateSmall() {
	s.smallOnAll = math.Inf(1)
	for _, id := range s.serverIDs {
		_, small := s.servers[id].memory()
		s.smallOnAll = min(s.smallOnAll, small)
	}
}

// startLarge starts the requests that wait for memory, in their order, while allowed returns true.
// They have a queue of their own, so that they don't keep smaller ones from starting.
func (s *Scheduler[T]) startLarge(now time.Time, allowed func() bool) []Outcome[T] {
	var out []Outcome[T]
	for s.large.Len() > 0 && allowed() {
		t, picked := s.popLarge(now)
		if t == nil {
			break
		}
		out = append(out, s.startOn(now, picked, t.Value.constraint.Tokens, t.Value.value))
	}
	return out
}

// popLarge removes the next request that waits for memory and can start now, and returns it
// with its server, or nil. Requests that wait for the memory of other regions are passed over.
func (s *Scheduler[T]) popLarge(now time.Time) (*queuedTicket[T], *server) {
	var picked *server
	blocked := make(map[string]bool)
	canStart := func(w waiting[T]) bool {
		regions := strings.Join(w.constraint.Regions, "\n")
		if blocked[""] || blocked[regions] {
			return false
		}
		picked = s.pick(now, w.constraint, freeSlot)
		if picked == nil {
			picked = s.pick(now, w.constraint.withoutExclusions(), freeSlot)
		}
		blocked[regions] = picked == nil
		return picked != nil
	}
	if !s.hasRegions && !canStart(s.large.Peek().Value) {
		return nil, nil
	}
	t := s.large.PopFunc(canStart) // sets picked
	return t, picked
}

// largeGoesFirst reports whether the next request that waits for memory starts before the next
// one of the queue. It does unless its class is less urgent.
func (s *Scheduler[T]) largeGoesFirst() bool {
	class, byReserve, _ := s.large.Next()
	next, _, waiting := s.queue.Next()
	return byReserve || !waiting || s.classRank(class) <= s.classRank(next)
}
