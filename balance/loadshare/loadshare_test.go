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

// Guards against an old report that overwrites a newer one, and against reports
// of a restarted gateway that are taken for old ones.
func TestOrderOfReports(t *testing.T) {
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

// Guards against places that stay taken by a gateway that died or left.
func TestSilentGatewaysDontCount(t *testing.T) {
	table := loadshare.New("self")
	table.Receive(start, report("a", 1, 1, 3))
	require.Empty(t, table.PeerLoad(start.Add(3*time.Second)))
	table.Receive(start, report("b", 1, 1, 3))
	leaving := report("b", 1, 2, 0)
	leaving.Leaving = true
	table.Receive(start, leaving)
	require.Equal(t, []string{"a"}, table.Peers())
	require.Equal(t, 1, table.LivePeers(start))
}

// Guards against reports whose age is not known: the age tells how much of the
// others' load they miss.
func TestStaleness(t *testing.T) {
	table := loadshare.New("self")
	table.Receive(start, report("a", 1, 1, 3))
	table.Receive(start.Add(100*time.Millisecond), report("b", 1, 1, 3))
	require.Equal(t, 500*time.Millisecond, table.Staleness(start.Add(300*time.Millisecond)))
	require.Zero(t, table.Staleness(start.Add(time.Minute)), "silent gateways place nothing")
}

// Guards against gateways that lose each other for good in a partition, and
// against messages to replaced gateways without end.
func TestPeersAreFoundAgain(t *testing.T) {
	table := loadshare.New("self")
	table.AddPeer(start, "a")
	table.AddPeer(start, "self")
	require.Equal(t, []string{"a"}, table.DuePeers(start))
	sent := 0
	for ms := 0; ms < 60_000; ms += 50 {
		sent += len(table.DuePeers(start.Add(time.Duration(ms) * time.Millisecond)))
	}
	require.Less(t, sent, 130, "a silent peer gets a report each two seconds")
	require.Greater(t, sent, 80)
	require.Empty(t, table.DuePeers(start.Add(3*time.Minute)))
}
