// Package loadshare sums up the requests that other gateways have on each
// backend server, from the reports that they send each other.
//
// Reports are datagrams: they get lost, arrive twice or out of order. A report
// replaces the earlier one of its sender, and the load of a sender that has
// fallen silent no longer counts, because its connections are closed or will
// time out.
//
// The package is deterministic and does no I/O. A Table has one owner.
package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// staleAfter is the age from which the last report of a sender no longer
	// counts. Senders report at least every half second.
	staleAfter = 1600 * time.Millisecond
	// quietAfter is the silence after which a peer is addressed rarely.
	quietAfter = 4 * time.Second
	// quietInterval is the time between two reports to a peer that is silent.
	// Both sides of a healed partition find each other again within it.
	quietInterval = 2 * time.Second
	// forgetAfter is the silence after which a peer is forgotten. Addresses of
	// replaced instances don't come back.
	forgetAfter = 2 * time.Minute
)

// ServerKey stands for the id of a server in reports, which are sent often and to
// many. Two of 1,000 servers have the same key in one of 8,000 deployments, and
// then count each other's load.
type ServerKey uint32

// ServerKeyOf returns the key of a server.
func ServerKeyOf(server string) ServerKey { return ServerKey(xxh3.HashString(server)) }

// Report is the load that one gateway causes.
type Report struct {
	// Sender is the address of the gateway.
	Sender string
	// Incarnation is higher for each start of the process at this address.
	Incarnation uint64
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	InFlight map[ServerKey]int
	// Leaving says that the sender sends no further report.
	Leaving bool
}

type peer struct {
	report   Report
	received time.Time
	known    time.Time
	sent     time.Time
}

// Table holds the peers of one gateway.
type Table struct {
	self  string
	peers map[string]*peer
}

// New returns a table without peers for the gateway at address self.
func New(self string) *Table { return &Table{self: self, peers: make(map[string]*peer)} }

// AddPeer makes an address known.
func (t *Table) AddPeer(now time.Time, address string) {
	if address == t.self {
		return
	}
	if p, ok := t.peers[address]; ok {
		p.known = now
		return
	}
	t.peers[address] = &peer{known: now}
}

// Receive takes a report and says whether it is newer than the last one.
func (t *Table) Receive(now time.Time, r Report) bool {
	if r.Sender == t.self {
		return false
	}
	p, ok := t.peers[r.Sender]
	if !ok {
		p = &peer{known: now}
		t.peers[r.Sender] = p
	}
	last := p.report
	if r.Incarnation < last.Incarnation || r.Incarnation == last.Incarnation && r.Sequence <= last.Sequence {
		return false
	}
	if r.Leaving {
		delete(t.peers, r.Sender)
		return true
	}
	p.report, p.received = r, now
	return true
}

// PeerLoad returns the requests of all other gateways by server.
func (t *Table) PeerLoad(now time.Time) map[ServerKey]int {
	sum := make(map[ServerKey]int)
	for _, p := range t.peers {
		if now.Sub(p.received) > staleAfter {
			continue
		}
		for server, n := range p.report.InFlight {
			sum[server] += n
		}
	}
	return sum
}

// Staleness returns the ages of the reports that count, added up.
func (t *Table) Staleness(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, p := range t.peers {
		if age := now.Sub(p.received); age <= staleAfter {
			sum += age
		}
	}
	return sum
}

// LivePeers returns the number of peers that have reported lately.
func (t *Table) LivePeers(now time.Time) int {
	live := 0
	for _, p := range t.peers {
		if !p.received.IsZero() && now.Sub(p.received) <= quietAfter {
			live++
		}
	}
	return live
}

// DuePeers returns the addresses to which a report goes now, and notes them as sent.
// Peers that have been silent for long are left out at most times.
func (t *Table) DuePeers(now time.Time) []string {
	var due []string
	for address, p := range t.peers {
		heard := p.known
		if p.received.After(heard) {
			heard = p.received
		}
		silence := now.Sub(heard)
		if silence > forgetAfter {
			delete(t.peers, address)
			continue
		}
		if silence > quietAfter && now.Sub(p.sent) < quietInterval {
			continue
		}
		p.sent = now
		due = append(due, address)
	}
	slices.Sort(due)
	return due
}

// Peers returns the addresses of all peers.
func (t *Table) Peers() []string { return slices.Sorted(maps.Keys(t.peers)) }
