package experts

import (
	"math"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
	"github.com/filbertmux/filbertmux/rankgroup/rankset"
)

// Weights holds the planner weights of a service, as set in the table.
type Weights struct {
	// Skew multiplies the step time saved by a plan.
	Skew float64
	// Cost multiplies the cost of the moves of a plan.
	Cost float64
}

// Settings holds the parameters of Decide.
type Settings struct {
	// StepTime is the duration of one step at skew 1.
	StepTime time.Duration
	// ExpertShare is the fraction of StepTime spent in experts, over all layers.
	ExpertShare float64
	// Horizon is the time over which a plan has to pay off.
	Horizon time.Duration
	// MoveCost is the step time that the fetch of one expert costs the group because
	// of memory traffic and cold weights.
	MoveCost time.Duration
	// TailSkew is the skew of a layer above which the step time saved by a plan
	// counts TailWeight times. Without it, a plan that must reduce the load of many
	// ranks at once would be delayed while the skew keeps rising.
	TailSkew   float64
	TailWeight float64
	// SearchShare is the fraction of the layers that one plan may search. The layers
	// with the largest excess load come first. A value below 1 limits the CPU time
	// of the planner, but the p99 skew of the skew-weighted policy then rises above
	// 1.05 while the mix of requests changes (1.0502 at 0.75 and 1.0525 at 0.5,
	// seed 1).
	SearchShare float64
	// MinSaved is the least step time that a plan saves over Horizon. Plans that can't
	// save as much aren't searched for.
	MinSaved time.Duration
	// Hysteresis is the factor by which the weighted saving of a plan must exceed
	// its weighted cost.
	Hysteresis float64
	// MinInterval is the minimum time between two plans.
	MinInterval time.Duration
	// MaxInFlight is the maximum number of experts being fetched at any time.
	MaxInFlight int
	// StoreRate is the number of experts that the weight store serves to the
	// group per second.
	StoreRate float64
	// CopyTime is the time for which a rank copies one expert. The copies of a rank follow
	// one another, so the rank with most copies decides when the map is in force. Until
	// then the group forgoes the saving of the plan, and its steps take CopySlowdown
	// longer, relative to StepTime. With a CopyTime, all layers are planned together, so
	// that the copies are spread evenly over the ranks. 0 means that the weight store
	// bounds the fetches.
	CopyTime     time.Duration
	CopySlowdown float64
	// MaxCopiesPerRank is the maximum number of experts that a rank copies for one plan,
	// over all layers; 0 means no limit. It takes effect with a CopyTime.
	MaxCopiesPerRank int
	// MaxStaging is the maximum duration of the fetches of one plan.
	MaxStaging time.Duration
	// MaxCountAge is the maximum age of the counts from which the loads derive.
	// Decide rejects older loads as stale.
	MaxCountAge time.Duration
	// Health holds the thresholds for slow and stalled ranks.
	Health HealthSettings
}

// DefaultSettings returns settings for a step time of 45 ms, which is that of the
// design size, and experts of 44 MB.
func DefaultSettings() Settings {
	return Settings{
		StepTime:    45 * time.Millisecond,
		ExpertShare: 0.5,
		Horizon:     10 * time.Minute,
		MoveCost:    100 * time.Millisecond,
		TailSkew:    1.07,
		TailWeight:  4,
		SearchShare: 1,
		Hysteresis:  1.5,
		MinInterval: 15 * time.Second,
		MaxInFlight: 256,
		StoreRate:   8,
		MaxStaging:  time.Minute,
		MaxCountAge: 5 * time.Minute,
		Health:      DefaultHealthSettings(),
	}
}

// Input holds the data on which Decide bases its decision.
type Input struct {
	Now      time.Time
	Topology *Topology
	InForce  *Map
	Loads    Loads
	// StepTimes holds the measured step time of each rank; see ClassifyRanks. If it
	// is nil, no rank counts as slow or stalled.
	StepTimes []time.Duration
	Weights   Weights
	// InFlight is the number of experts being fetched.
	InFlight int
	// LastPlan is the time of the last plan, or zero.
	LastPlan time.Time
	// LastSearched holds the time when each layer was last searched, or zero. It
	// may be nil.
	LastSearched []time.Time
}

// Reason is the reason for the decision of Decide.
type Reason uint8

// Reasons.
const (
	WorthIt Reason = iota
	NotWorthIt
	Balanced
	TooSoon
	NoBudget
	RankStalled
)

// String returns the name of r.
func (r Reason) String() string {
	return [...]string{"worth_it", "not_worth_it", "balanced", "too_soon", "no_budget", "rank_stalled"}[r]
}

// Decision is the result of Decide. Target equals the map in force if
// Rebalance is false.
type Decision struct {
	Rebalance bool
	Reason    Reason
	Target    Map
	Moves     []Move
	// RankStates holds the state of each rank. Slow ranks receive no expert.
	RankStates []RankState
	// SearchedLayers lists the layers that were searched. The caller records them in
	// Input.LastSearched.
	SearchedLayers []int
	// Saved is the step time that the plan saves over Settings.Horizon.
	Saved time.Duration
	// Cost is the step time that the moves cost the group, including the saving that it
	// forgoes during CopyTime.
	Cost time.Duration
	// CopyTime is the time for which the rank with most copies copies experts, or 0 if
	// Settings.CopyTime isn't set.
	CopyTime time.Duration
	// Staging is the time that the weight store needs to serve the moves.
	Staging time.Duration
}

// Decide decides whether to replace the map in force, and by which map. After an
// error, the map in force stays.
func Decide(s Settings, in Input) (Decision, error) {
	states, err := validateInput(s, in)
	if err != nil {
		return Decision{}, err
	}
	keep := Decision{Target: in.InForce.Clone(), RankStates: states}
	budget := s.moveBudget(in.InFlight)
	keep.Reason = s.blockReason(in, states, budget)
	if keep.Reason != WorthIt {
		return keep, nil
	}
	p := newPlanner(s, in, frozenRanks(states), budget)
	p.run()
	keep.SearchedLayers = p.searched
	if len(p.chosen) == 0 {
		keep.Reason = p.noPlanReason()
		return keep, nil
	}
	return p.decision(states), nil
}

// validateInput checks the input and returns the state of each rank.
func validateInput(s Settings, in Input) ([]RankState, error) {
	if err := in.InForce.Validate(in.Topology); err != nil {
		return nil, err
	}
	counts := Counts(in.Loads)
	if err := counts.validate(len(in.InForce.Layers), in.Topology.Experts); err != nil {
		return nil, err
	}
	if age := in.Now.Sub(in.Loads.At); age > s.MaxCountAge {
		return nil, errkind.New(errkind.StaleCounts, "loads are %s old, allowed are %s", age, s.MaxCountAge)
	}
	if in.LastSearched != nil && len(in.LastSearched) != len(in.InForce.Layers) {
		return nil, errkind.New(errkind.InvalidMap, "got search times of %d layers, the map has %d", len(in.LastSearched), len(in.InForce.Layers))
	}
	if !validWeight(in.Weights.Skew) || !validWeight(in.Weights.Cost) {
		return nil, errkind.New(errkind.InvalidTable, "skew weight %v or cost weight %v is not a finite non-negative number", in.Weights.Skew, in.Weights.Cost)
	}
	if in.StepTimes == nil {
		return make([]RankState, in.Topology.Ranks()), nil
	}
	return ClassifyRanks(s.Health, totalRankLoad(in), in.StepTimes)
}

func validWeight(w float64) bool { return w >= 0 && !math.IsInf(w, 0) }

func totalRankLoad(in Input) []float64 {
	total := make([]float64, in.Topology.Ranks())
	for i, layer := range in.InForce.Layers {
		for rank, load := range layer.RankLoads(in.Topology, in.Loads.Layers[i]) {
			total[rank] += load
		}
	}
	return total
}

// moveBudget returns the number of experts that may be fetched now.
func (s Settings) moveBudget(inFlight int) int {
	return max(0, min(s.MaxInFlight-inFlight, int(s.StoreRate*s.MaxStaging.Seconds())))
}

// blockReason returns the reason why no plan may be made now, or WorthIt if one may.
func (s Settings) blockReason(in Input, states []RankState, budget int) Reason {
	for _, state := range states {
		if state == Stalled {
			return RankStalled
		}
	}
	switch {
	case !in.LastPlan.IsZero() && in.Now.Sub(in.LastPlan) < s.MinInterval:
		return TooSoon
	case budget == 0:
		return NoBudget
	default:
		return WorthIt
	}
}

// frozenRanks returns the set of slow ranks, whose slots may not change.
func frozenRanks(states []RankState) rankset.Set {
	set := rankset.New(len(states))
	for rank, state := range states {
		if state == Slow {
			set.Add(rank)
		}
	}
	return set
}

// decision returns the decision for the chosen layer plans.
func (p *planner) decision(states []RankState) Decision {
	d := Decision{Rebalance: true, Reason: WorthIt, Target: p.input.InForce.Clone(), RankStates: states, SearchedLayers: p.searched}
	d.Target.Epoch++
	var saved float64
	for _, plan := range p.chosen {
		d.Target.Layers[plan.layer] = plan.slots
		saved += plan.saved
	}
	d.Moves = Moves(p.input.Topology, p.input.InForce, &d.Target)
	d.Saved = seconds(saved)
	d.Cost = time.Duration(len(d.Moves)) * p.settings.MoveCost
	if p.settings.CopyTime > 0 {
		d.CopyTime = seconds(p.copyTime)
		limit := time.Duration(p.settings.MaxCopiesPerRank) * p.settings.CopyTime
		invariant.Check(limit == 0 || d.CopyTime <= limit+time.Microsecond, "a rank copies experts for %s, allowed are %s", d.CopyTime, limit)
		d.Cost += seconds(p.copyTime*p.settings.CopySlowdown + saved*p.copyTime/p.settings.Horizon.Seconds())
	}
	d.Staging = seconds(float64(len(d.Moves)) / p.settings.StoreRate)
	err := d.Target.Validate(p.input.Topology)
	invariant.Check(err == nil, "planned map: %v", err)
	invariant.Check(len(d.Moves) <= p.budget, "plan has %d moves, budget is %d", len(d.Moves), p.budget)
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
