package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/rankgroup/groupcontrol"
	"github.com/filbertmux/filbertmux/rankgroup/lease"
	"github.com/filbertmux/filbertmux/rankgroup/leaselog"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

// groupStatus starts a sidecar process and returns the status code of /groupz.
func groupStatus(t *testing.T, adjust func(*settings.Sidecar)) int {
	t.Helper()
	backend := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(backend.Close)
	p := httptest.NewServer(standin.NewPlatform(standin.PlatformConfig{}))
	t.Cleanup(p.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := settings.Sidecar{
		Common: settings.Common{
			Advertise: l.Addr().String(), Instance: "s1", PlatformURL: p.URL, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 16,
			PlatformTimeout: 5 * time.Second, InstanceInterval: time.Second, RetentionWindow: 24 * time.Hour, ClockSkew: time.Minute,
		},
		BackendURL: backend.URL, Service: "svc", MaxInFlight: 4, ReplayBytes: 1 << 16, ChunkBytes: 1 << 10,
		HeartbeatInterval: time.Second, ResumeWindow: time.Second, BackendTimeout: time.Minute,
	}
	adjust(&s)
	app := fx.New(Module(Options{Settings: s, Listener: l, Log: zerolog.Nop()}))
	require.NoError(t, app.Start(t.Context()))
	t.Cleanup(func() { _ = app.Stop(context.Background()) })
	resp, err := http.Get("http://" + l.Addr().String() + "/groupz")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a sidecar of a group that does not reach its ranks, and
// against group control in a sidecar without a group.
func TestGroupRunsOnlyWhereSet(t *testing.T) {
	require.Equal(t, http.StatusNotFound, groupStatus(t, func(*settings.Sidecar) {}))
	g, err := standin.NewRankGroup(standin.RankGroupConfig{Replicas: 1, RanksPerReplica: 2, Layers: 1, Experts: 2, SlotsPerRank: 1})
	require.NoError(t, err)
	ranks := httptest.NewServer(g.Handler(0))
	t.Cleanup(ranks.Close)
	require.Equal(t, http.StatusOK, groupStatus(t, func(s *settings.Sidecar) {
		s.Group, s.Ranks, s.GroupRanks, s.RankURL = "g", []int{0, 1}, 2, ranks.URL
	}))
	require.Eventually(t, func() bool { return g.RankStatuses(0).Session > 0 }, time.Minute, 5*time.Millisecond)
}

// Guards against defaults that change with a flag that nobody set, and against
// a flag without effect.
func TestGroupTiming(t *testing.T) {
	defaults := groupcontrol.Options{}.WithDefaults()
	require.Equal(t, defaults, timed(settings.GroupTiming{}, defaults))
	require.Equal(t, leaselog.DefaultSettings(), leaseSettings(settings.GroupTiming{}))
	require.Equal(t, lease.Settings{
		TTL: 3 * time.Second, RenewInterval: time.Second, SafetyMargin: 300 * time.Millisecond, MaxViewAge: 3 * time.Second, MaxLeases: 10_000,
	}, leaseSettings(settings.GroupTiming{LeaseTTL: 3 * time.Second}).Lease)
	set := timed(settings.GroupTiming{
		PlanInterval: 1, PlanMinInterval: 2, StepTime: 3, SwitchLead: 4, VoteTimeout: 5, StagingTimeout: 8, MoveCost: 7, StoreRate: 9,
	}, defaults)
	want := defaults
	want.Timing.PlanInterval, want.PlannerSettings.MinInterval, want.PlannerSettings.StepTime, want.CoordinatorSettings.StepTime = 1, 2, 3, 3
	want.CoordinatorSettings.SwitchLead, want.MemberSettings.QueryAfter, want.CoordinatorSettings.StagingTimeout = 4, 5, 8
	want.PlannerSettings.MaxStaging, want.PlannerSettings.MoveCost, want.PlannerSettings.StoreRate = 4, 7, 9
	require.Equal(t, want, set)
}

// Guards against a sidecar that goes on to accept group messages, or to stand
// for the lease, after another one has taken its place. The ranks answer slowly,
// as on a busy machine: a sidecar that reads them after its successor's session
// opens a higher one and is rightly not superseded, so the test waits until the
// session is open.
func TestSupersededSidecarLeavesTheGroup(t *testing.T) {
	g, err := standin.NewRankGroup(standin.RankGroupConfig{Replicas: 1, RanksPerReplica: 2, Layers: 1, Experts: 2, SlotsPerRank: 1})
	require.NoError(t, err)
	answer := g.Handler(0)
	ranks := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		answer.ServeHTTP(w, r)
	}))
	t.Cleanup(ranks.Close)
	var address string
	groupStatus(t, func(s *settings.Sidecar) {
		address = s.Advertise
		s.Group, s.Ranks, s.GroupRanks, s.RankURL = "g", []int{0, 1}, 2, ranks.URL
	})
	deliver := func() (status int, closes bool, err error) {
		resp, err := http.Post("http://"+address+filbertmuxv1connect.GroupServiceDeliverProcedure, "application/json", strings.NewReader("{}"))
		if err != nil {
			return 0, false, err
		}
		return resp.StatusCode, resp.Close, resp.Body.Close()
	}
	status, _, err := deliver()
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status) // the request names no group
	require.Eventually(t, func() bool { return g.RankStatuses(0).Session > 0 }, time.Minute, 5*time.Millisecond)
	_, err = g.ExecuteBatch(0, rankapi.Batch{Session: 1 << 63, Seq: 1})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		status, closes, err := deliver()
		return err == nil && status == http.StatusServiceUnavailable && closes
	}, time.Minute, 5*time.Millisecond)
}
