package rankagent

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against two agents with the same token, and against a token that is not
// higher than that of the previous holder.
func TestClaims(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	client := platform.NewStoreClient(store.Address())
	first, second := newElection(client, "a", zerolog.Nop()), newElection(client, "b", zerolog.Nop())
	won, err := first.claim(t.Context(), "g")
	require.NoError(t, err)
	require.True(t, won)
	firstToken, ok := first.token()
	require.True(t, ok)
	require.Positive(t, firstToken)
	won, err = second.claim(t.Context(), "g")
	require.NoError(t, err)
	require.True(t, won, "the response to an agent's first claim tells it where the topic ends")
	secondToken, _ := second.token()
	require.Greater(t, secondToken, firstToken)
	first.supersede(secondToken)
	_, ok = first.token()
	require.False(t, ok)
	won, err = first.claim(t.Context(), "g")
	require.NoError(t, err)
	require.False(t, won, "another agent has claimed since")
	won, err = first.claim(t.Context(), "g")
	require.NoError(t, err)
	require.True(t, won)
	other := newElection(client, "c", zerolog.Nop())
	won, err = other.claim(t.Context(), "another group")
	require.NoError(t, err)
	require.True(t, won)
}

// Guards against an agent that acts as holder after a claim without a response. The
// claim may be executed later, and another agent may be the holder by then.
func TestClaimWithoutAnswer(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	client := platform.NewStoreClient(store.Address())
	e := newElection(client, "a", zerolog.Nop())
	store.SetFault(platformtest.DropResponses)
	_, err := e.claim(t.Context(), "g")
	require.Error(t, err)
	_, ok := e.token()
	require.False(t, ok)
	store.SetFault(platformtest.NoFault)
	won, err := e.claim(t.Context(), "g")
	require.NoError(t, err)
	require.True(t, won)
	token, _ := e.token()
	require.EqualValues(t, 2, token, "higher than the position of the claim without a response")
}

// Guards against a group that gets no new map while the store is unavailable,
// although the load has changed.
func TestHolderContinuesWithoutStore(t *testing.T) {
	f := newFixture(t)
	f.eventually(func() bool { return f.holder() >= 0 && f.inForce() > 0 })
	f.store.SetFault(platformtest.Unavailable)
	before := f.inForce()
	time.Sleep(electionTimeout)
	f.eventually(func() bool {
		for r := range ranks {
			f.group.AddCount(r, 5, 4_000_000)
		}
		return f.inForce() > before
	})
	f.store.SetFault(platformtest.NoFault)
}

// Guards against agents that claim the role, and so load the store, while the group has
// a holder, and against a group without a holder in which no agent claims the role.
func TestCandidates(t *testing.T) {
	require.False(t, candidate{group: "g", sinceLastCall: 5 * 150 * time.Millisecond}.shouldClaim())
	require.True(t, candidate{group: "g", sinceLastCall: electionTimeout}.shouldClaim())
	a := NewAgent(nil, zerolog.Nop())
	a.identity.group = "g"
	require.False(t, a.candidate().shouldClaim(), "a holder may not have called yet")
	a.calledAt = a.calledAt.Add(-initialElectionTimeout)
	require.True(t, a.candidate().shouldClaim())
	for rank := range 24 {
		require.Equal(t, rank == 0, candidate{group: "g", rank: rank, sinceLastCall: electionTimeout}.shouldClaim())
		require.True(t, candidate{group: "g", rank: rank, sinceLastCall: 6 * time.Second}.shouldClaim())
	}
	require.False(t, candidate{sinceLastCall: time.Minute}.shouldClaim(), "the rank doesn't belong to a group yet")
}

// Guards against a superseded holder that continues because it can't reach the store.
// The agents report the newer holder to it.
func TestAgentsReportNewerHolder(t *testing.T) {
	a := NewAgent(nil, zerolog.Nop())
	require.True(t, a.recordCall(clock.Now(), 7))
	require.True(t, a.recordCall(clock.Now(), 9))
	require.False(t, a.recordCall(clock.Now(), 7))
	require.True(t, a.recordCall(clock.Now(), 0), "an agent that completes a switch has no token")
	r := &pb.ReadRankResponse{}
	a.addOrderState(r)
	h := &holder{election: newElection(nil, "m", zerolog.Nop()), token: 7}
	h.election.recordClaim(platform.Position{Offset: 7}, true)
	require.True(t, h.yieldIfSuperseded([]*pb.ReadRankResponse{r}))
	_, ok := h.election.token()
	require.False(t, ok)
}
