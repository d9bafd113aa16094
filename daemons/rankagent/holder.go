package rankagent

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/linkbudget"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// idleInterval is the time between two readings of the ranks while no switch is
	// in progress.
	idleInterval = 150 * time.Millisecond
	// copyInterval is the same while ranks copy experts, and switchInterval while
	// the group may be held.
	copyInterval   = 60 * time.Millisecond
	switchInterval = 2 * time.Millisecond
	// maxFollowUps is the number of times that a round goes on with new reports of the
	// ranks that got orders. A switch takes four: hold, arm the ranks, arm the own rank,
	// release. The others are for orders that were lost.
	maxFollowUps = 8
	// maxFollowUpAge is the age of the first reports of a round up to which it goes on
	// so. It is less than stallTimeout, after which other agents act.
	maxFollowUpAge = 200 * time.Millisecond
	// minCountAge is the least age up to which the counts of a rank are used.
	minCountAge = 350 * time.Millisecond
	// minWait is the shortest time between two rounds.
	minWait = time.Millisecond
	// readRetryInterval is the same while ranks can't be read.
	readRetryInterval = 150 * time.Millisecond
	// standbyInterval is how often an agent that isn't the holder checks whether it
	// has become the holder.
	standbyInterval = 200 * time.Millisecond
	// failedReadsBeforeDirect is the number of consecutive rounds with failed reads
	// after which the ranks of a group that may be held are called without their
	// agents.
	failedReadsBeforeDirect = 1
	// finishTimeout bounds the completion of a switch while the daemon stops.
	finishTimeout = 600 * time.Millisecond
	// copyTimeout bounds the copying of experts. Copying 12 experts of 780 MB
	// takes 1.7 s over the usual link.
	copyTimeout = 6 * time.Second
	// versionsPerToken is the number of map versions reserved for each fencing
	// token, so that each holder issues higher versions than its predecessors.
	versionsPerToken = 1_000_000
	// versionGap is the distance that a new holder keeps from the versions that the
	// ranks report, because they don't report a version that they are still copying.
	versionGap = 1000
)

// holder coordinates the group while this agent is the holder. It is not safe for
// concurrent use.
type holder struct {
	group    *groupClient
	agent    *Agent
	election *election
	log      zerolog.Logger

	token int64
	// version is the last map version that was issued. The next one is higher.
	version int64
	// versionRaised is set once version was raised above the versions of the ranks in
	// this term.
	versionRaised bool
	coordinator   *switchover.Coordinator
	planner       *planner
	switchStart   time.Time
	moveCount     int
	// expectedSkew is the skew that the last plan expects, and skewBefore the one seen
	// when it was made.
	expectedSkew, skewBefore float64
	// preparedAt is when all ranks had copied the experts of the last plan of this term, and
	// armedAt when all were armed. preparedAt is zero for the switch of a predecessor.
	preparedAt, armedAt time.Time
	// releaseDue is set from the arming of all ranks until the hold is seen released.
	releaseDue bool
	// effectDue is set from the end of a switch until the load under the new map is seen.
	effectDue bool
	phase     switchover.Phase
	// held is true if a rank held the group at the last reading.
	held      bool
	stepTimes stepTimer
	// countReaders selects the ranks whose counts the next round reads.
	countReaders linkbudget.Rotation
	// failedReadRounds counts consecutive rounds in which a rank of a group that may
	// be held could not be read.
	failedReadRounds int
}

// run coordinates the group until ctx ends. It then completes a switch in progress
// first, so that the group doesn't stay held.
func (h *holder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		start := clock.Now()
		interval := h.roundIfHolder(ctx)
		h.wait(ctx, max(interval-clock.Now().Sub(start), minWait))
	}
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	for h.mayBeHeld() && finish.Err() == nil {
		clock.Sleep(finish, h.roundIfHolder(finish))
	}
	if token, ok := h.election.token(); ok {
		// Tells the other agents, so that one of them claims the role at once.
		h.group.readAll(finish, callOptions{token: token, leaving: true})
		h.election.release()
	}
	return nil
}

// wait waits for the given interval, or until this agent becomes the holder. A new
// holder calls the other agents at once, so that they don't claim the role as well.
func (h *holder) wait(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.election.won:
	}
}

// mayBeHeld reports whether the group may be held.
func (h *holder) mayBeHeld() bool {
	return h.phase == switchover.Holding || h.phase == switchover.Arming || h.phase == switchover.Switching
}

// roundIfHolder runs one round if this agent is the holder, and returns the time to
// the next one.
func (h *holder) roundIfHolder(ctx context.Context) time.Duration {
	token, ok := h.election.token()
	if !ok {
		h.token, h.phase = 0, switchover.Unknown
		return standbyInterval
	}
	if token != h.token {
		h.startTerm(token)
	}
	return h.round(ctx)
}

// startTerm resets the coordination for a new fencing token. The planner keeps the
// counts that it has observed.
func (h *holder) startTerm(token int64) {
	_, own, size := h.agent.Identity()
	h.token, h.version = token, token*versionsPerToken
	h.versionRaised = false
	h.coordinator = switchover.New(switchover.Config{
		Self:     switchover.Holder{Token: token, Rank: own},
		HoldRank: (own + 1) % max(size, 1), Ranks: size, LeadSteps: maxLeadSteps(size),
	})
	h.group.refreshedAt = time.Time{}
	h.phase = switchover.Unknown
	// If this term completes a switch of a predecessor, the number of its moves isn't
	// known, and 0 is logged.
	h.switchStart, h.moveCount = clock.Now(), 0
	h.preparedAt, h.armedAt = time.Time{}, time.Time{}
}

// round reads the ranks, sends the resulting orders and returns the time to the
// next round.
func (h *holder) round(ctx context.Context) time.Duration {
	start := clock.Now()
	h.refreshMembers(ctx)
	idle := h.phase == switchover.Idle || h.phase == switchover.Unknown
	readsCounts := idle || h.phase == switchover.Preparing
	// The reads also tell the agents that the group has a holder, so they are made
	// even if the configuration isn't known yet.
	responses := h.group.readAll(ctx, callOptions{
		token: h.token, counts: h.selectCountReaders(start, readsCounts), direct: h.failedReadRounds > failedReadsBeforeDirect,
	})
	if h.yieldIfSuperseded(responses) {
		return standbyInterval
	}
	engine := h.group.engine
	if engine == nil || engine.Experts == nil {
		return readRetryInterval
	}
	t := topology(engine.Experts, h.group.failureDomains())
	if len(responses) == t.Ranks() {
		t.Slowdown = slowdowns(responses)
	}
	inForce, err := h.group.currentMap(t, responses)
	if err != nil {
		h.log.Debug().Err(err).Msg("cannot read the ranks of the group")
		h.phase = switchover.Unknown
		h.countFailedRead(responses)
		return readRetryInterval
	}
	h.failedReadRounds = 0
	reports := decodeReports(responses)
	h.stepTimes.observe(clock.Now(), reports[0].Step)
	h.coordinator.SetLeadSteps(h.stepTimes.leadSteps(len(reports)))
	orders := h.nextOrders(reports, inForce)
	h.sendOrders(ctx, orders, t)
	if h.mayBeHeld() && !h.followUp(ctx, start, responses, orders, inForce, t) {
		return standbyInterval
	}
	if readsCounts && sameMapInForce(responses) && h.observeCounts(start, responses, t, inForce) && h.phase == switchover.Idle && idle {
		h.submitPlan(t, inForce)
	}
	return h.nextInterval()
}

// refreshMembers reads the members of the group from the store, unless the group may be held: a
// store that doesn't respond would prolong the hold.
func (h *holder) refreshMembers(ctx context.Context) {
	if h.mayBeHeld() {
		return
	}
	if err := h.group.refresh(ctx, h.phase == switchover.Unknown); err != nil {
		h.log.Debug().Err(err).Msg("cannot read the members of the group")
	}
}

// nextOrders returns the next orders for the reports of all ranks.
func (h *holder) nextOrders(reports []switchover.Report, inForce *experts.Map) []switchover.Order {
	h.raiseVersion(reports)
	h.held = slices.ContainsFunc(reports, func(r switchover.Report) bool { return r.HoldStep > 0 })
	orders := h.coordinator.Next(reports, inForce, h.version+1)
	h.updatePhase()
	if h.releaseDue && !h.held {
		h.releaseDue = false
		h.stepTimes.observeArming(clock.Now().Sub(h.preparedAt))
	}
	return orders
}

// followUp continues a round that began at start while the group may be held: it reads the
// ranks that got the last orders again, and sends the next orders. The other ranks got none,
// so that their reports are as good as new ones, unless this process paused meanwhile and
// other agents have acted. followUp returns false if a newer holder is known.
func (h *holder) followUp(
	ctx context.Context, start time.Time, responses []*pb.ReadRankResponse, orders []switchover.Order, inForce *experts.Map, t *experts.Topology,
) bool {
	for range maxFollowUps {
		if len(orders) == 0 {
			return true
		}
		newer := h.group.readAll(ctx, callOptions{token: h.token, only: ranksOf(orders)})
		if h.yieldIfSuperseded(newer) {
			return false
		}
		if len(newer) != len(orders) || clock.Now().Sub(start) > maxFollowUpAge {
			return true
		}
		for _, r := range newer {
			responses[r.GetRank()] = r
		}
		if !sameMapInForce(responses) {
			return true
		}
		orders = h.nextOrders(decodeReports(responses), inForce)
		h.sendOrders(ctx, orders, t)
	}
	return true
}

// ranksOf returns the ranks that orders are for. Each rank gets one order at a time.
func ranksOf(orders []switchover.Order) []int {
	ranks := make([]int, 0, len(orders))
	for _, o := range orders {
		ranks = append(ranks, o.Rank)
	}
	return ranks
}

// yieldIfSuperseded gives up the role of holder if an agent knows a newer holder. A
// holder that can't reach the store learns of a newer one in no other way.
func (h *holder) yieldIfSuperseded(responses []*pb.ReadRankResponse) bool {
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

// countFailedRead counts a round in which some ranks could not be read, if another
// rank is armed or holds the group. After more than failedReadsBeforeDirect such
// rounds, the ranks are called without their agents.
func (h *holder) countFailedRead(responses []*pb.ReadRankResponse) {
	for _, r := range responses {
		if r.GetHeld() > 0 || r.GetArmed() != nil {
			h.failedReadRounds++
			return
		}
	}
	h.failedReadRounds = 0
}

// decodeReports converts responses to the reports of the ranks.
func decodeReports(responses []*pb.ReadRankResponse) []switchover.Report {
	reports := make([]switchover.Report, 0, len(responses))
	for _, r := range responses {
		reports = append(reports, decodeReport(r))
	}
	return reports
}

// sendOrders sends the orders if this agent is still the holder.
func (h *holder) sendOrders(ctx context.Context, orders []switchover.Order, t *experts.Topology) {
	if _, ok := h.election.token(); !ok || len(orders) == 0 {
		return
	}
	for _, o := range orders {
		h.version = max(h.version, o.Version)
	}
	h.group.sendOrders(ctx, h.coordinator, orders, t, callOptions{token: h.token, direct: h.failedReadRounds > failedReadsBeforeDirect})
}

// raiseVersion keeps the versions of this holder above all versions of the ranks.
func (h *holder) raiseVersion(reports []switchover.Report) {
	newest := newestVersion(reports)
	if !h.versionRaised {
		h.versionRaised = true
		newest += versionGap
	}
	h.version = max(h.version, newest)
}
