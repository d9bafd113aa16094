package requestlimit

import (
	"math"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/balance/loadshare"
)

const (
	// coldWindow is the time within which the requests to a cold server are counted.
	coldWindow = time.Second
	// sendDelay is the longest time from the decision to send a request until it is sent,
	// by which two requests may come closer to each other. A process that has used up its
	// share of the processor stands still for up to 100 ms.
	sendDelay = 100 * time.Millisecond
	// unknownGateways is the number of gateways that are assumed beyond the known ones. It
	// covers gateways of which no report has arrived yet, and the requests that a restarted
	// gateway sent in the same second before its restart. unknownShare limits it for
	// servers that take few requests.
	unknownGateways = 4
	unknownShare    = 8
	// minGateways is the least number of gateways that is assumed until the list of the
	// gateways has been read.
	minGateways = 32
	// minServersPerGateway is the mean number of servers that a gateway must be able to use
	// if only a part of the gateways may send requests to each server. With fewer, some
	// gateways would have no server at all.
	minServersPerGateway = 16
)

// ColdLimit is how many requests a cold server of a service takes from all gateways
// together: within any second at most PerSecond times Overage, plus Tolerance. The zero
// value means no limit.
type ColdLimit struct {
	PerSecond float64
	Overage   float64
	Tolerance float64
}

// places returns the number of requests that a cold server may get within a second.
func (l ColdLimit) places() int {
	// A sum that is an integer but for rounding counts as that integer.
	const rounding = 1e-9
	return max(int(math.Floor(l.PerSecond*l.Overage+l.Tolerance+rounding)), 1)
}

// SetColdLimit sets the limit of the cold servers of the service.
func (t *Table) SetColdLimit(l ColdLimit) { t.cold = l }

// SetServerCount sets the number of servers of the service.
func (t *Table) SetServerCount(n int) { t.serverCount = n }

// SetKnownGateways replaces the names of the other gateways that may be running, whether
// they are silent or not. listed means that the list of the gateways has been read, so that
// known holds all that had started by then.
func (t *Table) SetKnownGateways(known []string, listed bool) {
	t.listed = listed
	if !slices.Equal(known, t.known) {
		t.known = slices.Clone(known)
		clear(t.ranks)
	}
}

// SetCold records that a server is cold until the given time, unless it is known to be cold
// for longer. It reports whether the server was not known to be cold before.
func (t *Table) SetCold(now time.Time, server loadshare.ServerKey, until time.Time) bool {
	if !until.After(now) {
		return false
	}
	begins := !t.Cold(now, server)
	if until.After(t.coldUntil[server]) {
		t.coldUntil[server] = until
	}
	return begins
}

// Cold reports whether a server is known to be cold.
func (t *Table) Cold(now time.Time, server loadshare.ServerKey) bool {
	return t.coldUntil[server].After(now)
}

// ColdLimited reports whether the limit of cold servers determines what Interval returns.
func (t *Table) ColdLimited(now time.Time, server loadshare.ServerKey) bool {
	if t.cold.PerSecond <= 0 {
		return false
	}
	stated, statedAllowed := t.statedInterval(now, server)
	cold, coldAllowed := t.coldInterval(now, server)
	return !coldAllowed || statedAllowed && cold >= stated
}

// Rank returns how many of all known gateways come before this one in the order in which
// gateways are chosen for a server. It returns false until the list of the gateways has been
// read.
func (t *Table) Rank(server loadshare.ServerKey) (int, bool) { return t.knownRank(server), t.listed }

// coldInterval returns the time between two requests of this gateway to a server that may
// be cold. It returns 0 if the service has no limit for cold servers, and false if the
// gateway sends the server no requests.
//
// A server may become cold without notice, so the limit holds whether the server is known
// to be cold or not. The requests that the server may get within a second are dealt to the
// gateways in the order of their ranks, one after the other, until none is left. If each
// gateway counts at least the gateways that exist, the sum never exceeds the limit, however
// much the lists of the gateways differ: a longer list only makes a share smaller.
//
// With more gateways than requests, some gateways get none. If the service has so few
// servers that these gateways could reach none of them, all gateways send requests at long
// intervals instead, at the stated rate on average, as long as the server isn't known to be
// cold.
func (t *Table) coldInterval(now time.Time, server loadshare.ServerKey) (time.Duration, bool) {
	if t.cold.PerSecond <= 0 {
		return 0, true
	}
	places := t.cold.places()
	known := len(t.known) + 1
	gateways := known + min(unknownGateways, places/unknownShare)
	if !t.listed {
		gateways = max(gateways, minGateways)
	}
	// Gateways that this one doesn't know may have the first ranks.
	rank := t.knownRank(server) + gateways - known
	share := max(places-rank+gateways-1, 0) / gateways
	if gateways <= places || t.listed && t.serverCount*places >= minServersPerGateway*gateways {
		return (coldWindow + sendDelay) / time.Duration(max(share, 1)), share > 0
	}
	spaced := time.Duration(float64(gateways) / t.cold.PerSecond * float64(time.Second))
	return max(spaced, coldWindow+sendDelay), share > 0 || !t.Cold(now, server)
}

// knownRank returns the rank of this gateway among all known ones.
func (t *Table) knownRank(server loadshare.ServerKey) int {
	rank, ok := t.ranks[server]
	if !ok {
		rank = t.rank(server, t.known)
		t.ranks[server] = rank
	}
	return rank
}
