package loadshare_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/loadshare"
)

var (
	start = time.Unix(1000, 0)
	key   = loadshare.ServerKeyOf("s")
)

func report(sender string, incarnation, sequence uint64, load int) loadshare.Report {
	return loadshare.Report{
		Sender: sender, Incarnation: incarnation, Sequence: sequence, InFlight: map[loadshare.ServerKey]int{key: load},
	}
}

// An old report must not replace a newer one, and reports of a restarted gateway
// must not be mistaken for old ones because their sequence starts again.
func TestOldReportsAreIgnored(t *testing.T) {
	table := loadshare.New("self")
	require.True(t, table.Receive(start, report("a", 1, 5, 3)))
	require.False(t, table.Receive(start, report("a", 1, 4, 9)))
	require.False(t, table.Receive(start, report("a", 1, 5, 9)))
	require.Equal(t, 3, table.PeerLoad(start)[key])
	require.True(t, table.Receive(start, report("a", 2, 1, 1)))
	require.False(t, table.Receive(start, report("a", 1, 6, 9)))
	require.True(t, table.Receive(start, report("b", 1, 1, 2)))
	require.Equal(t, 3, table.PeerLoad(start)[key])
	require.False(t, table.Receive(start, report("self", 1, 1, 7)))
}

// The load of a gateway that crashed or shut down must not be counted for good.
func TestSilentGatewaysAreNotCounted(t *testing.T) {
	table := loadshare.New("self")
	table.Receive(start, report("a", 1, 1, 3))
	require.Empty(t, table.PeerLoad(start.Add(3*time.Second)))
	table.Receive(start, report("b", 1, 1, 3))
	leaving := report("b", 1, 2, 0)
	leaving.Leaving = true
	table.Receive(start, leaving)
	require.Equal(t, []string{"a"}, table.Peers())
	require.Len(t, table.LivePeers(start), 1)
}

// The age of the reports determines how much of the other gateways' load they miss.
func TestStaleness(t *testing.T) {
	table := loadshare.New("self")
	table.Receive(start, report("a", 1, 1, 3))
	table.Receive(start.Add(100*time.Millisecond), report("b", 1, 1, 3))
	require.Equal(t, 500*time.Millisecond, table.Staleness(start.Add(300*time.Millisecond)))
	require.Zero(t, table.Staleness(start.Add(time.Minute)), "silent gateways start no requests")
}

// Gateways must find each other again after a network partition, but must not send
// reports to replaced gateways for ever.
func TestPeersAreRediscovered(t *testing.T) {
	table := loadshare.New("self")
	table.AddPeer(start, "a")
	table.AddPeer(start, "self")
	require.Equal(t, []string{"a"}, table.DuePeers(start))
	sent := 0
	for ms := 0; ms < 60_000; ms += 50 {
		sent += len(table.DuePeers(start.Add(time.Duration(ms) * time.Millisecond)))
	}
	require.Less(t, sent, 130, "a silent peer gets a report every two seconds")
	require.Greater(t, sent, 80)
	require.Empty(t, table.DuePeers(start.Add(3*time.Minute)))
}

// Guards against a count of the gateways that shrinks because some are silent or cut off, or
// have left and will be back: what they may send must not be given to others.
func TestKnownPeersOutlastSilence(t *testing.T) {
	table := loadshare.New("self")
	known := func() []string {
		addresses, _ := table.KnownPeers()
		return addresses
	}
	table.Receive(start, report("a", 1, 1, 3))
	_, listed := table.KnownPeers()
	require.False(t, listed)
	table.SetListed(start, []string{"self", "b"})
	_, listed = table.KnownPeers()
	require.True(t, listed)
	leaving := report("a", 1, 2, 0)
	leaving.Leaving = true
	table.Receive(start, leaving)
	later := start.Add(time.Hour)
	table.DuePeers(later)
	require.Equal(t, []string{"a", "b"}, known(), "the store is down, so the list isn't read")
	table.Receive(later, report("c", 1, 1, 0))
	table.SetListed(later, []string{"b"})
	require.Equal(t, []string{"b", "c"}, known(), "a is gone from the list")
}
