package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/internal/seeds"
)

const (
	beliefSeeds = 3000
	// soundBound is the longest time without a started request while one server is sound and
	// a request is sent at least each 1.2 s.
	soundBound = 3 * time.Second
)

// beliefBound is the time after which each server has to get requests again, if all are sound
// and the list is read each second: the longest ejection after failures, and a read.
var beliefBound = membership.DefaultOutlierConfig().MaxEjectionTime + time.Second

// Guards against a belief against a sound server that outlives its reason: whatever was
// answered, stated, evacuated or listed before, each server gets requests again within the
// bound while the list is read, and nothing is held against it.
func TestBeliefsAgainstSoundServersEnd(t *testing.T) {
	for _, seed := range seeds.ForTest(t, beliefSeeds) {
		m := newBeliefModel(seed)
		for range 5 + m.rng.IntN(80) {
			m.step()
		}
		m.recover(beliefBound)
		for _, s := range m.list {
			held := m.svc.heldBack(m.now, placement.Constraint{})
			require.True(t, m.placeOn(s.ID), "server %s, held back %v; %s", s.ID, held, seeds.ReplayCommand(t, "daemons/gateway", seed))
			m.placed = append(m.placed, s.ID)
			m.succeed(s.ID)
		}
		m.now = m.now.Add(time.Second)
		require.Equal(t, placement.HeldBack{}, m.svc.heldBack(m.now, placement.Constraint{}), seeds.ReplayCommand(t, "daemons/gateway", seed))
	}
}

// Guards against requests to a server that is leaving, wants no requests or is evacuated, in
// each of the ways in which servers get requests: first attempts, retries and resumed streams,
// standbys, queued requests, requests whose connection took long, and probes.
func TestHeldBackServersGetNoRequests(t *testing.T) {
	for _, seed := range seeds.ForTest(t, beliefSeeds) {
		m := newBeliefModel(seed)
		for range 5 + m.rng.IntN(80) {
			m.step()
			require.Empty(t, m.violation, seeds.ReplayCommand(t, "daemons/gateway", seed))
		}
	}
}

// Guards against a service that is refused although one of its servers is sound, because of
// what happens to the others.
func TestServiceWithSoundServerIsServed(t *testing.T) {
	for _, seed := range seeds.ForTest(t, beliefSeeds) {
		m := newBeliefModel(seed)
		for range 5 + m.rng.IntN(80) {
			m.step()
			if m.sound {
				require.LessOrEqual(t, m.now.Sub(m.lastServed), soundBound, seeds.ReplayCommand(t, "daemons/gateway", seed))
			}
		}
	}
}

// Guards against an ejection that lasts as long as the store is away, because it ended only
// when the list of the servers was read.
func TestEjectionEndsWithoutTheStore(t *testing.T) {
	m := newBeliefModel(1)
	m.sound = false
	id := m.list[1].ID
	for range 5 {
		m.svc.mu.Lock()
		m.svc.outliers.RecordFailure(m.now, id)
		m.svc.mu.Unlock()
	}
	m.gateways()
	require.False(t, m.placeOn(id))
	require.Equal(t, 1, m.svc.heldBack(m.now, placement.Constraint{})[placement.Ejected])
	m.now = m.now.Add(2 * membership.DefaultOutlierConfig().BaseEjectionTime)
	m.gateways()
	require.True(t, m.placeOn(id))
}
