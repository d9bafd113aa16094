// Package charttest provides mutation tests for state charts: they check that
// the behaviour test of a chart detects each mutation of that chart.
package charttest

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/filbertmux/filbertmux/base/chart"
)

// BehaviourCheck runs the code with a chart and returns the first difference
// from the expected behaviour. A panic also counts as a difference.
type BehaviourCheck func(c *chart.Chart) error

// RequireAllMutantsDetected requires that the behaviour check passes for c and
// fails for each mutant of c. A mutant lacks one transition or one guard. Mutants
// that chart.Parse rejects count as detected.
func RequireAllMutantsDetected(t *testing.T, c *chart.Chart, vocabulary chart.Vocabulary, check BehaviourCheck) {
	t.Helper()
	require.NoError(t, check(c))
	rejected, checked := 0, 0
	for _, m := range allMutants(c.Definition()) {
		mutant, err := parse(m.definition, vocabulary)
		if err != nil {
			rejected++
			continue
		}
		if runCheck(check, mutant) == nil {
			t.Errorf("mutant not detected: %s", m.name)
		}
		checked++
	}
	t.Logf("%d mutants rejected by chart.Parse, %d run with the behaviour check", rejected, checked)
}

// TransitionEdit returns the replacement for the transitions of an event in a
// state.
type TransitionEdit func(state, event string, transitions []chart.Transition) []chart.Transition

// Mutate returns c with edit applied to the transitions of each event in each
// state.
func Mutate(t *testing.T, c *chart.Chart, vocabulary chart.Vocabulary, edit TransitionEdit) *chart.Chart {
	t.Helper()
	definition := c.Definition()
	for state, s := range definition.States {
		for event := range s.On {
			definition = withTransitions(definition, state, event, edit(state, event, slices.Clone(s.On[event])))
		}
	}
	mutant, err := parse(definition, vocabulary)
	require.NoError(t, err)
	return mutant
}

func runCheck(check BehaviourCheck, c *chart.Chart) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	return check(c)
}

type mutant struct {
	name       string
	definition chart.Definition
}

func allMutants(d chart.Definition) []mutant {
	var list []mutant
	for _, state := range slices.Sorted(maps.Keys(d.States)) {
		for _, event := range slices.Sorted(maps.Keys(d.States[state].On)) {
			for i, tr := range d.States[state].On[event] {
				name := fmt.Sprintf("%s, %s, transition %d", state, event, i+1)
				transitions := d.States[state].On[event]
				removed := slices.Delete(slices.Clone(transitions), i, i+1)
				if tr != (chart.Transition{To: state}) {
					list = append(list, mutant{name + " removed", withTransitions(d, state, event, removed)})
				}
				if tr.Guard != "" {
					unguarded := slices.Clone(transitions[:i+1])
					unguarded[i].Guard = ""
					list = append(list, mutant{name + " without guard", withTransitions(d, state, event, unguarded)})
				}
			}
		}
	}
	return list
}

// withTransitions returns a copy of d with the transitions of an event in a
// state replaced. An empty list makes the state ignore the event. If the last
// transition has a guard, one to the same state is added for the case that no
// guard holds.
func withTransitions(d chart.Definition, state, event string, transitions []chart.Transition) chart.Definition {
	d.States = maps.Clone(d.States)
	s := d.States[state]
	s.On = maps.Clone(s.On)
	if len(transitions) == 0 {
		delete(s.On, event)
		s.Ignore = append(slices.Clone(s.Ignore), event)
	} else {
		if transitions[len(transitions)-1].Guard != "" {
			transitions = append(transitions, chart.Transition{To: state})
		}
		s.On[event] = transitions
	}
	d.States[state] = s
	return d
}

func parse(d chart.Definition, vocabulary chart.Vocabulary) (*chart.Chart, error) {
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, err
	}
	return chart.Parse(data, vocabulary)
}
