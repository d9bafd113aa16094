// Package loadshare adds up the requests that other gateways have in flight on
// each backend server, from the load reports that gateways send each other.
//
// Reports are datagrams, which may be lost, duplicated or reordered. A report
// replaces the previous one from the same sender. The load of a sender that has
// become silent is no longer counted, because its connections are closed or will
// time out.
//
// The package is deterministic and does no I/O. A Table isn't safe for concurrent
// use.
package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// maxReportAge is the age up to which the last report of a sender is counted.
	// Senders report at least every half second.
	maxReportAge = 1600 * time.Millisecond
	// silentAfter is the time without a report after which a peer counts as silent
	// and gets fewer reports.
	silentAfter = 4 * time.Second
	// silentPeerInterval is the time between two reports to a silent peer. After a
	// network partition heals, both sides find each other again within this time.
	silentPeerInterval = 2 * time.Second
	// forgetAfter is the time without a report after which a peer is removed.
	// Addresses of replaced instances don't come back.
	forgetAfter = 2 * time.Minute
)

// ServerKey is a hash that stands for the ID of a server in reports. It is short
// because reports are sent often and to many peers. In one of 8,000 deployments
// with 1,000 servers, two servers have the same key; each then counts the load of
// the other as well.
type ServerKey uint32

// ServerKeyOf returns the key of the server with an ID.
func ServerKeyOf(server string) ServerKey { return ServerKey(xxh3.HashString(server)) }

// Report is the load that one gateway causes.
type Report struct {
	// Sender is the address of the gateway.
	Sender string
	// Incarnation increases with each start of the process at this address.
	Incarnation uint64
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	InFlight map[ServerKey]int
	// Leaving means that the sender sends no further reports.
	Leaving bool
}

type peer struct {
	report     Report
	receivedAt time.Time
	addedAt    time.Time
	sentAt     time.Time
}

// Table holds the peers of one gateway and their last reports.
type Table struct {
	self  string
	peers map[string]*peer
	// listed holds the other gateways in the list of the gateways as last read, or nil if
	// it hasn't been read. heardAt is when the last report of each sender arrived.
	listed  map[string]bool
	heardAt map[string]time.Time
}

// New returns a table without peers for the gateway at address self.
func New(self string) *Table {
	return &Table{self: self, peers: make(map[string]*peer), heardAt: make(map[string]time.Time)}
}

// AddPeer adds the peer at an address. For a known peer it restarts the period after
// which a silent peer is removed.
func (t *Table) AddPeer(now time.Time, address string) {
	if address == t.self {
		return
	}
	if p, ok := t.peers[address]; ok {
		p.addedAt = now
		return
	}
	t.peers[address] = &peer{addedAt: now}
}

// Receive stores a report and reports whether it is newer than the last one of its
// sender. Older reports and those of the gateway itself are ignored.
func (t *Table) Receive(now time.Time, r Report) bool {
	if r.Sender == t.self {
		return false
	}
	p, ok := t.peers[r.Sender]
	if !ok {
		p = &peer{addedAt: now}
		t.peers[r.Sender] = p
	}
	last := p.report
	if r.Incarnation < last.Incarnation || r.Incarnation == last.Incarnation && r.Sequence <= last.Sequence {
		return false
	}
	t.heardAt[r.Sender] = now
	if r.Leaving {
		delete(t.peers, r.Sender)
		return true
	}
	p.report, p.receivedAt = r, now
	return true
}

// PeerLoad returns the requests in flight of all other gateways by server.
func (t *Table) PeerLoad(now time.Time) map[ServerKey]int {
	sum := make(map[ServerKey]int)
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) > maxReportAge {
			continue
		}
		for server, n := range p.report.InFlight {
			sum[server] += n
		}
	}
	return sum
}

// Staleness returns the sum of the ages of the reports that are counted.
func (t *Table) Staleness(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, p := range t.peers {
		if age := now.Sub(p.receivedAt); age <= maxReportAge {
			sum += age
		}
	}
	return sum
}

// LivePeers returns the sorted addresses of the peers that aren't silent.
func (t *Table) LivePeers(now time.Time) []string {
	var live []string
	for address, p := range t.peers {
		if !p.receivedAt.IsZero() && now.Sub(p.receivedAt) <= silentAfter {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// SetListed replaces the list of the gateways, which has been read as a whole. A gateway that
// is missing in it and has been silent for longer than forgetAfter is no longer known.
func (t *Table) SetListed(now time.Time, addresses []string) {
	t.listed = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		if address != t.self {
			t.listed[address] = true
		}
	}
	maps.DeleteFunc(t.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter })
}

// KnownPeers returns the sorted addresses of all peers that may be running: those in the
// list of the gateways and those that have sent reports, the silent ones included. listed
// means that the list has been read.
func (t *Table) KnownPeers() (addresses []string, listed bool) {
	for address := range t.heardAt {
		if !t.listed[address] {
			addresses = append(addresses, address)
		}
	}
	for address := range t.listed {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses, t.listed != nil
}

// DuePeers returns the sorted addresses to which a report must be sent now, and
// records that it is sent. Silent peers are due only every silentPeerInterval. It
// removes peers that have been silent for longer than forgetAfter.
func (t *Table) DuePeers(now time.Time) []string {
	var due []string
	for address, p := range t.peers {
		lastHeard := p.addedAt
		if p.receivedAt.After(lastHeard) {
			lastHeard = p.receivedAt
		}
		silence := now.Sub(lastHeard)
		if silence > forgetAfter {
			delete(t.peers, address)
			continue
		}
		if silence > silentAfter && now.Sub(p.sentAt) < silentPeerInterval {
			continue
		}
		p.sentAt = now
		due = append(due, address)
	}
	slices.Sort(due)
	return due
}

// Peers returns the sorted addresses of all peers.
func (t *Table) Peers() []string { return slices.Sorted(maps.Keys(t.peers)) }
