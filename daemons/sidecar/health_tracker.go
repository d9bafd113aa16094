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

var healthVocabulary = chart.Vocabulary{
	Guards:  []string{guardTooManyLate},
	Actions: []string{actionAdmit, actionCheckHealth, actionCrash},
}

var healthChart = chart.MustLoad("sidecar", healthVocabulary)

// healthTracker tracks the health of the backend server. It does no I/O and is
// not safe for concurrent use.
type healthTracker struct {
	machine    *chart.Machine
	lateChecks int // consecutive health checks without a timely response
}

func newHealthTracker(c *chart.Chart) *healthTracker { return &healthTracker{machine: c.NewMachine()} }

// fire applies an event and returns the action of the transition, or an empty
// string. A request may be admitted only if the action is actionAdmit.
func (t *healthTracker) fire(event string) string {
	switch event {
	case eventHealthLate:
		t.lateChecks++
	case eventHealthAnswered:
		t.lateChecks = 0
	}
	action, err := t.machine.Fire(event, chart.Guards{guardTooManyLate: t.lateChecks >= maxLateHealthChecks})
	if !invariant.Check(err == nil, "sidecar chart: %v", err) {
		return ""
	}
	return action
}
