package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

func compareIDs(a, b string) int { return strings.Compare(a, b) }

// HashPrefix returns the hash of the first limit bytes of a prompt, which is never
// 0. The organisation is part of the hash, so that organisations don't share
// prefixes.
func HashPrefix(organisation string, prompt []byte, limit int) uint64 {
	prompt = prompt[:min(limit, len(prompt))]
	return max(1, xxh3.HashSeed(prompt, xxh3.HashString(organisation)))
}

// PreferredOrder returns the indices of the candidates in the rendezvous hashing
// order of an idempotency key. All entries with the same candidates get the same
// order, and a candidate that joins or leaves doesn't change the order of the
// others. It takes O(n log n) time.
func PreferredOrder(key string, candidates []Candidate) []int {
	return rendezvousOrder(xxh3.HashString(key), candidates)
}

func rendezvousOrder(key uint64, candidates []Candidate) []int {
	scores := make([]uint64, len(candidates))
	order := make([]int, len(candidates))
	for i, c := range candidates {
		scores[i] = score(key, c.ID)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), compareIDs(candidates[a].ID, candidates[b].ID))
	})
	return order
}

func score(key uint64, id string) uint64 { return xxh3.HashStringSeed(id, key) }

// topChoices returns the indices of up to k candidates with the highest scores,
// the highest first, in O(n*k) time.
func topChoices(key uint64, candidates []Candidate, k int) []int {
	var best []int
	for i, c := range candidates {
		position := len(best)
		for position > 0 && score(key, candidates[best[position-1]].ID) < score(key, c.ID) {
			position--
		}
		if position < k {
			best = slices.Insert(best, position, i)
			best = best[:min(k, len(best))]
		}
	}
	return best
}
