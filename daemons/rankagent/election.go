package rankagent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// electionTopic has the partition that goes with the duty of each group.
	electionTopic = "rank-groups"
	// dutyPartition belongs to the holder.
	dutyPartition = 0
	// tenureTTL is how long a holder that fell silent keeps the duty. A group
	// goes on with its map meanwhile, which no longer fits after two or three
	// changes of the mix of work.
	tenureTTL = 1800 * time.Millisecond
	// renewInterval is the time between renewals; two may be lost.
	renewInterval = 500 * time.Millisecond
	// tenureMargin is how long before the end of its tenure a holder stops. It
	// covers a round of orders.
	tenureMargin = 300 * time.Millisecond
	leaveTimeout = 300 * time.Millisecond
	// candidateSilence is the time without a call of the holder after which an
	// agent is a candidate. Holders call each 150 ms.
	candidateSilence = 900 * time.Millisecond
	// candidateStagger puts off the agents of higher ranks, so that few of them
	// ask the store at once, and candidateSteps bounds how often.
	candidateStagger = 250 * time.Millisecond
	candidateSteps   = 8
)

// tenure is the time for which an agent is the holder. Its clock counts while
// the machine is suspended.
type tenure struct {
	// token is the fencing token, higher for each change of the holder.
	token int64
	// until is when the store may give the duty to another agent.
	until time.Time
}

// holds reports whether no other agent can have the duty at now.
func (t tenure) holds(now time.Time) bool {
	return t.token > 0 && now.Before(t.until.Add(-tenureMargin))
}

// election keeps this agent the holder of its group, or a candidate while the
// group has none. It is safe for concurrent use.
//
// While the store doesn't answer, a holder goes on: the ranks need a map that fits
// most when the store is away for long. Two holders at a time do no harm to the
// group (rankgroup/switchover), and the older one stops as soon as an agent knows
// of the newer one.
type election struct {
	store  *platform.Store
	member string
	log    zerolog.Logger

	mu         sync.Mutex
	group      string
	generation int64
	tenure     tenure
	// storeLost says that the last renewal got no answer, and joined that the
	// store may count this agent as a member.
	storeLost bool
	joined    bool
}

func newElection(store *platform.Store, member string, log zerolog.Logger) *election {
	return &election{store: store, member: member, log: log}
}

// token returns the fencing token while this agent is the holder.
func (e *election) token(now time.Time) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure.token, e.tenure.holds(now) || e.tenure.token > 0 && e.storeLost
}

// supersede ends the tenure, because another agent has the duty.
func (e *election) supersede(newer int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Info().Str("group", e.group).Int64("token", e.tenure.token).Int64("newer", newer).
		Msg("another agent is the holder of the group")
	e.tenure = tenure{}
}

// candidate describes this agent to its election.
type candidate struct {
	// group is empty until it was read.
	group string
	rank  int
	// silence is the time since a holder last called.
	silence time.Duration
}

// wanted reports whether the group needs c as a candidate.
func (c candidate) wanted() bool {
	stagger := time.Duration(c.rank%candidateSteps) * candidateStagger
	return c.silence >= candidateSilence+stagger
}

// run renews the duty or the candidacy until ctx ends.
func (e *election) run(ctx context.Context, self func() candidate) error {
	failures := 0
	for ctx.Err() == nil {
		c := self()
		if _, holder := e.token(clock.Now()); c.group == "" || !holder && !c.wanted() {
			clock.Sleep(ctx, standbyInterval)
			continue
		}
		err := e.renew(ctx, c.group)
		switch {
		case err == nil:
			if failures > 0 {
				e.log.Info().Int("failures", failures).Msg("store regained")
			}
			failures = 0
		case failures == 0:
			e.log.Warn().Err(err).Msg("store lost")
			fallthrough
		default:
			failures++
			e.store.CloseIdle()
		}
		clock.Sleep(ctx, time.Duration((0.8+0.4*rand.Float64())*float64(renewInterval)))
	}
	e.leave()
	return nil
}

func (e *election) renew(ctx context.Context, group string) error {
	e.mu.Lock()
	generation := e.generation
	if group != e.group {
		generation = 0
	}
	e.mu.Unlock()
	sent := clock.Now()
	m, err := e.store.Join(ctx, "rank-group."+group, e.member, electionTopic, tenureTTL, generation)
	if err != nil {
		e.mu.Lock()
		e.storeLost, e.joined = true, true
		e.mu.Unlock()
		return err
	}
	e.take(group, m, sent)
	return nil
}

// take notes an answer of the store to a call that was sent at sent. The store
// counts the tenure from the arrival of the call, which is later.
func (e *election) take(group string, m platform.Membership, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.tenure
	e.group, e.generation = group, m.Generation
	e.storeLost, e.joined = false, true
	if !slices.Contains(m.Partitions, dutyPartition) {
		e.tenure = tenure{}
		if before.token > 0 {
			e.log.Info().Str("group", group).Int64("generation", m.Generation).Msg("no longer holder of the group")
		}
		return
	}
	e.tenure = tenure{token: m.Generation, until: sent.Add(tenureTTL)}
	if before.token > 0 && sent.Before(before.until) {
		// Candidates come and go, and nobody else had the duty meanwhile.
		e.tenure.token = before.token
		return
	}
	e.log.Info().Str("group", group).Int64("token", m.Generation).Msg("holder of the group")
}

// leave gives the duty back, so that another agent has it at once.
func (e *election) leave() {
	e.mu.Lock()
	group, joined := e.group, e.joined
	e.tenure = tenure{}
	e.mu.Unlock()
	if group == "" || !joined {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := e.store.Leave(ctx, "rank-group."+group, e.member); err != nil {
		e.log.Warn().Err(err).Msg("the duty was not given back")
	}
}
