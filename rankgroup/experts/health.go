package experts

import (
	"math"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// RankState says whether the step time of a rank is long, and why.
type RankState uint8

// Rank states.
const (
	// Normal means that the step time corresponds to the load.
	Normal RankState = iota
	// Overloaded means that the step time is long because the load is high.
	// Rebalancing helps.
	Overloaded
	// Slow means that the step time is longer than the load explains.
	// Rebalancing would hide a fault of the rank.
	Slow
	// Stalled means that the rank reported no step time, or one that exceeds the
	// predicted one by StalledFactor. The group makes no step until the rank
	// recovers.
	Stalled
)

// String returns the name of s.
func (s RankState) String() string {
	return [...]string{"normal", "overloaded", "slow", "stalled"}[s]
}

// HealthSettings holds the thresholds of ClassifyRanks.
type HealthSettings struct {
	// FixedShare is the fraction of a mean step time that does not depend on load.
	FixedShare float64
	// SlowFactor is the ratio of measured to predicted step time above which a
	// rank is slow.
	SlowFactor float64
	// StalledFactor is the ratio above which a rank is stalled.
	StalledFactor float64
	// OverloadFactor is the ratio of load to mean load above which a rank is
	// overloaded.
	OverloadFactor float64
}

// DefaultHealthSettings returns thresholds for step times averaged over an interval.
func DefaultHealthSettings() HealthSettings {
	return HealthSettings{FixedShare: 0.5, SlowFactor: 1.3, StalledFactor: 10, OverloadFactor: 1.1}
}

// ClassifyRanks compares the measured step time of each rank with the one that its
// load predicts. rankLoad is the load of each rank over all layers. A step time is
// the computing time of the rank without its wait for other ranks. Zero means that
// the rank reported none.
//
// The prediction needs no calibrated constant, because the rank with the median ratio
// of measured to predicted step time defines the scale. At least half of the ranks must
// therefore be healthy.
func ClassifyRanks(s HealthSettings, rankLoad []float64, stepTime []time.Duration) ([]RankState, error) {
	if len(stepTime) != len(rankLoad) {
		return nil, errkind.New(errkind.InvalidMap, "got step times of %d ranks, the map has %d", len(stepTime), len(rankLoad))
	}
	mean := sum(rankLoad) / float64(len(rankLoad))
	relative := make([]float64, len(rankLoad))
	ratios := make([]float64, len(rankLoad))
	for i, load := range rankLoad {
		relative[i] = 1
		if mean > 0 {
			relative[i] = load / mean
		}
		if stepTime[i] < 0 {
			return nil, errkind.New(errkind.InvalidCounts, "rank %d has step time %s", i, stepTime[i])
		}
		ratios[i] = float64(stepTime[i]) / (s.FixedShare + (1-s.FixedShare)*relative[i])
	}
	scale := medianPositive(ratios)
	states := make([]RankState, len(rankLoad))
	for i, ratio := range ratios {
		states[i] = s.classify(ratio, scale, relative[i])
	}
	return states, nil
}

// classify returns the state of one rank. ratio is its step time over the predicted
// relative one, scale the median of the ratios, and relative its load over the mean
// load.
func (s HealthSettings) classify(ratio, scale, relative float64) RankState {
	switch {
	case ratio == 0 || ratio > s.StalledFactor*scale:
		return Stalled
	case ratio > s.SlowFactor*scale:
		return Slow
	case relative > s.OverloadFactor:
		return Overloaded
	default:
		return Normal
	}
}

// medianPositive returns the lower median of the positive values, or infinity
// if there is none.
func medianPositive(values []float64) float64 {
	var positive []float64
	for _, v := range values {
		if v > 0 {
			positive = append(positive, v)
		}
	}
	if len(positive) == 0 {
		return math.Inf(1)
	}
	slices.Sort(positive)
	return positive[(len(positive)-1)/2]
}
