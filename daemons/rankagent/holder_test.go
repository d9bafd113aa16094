package rankagent

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// steppedGroup is a group with the holder beside rank 0. Its rounds, steps and copies
// happen when a test says so.
type steppedGroup struct {
	*platformtest.Group
	holder *holder
	// stops stops each rank, and log holds what the holder wrote.
	stops []func()
	log   bytes.Buffer
}

func newSteppedGroup(t *testing.T) *steppedGroup {
	g := &steppedGroup{Group: platformtest.NewGroup(ranks, layers, perLayer)}
	var agents []*Agent
	for rank := range ranks {
		address, stop := g.Serve(rank, hostOf(rank), rankPort)
		t.Cleanup(stop)
		g.stops = append(g.stops, stop)
		agents = append(agents, NewAgent(platform.NewRankClient(address), zerolog.Nop()))
		s, err := agents[rank].rank.State(t.Context())
		require.NoError(t, err)
		agents[rank].updateIdentity(s)
		t.Cleanup(serveTestAgent(agents[rank], fmt.Sprintf("%s:%d", hostOf(rank), agentPort)))
	}
	o := Options{Log: zerolog.New(zerolog.SyncWriter(&g.log)), Settings: platform.Settings{PeerPort: agentPort}}
	client := newGroupClient(o, agents[0], nil)
	client.engine = &fleet.Engine{Experts: &fleet.Experts{LayerSets: layers, ExpertsPerLayer: perLayer, SlotsPerRank: 3, MaxNewPerLayer: 1}}
	for rank := range ranks {
		client.domains[rank] = fmt.Sprintf("domain-%d", rank)
		if rank > 0 {
			client.addPeer(&fleet.Server{Address: fmt.Sprintf("%s:%d", hostOf(rank), rankPort), Rank: rank})
		}
	}
	e := newElection(nil, "holder", zerolog.Nop())
	e.recordClaim(platform.Position{Offset: 7}, true)
	g.holder = &holder{group: client, agent: agents[0], election: e, log: zerolog.Nop(), planner: newPlanner()}
	g.holder.startTerm(7)
	client.refreshedAt = clock.Now().Add(time.Hour) // the members need no reading from the store
	for range int(maxLeadSteps(ranks)) + 2 {
		g.StartStep() // agents refuse to arm their ranks for the steps right after their start
	}
	require.Eventually(t, func() bool {
		g.holder.roundIfHolder(t.Context())
		return g.holder.phase == switchover.Idle
	}, 10*time.Second, time.Millisecond)
	return g
}

// prepare has all ranks prepare a new map.
func (g *steppedGroup) prepare(t *testing.T) {
	h := g.holder
	target := &experts.Map{}
	for range layers {
		target.Layers = append(target.Layers, experts.Layer{0, 3, 1, 1, 4, 2, 2, 5, 0})
	}
	h.version++
	require.True(t, h.coordinator.Submit(h.version, target))
	h.phase, h.switchStart = switchover.Preparing, clock.Now()
	h.roundIfHolder(t.Context())
	for range g.CopySteps {
		g.AdvanceCopies()
	}
	for rank := range ranks {
		require.Equal(t, h.version, g.Report(rank).Prepared)
	}
}

// Guards against a group that is held for several rounds of the holder, each of which reads
// all ranks, and against a holder that reads all ranks every 2 ms until the step begins at
// which they switch.
func TestSwitchTakesOneRound(t *testing.T) {
	g := newSteppedGroup(t)
	g.prepare(t)
	wait := g.holder.roundIfHolder(t.Context())
	for rank := range ranks {
		report := g.Report(rank)
		require.NotNil(t, report.Armed, "rank %d", rank)
		require.Zero(t, report.HoldStep, "rank %d", rank)
	}
	require.Equal(t, switchover.Switching, g.holder.phase)
	require.GreaterOrEqual(t, wait, copyInterval)
	for g.Report(0).Armed != nil {
		require.True(t, g.StartStep())
	}
	g.holder.roundIfHolder(t.Context())
	require.Equal(t, switchover.Idle, g.holder.phase)
	require.Equal(t, g.holder.version, g.Report(2).InForce)
	require.Empty(t, g.Violations())

	g.holder.phase, g.holder.held = switchover.Switching, true
	require.Equal(t, switchInterval, g.holder.nextInterval(), "a hold has to be released")
}

// Guards against a holder that paused after it had read the ranks, and then goes on with
// reports of different times.
func TestFollowUpNeedsFreshReports(t *testing.T) {
	for _, age := range []time.Duration{0, 2 * maxFollowUpAge} {
		t.Run(age.String(), func(t *testing.T) {
			g := newSteppedGroup(t)
			g.prepare(t)
			h := g.holder
			responses := h.group.readAll(t.Context(), callOptions{token: h.token})
			topology := topology(h.group.engine.Experts, h.group.failureDomains())
			inForce, err := h.group.currentMap(topology, responses)
			require.NoError(t, err)
			orders := h.nextOrders(decodeReports(responses), inForce)
			h.sendOrders(t.Context(), orders, topology)
			require.True(t, h.followUp(t.Context(), clock.Now().Add(-age), responses, orders, inForce, topology))
			require.Equal(t, age == 0, g.Report(2).Armed != nil)
			require.Equal(t, age > 0, g.Report(1).HoldStep > 0)
		})
	}
}

// Guards against a round that goes on without the reports of a rank, and so for many times
// the timeout of a call.
func TestFollowUpNeedsAllReports(t *testing.T) {
	g := newSteppedGroup(t)
	g.prepare(t)
	h := g.holder
	responses := h.group.readAll(t.Context(), callOptions{token: h.token})
	topology := topology(h.group.engine.Experts, h.group.failureDomains())
	inForce, err := h.group.currentMap(topology, responses)
	require.NoError(t, err)
	orders := h.nextOrders(decodeReports(responses), inForce)
	h.sendOrders(t.Context(), orders, topology)
	g.stops[2]()
	require.True(t, h.followUp(t.Context(), clock.Now(), responses, orders, inForce, topology))
	require.NotNil(t, g.Report(1).Armed)
	require.Equal(t, 1, strings.Count(g.log.String(), "order got no response"))
}

// Guards against a lead time that leaves out the time until the hold is released, so that the
// group waits for the release.
func TestArmingEndsWithTheRelease(t *testing.T) {
	g := newSteppedGroup(t)
	h := g.holder
	reports := decodeReports(h.group.readAll(t.Context(), callOptions{token: h.token}))
	for i := range reports {
		reports[i].Armed = &switchover.ArmedSwitch{Version: 9, Step: 50}
	}
	h.phase, h.preparedAt = switchover.Arming, clock.Now().Add(-time.Second)
	reports[1].HoldStep = 50
	require.NotEmpty(t, h.nextOrders(reports, &experts.Map{}))
	require.Zero(t, h.stepTimes.arming)
	reports[1].HoldStep = 0
	require.Empty(t, h.nextOrders(reports, &experts.Map{}))
	require.GreaterOrEqual(t, h.stepTimes.arming, time.Second)
}

// Guards against a lead time that is measured from an earlier switch, or from no time at all,
// because the holder has taken over the switch of a predecessor.
func TestArmingOfTakenOverSwitchIsNotMeasured(t *testing.T) {
	g := newSteppedGroup(t)
	h := g.holder
	h.preparedAt = clock.Now().Add(-time.Hour) // of a switch in an earlier term
	h.startTerm(8)
	reports := decodeReports(h.group.readAll(t.Context(), callOptions{token: h.token}))
	for i := range reports {
		reports[i].Prepared, reports[i].HoldStep = 9, 50
	}
	require.NotEmpty(t, h.nextOrders(reports, &experts.Map{}))
	require.Equal(t, switchover.Arming, h.phase)
	for i := range reports {
		reports[i].Armed = &switchover.ArmedSwitch{Version: 9, Step: 50}
	}
	require.NotEmpty(t, h.nextOrders(reports, &experts.Map{}))
	for i := range reports {
		reports[i].HoldStep = 0
	}
	require.Empty(t, h.nextOrders(reports, &experts.Map{}))
	require.Equal(t, switchover.Switching, h.phase)
	require.Zero(t, h.stepTimes.arming)
}

// Guards against the report of the own rank that counts as that of another rank, because the
// rank was restarted in another place of a group while it was read.
func TestOwnRankIsChecked(t *testing.T) {
	g := newSteppedGroup(t) // its holder is beside rank 0
	_, err := g.holder.group.read(t.Context(), 2, 2, callOptions{token: g.holder.token})
	require.ErrorContains(t, err, "rank 0")
}
