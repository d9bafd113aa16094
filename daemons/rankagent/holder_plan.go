package rankagent

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// selectCountReaders returns the ranks whose expert counts are read in a round: none
// while the group may be held or no total is due soon, otherwise as many in turn as the
// link carries.
func (h *holder) selectCountReaders(now time.Time, readsCounts bool) []bool {
	engine := h.group.engine
	if !readsCounts || engine == nil || engine.Experts == nil {
		return nil
	}
	interval := h.readInterval(idleInterval)
	if h.phase == switchover.Preparing {
		interval = h.readInterval(copyInterval)
	}
	_, _, size := h.agent.Identity()
	n := h.group.link.CountReadings(interval, size, engine.Experts.LayerSets*engine.Experts.ExpertsPerLayer)
	furtherRounds := (size - 1) / max(n, 1)
	if !h.planner.recent.Due(now, time.Duration(furtherRounds)*interval) {
		return nil
	}
	return h.countReaders.Select(size, n)
}

// maxCountAge returns the age up to which the counts of a rank are used: a little more
// than it takes to read those of all ranks.
func (h *holder) maxCountAge() time.Duration {
	_, _, size := h.agent.Identity()
	e := h.group.engine.Experts
	interval := h.readInterval(idleInterval)
	// The size is 0 if the rank has left its group since the round began.
	perRound := max(h.group.link.CountReadings(interval, size, e.LayerSets*e.ExpertsPerLayer), 1)
	rounds := (size-1)/perRound + 1
	return max(minCountAge, time.Duration(rounds)*interval*3/2)
}

// observeCounts passes the counts of the ranks to the planner. It returns true if the
// counts of most ranks are newer than at the last observation. now is the begin of the
// round, so that the time between two observations is that between two rounds.
func (h *holder) observeCounts(now time.Time, responses []*pb.ReadRankResponse, t *experts.Topology, inForce *experts.Map) bool {
	observed, err := h.planner.observe(now, h.group.engine.Experts, t, inForce, responses, h.maxCountAge())
	if err != nil {
		h.log.Warn().Err(err).Msg("cannot use the expert counts")
		return false
	}
	if observed && h.effectDue {
		h.effectDue = false
		h.addLoad(h.log.Info()).Float64("expected_skew", h.expectedSkew).Float64("skew_before", h.skewBefore).
			Msg("load under the new expert map")
	}
	return observed
}

// addLoad adds the seen load of the experts and the step time to a log line.
func (h *holder) addLoad(line *zerolog.Event) *zerolog.Event {
	seen := h.planner.seen
	return line.Float64("skew", seen.skew).Dur("count_age_ms", seen.countAge).
		Float64("observations", seen.observations).Dur("step_ms", h.stepTimes.mean)
}

// submitPlan plans a new map, and submits it if the switch is worth its cost.
func (h *holder) submitPlan(t *experts.Topology, inForce *experts.Map) {
	now := clock.Now()
	passes := passTimes{mean: h.stepTimes.mean, gap: h.stepTimes.relativeTo(h.group.eventGapObjective)}
	d, err := h.planner.decide(now, h.group.engine, t, inForce, passes, h.group.link)
	if err != nil {
		h.log.Warn().Err(err).Msg("cannot plan an expert map")
		return
	}
	if !d.Rebalance {
		h.addLoad(h.log.Debug()).Stringer("reason", d.Reason).Msg("expert map kept")
		return
	}
	version := h.version + 1
	if !h.coordinator.Submit(version, &d.Target) {
		return
	}
	h.version = version
	h.switchStart, h.moveCount = now, len(d.Moves)
	h.expectedSkew, h.skewBefore = h.planner.expectedSkew(t, &d.Target), h.planner.seen.skew
	h.phase = switchover.Preparing
	h.addLoad(h.log.Info()).Int64("token", h.token).Int64("version", version).Int("moves", len(d.Moves)).
		Dur("saved_ms", d.Saved).Dur("cost_ms", d.Cost).Dur("copy_ms", d.CopyTime).Float64("expected_skew", h.expectedSkew).
		Dur("planning_ms", clock.Now().Sub(now)).Msg("expert map planned")
}
