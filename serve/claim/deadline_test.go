package claim_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/serve/claim"
)

// Guards against a run that starts after DecisionTimeout, when the decision is
// handled ahead of the DeadlinePassed event: by then the entry has given up on
// this sidecar and may have sent the key to another one.
func TestDecisionAfterDeadlineDoesNotRun(t *testing.T) {
	s, now := claim.DefaultSettings(), time.UnixMilli(1_800_000_000_000)
	id := claim.ID{Incarnation: "a", Seq: 1}
	claimWon := claim.Event{Kind: claim.ClaimRead, Decision: claim.Decision{Claim: id, Won: true}}
	for _, c := range []struct {
		after time.Duration
		kind  claim.EffectKind
	}{{s.DecisionTimeout - time.Millisecond, claim.Run}, {s.DecisionTimeout, claim.AppendOutcome}} {
		request := claim.Request{
			Organisation: "org", Service: "svc", Key: keyAt(now, 1).String(),
			Deadline: now.Add(time.Hour),
		}
		call := claim.NewCall(s, id, request, now)
		call.Step(now, claim.Event{Kind: claim.Start})
		var kinds []claim.EffectKind
		for _, e := range call.Step(now.Add(c.after), claimWon) {
			kinds = append(kinds, e.Kind)
		}
		require.Contains(t, kinds, c.kind, "%s", c.after)
		if c.kind != claim.Run {
			require.NotContains(t, kinds, claim.Run)
		}
	}
}
