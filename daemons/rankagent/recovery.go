package rankagent

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// watchInterval is the time between two readings of the own rank.
	watchInterval = 120 * time.Millisecond
	// stallTimeout is the time without a step after which the agent of a rank with
	// active requests suspects that the group is held without a holder. A usual step
	// takes a fifth of it, and a holder completes a switch well within it.
	stallTimeout = 250 * time.Millisecond
	// holderSilence is the time without a call of the holder after which stallTimeout
	// applies. A holder calls every 150 ms. While it does, it completes its switches
	// itself, and the steps of a group with a slow rank take longer than stallTimeout.
	holderSilence = 400 * time.Millisecond
	// maxStall is the time without a step after which the agent acts although the holder
	// calls: the holder may not reach the rank that holds the group.
	maxStall = 2 * time.Second
	// recoveryStagger is multiplied by the rank to delay the recovery by each agent, so
	// that usually only one of them acts.
	recoveryStagger = 25 * time.Millisecond
	// recoveryReadTimeout bounds the reading of each rank. Agents respond within a
	// few ms, and the group makes no progress meanwhile.
	recoveryReadTimeout = 70 * time.Millisecond
	// memberRefreshInterval is the time between two readings of the members of the
	// group. It may be long, because the replacement of a rank starts a new epoch,
	// which ends any hold.
	memberRefreshInterval = time.Minute
	// maxRecoveryRounds is the maximum number of rounds of one recovery attempt.
	maxRecoveryRounds = 25
	// recoveryRetryDelay is the time to the next recovery attempt.
	recoveryRetryDelay = 300 * time.Millisecond
)

// rankWatcher reads the rank beside its agent.
type rankWatcher struct {
	agent            *Agent
	rank             *platform.RankClient
	slowdownReporter *slowdownReporter
	// states has room for one state, which the recoverer takes.
	states chan platform.RankState
}

// recoverer releases a group that is held while its holder is unreachable or frozen.
// Any agent may complete a switch, because the orders follow from the reports of the
// ranks alone. Two agents may safely do so at once.
type recoverer struct {
	agent *Agent
	group *groupClient
	log   zerolog.Logger
	// states delivers the states of the own rank.
	states <-chan platform.RankState

	lastStep    int64
	lastStepAt  time.Time
	refreshedAt time.Time
	// unreachable holds the rank that did not respond in the last round of a recovery,
	// if any.
	unreachable []int
}

// watch reads the own rank until ctx ends, and reports when it is slow. It passes each
// state on, unless a recovery is in progress: the counts of the experts and the speed of
// the rank are read all the same.
func (w *rankWatcher) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, watchInterval)
		s, err := w.rank.State(ctx)
		if err != nil || s.Group == "" {
			continue // the rank can't be read, or doesn't belong to a group yet
		}
		w.agent.updateIdentity(s)
		w.agent.pollCounts(ctx, s.StartedUnixMs)
		w.slowdownReporter.update(ctx, s.Slowdown)
		select {
		case w.states <- s:
		default:
		}
	}
	return nil
}

// run starts a recovery whenever the own rank stalls, until ctx ends.
func (r *recoverer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-r.states:
			r.handle(ctx, s)
		}
	}
}

// handle starts a recovery if the state of the own rank shows that it has stalled.
func (r *recoverer) handle(ctx context.Context, s platform.RankState) {
	now := clock.Now()
	if !r.stalled(now, s, r.agent.sinceHolderCall(now)) {
		r.refresh(ctx)
		return
	}
	clock.Sleep(ctx, time.Duration(s.Report.Rank)*recoveryStagger)
	r.recoverGroup(ctx)
	clock.Sleep(ctx, recoveryRetryDelay)
}

// refresh reads the members of the group in advance. While a group is held, there is
// no time to wait for a store that may not respond.
func (r *recoverer) refresh(ctx context.Context) {
	now := clock.Now()
	if !r.refreshedAt.IsZero() && now.Sub(r.refreshedAt) < memberRefreshInterval {
		return
	}
	if err := r.group.refresh(ctx, false); err != nil {
		r.log.Debug().Err(err).Msg("cannot read the members of the group")
		return
	}
	if r.group.membersKnown() {
		r.refreshedAt = now
	}
}

// stalled reports whether the rank has active requests and has started no step for too
// long, given the time since the holder last called.
func (r *recoverer) stalled(now time.Time, s platform.RankState, sinceHolderCall time.Duration) bool {
	if s.Report.Step != r.lastStep || s.ActiveRequests == 0 || !s.Report.Open {
		r.lastStep, r.lastStepAt = s.Report.Step, now
		return false
	}
	timeout := maxStall
	if sinceHolderCall > holderSilence {
		timeout = stallTimeout
	}
	return now.Sub(r.lastStepAt) >= timeout
}

// recoverGroup completes or cancels the switch of a held group. It changes nothing if
// the group stalls for another reason.
func (r *recoverer) recoverGroup(ctx context.Context) {
	engine := r.group.engine
	if engine == nil || engine.Experts == nil {
		return
	}
	_, own, size := r.agent.Identity()
	c := switchover.New(switchover.Config{HoldRank: own, Ranks: size, LeadSteps: maxLeadSteps(size)})
	t := topology(engine.Experts, r.group.failureDomains())
	start := clock.Now()
	for range maxRecoveryRounds {
		if ctx.Err() != nil || !r.round(ctx, c, t) {
			break
		}
		clock.Sleep(ctx, switchInterval)
	}
	if phase := c.Phase(); phase != switchover.Unknown {
		r.log.Warn().Str("phase", phase.String()).Dur("took_ms", clock.Now().Sub(start)).Msg("recovery of a stalled group ended")
	}
}

// round sends the next orders, and reports whether more may follow.
func (r *recoverer) round(ctx context.Context, c *switchover.Coordinator, t *experts.Topology) bool {
	responses := r.group.readAll(ctx, callOptions{timeout: recoveryReadTimeout, skip: r.unreachable})
	r.unreachable = nil
	if r.hasStepped(responses) {
		return false
	}
	if len(responses) == t.Ranks()-1 {
		if orders := r.cancelOrders(c, t, responses); len(orders) > 0 {
			// The next round doesn't wait for the unreachable rank again.
			r.unreachable = []int{missingRank(responses)}
			r.log.Info().Ints("absent", r.unreachable).Int64("token", c.Issuer().Token).
				Str("order", orders[0].Kind.String()).Int("orders", len(orders)).Msg("cancelling the switch of an unreachable holder")
			r.group.sendOrders(ctx, c, orders, t, callOptions{})
			return true
		}
	}
	opts := callOptions{direct: true}
	if len(responses) < t.Ranks() {
		responses = r.group.readAll(ctx, opts)
	}
	inForce, err := r.group.currentMap(t, responses)
	if err != nil {
		r.log.Debug().Err(err).Msg("cannot read the ranks of the group")
		return true
	}
	reports := decodeReports(responses)
	orders := c.Next(reports, inForce, newestVersion(reports)+versionGap)
	if c.Phase() == switchover.Idle {
		return false
	}
	r.group.sendOrders(ctx, c, orders, t, opts)
	return true
}

// hasStepped reports whether the group has started a step since the stall was detected.
func (r *recoverer) hasStepped(responses []*pb.ReadRankResponse) bool {
	return slices.ContainsFunc(responses, func(a *pb.ReadRankResponse) bool { return a.GetStep() > r.lastStep })
}

// cancelOrders returns the orders that cancel the switch while one rank, the holder's,
// can't be read.
func (r *recoverer) cancelOrders(
	c *switchover.Coordinator, t *experts.Topology, responses []*pb.ReadRankResponse,
) []switchover.Order {
	inForce, err := mapWithoutRank(t, r.group.engine.Experts.LayerSets, responses, missingRank(responses))
	if err != nil {
		r.log.Warn().Err(err).Msg("cannot cancel the switch of an unreachable holder")
		return nil
	}
	reports := decodeReports(responses)
	return c.CancelWithoutHolder(reports, inForce, newestVersion(reports)+versionGap)
}

// missingRank returns the lowest rank that was not read.
func missingRank(responses []*pb.ReadRankResponse) int {
	for rank, r := range responses {
		if int(r.GetRank()) != rank {
			return rank
		}
	}
	return len(responses)
}

// newestVersion returns the highest version that the ranks report.
func newestVersion(reports []switchover.Report) int64 {
	newest := int64(0)
	for _, r := range reports {
		newest = max(newest, r.InForce, r.Prepared)
		if r.Armed != nil {
			newest = max(newest, r.Armed.Version)
		}
	}
	return newest
}
