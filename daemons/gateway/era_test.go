package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// Guards against records that a follower never reads: the store has come back from an older
// copy, and its topic has grown past the offset of the follower again before the next read.
func TestFollowerReadsNewHistory(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.SetEra(1)
	store.Put("keyed.x", "old", []byte("1"))
	store.Copy()
	f := newTopicFollower(platform.NewStoreClient(store.Address()), "keyed.x", zerolog.Nop())
	store.Put("keyed.x", "lost", []byte("1"))
	_, ok := f.readUntilResponse(t.Context())
	require.True(t, ok)
	store.Restore()
	for _, key := range []string{"a", "b", "c"} {
		store.Put("keyed.x", key, []byte("2"))
	}
	u, ok := f.readUntilResponse(t.Context())
	require.True(t, ok)
	require.True(t, u.snapshot)
	require.True(t, u.startedOver)
	require.True(t, u.recovered)
	require.Len(t, u.records, 4)
	u, ok = f.readUntilResponse(t.Context())
	require.True(t, ok)
	require.False(t, u.startedOver)
	require.False(t, u.snapshot)
}

// Guards against a gateway that keeps to an older configuration, evacuation or list of servers
// after the store has come back from an older copy, and against one that puts what it has seen
// before back: a configuration that was replaced, a server that drains, a failure domain that
// was evacuated.
func TestStoreComesBackFromOlderCopy(t *testing.T) {
	drains, stays, later := platformtest.NewServer("s1"), platformtest.NewServer("s2"), platformtest.NewServer("s3")
	defer drains.Close()
	defer stays.Close()
	defer later.Close()
	f := newFixture(t, stays)
	f.store.SetEra(1)
	register := func(s *platformtest.Server, p platformtest.Process) {
		f.deploy.RegisterProcess(s.ID, platformtest.PlainService, s.Address(), p)
		f.gateway.requestServerRefresh()
	}
	usable := func() (ids []string) {
		for _, s := range f.gateway.state.UsableServers(platformtest.PlainService) {
			ids = append(ids, s.ID)
		}
		return ids
	}
	version := func() int64 { return f.gateway.state.currentConfig().Version }
	register(drains, platformtest.Process{StartedUnixMs: 1000, Sequence: 1})
	f.eventually(func() bool { return len(usable()) == 2 })
	f.store.Copy()
	register(drains, platformtest.Process{StartedUnixMs: 1000, Sequence: 5, Draining: true})
	register(later, platformtest.Process{StartedUnixMs: 2000, Sequence: 1})
	f.deploy.Evacuate("zone-3")
	newest := f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool {
		return version() == newest && f.gateway.evacuations.includes("zone-3") && slices.Equal(usable(), []string{"s2", "s3"})
	})

	f.store.Restore()
	f.gateway.requestServerRefresh()
	f.eventually(func() bool { return f.countLogs("the store has come back from an older copy") == 2 })
	require.Equal(t, newest, version())
	require.True(t, f.gateway.evacuations.includes("zone-3"), "until the operators' record says otherwise")
	require.ElementsMatch(t, []string{"s2", "s3"}, usable(), "the draining one stays out, a live one may register again")

	register(later, platformtest.Process{StartedUnixMs: 2000, Sequence: 2})
	f.deploy.Return("zone-3")
	f.eventually(func() bool { return !f.gateway.evacuations.includes("zone-3") })
	after := f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool { return version() == after })
	time.Sleep(recoveryGrace)
	f.gateway.requestServerRefresh()
	require.ElementsMatch(t, []string{"s2", "s3"}, usable())
}

// Guards against an evacuation that stays in force because its end was lost with the history
// of the store, or that ends because its record isn't written again yet.
func TestEvacuationsOverEras(t *testing.T) {
	var e fleet.Evacuations
	at := time.Unix(1000, 0)
	read := func(r fleet.EvacuationRead) {
		at = at.Add(time.Second)
		r.Sent, r.Complete = at, true
		e.ApplyRead(r)
	}
	begin := func(offset int64) []fleet.EvacuationChange {
		return []fleet.EvacuationChange{{Domain: "d", Offset: offset}}
	}
	read(fleet.EvacuationRead{Era: 1, Snapshot: true, EndOffset: 9, Changes: begin(8)})
	read(fleet.EvacuationRead{Era: 2, Snapshot: true, StartedOver: true, EndOffset: 4})
	require.True(t, e.View().Has("d"), "the record may be written again")
	e.ApplyReport(at, fleet.EvacuationView{Era: 1, EndOffset: 9})
	require.True(t, e.View().Has("d"), "a view of the lost history isn't further")
	read(fleet.EvacuationRead{Era: 2, EndOffset: 6, Changes: begin(5)})
	read(fleet.EvacuationRead{Era: 2, EndOffset: 7, Changes: []fleet.EvacuationChange{{Domain: "d", Offset: 6, Withdrawn: true}}})
	require.False(t, e.View().Has("d"))

	read(fleet.EvacuationRead{Era: 2, EndOffset: 8, Changes: begin(7)})
	read(fleet.EvacuationRead{Era: 3, Snapshot: true, StartedOver: true, EndOffset: 2})
	read(fleet.EvacuationRead{Era: 3, Snapshot: true, EndOffset: 2})
	require.False(t, e.View().Has("d"), "the record wasn't written again within seconds")
}

// Guards against refusals and addresses that gateways which start later don't know, because
// the store has lost them.
func TestLostRecordsAreStoredAgain(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.SetEra(1)
	store.Copy()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	client := platform.NewStoreClient(store.Address())
	g := New(settings(), NewClusterState(), telemetry.NewMetrics(Role, "g1", zerolog.Nop()), zerolog.Nop())
	p := newPeerExchange(conn, g, client, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- p.refusals.run(ctx) }()
	go func() { done <- p.discover(ctx) }()
	defer func() {
		cancel()
		<-done
		<-done
	}()
	bad := []quarantine.Feature{{Service: "m", Kind: quarantine.PromptPart, ID: "bad"}}
	for _, id := range []string{"1", "2", "3"} {
		g.crashes.recordCrash(bad, 0, id)
	}
	stored := func() bool {
		addresses, _, err := client.ReadNewest(ctx, platform.GatewayTopic)
		require.NoError(t, err)
		refusals, _, err := client.ReadNewest(ctx, platform.RefusalTopic)
		require.NoError(t, err)
		return len(addresses) == 1 && len(refusals) == 1
	}
	require.Eventually(t, stored, 8*time.Second, 20*time.Millisecond)
	store.Restore()
	require.False(t, stored())
	require.Eventually(t, stored, 12*time.Second, 20*time.Millisecond)
}

// Guards against a follower that calls the store without a pause, because each read is answered
// with 410, with or without a plausible offset.
func TestStoreThatAlwaysTrims(t *testing.T) {
	const (
		watch    = 2 * time.Second
		maxCalls = 30
	)
	for _, body := range []string{`{"startOffset":99}`, `{"startOffset":1}`, `{}`, `gone`} {
		t.Run(body, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				if r.URL.Path == "/api/log-newest" {
					_, _ = w.Write([]byte(`{"items":[],"endOffset":7}`))
					return
				}
				w.WriteHeader(http.StatusGone)
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			f := newTopicFollower(platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://")), "keyed.x", zerolog.Nop())
			ctx, cancel := context.WithTimeout(t.Context(), watch)
			defer cancel()
			for ctx.Err() == nil {
				f.readUntilResponse(ctx)
			}
			require.LessOrEqual(t, calls.Load(), int64(maxCalls))
			require.Greater(t, calls.Load(), int64(2))
		})
	}
}
