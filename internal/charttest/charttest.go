// Package charttest checks that the test of the behaviour behind a chart
// notices each change of that chart.
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

// Behaviour runs the code on a chart and returns the first difference from the
// behaviour that is wanted. It may also panic.
type BehaviourCheck func(c *chart.Chart) error

// CatchesEveryMutant requires that the behaviour of c is right, and that it is
// wrong for c without any one of its transitions and for c with any one of its
// guards dropped. Mutants that don't pass the check at start count as caught.
func RequireAllMutantsDetected(t *testing.T, c *chart.Chart, vocabulary chart.Vocabulary, behaviour BehaviourCheck) {
	t.Helper()
	require.NoError(t, behaviour(c))
	atStart, inTest := 0, 0
	for _, m := range mutants(c.Definition()) {
		mutant, err := parse(m.definition, vocabulary)
		if err != nil {
			atStart++
			continue
		}
		if caught(behaviour, mutant) == nil {
			t.Errorf("not noticed: %s", m.name)
		}
		inTest++
	}
	t.Logf("%d changes refused at start, %d found by behaviour", atStart, inTest)
}

// Change returns what becomes of the transitions of an event in a state.
type TransitionEdit func(state, event string, transitions []chart.Transition) []chart.Transition

// Mutate returns c with change applied to each list of transitions.
func Mutate(t *testing.T, c *chart.Chart, vocabulary chart.Vocabulary, change TransitionEdit) *chart.Chart {
	t.Helper()
	definition := c.Definition()
	for state, s := range definition.States {
		for event := range s.On {
			definition = with(definition, state, event, change(state, event, slices.Clone(s.On[event])))
		}
	}
	mutant, err := parse(definition, vocabulary)
	require.NoError(t, err)
	return mutant
}

func caught(behaviour BehaviourCheck, c *chart.Chart) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	return behaviour(c)
}

type mutant struct {
	name       string
	definition chart.Definition
}

func mutants(d chart.Definition) []mutant {
	var list []mutant
	for _, state := range slices.Sorted(maps.Keys(d.States)) {
		for _, event := range slices.Sorted(maps.Keys(d.States[state].On)) {
			for i, tr := range d.States[state].On[event] {
				name := fmt.Sprintf("%s, %s, transition %d", state, event, i+1)
				transitions := d.States[state].On[event]
				removed := slices.Delete(slices.Clone(transitions), i, i+1)
				if tr != (chart.Transition{To: state}) {
					list = append(list, mutant{name + " removed", with(d, state, event, removed)})
				}
				if tr.Guard != "" {
					always := slices.Clone(transitions[:i+1])
					always[i].Guard = ""
					list = append(list, mutant{name + " without guard", with(d, state, event, always)})
				}
			}
		}
	}
	return list
}

// with returns d with other transitions. Without any, the event is ignored;
// without one that always holds, the state stays when no guard holds.
func with(d chart.Definition, state, event string, transitions []chart.Transition) chart.Definition {
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
