package limits

import (
	"cmp"
	"slices"
	"time"
)

// grant is a part of a limit that moves to or from a peer until a time.
type grant struct {
	peer   string
	amount Amount
	until  time.Time
}

// grants is sorted by peer, which keeps floating-point sums reproducible.
type grants []grant

// current returns the grants that have not ended.
func (g grants) current(now time.Time) grants {
	return slices.DeleteFunc(g, func(x grant) bool { return !now.Before(x.until) })
}

// of returns the most that the grants of one peer allow at the same time. An
// earlier, larger grant counts until it ends, because the report that reduced
// it may have been lost.
func (g grants) of(peer string) Amount {
	var most Amount
	for i := g.find(peer); i < len(g) && g[i].peer == peer; i++ {
		most = most.max(g[i].amount)
	}
	return most
}

// outstanding returns the sum of what the grants allow each peer.
func (g grants) outstanding() Amount {
	var sum, most Amount
	for i := range g {
		most = most.max(g[i].amount)
		if i+1 == len(g) || g[i+1].peer != g[i].peer {
			sum = sum.add(most)
			most = Amount{}
		}
	}
	return sum
}

func (g grants) find(peer string) int {
	i, _ := slices.BinarySearchFunc(g, peer, func(x grant, p string) int { return cmp.Compare(x.peer, p) })
	return i
}

// with returns the grants and one more.
func (g grants) with(x grant) grants { return slices.Insert(g, g.find(x.peer), x) }

// without returns the grants but for those of one peer.
func (g grants) without(peer string) grants {
	return slices.DeleteFunc(g, func(x grant) bool { return x.peer == peer })
}
