package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
)

// Guards against a refusal whose cause can't be found: each reason has to be counted for the
// servers that it holds back, and for no others.
func TestHeldBackNamesEachReason(t *testing.T) {
	type sched = *placement.Scheduler[int]
	later := start.Add(time.Minute)
	for reason, c := range map[placement.Reason]struct {
		apply      func(s sched)
		constraint placement.Constraint
	}{
		placement.Evacuated:   {apply: func(s sched) { s.SetEvacuated(start, []string{"b"}) }},
		placement.Leaving:     {apply: func(s sched) { s.SetStated("s1", true, time.Time{}) }},
		placement.Paused:      {apply: func(s sched) { s.SetStated("s1", false, later) }},
		placement.Banned:      {apply: func(s sched) { s.Ban("s1", later) }},
		placement.Ejected:     {apply: func(s sched) { s.SetEjected([]placement.Server{{ID: "s9", Region: "r"}}) }},
		placement.BrokenGroup: {apply: func(s sched) { s.MarkGroupDown(start, "g") }},
		placement.Limited:     {apply: func(s sched) { s.SetPace(start, "s1", 0, false) }},
		placement.Cold: {apply: func(s sched) {
			s.SetPace(start, "s1", 0, false)
			s.SetPaceReason("s1", placement.ErrCold)
		}},
		placement.Slow:     {apply: func(s sched) { s.Avoid("s1", later) }},
		placement.Cooldown: {apply: func(s sched) { s.SetCooldown("s1", later) }},
		placement.Full:     {apply: func(s sched) { s.SetPeerLoad(loads(map[string]int{"s1": 5})) }},
		placement.Memory:   {apply: func(sched) {}, constraint: placement.Constraint{Tokens: 500}},
		placement.Region:   {apply: func(sched) {}, constraint: placement.Constraint{Regions: []string{"r"}}},
		placement.Tried:    {apply: func(sched) {}, constraint: placement.Constraint{Exclude: []string{"s1"}}},
	} {
		t.Run(reason.String(), func(t *testing.T) {
			s := scheduler(0, 0)
			list := serverList(3, 4)
			for i := range list {
				list[i].Region = "r"
			}
			list[1].FailureDomain, list[1].Region, list[1].Group, list[1].MemoryTokens = "b", "r2", "g", 1000
			s.SetServers(list)
			require.Equal(t, placement.HeldBack{}, s.HeldBack(start, placement.Constraint{}))
			c.apply(s)
			want := placement.HeldBack{}
			want[reason] = 1
			require.Equal(t, want, s.HeldBack(start, c.constraint))
		})
	}
}

// Guards against a reason without a name of its own, which log lines and metrics need, and
// against one that the table above doesn't have.
func TestReasonsHaveNames(t *testing.T) {
	names := make(map[string]bool)
	for _, r := range placement.Reasons() {
		require.NotEmpty(t, r.String())
		names[r.String()] = true
	}
	require.Len(t, names, len(placement.Reasons()))
	require.Len(t, names, 14)
	require.Equal(t, "unknown", placement.Reason(200).String())
}

// Guards against counts that hide one of several reasons, and against a reason that counts
// after its end.
func TestHeldBackCountsEachReasonOfAServer(t *testing.T) {
	s := scheduler(2, 4)
	s.SetStated("s0", true, start.Add(time.Second))
	s.SetCooldown("s0", start.Add(time.Second))
	held := s.HeldBack(start, placement.Constraint{Exclude: []string{"s0", "s1"}})
	require.Equal(t, placement.HeldBack{placement.Leaving: 1, placement.Paused: 1, placement.Cooldown: 1, placement.Tried: 2}, held)
	held = s.HeldBack(start.Add(time.Second), placement.Constraint{})
	require.Equal(t, placement.HeldBack{placement.Leaving: 1}, held)
}
