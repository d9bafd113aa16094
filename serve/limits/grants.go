package limits

import (
	"cmp"
	"slices"
	"time"
)

// grant is a part of a limit that is lent to or borrowed from a peer until a
// time.
type grant struct {
	peer   string
	amount Amount
	until  time.Time
}

// grants is a list of grants sorted by peer. The order keeps floating-point sums
// reproducible.
type grants []grant

// unexpired returns the grants that have not expired.
func (g grants) unexpired(now time.Time) grants {
	return slices.DeleteFunc(g, func(x grant) bool { return !now.Before(x.until) })
}

// maxOf returns the maximum of the grants of one peer. An earlier, larger grant
// counts until it expires, because the report that reduced it may have been lost.
func (g grants) maxOf(peer string) Amount {
	var largest Amount
	for i := g.find(peer); i < len(g) && g[i].peer == peer; i++ {
		largest = largest.max(g[i].amount)
	}
	return largest
}

// outstanding returns the sum over all peers of the maximum of their grants.
func (g grants) outstanding() Amount {
	var sum, largest Amount
	for i := range g {
		largest = largest.max(g[i].amount)
		if i+1 == len(g) || g[i+1].peer != g[i].peer {
			sum = sum.add(largest)
			largest = Amount{}
		}
	}
	return sum
}

func (g grants) find(peer string) int {
	i, _ := slices.BinarySearchFunc(g, peer, func(x grant, p string) int { return cmp.Compare(x.peer, p) })
	return i
}

// add returns the grants with one more.
func (g grants) add(x grant) grants { return slices.Insert(g, g.find(x.peer), x) }

// removePeer returns the grants without those of one peer.
func (g grants) removePeer(peer string) grants {
	return slices.DeleteFunc(g, func(x grant) bool { return x.peer == peer })
}
