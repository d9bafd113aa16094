package sidecar

import (
	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Events, guards and actions of base/chart/charts/sidecar.yaml.
const (
	eventRequestArrived = "request_arrived"
	eventRequestFailed  = "request_failed"
	eventCheckStarted   = "check_started"
	eventCheckCanceled  = "check_canceled"
	eventHealthAnswered = "health_answered"
	eventHealthLate     = "health_late"
	eventConnectionLost = "connection_lost"

	guardTooManyLate = "too_many_late"

	actionAdmit       = "admit"
	actionCheckHealth = "check_health"
	actionCrash       = "crash"
)

var viewVocabulary = chart.Vocabulary{
	Guards:  []string{guardTooManyLate},
	Actions: []string{actionAdmit, actionCheckHealth, actionCrash},
}

var viewChart = chart.MustLoad("sidecar", viewVocabulary)

// serverView is what the sidecar knows of its backend server. It does no I/O
// and is not safe for concurrent use.
type serverView struct {
	machine *chart.Machine
	late    int // health checks in a row without a timely answer
}

func newServerView(c *chart.Chart) *serverView { return &serverView{machine: c.NewMachine()} }

// fire applies an event and returns the action of the chart, if any. A request
// is admitted only by an action.
func (v *serverView) fire(event string) string {
	switch event {
	case eventHealthLate:
		v.late++
	case eventHealthAnswered:
		v.late = 0
	}
	action, err := v.machine.Fire(event, chart.Guards{guardTooManyLate: v.late >= maxHealthFailures})
	if !invariant.Check(err == nil, "sidecar chart: %v", err) {
		return ""
	}
	return action
}
