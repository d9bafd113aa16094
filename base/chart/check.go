package chart

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// validator collects the problems of a definition.
type validator struct {
	definition Definition
	vocabulary Vocabulary
	problems   []string
}

func validate(def Definition, vocabulary Vocabulary) error {
	v := &validator{definition: def, vocabulary: vocabulary}
	if _, ok := def.States[def.Initial]; !ok {
		v.addProblem("initial state %q is not defined", def.Initial)
	}
	for _, name := range slices.Sorted(maps.Keys(def.States)) {
		v.validateState(name, def.States[name])
	}
	v.validateReachability()
	if len(v.problems) > 0 {
		return errors.New(strings.Join(v.problems, "; "))
	}
	return nil
}

func (v *validator) addProblem(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *validator) validateState(name string, state StateDefinition) {
	for _, event := range v.definition.Events {
		_, handled := state.On[event]
		ignored := slices.Contains(state.Ignore, event)
		if handled == ignored && !state.Final {
			v.addProblem("state %s: event %s must be either handled or ignored", name, event)
		}
		if state.Final && handled {
			v.addProblem("final state %s handles event %s", name, event)
		}
	}
	for _, event := range slices.Sorted(maps.Keys(state.On)) {
		if !slices.Contains(v.definition.Events, event) {
			v.addProblem("state %s: unknown event %s", name, event)
		}
		v.validateTransitions(name, event, state.On[event])
	}
	for _, event := range state.Ignore {
		if !slices.Contains(v.definition.Events, event) {
			v.addProblem("state %s: unknown ignored event %s", name, event)
		}
	}
}

func (v *validator) validateTransitions(state, event string, transitions []Transition) {
	if len(transitions) == 0 {
		v.addProblem("state %s: event %s has no transition", state, event)
	}
	for i, t := range transitions {
		if _, ok := v.definition.States[t.To]; !ok {
			v.addProblem("state %s, event %s: unknown state %q", state, event, t.To)
		}
		if t.Guard != "" && !slices.Contains(v.vocabulary.Guards, t.Guard) {
			v.addProblem("state %s, event %s: unknown guard %s", state, event, t.Guard)
		}
		if t.Action != "" && !slices.Contains(v.vocabulary.Actions, t.Action) {
			v.addProblem("state %s, event %s: unknown action %s", state, event, t.Action)
		}
		last := i == len(transitions)-1
		if t.Guard == "" && !last {
			v.addProblem("state %s, event %s: transitions after one without a guard are never taken", state, event)
		}
	}
}

func (v *validator) validateReachability() {
	reached := map[string]bool{v.definition.Initial: true}
	queue := []string{v.definition.Initial}
	for len(queue) > 0 {
		state := v.definition.States[queue[0]]
		queue = queue[1:]
		for _, transitions := range state.On {
			for _, t := range transitions {
				if !reached[t.To] {
					reached[t.To] = true
					queue = append(queue, t.To)
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.definition.States)) {
		if !reached[name] {
			v.addProblem("state %s is unreachable", name)
		}
	}
}
