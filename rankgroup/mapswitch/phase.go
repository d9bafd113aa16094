package mapswitch

import (
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Phase is the phase of a holder, a state of base/chart/charts/mapswitch_holder.yaml.
type Phase string

// Phases of a holder.
const (
	// TakingOver lasts until all members have answered and no earlier
	// attempt is undecided.
	TakingOver Phase = "taking_over"
	Idle       Phase = "idle"
	Staging    Phase = "staging"
	Proposing  Phase = "proposing"
	// Settling lasts until all members have left an attempt that was refused.
	Settling Phase = "settling"
	// Stopped is final: the lease ended or a later holder exists.
	Stopped Phase = "stopped"
)

// Events of the chart.
const (
	eventSubmit         = "submit"
	eventStatus         = "status"
	eventStagingTimeout = "staging_timeout"
	eventLeaseEnded     = "lease_ended"
	eventSuperseded     = "superseded"
)

// Guards of the chart.
const (
	guardSettled   = "settled"
	guardStaged    = "staged"
	guardInstalled = "installed"
	guardRefused   = "refused"
	guardMayRetry  = "may_retry"
)

// Actions of the chart.
const (
	actionPrepare  = "prepare"
	actionPropose  = "propose"
	actionComplete = "complete"
	actionUndo     = "undo"
	actionSettle   = "settle"
)

var holderChart = chart.MustLoad("mapswitch_holder", chart.Vocabulary{
	Guards:  []string{guardSettled, guardStaged, guardInstalled, guardRefused, guardMayRetry},
	Actions: []string{actionPrepare, actionPropose, actionComplete, actionUndo, actionSettle},
})

// fire applies an event and runs the action of the transition. In Stopped no
// event has an effect.
func (h *Coordinator) fire(now time.Time, event string) []Output {
	if h.machine.Final() {
		return nil
	}
	action, err := h.machine.Fire(event, h.guards())
	if !invariant.Check(err == nil, "map switch: %v", err) {
		return nil
	}
	return h.act(now, action)
}

func (h *Coordinator) act(now time.Time, action string) []Output {
	switch action {
	case actionPrepare:
		return h.prepare(now)
	case actionPropose:
		return h.propose(now)
	case actionComplete:
		h.outcome = Committed
	case actionUndo:
		h.outcome = Aborted
	case actionSettle:
		// The members may have left the attempt already.
		return h.fire(now, eventStatus)
	}
	return nil
}

// guards returns what the states of the members allow in the present phase.
func (h *Coordinator) guards() chart.Guards {
	switch h.Phase() {
	case TakingOver:
		return chart.Guards{guardSettled: h.settled()}
	case Staging:
		return chart.Guards{guardStaged: h.all(h.isStaged)}
	case Proposing:
		return chart.Guards{guardInstalled: h.all(h.isInstalled), guardRefused: h.isRefused()}
	case Settling:
		settled := h.settled()
		return chart.Guards{guardSettled: settled, guardMayRetry: settled && h.mayRetry()}
	case Idle, Stopped:
	}
	return nil
}

// isRefused reports whether some member proves that the attempt was refused.
func (h *Coordinator) isRefused() bool {
	for i, s := range h.status {
		if h.left(s, h.proposed[i]) {
			return true
		}
	}
	return false
}

// mayRetry reports whether another attempt on the same base map is allowed.
func (h *Coordinator) mayRetry() bool {
	return h.tries < h.settings.MaxAttempts && h.status[0].Ranks[0].Installed == h.plan.Base
}
