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
	// watchInterval is the time between looks at the own rank.
	watchInterval = 120 * time.Millisecond
	// stuckAfter is how long a rank with work may begin no step before its agent
	// suspects that the group is held without a holder. The usual step takes a
	// fifth of it, and a holder finishes a switch well within it.
	stuckAfter = 250 * time.Millisecond
	// stagger puts off the agents of higher ranks, so that one of them acts.
	stagger = 25 * time.Millisecond
	// rescueReadTimeout bounds the reading of the ranks. Agents answer within a
	// few ms, and the group stands still meanwhile.
	rescueReadTimeout = 70 * time.Millisecond
	// memberInterval is the time between readings of the members of the group.
	// Ranks that are replaced come with a new epoch, which ends any hold.
	memberInterval = time.Minute
	// rescueRounds bounds one try.
	rescueRounds = 25
	// rescuePause is the time to the next try.
	rescuePause = 300 * time.Millisecond
)

// rescuer frees a group that is held while its holder is gone or frozen. Any
// agent may finish a switch: the orders that do so follow from the reports of
// the ranks alone, so two agents that give them do no harm.
type rescuer struct {
	agent *Agent
	rank  *platform.RankClient
	group *group
	pace  *paceReporter
	log   zerolog.Logger

	step      int64
	movedAt   time.Time
	refreshed time.Time
	// absent is the rank that didn't answer in the last round of a rescue.
	absent []int
}

// run watches the own rank until ctx ends.
func (r *rescuer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, watchInterval)
		s, err := r.rank.State(ctx)
		if err != nil || s.Group == "" {
			continue // the agent logs what it reads of its rank
		}
		r.agent.note(s)
		r.pace.note(ctx, s.Slowdown)
		if !r.stuck(clock.Now(), s) {
			r.refresh(ctx)
			continue
		}
		clock.Sleep(ctx, time.Duration(s.Report.Rank)*stagger)
		r.rescue(ctx)
		clock.Sleep(ctx, rescuePause)
	}
	return nil
}

// refresh reads the members of the group ahead of need: while a group is held,
// there is no time to ask a store that may be silent.
func (r *rescuer) refresh(ctx context.Context) {
	now := clock.Now()
	if !r.refreshed.IsZero() && now.Sub(r.refreshed) < memberInterval {
		return
	}
	if err := r.group.refresh(ctx, false); err != nil {
		r.log.Debug().Err(err).Msg("members of the group not read")
		return
	}
	if r.group.complete() {
		r.refreshed = now
	}
}

// stuck reports whether a rank with work begins no steps.
func (r *rescuer) stuck(now time.Time, s platform.RankState) bool {
	if s.Report.Step != r.step || s.ActiveRequests == 0 || !s.Report.Open {
		r.step, r.movedAt = s.Report.Step, now
		return false
	}
	return now.Sub(r.movedAt) >= stuckAfter
}

// rescue finishes the switch of a held group. It does nothing in a group that
// stalls for another reason.
func (r *rescuer) rescue(ctx context.Context) {
	engine := r.group.engine
	if engine == nil || engine.Experts == nil {
		return
	}
	_, own, size := r.agent.Identity()
	c := switchover.New(switchover.Config{HoldRank: own, Ranks: size, LeadSteps: leadSteps})
	t := topology(engine.Experts, r.group.domainList())
	began := clock.Now()
	for range rescueRounds {
		if ctx.Err() != nil || !r.round(ctx, c, t) {
			break
		}
		clock.Sleep(ctx, switchInterval)
	}
	if phase := c.Phase(); phase != switchover.Unknown {
		r.log.Warn().Str("phase", phase.String()).Dur("took_ms", clock.Now().Sub(began)).Msg("group that stood still was looked at")
	}
}

// round gives the next orders and reports whether more may follow.
func (r *rescuer) round(ctx context.Context, c *switchover.Coordinator, t *experts.Topology) bool {
	responses := r.group.readAll(ctx, reached{timeout: rescueReadTimeout, skip: r.absent})
	r.absent = nil
	if r.moving(responses) {
		return false
	}
	if len(responses) == t.Ranks()-1 {
		if orders := r.undo(c, t, responses); len(orders) > 0 {
			// The next round doesn't wait again for the rank that is lost.
			r.absent = []int{absentRank(responses)}
			r.log.Info().Ints("absent", r.absent).Int64("token", c.Issuer().Token).
				Str("order", orders[0].Kind.String()).Int("orders", len(orders)).Msg("undoing the switch of a lost holder")
			r.group.give(ctx, c, orders, t, reached{})
			return true
		}
	}
	how := reached{direct: true}
	if len(responses) < t.Ranks() {
		responses = r.group.readAll(ctx, how)
	}
	inForce, err := r.group.merge(t, responses)
	if err != nil {
		r.log.Debug().Err(err).Msg("ranks not read")
		return true
	}
	reports := reportsOf(responses)
	orders := c.Next(reports, inForce, newestVersion(reports)+versionGap)
	if c.Phase() == switchover.Idle {
		return false
	}
	r.group.give(ctx, c, orders, t, how)
	return true
}

// moving reports whether the group has begun a step since it stood still.
func (r *rescuer) moving(responses []*pb.ReadRankResponse) bool {
	return slices.ContainsFunc(responses, func(a *pb.ReadRankResponse) bool { return a.GetStep() > r.step })
}

// undo returns the orders that free the group without the rank that wasn't read.
func (r *rescuer) undo(
	c *switchover.Coordinator, t *experts.Topology, responses []*pb.ReadRankResponse,
) []switchover.Order {
	inForce, err := mapWithoutRank(t, r.group.engine.Experts.LayerSets, responses, absentRank(responses))
	if err != nil {
		r.log.Warn().Err(err).Msg("the switch can't be undone")
		return nil
	}
	reports := reportsOf(responses)
	return c.CancelWithoutHolder(reports, inForce, newestVersion(reports)+versionGap)
}

// absentRank returns the lowest rank that was not read.
func absentRank(responses []*pb.ReadRankResponse) int {
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
