package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/internal/charttest"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// healthFunc answers health checks as the test chooses.
type healthFunc func() error

func (f healthFunc) health(context.Context) error { return f() }

// viewModel holds what the guard must know of the backend server, as two
// variables and without a chart.
type viewModel struct {
	down  bool
	late  int
	crash uint64
}

func (m *viewModel) checked(result error) {
	switch {
	case result == nil:
		m.down, m.late = false, 0
	case isConnectionLost(result):
		if !m.down {
			m.crash++
		}
		m.down = true
	default:
		m.late++
		m.down = m.down || m.late >= 3
	}
}

func (m *viewModel) state() string {
	switch {
	case m.down:
		return "down"
	case m.late > 0:
		return "suspected"
	default:
		return "working"
	}
}

var (
	errRefused = errkind.Wrap(errkind.BackendUnavailable, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, "health check")
	errLate    = errkind.Wrap(errkind.BackendUnavailable, context.DeadlineExceeded, "health check")
)

// viewRun steps a guard and a viewModel with the same random events.
type viewRun struct {
	rng     *rand.Rand
	guard   *guard
	model   viewModel
	result  error
	during  func() // runs while a health check is under way
	visited map[string]bool
}

func newViewRun(c *chart.Chart, seed uint64, visited map[string]bool) *viewRun {
	r := &viewRun{rng: rand.New(rand.NewPCG(seed, 3)), visited: visited}
	r.guard = newGuard(healthFunc(func() error {
		if r.during != nil {
			r.during()
		}
		return r.result
	}), "inc", time.Now, zerolog.Nop())
	r.guard.view = newServerView(c)
	return r
}

func (r *viewRun) step() error {
	r.result = []error{nil, errLate, errLate, errRefused}[r.rng.IntN(4)]
	wasDown := r.model.down
	r.during = func() {
		r.visited[r.guard.view.machine.State()] = true
		if !wasDown {
			return
		}
		r.during = nil
		if r.guard.recovered(context.Background()) {
			panic("admitted during the health check")
		}
	}
	switch r.rng.IntN(4) {
	case 0:
		r.guard.check(context.Background())
		r.model.checked(r.result)
	case 1:
		r.canceled()
	case 2:
		r.failed()
	default:
		r.enter()
	}
	r.visited[r.guard.view.machine.State()] = true
	return r.compare()
}

// canceled is a health check whose caller has gone; it shows nothing.
func (r *viewRun) canceled() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.guard.check(ctx)
}

// failed is a request that began before the newest events and broke.
func (r *viewRun) failed() {
	run := &guardedRun{crashes: r.guard.crashes, cancel: func(error) {}}
	if r.guard.died(run) {
		r.model.crash++
		r.model.down = true
	}
}

// enter is a request; it asks a server that is down for its health.
func (r *viewRun) enter() {
	_, run, err := r.guard.enter(context.Background(), quarantine.Fingerprint{})
	if r.model.down {
		r.model.checked(r.result)
	}
	if (err == nil) == r.model.down {
		panic(fmt.Sprintf("down %t, admitted %t", r.model.down, err == nil))
	}
	if err == nil {
		r.guard.exit(run, true)
	}
}

func (r *viewRun) compare() error {
	state := r.guard.view.machine.State()
	if state != r.model.state() || r.guard.crashes != r.model.crash {
		return fmt.Errorf("state %s, %d crashes; want %s, %d crashes", state, r.guard.crashes, r.model.state(), r.model.crash)
	}
	return nil
}

// Guards against a change of the chart that admits work to a server that is
// down, that refuses work to one that answers, or that misses or repeats a
// crash. Removing any transition or dropping the guard fails here.
func TestViewOfTheBackendServer(t *testing.T) {
	behaviour := func(c *chart.Chart, visited map[string]bool) error {
		for seed := range uint64(20) {
			r := newViewRun(c, seed+1, visited)
			for range 100 {
				if err := r.step(); err != nil {
					return fmt.Errorf("seed %d: %w", seed+1, err)
				}
			}
		}
		return nil
	}
	visited := make(map[string]bool)
	require.NoError(t, behaviour(viewChart, visited))
	for state := range viewChart.Definition().States {
		require.True(t, visited[state], state)
	}
	charttest.RequireAllMutantsDetected(t, viewChart, viewVocabulary, func(c *chart.Chart) error {
		return behaviour(c, make(map[string]bool))
	})
}
