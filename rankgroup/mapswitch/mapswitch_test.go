package mapswitch

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// runWithFaults simulates a group with faults and returns the first violation,
// if any.
func runWithFaults(seed uint64, overrides testOverrides, ignoreHolds bool) (violation string) {
	defer func() {
		if p := recover(); p != nil {
			violation = fmt.Sprint(p)
		}
	}()
	s := newSim(seed, true, overrides, ignoreHolds)
	s.runUntil(faultDuration)
	s.endFaults()
	s.runUntil(faultDuration + maxFaultDuration)
	step, committed := s.ranks[0].State().Step, s.committed
	s.runUntil(faultDuration + maxFaultDuration + recoveryTimeout)
	if s.violation == "" && s.ranks[0].State().Step < step+minRecoverySteps {
		s.fail("group ran only %d steps in %s after the faults", s.ranks[0].State().Step-step, recoveryTimeout)
	}
	if s.committed == committed {
		s.fail("no plan was committed within %s after the faults", recoveryTimeout)
	}
	return s.violation
}

// Guards against a step on two maps, a switch by a coordinator with a stale
// token, and a group that does not recover by itself after faults.
func TestOneMapInEveryStep(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 30) {
		if v := runWithFaults(seed, testOverrides{}, false); v != "" {
			t.Fatalf("seed %d: %s\n%s", seed, v, seeds.ReplayCommand(t, "rankgroup/mapswitch", seed))
		}
	}
}

// Guards against a simulation that cannot detect the violations that the safety
// rules prevent: with a rule disabled it must report one.
func TestDisabledRuleIsDetected(t *testing.T) {
	cases := []struct {
		name        string
		overrides   testOverrides
		ignoreHolds bool
	}{
		{"holds ignored by ranks", testOverrides{}, true},
		{"tokens not checked", testOverrides{ignoreTokens: true}, false},
		{"refusals forgotten", testOverrides{forgetRefusals: true, ignoreIncarnations: true}, false},
	}
	for _, c := range cases {
		violations, runs := 0, 0
		example := ""
		for _, seed := range seeds.ForTest(t, 400) {
			runs++
			if v := runWithFaults(seed, c.overrides, c.ignoreHolds); v != "" {
				violations++
				example = fmt.Sprintf("seed %d: %s", seed, v)
			}
			// One violation is enough, unless FILBERTMUX_SEEDS is set to
			// measure the rate.
			if violations > 0 && os.Getenv("FILBERTMUX_SEEDS") == "" {
				break
			}
		}
		t.Logf("%s: violations in %d of %d seeds; %s", c.name, violations, runs, example)
		require.NotZero(t, violations, c.name)
	}
}

// Guards against a promised step so near that ranks reach it before they know
// the outcome.
func TestNoBlockedStepWithoutFaults(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, false, testOverrides{}, false)
		s.runUntil(4 * time.Second)
		require.Empty(t, s.violation)
		require.NotZero(t, s.committed)
		require.Zero(t, s.blockedSteps, "seed %d", seed)
	}
}

// Guards against a restarted member that obeys a coordinator before it has read
// the current token.
func TestRestartedMemberReadsTokenFirst(t *testing.T) {
	m := NewMember(DefaultMemberSettings(), 0, 1, 1, []RankID{0})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m.Start(now)
	m.Handle(now, NewRank(0, 1, false).State())
	require.Empty(t, m.Handle(now, TakeOver{Token: 3}))
	m.Handle(now, LatestToken{Token: 4})
	out := m.Handle(now, TakeOver{Token: 3})
	require.Equal(t, Rejected{From: 0, Token: 4}, out[0].Message)
}

// Guards against a plan that is sent with each poll during staging, that is not
// sent again after a loss or a restart of the member, or that is sent again to
// members that have staged it.
func TestPlanResendBackoff(t *testing.T) {
	s, now := DefaultCoordinatorSettings(), time.Unix(1_700_000_000, 0)
	c := NewCoordinator(s, 1, now.Add(time.Hour), 2)
	incarnation := uint64(1)
	report := func(from MemberID, staged Attempt, version uint64) {
		c.Handle(now, Status{
			From: from, Token: 1, Incarnation: incarnation,
			Ranks: []RankState{{Rank: RankID(from), Version: version, Staged: staged}},
		})
	}
	report(0, Attempt{}, 1)
	report(1, Attempt{}, 1)
	require.Equal(t, Idle, c.Phase())
	prepares := make(map[MemberID]int)
	countPrepares := func(out []Output) {
		for _, o := range out {
			if _, ok := o.Message.(Prepare); ok {
				prepares[o.Member]++
			}
		}
	}
	out, err := c.Submit(now, &experts.Map{Epoch: 1})
	require.NoError(t, err)
	countPrepares(out)
	report(0, c.plan.Attempt, 2)
	polls := 0
	for end := now.Add(30 * time.Second); now.Before(end); {
		now = now.Add(s.RetransmitAfter)
		if out := c.Tick(now); len(out) > 0 {
			polls++
			countPrepares(out)
		}
		if polls == 1 {
			require.Equal(t, 2, prepares[1], "a lost plan is sent again soon")
		}
	}
	require.Equal(t, Staging, c.Phase())
	require.Equal(t, 1, prepares[0])
	require.LessOrEqual(t, prepares[1], 12)
	require.Greater(t, polls, 1000)
	before := prepares[1]
	incarnation++
	report(1, Attempt{}, 1)
	now = now.Add(s.RetransmitAfter)
	countPrepares(c.Tick(now))
	require.Equal(t, before+1, prepares[1], "a restarted member gets the plan soon")
}
