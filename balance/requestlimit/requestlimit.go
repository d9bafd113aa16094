// Package requestlimit divides the request rate that a backend server takes among the
// gateways that send to it. A rate has one of two sources: the server states it, or it is
// the rate that the configuration states for the cold servers of its service (ColdLimit).
//
// The division of stated rates is designed for a few servers in need among many gateways: a
// server may take two requests per second from hundreds of gateways together, so that an
// even share would be one request in minutes each, and the first request of each gateway
// would already exceed the limit. So a few gateways, about one for each request per second,
// share the rate evenly, and the others use other servers. All gateways choose the same ones
// by rendezvous hashing, without messages.
//
// What servers state travels with the load reports of the gateways. If no gateway has
// heard from a server for a while, because those that may use it have no requests, all
// gateways share its rate evenly, so that one of them finds out.
//
// The division of the cold rate is designed for servers that crash above it and that may
// become cold without notice, and for gateways that are cut off from each other. It relies
// on no news: silent gateways keep their share.
//
// The package is deterministic and does no I/O. A Table isn't safe for concurrent use.
package requestlimit

import (
	"maps"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/balance/loadshare"
)

const (
	// minRate is the least rate, in requests per second, that a server gets. Without any
	// request nobody would find out that it no longer states a limit.
	minRate = 0.25
	// ratePerGateway is the rate, in requests per second, for which one gateway is
	// chosen.
	ratePerGateway = 1.0
	// silentAfter is the time without a statement after which all gateways share the
	// rate.
	silentAfter = 6 * time.Second
	// reportFor is how long a statement is reported to the other gateways.
	reportFor = 5 * time.Second
)

// Statement is what a server stated in a response.
type Statement struct {
	// Limited means that the server takes Rate requests per second from all gateways
	// together.
	Limited bool
	Rate    float64
	// At is the time as of which the statement holds.
	At time.Time
}

// Table holds the limits of the servers of a service at one gateway.
type Table struct {
	self     string
	peers    []string
	byServer map[loadshare.ServerKey]*limit

	cold        ColdLimit
	serverCount int
	// known holds the other gateways that may be running, live or not.
	known  []string
	listed bool
	// ranks holds the rank of this gateway among all known ones by server, and coldUntil
	// until when servers are known to be cold.
	ranks     map[loadshare.ServerKey]int
	coldUntil map[loadshare.ServerKey]time.Time
}

type limit struct {
	Statement
	// own is the last statement in a response to this gateway.
	own Statement
}

// New returns a table without limits and without other gateways.
func New() *Table {
	return &Table{
		byServer:  make(map[loadshare.ServerKey]*limit),
		ranks:     make(map[loadshare.ServerKey]int),
		coldUntil: make(map[loadshare.ServerKey]time.Time),
	}
}

// SetGateways sets the name of this gateway and replaces those of the other live ones.
func (t *Table) SetGateways(self string, peers []string) {
	if self != t.self {
		clear(t.ranks)
	}
	t.self, t.peers = self, peers
}

// Observe records a statement in a response to this gateway, and reports whether the
// limit of the server has changed.
//
// A response without a limit counts as of the time when its request was sent, because
// the server may have begun to state a limit since. It is ignored for servers without a
// known limit.
func (t *Table) Observe(server loadshare.ServerKey, s Statement) bool {
	l := t.limitFor(server, s)
	if l == nil {
		return false
	}
	if s.At.After(l.own.At) {
		l.own = s
	}
	return l.update(s)
}

// ObservePeer records a statement in a response to another gateway, and reports whether
// the limit of the server has changed.
func (t *Table) ObservePeer(server loadshare.ServerKey, s Statement) bool {
	l := t.limitFor(server, s)
	return l != nil && l.update(s)
}

// limitFor returns the limit that a statement concerns, or nil if it says nothing new.
func (t *Table) limitFor(server loadshare.ServerKey, s Statement) *limit {
	l := t.byServer[server]
	if l == nil && s.Limited {
		l = &limit{}
		t.byServer[server] = l
	}
	return l
}

func (l *limit) update(s Statement) bool {
	if !s.At.After(l.At) {
		return false
	}
	changed := s.Limited != l.Limited || s.Rate != l.Rate
	l.Statement = s
	return changed
}

// Report calls report for the statements that the other gateways have to know.
func (t *Table) Report(now time.Time, report func(server loadshare.ServerKey, s Statement)) {
	for server, l := range t.byServer {
		if !l.own.At.IsZero() && now.Sub(l.own.At) <= reportFor {
			report(server, l.own)
		}
	}
}

// Retain forgets the servers for which known returns false.
func (t *Table) Retain(known func(loadshare.ServerKey) bool) {
	maps.DeleteFunc(t.byServer, func(server loadshare.ServerKey, _ *limit) bool { return !known(server) })
	maps.DeleteFunc(t.ranks, func(server loadshare.ServerKey, _ int) bool { return !known(server) })
	maps.DeleteFunc(t.coldUntil, func(server loadshare.ServerKey, _ time.Time) bool { return !known(server) })
}

// Interval returns the time between two requests of this gateway to a server, by the
// stricter of its limits. It returns 0 if the server has none, and false if the gateway
// sends it no requests.
func (t *Table) Interval(now time.Time, server loadshare.ServerKey) (time.Duration, bool) {
	stated, statedAllowed := t.statedInterval(now, server)
	cold, coldAllowed := t.coldInterval(now, server)
	if !statedAllowed || !coldAllowed {
		return 0, false
	}
	return max(stated, cold), true
}

// statedInterval is Interval for the limit that the server states.
func (t *Table) statedInterval(now time.Time, server loadshare.ServerKey) (time.Duration, bool) {
	l := t.byServer[server]
	if l == nil || !l.Limited {
		return 0, true
	}
	rate := max(l.Rate, minRate)
	gateways := len(t.peers) + 1
	count := min(max(int(rate/ratePerGateway), 1), gateways)
	if now.Sub(l.At) > silentAfter {
		count = gateways
	} else if t.rank(server, t.peers) >= count {
		return 0, false
	}
	return time.Duration(float64(count) / rate * float64(time.Second)), true
}

// Empty reports whether no server has a limit.
func (t *Table) Empty() bool { return len(t.byServer) == 0 && t.cold.PerSecond <= 0 }

// rank returns the number of gateways that come before this one in the order in which
// gateways are chosen for a server.
func (t *Table) rank(server loadshare.ServerKey, others []string) int {
	own := score(t.self, server)
	above := 0
	for _, name := range others {
		if other := score(name, server); other > own || other == own && name < t.self {
			above++
		}
	}
	return above
}

func score(gateway string, server loadshare.ServerKey) uint64 {
	return xxh3.HashStringSeed(gateway, uint64(server))
}
