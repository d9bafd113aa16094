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

// Guards against two agents with one token, and against a token that is not higher
// than that of the holder before.
func TestClaims(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	client := platform.NewStoreClient(store.Address())
	first, second := newElection(client, "a", zerolog.Nop()), newElection(client, "b", zerolog.Nop())
	won, err := first.claim(t.Context(), "g")
	require.NoError(t, err)
	require.True(t, won)
	before, ok := first.token()
	require.True(t, ok)
	require.Positive(t, before)
	won, err = second.claim(t.Context(), "g")
	require.NoError(t, err)
	require.True(t, won, "the first claim of an agent tells it where the topic ends")
	after, _ := second.token()
	require.Greater(t, after, before)
	first.supersede(after)
	_, ok = first.token()
	require.False(t, ok)
	won, err = first.claim(t.Context(), "g")
	require.NoError(t, err)
	require.False(t, won, "somebody was faster")
	won, err = first.claim(t.Context(), "g")
	require.NoError(t, err)
	require.True(t, won)
	other := newElection(client, "c", zerolog.Nop())
	won, err = other.claim(t.Context(), "another group")
	require.NoError(t, err)
	require.True(t, won)
}

// Guards against a claim whose answer was lost, or that is carried out later, and
// counts for this agent although another one may have the duty.
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
	require.EqualValues(t, 2, token, "above that of the claim without an answer")
}

// Guards against a group that keeps a map which no longer fits for as long as the
// store is away.
func TestHolderGoesOnWithoutStore(t *testing.T) {
	f := newFixture(t)
	f.eventually(func() bool { return f.holder() >= 0 && f.inForce() > 0 })
	f.store.SetFault(platformtest.Unavailable)
	before := f.inForce()
	time.Sleep(candidateSilence)
	for r := range ranks {
		f.group.AddCount(r, 5, 400_000_000)
	}
	f.eventually(func() bool { return f.inForce() > before })
	f.store.SetFault(platformtest.NoFault)
}

// Guards against the calls of all agents to the store while the group has a
// holder, and against a group without candidates.
func TestCandidates(t *testing.T) {
	require.False(t, candidate{group: "g", silence: 5 * 150 * time.Millisecond}.wanted())
	require.True(t, candidate{group: "g", silence: candidateSilence}.wanted())
	a := NewAgent(nil, zerolog.Nop())
	a.identity.group = "g"
	require.False(t, a.candidate().wanted(), "the holder has not had the time to call")
	a.seenAt = a.seenAt.Add(-firstCall)
	require.True(t, a.candidate().wanted())
	for rank := range 24 {
		require.Equal(t, rank == 0, candidate{group: "g", rank: rank, silence: candidateSilence}.wanted())
		require.True(t, candidate{group: "g", rank: rank, silence: 6 * time.Second}.wanted())
	}
	require.False(t, candidate{silence: time.Minute}.wanted(), "not a rank of a group yet")
}

// Guards against a superseded holder that can't reach the store and goes on: the
// agents know the newer one.
func TestAgentsTellOfNewerHolder(t *testing.T) {
	a := NewAgent(nil, zerolog.Nop())
	require.True(t, a.noteHolder(clock.Now(), 7))
	require.True(t, a.noteHolder(clock.Now(), 9))
	require.False(t, a.noteHolder(clock.Now(), 7))
	require.True(t, a.noteHolder(clock.Now(), 0), "an agent that finishes a switch is no holder")
	r := &pb.ReadRankResponse{}
	a.addOrders(r)
	h := &holder{election: newElection(nil, "m", zerolog.Nop()), token: 7}
	h.election.take(7, true)
	require.True(t, h.superseded([]*pb.ReadRankResponse{r}))
	_, ok := h.election.token()
	require.False(t, ok)
}
