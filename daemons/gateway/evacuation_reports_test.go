package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// exchangeWithPeers starts the exchange of reports of a gateway. It sends none before it
// knows another one.
func (f *fixture) exchangeWithPeers() *peerExchange {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(f.t, err)
	p := newPeerExchange(conn, f.gateway, nil, zerolog.Nop())
	go p.receive()
	go func() { _ = p.send(f.t.Context()) }()
	f.t.Cleanup(func() { _ = conn.Close() })
	return p
}

// Guards against requests to an evacuated failure domain from a gateway that can't read the
// store, and against one that doesn't return with the others.
func TestGatewaysTellEachOtherOfEvacuations(t *testing.T) {
	told, silent := newFixture(t), newFixture(t)
	servers := silent.zonedServers("zone-1", "zone-2")
	silent.setPeerLoad(map[string]int{"zone-1": halfLoad})
	silent.store.SetFault(platformtest.Unresponsive)
	told.evacuate("zone-2")
	from, to := told.exchangeWithPeers(), silent.exchangeWithPeers()
	from.mu.Lock()
	from.table.AddPeer(clock.Now(), to.self)
	from.mu.Unlock()

	silent.eventually(func() bool { return silent.gateway.evacuations.includes("zone-2") })
	require.True(t, silent.logs.contains("failure domain evacuated", `"source":"peer `+from.self+`"`, `"offset":1`))
	seen := servers["zone-2"].RequestCount()
	for range 20 {
		require.Equal(t, http.StatusOK, silent.send(http.MethodPost, openPath, "a").status)
	}
	require.Equal(t, seen, servers["zone-2"].RequestCount())

	told.deploy.Return("zone-2")
	silent.eventually(func() bool {
		require.Equal(t, http.StatusOK, silent.send(http.MethodPost, openPath, "b").status)
		return servers["zone-2"].RequestCount() > seen
	})

	// What the store says counts as soon as it can be read again.
	told.deploy.Evacuate("zone-1")
	silent.eventually(func() bool { return silent.gateway.evacuations.includes("zone-1") })
	silent.deploy.Evacuate("zone-2")
	silent.deploy.Return("zone-2")
	silent.deploy.Evacuate("zone-2")
	silent.store.SetFault(platformtest.NoFault)
	silent.eventually(func() bool {
		return silent.gateway.evacuations.includes("zone-2") && !silent.gateway.evacuations.includes("zone-1")
	})
}

// Guards against a report with a wrong offset, say of a process of another deployment, that
// a gateway believes more than the store.
func TestStoreOverridesReports(t *testing.T) {
	f := newFixture(t)
	f.gateway.evacuations.receive(&pb.LoadReport{
		Sender: "1.2.3.4:5", EvacuationsEnd: 1 << 40, Evacuations: []*pb.Evacuation{{FailureDomain: "zone-2"}},
	})
	require.True(t, f.gateway.evacuations.includes("zone-2"))
	f.eventually(func() bool { return !f.gateway.evacuations.includes("zone-2") })
}

// Guards against reports that a gateway can't send because its operators evacuate domains
// with long names, and against views of other processes that aren't well-formed.
func TestEvacuationReports(t *testing.T) {
	f := newFixture(t)
	f.evacuate("zone-1", "zone-2")
	m := &pb.LoadReport{Sender: "1.2.3.4:5"}
	f.gateway.evacuations.report(m)
	view, err := decodeEvacuations(m)
	require.NoError(t, err)
	require.Equal(t, fleet.EvacuationView{EndOffset: 3, Domains: []fleet.Evacuation{{Domain: "zone-1", Offset: 1}, {Domain: "zone-2", Offset: 2}}}, view)
	m.Evacuations[0], m.Evacuations[1] = m.Evacuations[1], m.Evacuations[0]
	unsorted, err := decodeEvacuations(m)
	require.NoError(t, err)
	require.Equal(t, view, unsorted)

	m.EvacuationsEnd = 9
	m.Evacuations = []*pb.Evacuation{{FailureDomain: ""}}
	f.gateway.evacuations.receive(m)
	m.Evacuations[0].FailureDomain = strings.Repeat("x", maxEvacuationBytes+1)
	f.gateway.evacuations.receive(m)
	require.Equal(t, 2, f.countLogs("evacuations in a load report can't be read"))
	require.True(t, f.gateway.evacuations.includes("zone-1"))

	for _, name := range []string{"a", "b", "c", "d", "e"} {
		f.evacuate(strings.Repeat(name, 240))
	}
	m = &pb.LoadReport{}
	f.gateway.evacuations.report(m)
	require.Zero(t, m.GetEvacuationsEnd())
	require.Empty(t, m.GetEvacuations())
}
