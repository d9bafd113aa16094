package rankagent

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
)

var dutyMembership = platform.Membership{Generation: 7, Partitions: []int{dutyPartition}}

// Guards against a group that keeps a map which no longer fits for as long as the
// store is away, and against a holder that was suspended and goes on by mistake.
func TestHolderGoesOnWithoutStore(t *testing.T) {
	e := newElection(nil, "m", zerolog.Nop())
	sent := time.Unix(1000, 0)
	e.take("g", dutyMembership, sent)
	late := sent.Add(time.Minute)
	_, ok := e.token(late)
	require.False(t, ok, "suspended, the store may have answered others")
	e.storeLost = true
	token, ok := e.token(late)
	require.True(t, ok)
	require.EqualValues(t, 7, token)
	e.supersede(8)
	_, ok = e.token(late)
	require.False(t, ok)
}

// Guards against a switch that starts over each time a candidate comes or goes,
// and against an old token after another agent may have had the duty.
func TestTokenOfATenure(t *testing.T) {
	e := newElection(nil, "m", zerolog.Nop())
	sent := time.Unix(1000, 0)
	e.take("g", dutyMembership, sent)
	later := platform.Membership{Generation: 9, Partitions: dutyMembership.Partitions}
	e.take("g", later, sent.Add(time.Second))
	token, _ := e.token(sent.Add(time.Second))
	require.EqualValues(t, 7, token)
	sent = sent.Add(time.Second + tenureTTL)
	e.take("g", later, sent)
	token, _ = e.token(sent)
	require.EqualValues(t, 9, token)
}

// Guards against the calls of all agents to the store while the group has a
// holder, and against a group without candidates.
func TestCandidates(t *testing.T) {
	require.False(t, candidate{group: "g", silence: 5 * 150 * time.Millisecond}.wanted())
	require.True(t, candidate{group: "g", silence: candidateSilence}.wanted())
	wanted := 0
	for rank := range 24 {
		if (candidate{group: "g", rank: rank, silence: candidateSilence}).wanted() {
			wanted++
		}
		require.True(t, candidate{group: "g", rank: rank, silence: 4 * time.Second}.wanted())
	}
	require.Equal(t, 24/candidateSteps, wanted)
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
	a.addGiver(r)
	h := &holder{election: newElection(nil, "m", zerolog.Nop()), token: 7}
	h.election.take("g", dutyMembership, clock.Now())
	require.True(t, h.superseded([]*pb.ReadRankResponse{r}))
	_, ok := h.election.token(clock.Now())
	require.False(t, ok)
}
