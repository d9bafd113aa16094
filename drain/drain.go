// Package drain tracks the requests in flight of a daemon and refuses new ones
// after a termination signal, as the state chart drain.yaml says.
//
// A Drainer is safe for concurrent use.
package drain

import (
	"sync"

	"github.com/filbertmux/filbertmux/chart"
	"github.com/filbertmux/filbertmux/errkind"
	"github.com/filbertmux/filbertmux/invariant"
)

// Events, guards and actions of the chart.
const (
	eventTerminate = "terminate"
	eventRequest   = "request"
	eventIdle      = "idle"

	guardIdle = "idle"

	actionAccept   = "accept"
	actionRefuse   = "refuse"
	actionAnnounce = "announce_leaving"
	actionStop     = "stop"
)

var drainChart = chart.MustLoad("drain", chart.Vocabulary{
	Guards:  []string{guardIdle},
	Actions: []string{actionAccept, actionRefuse, actionAnnounce, actionStop},
})

// Drainer counts requests in flight. Invariant: once Stopped is closed, no
// request is in flight and none is accepted.
type Drainer struct {
	mu       sync.Mutex
	machine  *chart.Machine
	inFlight int
	leaving  chan struct{}
	stopped  chan struct{}
}

// New returns a Drainer that accepts requests.
func New() *Drainer {
	return &Drainer{
		machine: drainChart.New(),
		leaving: make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// Begin accepts one request, or refuses it with kind Leaving, which proves
// that it was not run. After a nil error the caller calls End exactly once.
func (d *Drainer) Begin() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fire(eventRequest) != actionAccept {
		return errkind.New(errkind.Leaving, "this instance is shutting down")
	}
	d.inFlight++
	return nil
}

// End marks one accepted request as finished.
func (d *Drainer) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	invariant.Check(d.inFlight >= 0, "drain: %d requests in flight", d.inFlight)
	if d.inFlight == 0 {
		d.fire(eventIdle)
	}
}

// Terminate starts the shutdown. Further calls have no effect.
func (d *Drainer) Terminate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fire(eventTerminate)
}

// Leaving is closed when the shutdown starts.
func (d *Drainer) Leaving() <-chan struct{} { return d.leaving }

// Stopped is closed when the shutdown has started and nothing is in flight.
func (d *Drainer) Stopped() <-chan struct{} { return d.stopped }

// IsLeaving reports whether the shutdown has started.
func (d *Drainer) IsLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// InFlight returns the number of requests in flight.
func (d *Drainer) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

func (d *Drainer) fire(event string) string {
	action, err := d.machine.Fire(event, chart.Guards{guardIdle: d.inFlight == 0})
	if !invariant.Check(err == nil, "drain: %v", err) {
		return actionRefuse
	}
	switch action {
	case actionAnnounce:
		close(d.leaving)
	case actionStop:
		d.stop()
	}
	return action
}

func (d *Drainer) stop() {
	invariant.Check(d.inFlight == 0, "drain: stopped with %d requests in flight", d.inFlight)
	if !d.IsLeaving() {
		close(d.leaving)
	}
	close(d.stopped)
}
