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
	// electionTimeout is the time without a call of the holder after which an agent
	// claims the role. A holder calls every 150 ms.
	electionTimeout = 900 * time.Millisecond
	// initialElectionTimeout is the same after the start of an agent. It is shorter,
	// because a group whose agents were all restarted uses its initial map and needs
	// a holder at once.
	initialElectionTimeout = 350 * time.Millisecond
	// claimStagger delays the claim of each agent by its rank, so that the first
	// agent to claim can call the others before they claim. The delay grows up to
	// rank maxStaggerSteps.
	claimStagger    = 300 * time.Millisecond
	maxStaggerSteps = 15
	// claimRetryDelay is the mean delay after a claim that failed or got no response.
	// If another agent has won the role, it calls this one within the delay.
	claimRetryDelay = 400 * time.Millisecond
)

// election elects the holder of the group among its agents. It is safe for
// concurrent use.
//
// An agent claims the role with a record that it appends to a topic of the group,
// on the condition that no other record was appended first. The position of the
// record is the fencing token, which rises also when the store comes back from an older
// copy. Agents claim the role when no holder calls them. A
// holder has no lease to renew. It therefore continues while the store is
// unavailable, because the group needs suitable maps then as well. Two holders at a
// time are safe (see package switchover), and the older one stops as soon as an
// agent reports the newer one to it.
type election struct {
	store    *platform.StoreClient
	memberID string
	log      zerolog.Logger

	// won receives a value when this agent becomes the holder.
	won chan struct{}

	mu sync.Mutex
	// holderToken is the fencing token of this agent as the holder, or 0.
	holderToken int64
	// group is the group whose topic the claims go to.
	group string
	// end is the position of the next record of the topic, if endKnown.
	end      int64
	endKnown bool
}

func newElection(store *platform.StoreClient, member string, log zerolog.Logger) *election {
	return &election{store: store, memberID: member, log: log, won: make(chan struct{}, 1)}
}

// token returns the fencing token while this agent is the holder.
func (e *election) token() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holderToken, e.holderToken > 0
}

// supersede gives up the role of holder, because the agent with the token newer has
// it.
func (e *election) supersede(newer int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Info().Str("group", e.group).Int64("token", e.holderToken).Int64("newer", newer).
		Msg("no longer the holder of the group")
	e.holderToken = 0
}

// release gives up the role of holder.
func (e *election) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holderToken = 0
}

// candidate is the state of this agent that decides whether it claims the role.
type candidate struct {
	// group is empty until the rank was read.
	group string
	rank  int
	// silence is the time since a holder last called.
	sinceLastCall time.Duration
}

// shouldClaim reports whether the group seems to have no holder.
func (c candidate) shouldClaim() bool {
	stagger := time.Duration(min(c.rank, maxStaggerSteps)) * claimStagger
	return c.group != "" && c.sinceLastCall >= electionTimeout+stagger
}

// run claims the role whenever the group has no holder, until ctx ends.
func (e *election) run(ctx context.Context, self func() candidate) error {
	failures := 0
	for ctx.Err() == nil {
		c := self()
		if _, holder := e.token(); holder || !c.shouldClaim() {
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
			clock.Sleep(ctx, time.Duration((0.7+0.6*rand.Float64())*float64(claimRetryDelay)))
		}
	}
	return nil
}

// claim tries to become the holder. If the end of the topic is unknown, it learns the
// end from the response to a first claim, and then claims again.
func (e *election) claim(ctx context.Context, group string) (won bool, err error) {
	for range 2 {
		at, known := e.claimPosition(group)
		added, end, err := e.store.AppendAt(ctx, "rank-group."+group, at, []byte(e.memberID))
		if err != nil {
			return false, err
		}
		e.recordClaim(end, added)
		if added || known {
			return added, nil
		}
	}
	return false, nil
}

// claimPosition returns the position for the next claim, and whether it is known to
// be the end of the topic.
func (e *election) claimPosition(group string) (at int64, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if group != e.group {
		e.group, e.end, e.endKnown = group, 0, false
	}
	return e.end, e.endKnown
}

// recordClaim records the response to a claim. end is the position at which the topic
// ends now, and won tells whether the claim is its last record.
func (e *election) recordClaim(end platform.Position, won bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end, e.endKnown = end.Offset, true
	if !won {
		return
	}
	e.holderToken = end.Token()
	e.log.Info().Str("group", e.group).Int64("token", e.holderToken).Msg("became the holder of the group")
	select {
	case e.won <- struct{}{}:
	default: // the previous value has not been received yet
	}
}
