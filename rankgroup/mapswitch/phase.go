package mapswitch

import (
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Phase is the phase of a Coordinator, a state of
// base/chart/charts/mapswitch_holder.yaml.
type Phase string

// Phases of a Coordinator.
const (
	// TakingOver lasts until all members have responded and no earlier
	// attempt is undecided.
	TakingOver Phase = "taking_over"
	// Idle lasts until a plan is submitted.
	Idle Phase = "idle"
	// Staging lasts until all ranks have the weights of the plan.
	Staging Phase = "staging"
	// Proposing lasts until the outcome of the proposed attempt is known.
	Proposing Phase = "proposing"
	// Settling lasts until all members are done with a refused attempt.
	Settling Phase = "settling"
	// Stopped is final: the lease ended, or a coordinator with a higher
	// fencing token exists.
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

var coordinatorChart = chart.MustLoad("mapswitch_holder", chart.Vocabulary{
	Guards:  []string{guardSettled, guardStaged, guardInstalled, guardRefused, guardMayRetry},
	Actions: []string{actionPrepare, actionPropose, actionComplete, actionUndo, actionSettle},
})

// fire applies an event to the state chart and runs the action of the
// transition. Events in phase Stopped have no effect.
func (c *Coordinator) fire(now time.Time, event string) []Output {
	if c.machine.Final() {
		return nil
	}
	action, err := c.machine.Fire(event, c.guards())
	if !invariant.Check(err == nil, "map switch: %v", err) {
		return nil
	}
	return c.runAction(now, action)
}

func (c *Coordinator) runAction(now time.Time, action string) []Output {
	switch action {
	case actionPrepare:
		return c.prepare(now)
	case actionPropose:
		return c.propose(now)
	case actionComplete:
		c.outcome = Committed
	case actionUndo:
		c.outcome = Aborted
	case actionSettle:
		// The statuses received so far may already satisfy a guard of Settling.
		return c.fire(now, eventStatus)
	}
	return nil
}

// guards evaluates the guards of the current phase on the states of the
// members.
func (c *Coordinator) guards() chart.Guards {
	switch c.Phase() {
	case TakingOver:
		return chart.Guards{guardSettled: c.isSettled()}
	case Staging:
		return chart.Guards{guardStaged: c.allMembers(c.isStaged)}
	case Proposing:
		return chart.Guards{guardInstalled: c.allMembers(c.isInstalled), guardRefused: c.isRefused()}
	case Settling:
		settled := c.isSettled()
		return chart.Guards{guardSettled: settled, guardMayRetry: settled && c.mayRetry()}
	case Idle, Stopped:
	}
	return nil
}

// isRefused reports whether some member proves that the attempt was refused.
func (c *Coordinator) isRefused() bool {
	for i, s := range c.statuses {
		if c.provesRefusal(s, c.proposedIncarnations[i]) {
			return true
		}
	}
	return false
}

// mayRetry reports whether another attempt on the same base map is allowed.
func (c *Coordinator) mayRetry() bool {
	return c.attempts < c.settings.MaxAttempts && c.statuses[0].Ranks[0].Installed == c.plan.Base
}
