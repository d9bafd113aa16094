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

// runFaults runs one seed and returns the violation, if any.
func runFaults(seed uint64, r rules, enterUndecided bool) (violation string) {
	defer func() {
		if p := recover(); p != nil {
			violation = fmt.Sprint(p)
		}
	}()
	s := newSim(seed, true, r, enterUndecided)
	s.runUntil(faultPeriod)
	s.heal()
	s.runUntil(faultPeriod + longestFault)
	step, finished := s.ranks[0].State().Step, s.finished
	s.runUntil(faultPeriod + longestFault + recoveryBound)
	if s.violation == "" && s.ranks[0].State().Step < step+livenessSteps {
		s.fail("group made %d steps in %s after the faults", s.ranks[0].State().Step-step, recoveryBound)
	}
	if s.finished == finished {
		s.fail("no plan finished within %s after the faults", recoveryBound)
	}
	return s.violation
}

// Guards against a step on two maps, a stale holder that still switches, and a
// group that does not recover by itself.
func TestOneMapInEveryStep(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 30) {
		if v := runFaults(seed, rules{}, false); v != "" {
			t.Fatalf("seed %d: %s\n%s", seed, v, seeds.ReplayCommand(t, "rankgroup/mapswitch", seed))
		}
	}
}

// Guards against a test that cannot see the faults the rules prevent.
func TestRulesAreNeeded(t *testing.T) {
	cases := []struct {
		name           string
		rules          rules
		enterUndecided bool
	}{
		{"enter the promised step undecided", rules{}, true},
		{"no token check", rules{ignoreTokens: true}, false},
		{"forget refusals", rules{forgetRefusals: true, ignoreIncarnations: true}, false},
	}
	for _, c := range cases {
		violations, runs := 0, 0
		example := ""
		for _, seed := range seeds.ForTest(t, 400) {
			runs++
			if v := runFaults(seed, c.rules, c.enterUndecided); v != "" {
				violations++
				example = fmt.Sprintf("seed %d: %s", seed, v)
			}
			// One violation is enough; FILBERTMUX_SEEDS asks for the rate.
			if violations > 0 && os.Getenv("FILBERTMUX_SEEDS") == "" {
				break
			}
		}
		t.Logf("%s: violations in %d of %d seeds; %s", c.name, violations, runs, example)
		require.NotZero(t, violations, c.name)
	}
}

// Guards against an activation step so near that ranks wait for the outcome.
func TestNoStepWaitsWithoutFaults(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, false, rules{}, false)
		s.runUntil(4 * time.Second)
		require.Empty(t, s.violation)
		require.NotZero(t, s.finished)
		require.Zero(t, s.waits, "seed %d", seed)
	}
}

// Guards against a restarted sidecar that obeys a holder before it has read
// the current token.
func TestRestartedMemberNeedsTheToken(t *testing.T) {
	m := NewMember(DefaultMemberSettings(), 0, 1, 1, []RankID{0})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m.Start(now)
	m.Handle(now, NewRank(0, 1, false).State())
	require.Empty(t, m.Handle(now, TakeOver{Token: 3}))
	m.Handle(now, LatestToken{Token: 4})
	out := m.Handle(now, TakeOver{Token: 3})
	require.Equal(t, Rejected{From: 0, Token: 4}, out[0].Message)
}

// Guards against a plan that is sent with each poll while weights are staged,
// against one that is not sent again after a loss, and against one that is sent
// to members that have staged it.
func TestPlanIsSeldomRepeated(t *testing.T) {
	s, now := DefaultCoordinatorSettings(), time.Unix(1_700_000_000, 0)
	h := NewCoordinator(s, 1, now.Add(time.Hour), 2)
	incarnation := uint64(1)
	report := func(from MemberID, staged Attempt, version uint64) {
		h.Handle(now, Status{
			From: from, Token: 1, Incarnation: incarnation,
			Ranks: []RankState{{Rank: RankID(from), Version: version, Staged: staged}},
		})
	}
	report(0, Attempt{}, 1)
	report(1, Attempt{}, 1)
	require.Equal(t, Idle, h.Phase())
	sent := make(map[MemberID]int)
	count := func(out []Output) {
		for _, o := range out {
			if _, ok := o.Message.(Prepare); ok {
				sent[o.Member]++
			}
		}
	}
	out, err := h.Submit(now, &experts.Map{Epoch: 1})
	require.NoError(t, err)
	count(out)
	report(0, h.plan.Attempt, 2)
	polls := 0
	for end := now.Add(30 * time.Second); now.Before(end); {
		now = now.Add(s.RetransmitAfter)
		if out := h.Tick(now); len(out) > 0 {
			polls++
			count(out)
		}
		if polls == 1 {
			require.Equal(t, 2, sent[1], "a lost plan is sent again soon")
		}
	}
	require.Equal(t, Staging, h.Phase())
	require.Equal(t, 1, sent[0])
	require.LessOrEqual(t, sent[1], 12)
	require.Greater(t, polls, 1000)
	before := sent[1]
	incarnation++
	report(1, Attempt{}, 1)
	now = now.Add(s.RetransmitAfter)
	count(h.Tick(now))
	require.Equal(t, before+1, sent[1], "a restarted member gets the plan soon")
}
