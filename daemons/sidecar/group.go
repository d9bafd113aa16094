package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/groupcontrol"
	"github.com/filbertmux/filbertmux/rankgroup/leaselog"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// leaseReleaseTimeout bounds the release of the lease at shutdown. If the lease
// is not released, the next holder has to wait until it expires.
const leaseReleaseTimeout = 2 * time.Second

// groupControl runs the rank group controller of a sidecar. The zero value is
// used for a sidecar without a group.
type groupControl struct {
	controller *groupcontrol.Controller
	// superseded is set when another sidecar has replaced this one.
	superseded atomic.Bool
}

func newGroupControl(lc fx.Lifecycle, o Options, incarnation daemon.Incarnation, client *infra.HTTPClient,
	instances *daemon.InstanceWatcher, t *tablesync.Syncer,
) (*groupControl, error) {
	s := o.Settings
	if s.Group == "" {
		return &groupControl{}, nil
	}
	member, members, err := groupcontrol.MemberFromRanks(s.Ranks, s.GroupRanks)
	if err != nil {
		return nil, err
	}
	seed := rand.Uint64()
	o.Log.Info().Uint64("seed", seed).Msg("seeded the random source of the lease")
	lease := leaselog.New(client, string(incarnation), time.Now, rand.New(rand.NewPCG(seed, 0)), leaseSettings(s.GroupTiming))
	releaseLease := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
		defer cancel()
		lease.Close(ctx)
	}
	lc.Append(fx.StopHook(releaseLease))
	control, err := groupcontrol.New(withTiming(s.GroupTiming, groupcontrol.Options{
		Group: s.Group, MemberID: member, MemberCount: members, Ranks: rankIDs(s.Ranks),
		Incarnation:   groupcontrol.NewIncarnation(time.Now()),
		FailureDomain: s.FailureDomain, Model: s.Service, RankURL: s.RankURL,
		PeerClient:    &http.Client{Transport: daemon.TokenTransport{Token: s.PeerToken.Reveal(), Base: http.DefaultTransport}},
		BackendClient: &http.Client{},
		Addresses:     func(m mapswitch.MemberID) []string { return memberAddresses(instances, s, m) },
		Lease:         lease, WeightStore: client, Table: t, Log: o.Log,
		PlannerWeights: func() (experts.Weights, bool) {
			row, ok := t.View().Service(s.Service)
			return experts.Weights{Skew: row.SkewWeight, Cost: row.RebalanceWeight}, ok
		},
	}.WithDefaults()))
	if err != nil {
		return nil, err
	}
	g := &groupControl{controller: control}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "control the rank group", Run: func(ctx context.Context) error {
		err := control.Run(ctx)
		if err != nil {
			g.superseded.Store(true)
			// Otherwise this process could acquire the lease without a controller
			// that acts on it.
			releaseLease(ctx)
		}
		return err
	}})
	return g, nil
}

// leaseSettings returns the lease settings for the configured TTL. The other
// intervals scale with it.
func leaseSettings(t settings.GroupTiming) leaselog.Settings {
	s := leaselog.DefaultSettings()
	if t.LeaseTTL == 0 {
		return s
	}
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(t.LeaseTTL) / float64(s.Lease.TTL))
	}
	l := &s.Lease
	l.RenewInterval, l.SafetyMargin, l.MaxViewAge, l.TTL = scale(l.RenewInterval), scale(l.SafetyMargin), scale(l.MaxViewAge), t.LeaseTTL
	return s
}

// withTiming returns o with the intervals and rates that are set in t.
func withTiming(t settings.GroupTiming, o groupcontrol.Options) groupcontrol.Options {
	o.Timing.PlanInterval = cmp.Or(t.PlanInterval, o.Timing.PlanInterval)
	o.CoordinatorSettings.StepTime = cmp.Or(t.StepTime, o.CoordinatorSettings.StepTime)
	o.CoordinatorSettings.SwitchLead = cmp.Or(t.SwitchLead, o.CoordinatorSettings.SwitchLead)
	if t.StagingTimeout > 0 {
		// Keep the default ratio, which reserves part of the timeout for retries.
		fraction := float64(o.PlannerSettings.MaxStaging) / float64(o.CoordinatorSettings.StagingTimeout)
		o.PlannerSettings.MaxStaging = time.Duration(fraction * float64(t.StagingTimeout))
		o.CoordinatorSettings.StagingTimeout = t.StagingTimeout
	}
	o.MemberSettings.QueryAfter = cmp.Or(t.VoteTimeout, o.MemberSettings.QueryAfter)
	o.PlannerSettings.StepTime = cmp.Or(t.StepTime, o.PlannerSettings.StepTime)
	o.PlannerSettings.MinInterval = cmp.Or(t.PlanMinInterval, o.PlannerSettings.MinInterval)
	o.PlannerSettings.MoveCost = cmp.Or(t.MoveCost, o.PlannerSettings.MoveCost)
	o.PlannerSettings.StoreRate = cmp.Or(t.StoreRate, o.PlannerSettings.StoreRate)
	return o
}

func rankIDs(ranks []int) []mapswitch.RankID {
	ids := make([]mapswitch.RankID, len(ranks))
	for i, r := range ranks {
		ids[i] = mapswitch.RankID(r)
	}
	return ids
}

// memberAddresses returns the addresses of the sidecars that the instance list
// reports with the ranks of member m.
func memberAddresses(instances *daemon.InstanceWatcher, s settings.Sidecar, m mapswitch.MemberID) []string {
	list := instances.Latest()
	if list == nil {
		return nil
	}
	var found []string
	for _, i := range *list {
		if i.Group == s.Group && len(i.Ranks) > 0 && i.Ranks[0] == int(m)*len(s.Ranks) {
			found = append(found, i.Address)
		}
	}
	return found
}

// handler serves GroupService and /groupz, and passes other requests to next.
func (g *groupControl) handler(s settings.Sidecar, next http.Handler) http.Handler {
	if g.controller == nil {
		return next
	}
	mux := http.NewServeMux()
	path, service := filbertmuxv1connect.NewGroupServiceHandler(g.controller,
		connect.WithReadMaxBytes(s.MaxBodyBytes+messageOverheadBytes))
	mux.Handle(path, daemon.RequireToken(s.PeerToken.Reveal(), g.rejectIfSuperseded(service)))
	mux.HandleFunc("GET /groupz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.controller.Stats())
	})
	mux.Handle("/", next)
	return mux
}

// rejectIfSuperseded refuses calls after the controller has ended and closes
// their connections. Otherwise other members would keep using a connection on
// which messages are accepted without effect.
func (g *groupControl) rejectIfSuperseded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.superseded.Load() {
			w.Header().Set("Connection", "close")
			http.Error(w, "superseded by another sidecar with the same ranks", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
