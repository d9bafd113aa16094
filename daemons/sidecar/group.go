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

// leaseReleaseTimeout bounds the release of the lease at shutdown. Without the
// release, the next holder waits until the lease expires.
const leaseReleaseTimeout = 2 * time.Second

// group is the part of a sidecar that controls its rank group. It is empty in
// a sidecar without a group.
type group struct {
	control *groupcontrol.Controller
	// ended says that another sidecar has taken the place of this one.
	ended atomic.Bool
}

func newGroup(lc fx.Lifecycle, o Options, incarnation daemon.Incarnation, client *infra.HTTPClient,
	instances *daemon.InstanceWatcher, t *tablesync.Syncer,
) (*group, error) {
	s := o.Settings
	if s.Group == "" {
		return &group{}, nil
	}
	member, members, err := groupcontrol.MemberFromRanks(s.Ranks, s.GroupRanks)
	if err != nil {
		return nil, err
	}
	seed := rand.Uint64()
	o.Log.Info().Uint64("seed", seed).Msg("random source of the lease")
	lease := leaselog.New(client, string(incarnation), time.Now, rand.New(rand.NewPCG(seed, 0)), leaseSettings(s.GroupTiming))
	withdraw := func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
		defer cancel()
		lease.Close(ctx)
	}
	lc.Append(fx.StopHook(withdraw))
	control, err := groupcontrol.New(timed(s.GroupTiming, groupcontrol.Options{
		Group: s.Group, MemberID: member, MemberCount: members, Ranks: rankIDs(s.Ranks),
		Incarnation:   groupcontrol.NewIncarnation(time.Now()),
		FailureDomain: s.FailureDomain, Model: s.Service, RankURL: s.RankURL,
		PeerClient:    &http.Client{Transport: daemon.TokenTransport{Token: s.PeerToken.Reveal(), Base: http.DefaultTransport}},
		BackendClient: &http.Client{},
		Addresses:     func(m mapswitch.MemberID) []string { return addresses(instances, s, m) },
		Lease:         lease, WeightStore: client, Table: t, Log: o.Log,
		PlannerWeights: func() (experts.Weights, bool) {
			row, ok := t.View().Service(s.Service)
			return experts.Weights{Skew: row.SkewWeight, Cost: row.RebalanceWeight}, ok
		},
	}.WithDefaults()))
	if err != nil {
		return nil, err
	}
	g := &group{control: control}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "control the rank group", Run: func(ctx context.Context) error {
		err := control.Run(ctx)
		if err != nil {
			g.ended.Store(true)
			// Otherwise it could win the lease and nobody would act on it.
			withdraw(ctx)
		}
		return err
	}})
	return g, nil
}

// leaseSettings keeps the proportions of the defaults.
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

// timed returns o with the intervals and rates that are set.
func timed(t settings.GroupTiming, o groupcontrol.Options) groupcontrol.Options {
	o.Timing.PlanInterval = cmp.Or(t.PlanInterval, o.Timing.PlanInterval)
	o.CoordinatorSettings.StepTime = cmp.Or(t.StepTime, o.CoordinatorSettings.StepTime)
	o.CoordinatorSettings.SwitchLead = cmp.Or(t.SwitchLead, o.CoordinatorSettings.SwitchLead)
	if t.StagingTimeout > 0 {
		// The planner leaves the same part of the time for retries as it does
		// by default.
		part := float64(o.PlannerSettings.MaxStaging) / float64(o.CoordinatorSettings.StagingTimeout)
		o.PlannerSettings.MaxStaging = time.Duration(part * float64(t.StagingTimeout))
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

// addresses returns the sidecars that the instance list has in the place of a
// member.
func addresses(instances *daemon.InstanceWatcher, s settings.Sidecar, m mapswitch.MemberID) []string {
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

// handler adds the service and the status of the group to next.
func (g *group) handler(s settings.Sidecar, next http.Handler) http.Handler {
	if g.control == nil {
		return next
	}
	mux := http.NewServeMux()
	path, service := filbertmuxv1connect.NewGroupServiceHandler(g.control,
		connect.WithReadMaxBytes(s.MaxBodyBytes+messageOverheadBytes))
	mux.Handle(path, daemon.RequireToken(s.PeerToken.Reveal(), g.untilEnded(service)))
	mux.HandleFunc("GET /groupz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.control.Stats())
	})
	mux.Handle("/", next)
	return mux
}

// untilEnded refuses calls after the control ended, and closes their
// connections. Other members would keep a connection on which each message is
// accepted and none has an effect.
func (g *group) untilEnded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.ended.Load() {
			w.Header().Set("Connection", "close")
			http.Error(w, "another sidecar is in this place", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
