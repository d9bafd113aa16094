package chart

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// checker collects the faults of a definition.
type checker struct {
	def        Definition
	vocabulary Vocabulary
	faults     []string
}

func check(def Definition, vocabulary Vocabulary) error {
	c := &checker{def: def, vocabulary: vocabulary}
	if _, ok := def.States[def.Initial]; !ok {
		c.fault("initial state %q is not defined", def.Initial)
	}
	for _, name := range slices.Sorted(maps.Keys(def.States)) {
		c.state(name, def.States[name])
	}
	c.reachability()
	if len(c.faults) > 0 {
		return errors.New(strings.Join(c.faults, "; "))
	}
	return nil
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) state(name string, state StateDefinition) {
	for _, event := range c.def.Events {
		_, handled := state.On[event]
		ignored := slices.Contains(state.Ignore, event)
		if handled == ignored && !state.Final {
			c.fault("state %s: event %s must be either handled or ignored", name, event)
		}
		if state.Final && handled {
			c.fault("final state %s handles event %s", name, event)
		}
	}
	for _, event := range slices.Sorted(maps.Keys(state.On)) {
		if !slices.Contains(c.def.Events, event) {
			c.fault("state %s: unknown event %s", name, event)
		}
		c.transitions(name, event, state.On[event])
	}
	for _, event := range state.Ignore {
		if !slices.Contains(c.def.Events, event) {
			c.fault("state %s: unknown ignored event %s", name, event)
		}
	}
}

func (c *checker) transitions(state, event string, transitions []Transition) {
	if len(transitions) == 0 {
		c.fault("state %s: event %s has no transition", state, event)
	}
	for i, t := range transitions {
		if _, ok := c.def.States[t.To]; !ok {
			c.fault("state %s, event %s: unknown state %q", state, event, t.To)
		}
		if t.Guard != "" && !slices.Contains(c.vocabulary.Guards, t.Guard) {
			c.fault("state %s, event %s: unknown guard %s", state, event, t.Guard)
		}
		if t.Action != "" && !slices.Contains(c.vocabulary.Actions, t.Action) {
			c.fault("state %s, event %s: unknown action %s", state, event, t.Action)
		}
		last := i == len(transitions)-1
		if t.Guard == "" && !last {
			c.fault("state %s, event %s: transitions after one without a guard are never taken", state, event)
		}
	}
}

func (c *checker) reachability() {
	reached := map[string]bool{c.def.Initial: true}
	queue := []string{c.def.Initial}
	for len(queue) > 0 {
		state := c.def.States[queue[0]]
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
	for _, name := range slices.Sorted(maps.Keys(c.def.States)) {
		if !reached[name] {
			c.fault("state %s is unreachable", name)
		}
	}
}
