package rankagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// candidateSilence is the time without a call of the holder after which an
	// agent claims the duty. Holders call each 150 ms.
	candidateSilence = 900 * time.Millisecond
	// firstCall is the same after the start of an agent: when all were restarted,
	// the group has the map that it began with and needs a holder at once.
	firstCall = 350 * time.Millisecond
	// candidateStagger puts off the agents of higher ranks, so that the first one
	// has called them by then, and candidateSteps bounds how often.
	candidateStagger = 300 * time.Millisecond
	candidateSteps   = 15
	// claimPause is the time that a rival who was faster has to call, and the wait
	// after a claim without an answer.
	claimPause = 400 * time.Millisecond
)

// election makes this agent the holder of its group while the group has none. It
// is safe for concurrent use.
//
// A claim is a record at the end of a topic of the group, added only if nobody
// was faster; its place is the fencing token. Agents claim the duty when no holder
// calls them. A holder needs no renewals, so it goes on while the store is away,
// when a group needs a map that fits as well. Two holders at a time do no harm to
// the group (rankgroup/switchover), and the older one stops as soon as an agent
// tells it of the newer one.
type election struct {
	store  *platform.StoreClient
	member string
	log    zerolog.Logger

	// won gets a value when this agent becomes the holder.
	won chan struct{}

	mu sync.Mutex
	// holding is the fencing token of the duty, or 0.
	holding int64
	// group is that of the claims, and end the place of the next claim if it is
	// known.
	group string
	end   int64
	known bool
}

func newElection(store *platform.StoreClient, member string, log zerolog.Logger) *election {
	return &election{store: store, member: member, log: log, won: make(chan struct{}, 1)}
}

// token returns the fencing token while this agent is the holder.
func (e *election) token() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding, e.holding > 0
}

// supersede ends the duty, because another agent has it.
func (e *election) supersede(newer int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Info().Str("group", e.group).Int64("token", e.holding).Int64("newer", newer).
		Msg("no longer holder of the group")
	e.holding = 0
}

// release gives up the duty.
func (e *election) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holding = 0
}

// candidate describes this agent to its election.
type candidate struct {
	// group is empty until it was read.
	group string
	rank  int
	// silence is the time since a holder last called.
	silence time.Duration
}

// wanted reports whether the group seems to have no holder.
func (c candidate) wanted() bool {
	stagger := time.Duration(min(c.rank, candidateSteps)) * candidateStagger
	return c.group != "" && c.silence >= candidateSilence+stagger
}

// run claims the duty whenever the group has no holder, until ctx ends.
func (e *election) run(ctx context.Context, self func() candidate) error {
	failures := 0
	for ctx.Err() == nil {
		c := self()
		if _, holder := e.token(); holder || !c.wanted() {
			clock.Sleep(ctx, standbyInterval)
			continue
		}
		won, err := e.claim(ctx, c.group)
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
			e.store.CloseIdleConnections()
		}
		if !won {
			clock.Sleep(ctx, time.Duration((0.7+0.6*rand.Float64())*float64(claimPause)))
		}
	}
	return nil
}

// claim tries to become the holder. The first claim tells where the topic ends.
func (e *election) claim(ctx context.Context, group string) (won bool, err error) {
	for range 2 {
		at, known := e.place(group)
		added, end, err := e.store.AppendAt(ctx, "rank-group."+group, at, []byte(e.member))
		if err != nil {
			return false, err
		}
		e.take(end, added)
		if added || known {
			return added, nil
		}
	}
	return false, nil
}

// place returns where the next claim goes, and whether that is known.
func (e *election) place(group string) (at int64, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if group != e.group {
		e.group, e.end, e.known = group, 0, false
	}
	return e.end, e.known
}

// take notes the answer to a claim: where the topic ends now, and whether the
// claim is its last record.
func (e *election) take(end int64, won bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end, e.known = end, true
	if !won {
		return
	}
	e.holding = end
	e.log.Info().Str("group", e.group).Int64("token", e.holding).Msg("holder of the group")
	select {
	case e.won <- struct{}{}:
	default: // the holder has not taken notice of the last time
	}
}
