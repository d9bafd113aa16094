package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/placement"
)

// engine takes 47 ms for an empty pass and 122 ms for one with all slots.
var engine = placement.BatchModel{
	Slots: 12, PassTime: 46800 * time.Microsecond, PassTimePerRequest: 6250 * time.Microsecond,
	GapObjective: 120 * time.Millisecond,
}

// burst plays a queue of streams that is always longer than the slots. It returns the
// mean number of streams in a pass and the fraction of the passes within the objective.
// Passes take factor times as long as the model says.
func burst(limit *placement.BatchLimit, factor float64) (streams, inTime float64) {
	const passes = 2000
	now := time.Unix(0, 0)
	for range passes {
		n := float64(engine.Slots)
		if limit != nil {
			if requests := limit.Requests(now, engine); requests > 0 {
				n = requests
			}
		}
		pass := time.Duration(factor * (float64(engine.PassTime) + n*float64(engine.PassTimePerRequest)))
		now = now.Add(pass)
		if limit != nil {
			limit.Observe(now, engine, pass, n)
		}
		streams += n / passes
		if pass <= engine.GapObjective {
			inTime += 1.0 / passes
		}
	}
	return streams, inTime
}

// Guards against a burst whose streams are all late because they fill all slots,
// although most of them would be in time in a smaller batch.
func TestBatchLimitKeepsBurstInTime(t *testing.T) {
	_, inTime := burst(nil, 1.2)
	require.Zero(t, inTime)
	streams, inTime := burst(&placement.BatchLimit{}, 1.2)
	require.Greater(t, inTime, 0.95)
	require.Greater(t, streams, 0.65*float64(engine.Slots))
}

// Guards against slots that stay free although passes with all slots in use meet the
// objective, and against a limit from a single long gap.
func TestBatchLimitLeavesFastEnginesAlone(t *testing.T) {
	limit := &placement.BatchLimit{}
	m := engine
	m.GapObjective = 180 * time.Millisecond
	now := time.Unix(0, 0)
	limit.Observe(now, m, 500*time.Millisecond, 4)
	limit.Observe(now, m, 800*time.Millisecond, 4)
	require.Zero(t, limit.Requests(now, m))
	require.Zero(t, limit.Requests(now, placement.BatchModel{Slots: 6}), "a service without streams")
}

// Guards against a group with a slow rank that serves next to nothing.
func TestBatchLimitOfSlowGroup(t *testing.T) {
	for _, factor := range []float64{2.5, 12} {
		streams, _ := burst(&placement.BatchLimit{}, factor)
		require.GreaterOrEqual(t, streams, 0.55*float64(engine.Slots))
	}
}

// Guards against refusals for the sake of an objective that no request can meet: with a rank
// that is many times slower, passes are too long whatever the limit is.
func TestNoBatchLimitWhileUnattainable(t *testing.T) {
	var limit placement.BatchLimit
	now := time.Unix(0, 0)
	observe := func(gap time.Duration, passes int) {
		for range passes {
			now = now.Add(gap)
			limit.Observe(now, engine, gap, 7)
		}
	}
	observe(140*time.Millisecond, 8)
	require.NotZero(t, limit.Requests(now, engine), "a map that doesn't fit yet")
	observe(450*time.Millisecond, 4)
	require.Zero(t, limit.Requests(now, engine))
	observe(80*time.Millisecond, 1)
	require.NotZero(t, limit.Requests(now, engine), "the rank is fast again")
}

// Guards against streams that are all late because of single passes that are a little longer
// than the others, such as those in which a server copies experts.
func TestBatchLimitLeavesMargin(t *testing.T) {
	var limit placement.BatchLimit
	now := time.Unix(0, 0)
	const passes, warmUp = 1000, 100
	tooLong := 0
	for i := range passes {
		n := limit.Requests(now, engine)
		if n == 0 {
			n = float64(engine.Slots)
		}
		gap := time.Duration(1.2 * (float64(engine.PassTime) + n*float64(engine.PassTimePerRequest)))
		if i%150 == 149 {
			gap += gap * 3 / 100
		}
		if i > warmUp && gap > engine.GapObjective {
			tooLong++
		}
		now = now.Add(gap)
		for range 20 {
			limit.Observe(now, engine, gap, n)
		}
	}
	require.Zero(t, tooLong)
}
