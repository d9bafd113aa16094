// Package chart loads, checks and interprets state charts from YAML files.
//
// A Chart is immutable and safe for concurrent use. A Machine is one running
// state of a chart and belongs to one goroutine. Fire does no I/O: it returns
// the names of the actions, and the caller turns them into effects.
package chart

import (
	"context"
	"embed"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"github.com/qmuntal/stateless"
	"go.yaml.in/yaml/v3"
)

//go:embed charts/*.yaml
var charts embed.FS

// Definition is the content of a chart file.
type Definition struct {
	Name    string                     `yaml:"name"`
	Initial string                     `yaml:"initial"`
	Events  []string                   `yaml:"events"`
	States  map[string]StateDefinition `yaml:"states"`
}

// StateDefinition lists the transitions of one state. An event that is in
// neither On nor Ignore is a fault of the chart, so that none is forgotten.
type StateDefinition struct {
	Final  bool                    `yaml:"final"`
	Ignore []string                `yaml:"ignore"`
	On     map[string][]Transition `yaml:"on"`
}

// Transition leads to another state. Of several transitions for one event,
// the first whose guard holds is taken; an empty guard always holds.
type Transition struct {
	To     string `yaml:"to"`
	Guard  string `yaml:"guard"`
	Action string `yaml:"action"`
}

// Vocabulary lists the guard and action names that the code knows.
type Vocabulary struct {
	Guards  []string
	Actions []string
}

// Chart is a checked definition with its interpreter.
type Chart struct {
	def    Definition
	engine *stateless.StateMachine
}

// Load reads the embedded chart with the given name and checks it.
func Load(name string, vocabulary Vocabulary) (*Chart, error) {
	data, err := charts.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return Parse(data, vocabulary)
}

// MustLoad is Load for package initialisation. It panics on a fault, so that
// a process with a broken chart does not start.
func MustLoad(name string, vocabulary Vocabulary) *Chart {
	c, err := Load(name, vocabulary)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse decodes a chart and checks it. All faults are reported at once.
func Parse(data []byte, vocabulary Vocabulary) (*Chart, error) {
	var def Definition
	if err := yaml.Unmarshal(data, &def); err != nil {
		return nil, errors.Wrap(err, "decode chart")
	}
	if err := check(def, vocabulary); err != nil {
		return nil, errors.Wrapf(err, "chart %s", def.Name)
	}
	c := &Chart{def: def}
	c.engine = stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	c.configure()
	return c, nil
}

// Definition returns the definition of the chart.
func (c *Chart) Definition() Definition { return c.def }

// Machine is one running state of a chart.
type Machine struct {
	chart *Chart
	state string
}

// New returns a machine in the initial state.
func (c *Chart) NewMachine() *Machine { return &Machine{chart: c, state: c.def.Initial} }

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.def.States[m.state].Final }

// Guards maps a guard name to its present value.
type Guards map[string]bool

// Fire applies an event. It returns the action of the transition taken, or an
// empty string for a transition without action and for an ignored event. An
// event for which no guard holds is an error and leaves the state unchanged.
func (m *Machine) Fire(event string, guards Guards) (string, error) {
	step := &firing{machine: m, guards: guards}
	ctx := context.WithValue(context.Background(), firingKey{}, step)
	if err := m.chart.engine.FireCtx(ctx, event); err != nil {
		return "", errors.Wrapf(err, "chart %s, state %s, event %s", m.chart.def.Name, m.state, event)
	}
	return step.action, nil
}

type firingKey struct{}

// firing carries one Fire through the interpreter's callbacks.
type firing struct {
	machine *Machine
	guards  Guards
	action  string
}

func firingOf(ctx context.Context) *firing {
	step, _ := ctx.Value(firingKey{}).(*firing)
	return step
}

func loadState(ctx context.Context) (stateless.State, error) {
	return firingOf(ctx).machine.state, nil
}

func storeState(ctx context.Context, state stateless.State) error {
	name, ok := state.(string)
	if !ok {
		return errors.Errorf("state %v is not a string", state)
	}
	firingOf(ctx).machine.state = name
	return nil
}

func (c *Chart) configure() {
	for name, state := range c.def.States {
		cfg := c.engine.Configure(name)
		for _, event := range state.Ignore {
			cfg.Ignore(event)
		}
		for event, transitions := range state.On {
			cfg.PermitDynamic(event, selector(transitions), anyGuard(transitions))
		}
	}
}

// selector returns the destination of the first transition whose guard holds.
func selector(transitions []Transition) stateless.DestinationSelectorFunc {
	return func(ctx context.Context, _ ...any) (stateless.State, error) {
		step := firingOf(ctx)
		i := slices.IndexFunc(transitions, func(t Transition) bool { return holds(t, step.guards) })
		if i < 0 {
			return nil, errors.New("no guard holds")
		}
		step.action = transitions[i].Action
		return transitions[i].To, nil
	}
}

func anyGuard(transitions []Transition) stateless.GuardFunc {
	return func(ctx context.Context, _ ...any) bool {
		guards := firingOf(ctx).guards
		return slices.ContainsFunc(transitions, func(t Transition) bool { return holds(t, guards) })
	}
}

func holds(t Transition, guards Guards) bool { return t.Guard == "" || guards[t.Guard] }

// String names the chart.
func (c *Chart) String() string { return fmt.Sprintf("chart %s", c.def.Name) }
