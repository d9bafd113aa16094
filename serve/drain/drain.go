// Package drain implements the graceful shutdown of a daemon according to the
// state chart base/chart/charts/drain.yaml: a Gate admits requests, refuses them
// once the shutdown has started, and signals when the last request in flight has
// ended.
package drain

import (
	"sync"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Events, guards and actions of the state chart.
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

// Gate counts the requests in flight of one daemon. It is safe for concurrent
// use.
type Gate struct {
	mu        sync.Mutex
	machine   *chart.Machine
	inFlight  int
	leaving   chan struct{}
	stopped   chan struct{}
	isLeaving bool
}

// NewGate returns a gate that admits requests.
func NewGate() *Gate {
	return &Gate{
		machine: drainChart.NewMachine(),
		leaving: make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// Enter admits a request or refuses it with an error of kind Leaving. If the
// error is nil, the caller has to call Exit exactly once.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fire(eventRequest) != actionAccept {
		return errkind.New(errkind.Leaving, "this process is shutting down")
	}
	g.inFlight++
	return nil
}

// Exit ends an admitted request.
func (g *Gate) Exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	invariant.Check(g.inFlight >= 0, "drain: Exit was called without Enter")
	if g.inFlight == 0 {
		g.fire(eventIdle)
	}
}

// Terminate starts the shutdown. Further calls have no effect.
func (g *Gate) Terminate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fire(eventTerminate)
}

// Leaving returns a channel that is closed when the shutdown starts.
func (g *Gate) Draining() <-chan struct{} { return g.leaving }

// Stopped returns a channel that is closed when the shutdown has started and no
// request is in flight.
func (g *Gate) Stopped() <-chan struct{} { return g.stopped }

// IsLeaving reports whether the shutdown has started.
func (g *Gate) IsDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isLeaving
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// fire applies an event to the state chart and returns the action. The caller
// holds mu.
func (g *Gate) fire(event string) string {
	action, err := g.machine.Fire(event, chart.Guards{guardIdle: g.inFlight == 0})
	if !invariant.Check(err == nil, "drain chart: %v", err) {
		return actionRefuse
	}
	switch action {
	case actionAnnounce:
		g.announceLeaving()
	case actionStop:
		g.announceLeaving()
		close(g.stopped)
	}
	return action
}

func (g *Gate) announceLeaving() {
	if !g.isLeaving {
		g.isLeaving = true
		close(g.leaving)
	}
}
