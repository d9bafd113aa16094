// Package chart loads, validates and interprets state charts from YAML files.
//
// A Chart is immutable and safe for concurrent use. A Machine holds the current
// state of one execution of a chart and is not safe for concurrent use. Fire does
// no I/O: it returns the name of the action, which the caller executes.
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
var chartFiles embed.FS

// Definition is the content of a chart file.
type Definition struct {
	Name    string                     `yaml:"name"`
	Initial string                     `yaml:"initial"`
	Events  []string                   `yaml:"events"`
	States  map[string]StateDefinition `yaml:"states"`
}

// StateDefinition lists the transitions of one state. Every event must be in
// either On or Ignore, so that no event is left unhandled by mistake.
type StateDefinition struct {
	Final  bool                    `yaml:"final"`
	Ignore []string                `yaml:"ignore"`
	On     map[string][]Transition `yaml:"on"`
}

// Transition is a transition to state To. Of several transitions for one event,
// the first one whose guard holds is taken; an empty guard always holds.
type Transition struct {
	To     string `yaml:"to"`
	Guard  string `yaml:"guard"`
	Action string `yaml:"action"`
}

// Vocabulary lists the guard and action names that the code implements.
type Vocabulary struct {
	Guards  []string
	Actions []string
}

// Chart is a validated definition with its interpreter.
type Chart struct {
	definition Definition
	engine     *stateless.StateMachine
}

// Load reads and validates the embedded chart with the given name.
func Load(name string, vocabulary Vocabulary) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return Parse(data, vocabulary)
}

// MustLoad is like Load but panics on an error. It is used for package
// initialisation, so that a process with an invalid chart does not start.
func MustLoad(name string, vocabulary Vocabulary) *Chart {
	c, err := Load(name, vocabulary)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse decodes and validates a chart. The error lists all problems.
func Parse(data []byte, vocabulary Vocabulary) (*Chart, error) {
	var def Definition
	if err := yaml.Unmarshal(data, &def); err != nil {
		return nil, errors.Wrap(err, "decode chart")
	}
	if err := validate(def, vocabulary); err != nil {
		return nil, errors.Wrapf(err, "chart %s", def.Name)
	}
	c := &Chart{definition: def}
	c.engine = stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	c.configure()
	return c, nil
}

// Definition returns the definition of the chart.
func (c *Chart) Definition() Definition { return c.definition }

// Machine holds the current state of one execution of a chart.
type Machine struct {
	chart *Chart
	state string
}

// NewMachine returns a machine in the initial state.
func (c *Chart) NewMachine() *Machine { return &Machine{chart: c, state: c.definition.Initial} }

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.definition.States[m.state].Final }

// Guards maps guard names to their current values.
type Guards map[string]bool

// Fire applies an event. It returns the action of the transition taken, or an
// empty string for a transition without an action and for an ignored event. If
// no guard holds, it returns an error and leaves the state unchanged.
func (m *Machine) Fire(event string, guards Guards) (string, error) {
	call := &fireContext{machine: m, guards: guards}
	ctx := context.WithValue(context.Background(), fireContextKey{}, call)
	if err := m.chart.engine.FireCtx(ctx, event); err != nil {
		return "", errors.Wrapf(err, "chart %s, state %s, event %s", m.chart.definition.Name, m.state, event)
	}
	return call.action, nil
}

type fireContextKey struct{}

// fireContext passes the arguments and the result of one Fire call through the
// interpreter's callbacks.
type fireContext struct {
	machine *Machine
	guards  Guards
	action  string
}

func fireContextOf(ctx context.Context) *fireContext {
	call, _ := ctx.Value(fireContextKey{}).(*fireContext)
	return call
}

func loadState(ctx context.Context) (stateless.State, error) {
	return fireContextOf(ctx).machine.state, nil
}

func storeState(ctx context.Context, state stateless.State) error {
	name, ok := state.(string)
	if !ok {
		return errors.Errorf("state %v is not a string", state)
	}
	fireContextOf(ctx).machine.state = name
	return nil
}

func (c *Chart) configure() {
	for name, state := range c.definition.States {
		cfg := c.engine.Configure(name)
		for _, event := range state.Ignore {
			cfg.Ignore(event)
		}
		for event, transitions := range state.On {
			cfg.PermitDynamic(event, destinationSelector(transitions), anyGuardHolds(transitions))
		}
	}
}

// destinationSelector returns a function that selects the destination of the first
// transition whose guard holds.
func destinationSelector(transitions []Transition) stateless.DestinationSelectorFunc {
	return func(ctx context.Context, _ ...any) (stateless.State, error) {
		call := fireContextOf(ctx)
		i := slices.IndexFunc(transitions, func(t Transition) bool { return guardHolds(t, call.guards) })
		if i < 0 {
			return nil, errors.New("no guard holds")
		}
		call.action = transitions[i].Action
		return transitions[i].To, nil
	}
}

func anyGuardHolds(transitions []Transition) stateless.GuardFunc {
	return func(ctx context.Context, _ ...any) bool {
		guards := fireContextOf(ctx).guards
		return slices.ContainsFunc(transitions, func(t Transition) bool { return guardHolds(t, guards) })
	}
}

func guardHolds(t Transition, guards Guards) bool { return t.Guard == "" || guards[t.Guard] }

// String returns the name of the chart for use in messages.
func (c *Chart) String() string { return fmt.Sprintf("chart %s", c.definition.Name) }
