package mapswitch

import (
	"slices"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Rank is the reference implementation of what a map switch requires of a rank
// of a backend server. The simulated engines of measure/standin use it.
type Rank struct {
	state RankState
	plan  Plan
	// checksTokens reports whether the backend server rejects stale tokens.
	checksTokens bool
	// ignoreHolds disables the rule that a rank does not enter a promised
	// step before it knows the outcome. Only tests set it.
	ignoreHolds bool
}

// NewRank returns a rank that uses the map of the given epoch.
func NewRank(id RankID, epoch uint64, checksTokens bool) *Rank {
	return &Rank{
		state:        RankState{Rank: id, Epoch: epoch, PreviousEpoch: epoch},
		checksTokens: checksTokens,
	}
}

// State returns the state of the rank.
func (r *Rank) State() RankState {
	s := r.state
	if s.Hold != nil {
		hold := *s.Hold
		s.Hold = &hold
	}
	return s
}

// MayEnterNextStep reports whether no promise keeps the rank from entering the
// next step.
func (r *Rank) MayEnterNextStep() bool {
	h := r.state.Hold
	return r.ignoreHolds || h == nil || r.state.Step+1 < h.Step
}

// EnterNextStep enters the next step and returns its number and the epoch of
// the map in use. The caller has checked MayEnterNextStep and the step barrier
// of the group.
func (r *Rank) EnterNextStep() (step, epoch uint64) {
	r.state.Step++
	r.state.Version++
	return r.state.Step, r.state.EpochAt(r.state.Step)
}

// PendingPlan returns the plan and whether its weights are still incomplete.
func (r *Rank) PendingPlan() (Plan, bool) {
	return r.plan, r.plan.Attempt != r.state.Staged
}

// CompleteStaging records that all weights of a plan are complete. It ignores a
// plan that has been replaced in the meantime.
func (r *Rank) CompleteStaging(a Attempt) {
	if a == r.plan.Attempt {
		r.state.Staged = a
		r.state.Version++
	}
}

// Handle applies a command, unless it is stale, and returns the state to report.
func (r *Rank) Handle(m Message) RankState {
	if !r.isStale(m) {
		r.state.Version++
		r.apply(m)
	}
	return r.State()
}

func (r *Rank) isStale(m Message) bool {
	var token infra.Offset
	switch m := m.(type) {
	case StageRank:
		token = m.Token
	case HoldRank:
		token = m.Token
	case ReleaseRank:
		token = m.Token
	default:
		return false
	}
	if r.checksTokens && token < r.state.Token {
		return true
	}
	r.state.Token = max(r.state.Token, token)
	return false
}

func (r *Rank) apply(m Message) {
	switch m := m.(type) {
	case StageRank:
		r.stage(m.Plan)
	case HoldRank:
		r.hold(m.Hold)
	case ReleaseRank:
		r.release(m)
	}
}

// stage replaces the plan. While the rank holds, its promise depends on the
// staged weights, so the plan stays.
func (r *Rank) stage(p Plan) {
	if r.state.Hold != nil || p.Attempt == r.plan.Attempt {
		return
	}
	if sameMap(r.plan.Target, p.Target) && r.plan.Attempt == r.state.Staged {
		// The weights are already complete: this is another attempt to switch
		// to the same map.
		r.state.Staged = p.Attempt
	}
	r.plan = p
}

// hold promises not to enter a step. It refuses a step that the rank has
// entered, an attempt whose weights are incomplete or whose outcome is known,
// and any attempt while the map of the previous one is not yet in use.
func (r *Rank) hold(h Hold) {
	s := &r.state
	if s.Hold != nil || s.Step >= h.Step || s.Staged != h.Attempt || s.Step < s.ActiveFrom {
		return
	}
	if !h.Attempt.After(s.Released) {
		return
	}
	s.Hold = &h
}

func (r *Rank) release(m ReleaseRank) {
	s := &r.state
	if m.Attempt.After(s.Released) {
		s.Released = m.Attempt
	}
	if s.Hold == nil || s.Hold.Attempt != m.Attempt {
		return
	}
	if m.Commit {
		s.Previous, s.PreviousEpoch = s.Installed, s.Epoch
		s.Installed, s.Epoch, s.ActiveFrom = m.Attempt, r.plan.Epoch, s.Hold.Step
	}
	s.Hold = nil
}

func sameMap(a, b *experts.Map) bool {
	if a == nil || b == nil || a.Epoch != b.Epoch {
		return false
	}
	return slices.EqualFunc(a.Layers, b.Layers, slices.Equal[experts.Layer])
}
