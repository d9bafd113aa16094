package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
)

// doubtful is a slowdown beyond which a server isn't sound.
const doubtful = 1.5

// Guards against extra work for a server that is full or that anything speaks against, and
// against counting the slots of such servers as room.
func TestSpareRoomIsOnSoundServers(t *testing.T) {
	later := start.Add(time.Minute)
	for name, disturb := range map[string]func(s *placement.Scheduler[int]){
		"cold":      func(s *placement.Scheduler[int]) { s.SetCold("s1", later) },
		"leaving":   func(s *placement.Scheduler[int]) { s.SetStated("s1", true, time.Time{}) },
		"paused":    func(s *placement.Scheduler[int]) { s.SetStated("s1", false, later) },
		"banned":    func(s *placement.Scheduler[int]) { s.Ban("s1", later) },
		"avoided":   func(s *placement.Scheduler[int]) { s.Avoid("s1", later) },
		"cooldown":  func(s *placement.Scheduler[int]) { s.SetCooldown("s1", later) },
		"limited":   func(s *placement.Scheduler[int]) { s.SetPace(start.Add(-time.Hour), "s1", time.Second, true) },
		"evacuated": func(s *placement.Scheduler[int]) { s.SetEvacuated(start, []string{"b"}) },
		"region":    func(s *placement.Scheduler[int]) {},
		"outage":    func(s *placement.Scheduler[int]) { s.MarkGroupDown(start.Add(-time.Hour), "g") },
		"slow": func(s *placement.Scheduler[int]) {
			s.ObserveSlowdown(start, "s1", 8)
			s.ObserveSlowdown(start, "s1", 8)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := scheduler(0, 0)
			other := placement.Server{ID: "s1", FailureDomain: "b", Region: "r", Slots: 4, Group: "g"}
			constraint := placement.Constraint{Exclude: []string{"s0"}, Regions: []string{"r"}}
			if name == "region" {
				other.Region = "other"
			}
			s.SetServers([]placement.Server{{ID: "s0", FailureDomain: "a", Region: "r", Slots: 4}, other})
			s.SetPeerLoad(loads(map[string]int{"s0": 3, "s1": 1}))
			if name != "region" {
				room := s.SpareRoom(start, constraint, doubtful)
				require.Equal(t, 4, room.InFlight)
				require.Equal(t, 8, room.Slots)
				require.True(t, s.HasFreeSlot(start, room.Constraint))
			}
			disturb(s)
			room := s.SpareRoom(start, constraint, doubtful)
			require.Equal(t, 3, room.InFlight)
			require.Equal(t, 4, room.Slots)
			_, ok := s.TryPlace(start, room.Constraint)
			require.False(t, ok)
			require.Equal(t, []string{"s0"}, constraint.Exclude)
		})
	}
}

// Guards against extra work in the queue of a server, and beyond the limit of a batch.
func TestSpareRoomIsWithinSlots(t *testing.T) {
	s := scheduler(1, 4)
	s.SetPeerLoad(loads(map[string]int{"s0": 3}))
	server, ok := s.TryPlace(start, s.SpareRoom(start, placement.Constraint{}, doubtful).Constraint)
	require.True(t, ok)
	require.Equal(t, "s0", server)
	require.True(t, s.HasFreeSlot(start, placement.Constraint{}), "there is room in the queue of the server")
	room := s.SpareRoom(start, placement.Constraint{}, doubtful)
	require.False(t, s.HasFreeSlot(start, room.Constraint))
	require.False(t, room.BatchLimited)
	s.SetBatchLimit("s0", 3.5)
	require.True(t, s.SpareRoom(start, placement.Constraint{}, doubtful).BatchLimited)
}

// Guards against a pace for servers that may be cold, which all servers of such a service
// have, that leaves no room for extra work, and against extra work beyond this pace.
func TestSpareRoomWithPaceOfColdServers(t *testing.T) {
	s := scheduler(1, 4)
	s.SetPaceReason("s0", placement.ErrCold)
	s.SetPace(start.Add(-time.Hour), "s0", time.Second, true)
	_, ok := s.TryPlace(start, s.SpareRoom(start, placement.Constraint{}, doubtful).Constraint)
	require.True(t, ok)
	_, ok = s.TryPlace(start, s.SpareRoom(start, placement.Constraint{}, doubtful).Constraint)
	require.False(t, ok)
}

// Guards against a lower bound of a duration that makes a slow server look faster.
func TestSlowdownAtLeast(t *testing.T) {
	s := scheduler(1, 4)
	s.ObserveSlowdownAtLeast(start, "s0", 2)
	require.InDelta(t, 1.3, s.Slowdown(start, "s0"), 1e-9)
	s.ObserveSlowdownAtLeast(start, "s0", 1.2)
	require.InDelta(t, 1.3, s.Slowdown(start, "s0"), 1e-9)
	s.ObserveSlowdownAtLeast(start, "unknown", 2)
	require.Equal(t, 1.0, s.Slowdown(start, "unknown"))
}
