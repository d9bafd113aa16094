package mapswitch

import "github.com/filbertmux/filbertmux/base/invariant"

// retainedSteps is the number of steps for which a StepChecker keeps the map in
// use. The ranks of a lock-step group are at most one step apart, so the number
// only has to cover the delay of reports.
const retainedSteps = 1024

// StepChecker asserts that all ranks of a group use the same map in each step.
type StepChecker struct {
	attemptByStep map[uint64]Attempt
	newest        uint64
}

// NewStepChecker returns a StepChecker without recorded steps.
func NewStepChecker() *StepChecker { return &StepChecker{attemptByStep: make(map[uint64]Attempt)} }

// Record records that a rank uses the map of an attempt in a step. If another
// rank used a different map, it reports an invariant violation and returns
// false.
func (c *StepChecker) Record(rank RankID, step uint64, a Attempt) bool {
	if step+retainedSteps <= c.newest {
		return true
	}
	if first, ok := c.attemptByStep[step]; ok {
		return invariant.Check(first == a, "step %d: rank %d uses the map of %v, another rank that of %v", step, rank, a, first)
	}
	c.attemptByStep[step] = a
	for ; c.newest < step; c.newest++ {
		if c.newest >= retainedSteps {
			delete(c.attemptByStep, c.newest-retainedSteps)
		}
	}
	return true
}

// RecordState records the step of a reported state.
func (c *StepChecker) RecordState(s *RankState) bool {
	return c.Record(s.Rank, s.Step, s.AttemptAt(s.Step))
}
