package rankagent

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// idleInterval is the time between readings of the ranks without a switch.
	idleInterval = 150 * time.Millisecond
	// copyInterval is the same while ranks copy experts, switchInterval during
	// a switch, when the group may be held.
	copyInterval   = 60 * time.Millisecond
	switchInterval = 2 * time.Millisecond
	// blindInterval is the same while ranks can't be read.
	blindInterval = 150 * time.Millisecond
	// standbyInterval is how often an agent that isn't the holder looks whether
	// it is.
	standbyInterval = 200 * time.Millisecond
	// directAfter is the number of rounds after which the ranks of a group that
	// may be held are called without their agents.
	directAfter = 1
	// finishTimeout bounds the completion of a switch by an agent that leaves.
	finishTimeout = 600 * time.Millisecond
	// leadTime is how far ahead of the newest step the group is held: the orders
	// to arm all ranks take less. leadSteps is the most steps that it counts as.
	leadTime  = 160 * time.Millisecond
	leadSteps = 3
	// prepareTimeout bounds the copying of experts: 12 experts of 780 MB take
	// 1.7 s over the usual link.
	prepareTimeout = 6 * time.Second
	// versionsPerToken is the number of map versions that a holder may issue,
	// so that versions grow from holder to holder.
	versionsPerToken = 1_000_000
	// versionGap is left to the versions that the ranks report when an agent
	// becomes the holder: one that is being copied isn't reported.
	versionGap = 1000
)

// holder leads the group while this agent has the duty. It belongs to one
// goroutine.
type holder struct {
	group    *group
	agent    *Agent
	election *election
	log      zerolog.Logger

	token int64
	// version is the last one that was issued, or the base of the first one.
	version int64
	// based says that version lies above those that the ranks report.
	based       bool
	coordinator *switchover.Coordinator
	planner     *planner
	began       time.Time
	moves       int
	phase       switchover.Phase
	pauses      pauses
	// blindRounds counts rounds in which a group that may be held can't be read.
	blindRounds int
}

// run leads the group until ctx ends. A switch that is under way then is
// finished first, so that no group stays held.
func (h *holder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		h.wait(ctx, h.turn(ctx))
	}
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	for h.switching() && finish.Err() == nil {
		clock.Sleep(finish, h.turn(finish))
	}
	if token, ok := h.election.token(); ok {
		// Another agent claims the duty at once.
		h.group.readAll(finish, reached{token: token, leaving: true})
		h.election.release()
	}
	return nil
}

// wait waits until the next turn. One that has just won the duty calls the others
// at once, so that they don't claim it as well.
func (h *holder) wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.election.won:
	}
}

// switching reports whether the group may be held.
func (h *holder) switching() bool {
	return h.phase == switchover.Holding || h.phase == switchover.Arming || h.phase == switchover.Switching
}

// turn does one round if this agent is the holder.
func (h *holder) turn(ctx context.Context) time.Duration {
	token, ok := h.election.token()
	if !ok {
		h.token, h.phase = 0, switchover.Unknown
		return standbyInterval
	}
	if token != h.token {
		h.begin(token)
	}
	return h.round(ctx)
}

// begin starts anew under a token. The counts that were seen before stay of use.
func (h *holder) begin(token int64) {
	_, own, size := h.agent.Identity()
	h.token, h.version = token, token*versionsPerToken
	h.based = false
	h.coordinator = switchover.New(switchover.Config{
		Self:     switchover.Holder{Token: token, Rank: own},
		HoldRank: (own + 1) % max(size, 1), Ranks: size, LeadSteps: leadSteps,
	})
	h.group.refreshed = time.Time{}
	h.phase = switchover.Unknown
	// A switch that a predecessor began is finished without copies of ours.
	h.began, h.moves = clock.Now(), 0
}

// round reads the ranks, gives the orders that follow and returns the time to
// the next round.
func (h *holder) round(ctx context.Context) time.Duration {
	if !h.switching() {
		// A silent store would keep the group held.
		if err := h.group.refresh(ctx, h.phase == switchover.Unknown); err != nil {
			h.log.Debug().Err(err).Msg("members of the group not read")
		}
	}
	idle := h.phase == switchover.Idle || h.phase == switchover.Unknown
	// The calls tell the agents that the group has a holder, also while the
	// configuration isn't known.
	responses := h.group.readAll(ctx, reached{
		token: h.token, counts: idle, direct: h.blindRounds > directAfter,
	})
	if h.superseded(responses) {
		return standbyInterval
	}
	engine := h.group.engine
	if engine == nil || engine.Experts == nil {
		return blindInterval
	}
	t := topology(engine.Experts, h.group.domainList())
	if len(responses) == t.Ranks() {
		t.Pace = paces(responses)
	}
	inForce, err := h.group.merge(t, responses)
	if err != nil {
		h.log.Debug().Err(err).Msg("ranks not read")
		h.phase = switchover.Unknown
		h.noteBlind(responses)
		return blindInterval
	}
	h.blindRounds = 0
	reports := reportsOf(responses)
	h.pauses.note(clock.Now(), reports[0].Step)
	h.coordinator.SetLeadSteps(h.pauses.lead())
	h.raiseVersion(reports)
	orders := h.coordinator.Next(reports, inForce, h.version+1)
	h.notePhase()
	h.give(ctx, orders, t)
	if h.phase == switchover.Idle && idle {
		h.plan(responses, t, inForce)
	}
	return h.pause()
}

// superseded gives the duty up if an agent knows a newer holder. A holder that
// can't reach the store learns of it in no other way.
func (h *holder) superseded(responses []*pb.ReadRankResponse) bool {
	newest := int64(0)
	for _, r := range responses {
		newest = max(newest, r.GetSeen(), r.GetFence())
	}
	if newest <= h.token {
		return false
	}
	h.election.supersede(newest)
	h.phase = switchover.Unknown
	return true
}

// noteBlind counts the rounds in which ranks can't be read although one of the
// others holds the group. After a few, the ranks are called without their agents.
func (h *holder) noteBlind(responses []*pb.ReadRankResponse) {
	for _, r := range responses {
		if r.GetHeld() > 0 || r.GetArmed() != nil {
			h.blindRounds++
			return
		}
	}
	h.blindRounds = 0
}

func reportsOf(responses []*pb.ReadRankResponse) []switchover.Report {
	reports := make([]switchover.Report, 0, len(responses))
	for _, r := range responses {
		reports = append(reports, decodeReport(r))
	}
	return reports
}

func (h *holder) give(ctx context.Context, orders []switchover.Order, t *experts.Topology) {
	if _, ok := h.election.token(); !ok || len(orders) == 0 {
		return
	}
	for _, o := range orders {
		h.version = max(h.version, o.Version)
	}
	h.group.give(ctx, h.coordinator, orders, t, reached{token: h.token, direct: h.blindRounds > directAfter})
}

// pause is the time to the next round.
func (h *holder) pause() time.Duration {
	switch h.phase {
	case switchover.Preparing:
		if clock.Now().Sub(h.began) > prepareTimeout {
			h.log.Warn().Msg("experts not copied in time; the plan is given up")
			h.coordinator.Abandon()
			h.began = clock.Now()
		}
		return copyInterval
	case switchover.Holding, switchover.Arming, switchover.Switching:
		return switchInterval
	case switchover.Unknown:
		return blindInterval
	default:
		return idleInterval
	}
}

// notePhase logs the begin and the end of a switch.
func (h *holder) notePhase() {
	now := h.coordinator.Phase()
	if now == h.phase {
		return
	}
	if h.phase == switchover.Switching && now == switchover.Idle {
		h.log.Info().Int64("token", h.token).Int("moves", h.moves).Dur("took_ms", clock.Now().Sub(h.began)).
			Msg("expert map switched")
	}
	h.phase = now
}

// raiseVersion keeps the versions of this holder above all that the ranks had.
func (h *holder) raiseVersion(reports []switchover.Report) {
	newest := newestVersion(reports)
	if !h.based {
		h.based = true
		newest += versionGap
	}
	h.version = max(h.version, newest)
}

// plan submits a map if one is worth it.
func (h *holder) plan(responses []*pb.ReadRankResponse, t *experts.Topology, inForce *experts.Map) {
	now := clock.Now()
	if err := h.planner.observe(now, h.group.engine.Experts, responses); err != nil {
		h.log.Warn().Err(err).Msg("counts not usable")
		return
	}
	d, err := h.planner.decide(now, h.group.engine, t, inForce, h.pauses.relative(h.group.pauseObjective))
	if err != nil {
		h.log.Warn().Err(err).Msg("no plan")
		return
	}
	if !d.Rebalance {
		return
	}
	version := h.version + 1
	if !h.coordinator.Submit(version, &d.Target) {
		return
	}
	h.version = version
	h.began, h.moves = now, len(d.Moves)
	h.phase = switchover.Preparing
	h.log.Info().Int64("token", h.token).Int64("version", version).Int("moves", len(d.Moves)).
		Dur("saved_ms", d.Saved).Dur("cost_ms", d.Cost).Msg("expert map planned")
}
