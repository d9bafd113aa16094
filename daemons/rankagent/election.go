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
)

// tenure is the time for which an agent is the holder. Its clock counts while
// the machine is suspended.
type tenure struct {
	// token is the fencing token, higher for each change of the group.
	token int64
	// until is when the store may give the duty to another agent.
	until time.Time
}

// holds reports whether the agent may act as the holder at now.
func (t tenure) holds(now time.Time) bool {
	return t.token > 0 && now.Before(t.until.Add(-tenureMargin))
}

// election keeps this agent a candidate for the duty of its group. It is safe
// for concurrent use.
type election struct {
	store  *platform.Store
	member string
	log    zerolog.Logger

	mu         sync.Mutex
	group      string
	generation int64
	tenure     tenure
}

func newElection(store *platform.Store, member string, log zerolog.Logger) *election {
	return &election{store: store, member: member, log: log}
}

// token returns the fencing token while this agent is the holder.
func (e *election) token(now time.Time) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tenure.token, e.tenure.holds(now)
}

// run renews the candidacy until ctx ends. group returns the group of the rank,
// which is empty until it was read.
func (e *election) run(ctx context.Context, group func() string) error {
	failures := 0
	for ctx.Err() == nil {
		name := group()
		if name == "" {
			clock.Sleep(ctx, renewInterval)
			continue
		}
		err := e.renew(ctx, name)
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
	before := e.tenure.token > 0
	e.group, e.generation = group, m.Generation
	if !slices.Contains(m.Partitions, dutyPartition) {
		e.tenure = tenure{}
		if before {
			e.log.Info().Str("group", group).Int64("generation", m.Generation).Msg("no longer holder of the group")
		}
		return
	}
	e.tenure = tenure{token: m.Generation, until: sent.Add(tenureTTL)}
	if !before {
		e.log.Info().Str("group", group).Int64("token", m.Generation).Msg("holder of the group")
	}
}

// leave gives the duty back, so that another agent has it at once.
func (e *election) leave() {
	e.mu.Lock()
	group := e.group
	e.tenure = tenure{}
	e.mu.Unlock()
	if group == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := e.store.Leave(ctx, "rank-group."+group, e.member); err != nil {
		e.log.Warn().Err(err).Msg("the duty was not given back")
	}
}
