package mapswitch

import "github.com/filbertmux/filbertmux/base/invariant"

// ledgerSteps is the number of steps that a ledger remembers. Ranks of a
// lock-step group are at most one step apart, so delayed reports decide.
const ledgerSteps = 1024

// StepChecker asserts that a group uses one map in each step.
type StepChecker struct {
	attempts map[uint64]Attempt
	newest   uint64
}

// NewStepChecker returns an empty ledger.
func NewStepChecker() *StepChecker { return &StepChecker{attempts: make(map[uint64]Attempt)} }

// Record notes that a rank uses the map of an attempt in a step. It returns
// false, after recording the violation, if another rank used another map.
func (l *StepChecker) Record(rank RankID, step uint64, a Attempt) bool {
	if step+ledgerSteps <= l.newest {
		return true
	}
	if first, ok := l.attempts[step]; ok {
		return invariant.Check(first == a, "step %d: rank %d uses the map of %v, another rank that of %v", step, rank, a, first)
	}
	l.attempts[step] = a
	for ; l.newest < step; l.newest++ {
		if l.newest >= ledgerSteps {
			delete(l.attempts, l.newest-ledgerSteps)
		}
	}
	return true
}

// RecordState notes the step of a reported state.
func (l *StepChecker) RecordState(s *RankState) bool {
	return l.Record(s.Rank, s.Step, s.AttemptAt(s.Step))
}
