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

// healthCheckFunc adapts a function to healthChecker.
type healthCheckFunc func() error

func (f healthCheckFunc) checkHealth(context.Context) error { return f() }

// healthModel is a reference model of the backend server's health without a state
// chart.
type healthModel struct {
	down    bool
	late    int
	crashes uint64
}

func (m *healthModel) applyCheck(result error) {
	switch {
	case result == nil:
		m.down, m.late = false, 0
	case isConnectionLost(result):
		if !m.down {
			m.crashes++
		}
		m.down = true
	default:
		m.late++
		m.down = m.down || m.late >= 3
	}
}

func (m *healthModel) state() string {
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
	errRefused = errkind.Wrap(errkind.BackendUnavailable, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, "health check failed")
	errLate    = errkind.Wrap(errkind.BackendUnavailable, context.DeadlineExceeded, "health check failed")
)

// modelTest applies the same random events to an admissionController and a
// healthModel.
type modelTest struct {
	rng         *rand.Rand
	admission   *admissionController
	model       healthModel
	checkResult error
	duringCheck func() // called during a health check
	visited     map[string]bool
}

func newModelTest(c *chart.Chart, seed uint64, visited map[string]bool) *modelTest {
	m := &modelTest{rng: rand.New(rand.NewPCG(seed, 3)), visited: visited}
	m.admission = newAdmissionController(healthCheckFunc(func() error {
		if m.duringCheck != nil {
			m.duringCheck()
		}
		return m.checkResult
	}), "inc", time.Now, zerolog.Nop())
	m.admission.health = newHealthTracker(c)
	return m
}

func (m *modelTest) step() error {
	m.checkResult = []error{nil, errLate, errLate, errRefused}[m.rng.IntN(4)]
	wasDown := m.model.down
	m.duringCheck = func() {
		m.visited[m.admission.health.machine.State()] = true
		if !wasDown {
			return
		}
		m.duringCheck = nil
		if m.admission.checkAvailable(context.Background()) {
			panic("request admitted during the health check")
		}
	}
	switch m.rng.IntN(4) {
	case 0:
		m.admission.runPeriodicCheck(context.Background())
		m.model.applyCheck(m.checkResult)
	case 1:
		m.runCanceledCheck()
	case 2:
		m.runFailedRequest()
	default:
		m.runRequest()
	}
	m.visited[m.admission.health.machine.State()] = true
	return m.compare()
}

// runCanceledCheck makes a health check with a cancelled context, which changes
// nothing.
func (m *modelTest) runCanceledCheck() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.admission.runPeriodicCheck(ctx)
}

// runFailedRequest reports a broken connection of a request in flight.
func (m *modelTest) runFailedRequest() {
	request := &admittedRequest{crashesAtStart: m.admission.crashes, cancel: func(error) {}}
	if m.admission.confirmCrash(request) {
		m.model.crashes++
		m.model.down = true
	}
}

// runRequest acquires and releases a request. If the server is down, this makes a
// health check.
func (m *modelTest) runRequest() {
	_, request, err := m.admission.acquire(context.Background(), quarantine.Fingerprint{}, nil)
	if m.model.down {
		m.model.applyCheck(m.checkResult)
	}
	if (err == nil) == m.model.down {
		panic(fmt.Sprintf("down %t, admitted %t", m.model.down, err == nil))
	}
	if err == nil {
		m.admission.release(request, true)
	}
}

func (m *modelTest) compare() error {
	state := m.admission.health.machine.State()
	if state != m.model.state() || m.admission.crashes != m.model.crashes {
		return fmt.Errorf("state %s, %d crashes; want %s, %d crashes", state, m.admission.crashes, m.model.state(), m.model.crashes)
	}
	return nil
}

// Guards against a change of the state chart that admits requests to a server that
// is down, refuses them to one that responds, or misses or repeats a crash.
// Removing any transition or the guard must fail this test.
func TestHealthTrackerMatchesModel(t *testing.T) {
	behaviour := func(c *chart.Chart, visited map[string]bool) error {
		for seed := range uint64(20) {
			m := newModelTest(c, seed+1, visited)
			for range 100 {
				if err := m.step(); err != nil {
					return fmt.Errorf("seed %d: %w", seed+1, err)
				}
			}
		}
		return nil
	}
	visited := make(map[string]bool)
	require.NoError(t, behaviour(healthChart, visited))
	for state := range healthChart.Definition().States {
		require.True(t, visited[state], state)
	}
	charttest.RequireAllMutantsDetected(t, healthChart, healthVocabulary, func(c *chart.Chart) error {
		return behaviour(c, make(map[string]bool))
	})
}
