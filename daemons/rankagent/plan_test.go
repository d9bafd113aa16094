package rankagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/rankgroup/linkbudget"
)

// Guards against copies that make all streams of a group late although they would be in time
// without, and against plans so small that several have to follow one another while the
// streams are late anyway.
func TestCopiesFitThePasses(t *testing.T) {
	const ms = time.Millisecond
	fast := &fleet.Experts{LayerSets: 12, ExpertMegabytes: 55, LinkMbps: 44000}    // 10 ms a copy
	slow := &fleet.Experts{LayerSets: 12, ExpertMegabytes: 781, LinkMbps: 44000}   // 142 ms
	unknown := &fleet.Experts{LayerSets: 12, ExpertMegabytes: 55, SlotsPerRank: 3} // rate of the link not known
	for name, c := range map[string]struct {
		passes     passTimes
		late       bool
		share      float64
		fast, slow int
	}{
		"short passes":                 {passTimes{mean: 40 * ms, gap: 0.4}, false, minSavedShareInTime, 6, 6},
		"in time, with copies as well": {passTimes{mean: 80 * ms, gap: 0.8}, false, minSavedShare, 8, 6},
		"in time, not with copies":     {passTimes{mean: 90 * ms, gap: 0.9}, true, minSavedShareInTime, 9, 1},
		"late":                         {passTimes{mean: 150 * ms, gap: 1.2}, false, minSavedShare, 15, 6},
		"no requests":                  {passTimes{gap: 1}, false, minSavedShare, 6, 6},
	} {
		require.Equal(t, c.late, c.passes.lateByCopies(), name)
		require.Equal(t, time.Duration(c.share*float64(planHorizon)), c.passes.minSaved(), name)
		require.Equal(t, c.fast, c.passes.maxCopies(fast), name)
		require.Equal(t, c.slow, c.passes.maxCopies(slow), name)
		require.Zero(t, c.passes.maxCopies(unknown), name)
	}
}

// Guards against plans that are priced without the time for which the orders with their
// changes take the link of the holder.
func TestPriceOfCopies(t *testing.T) {
	e := &fleet.Engine{StepTime: time.Millisecond, Experts: &fleet.Experts{LayerSets: 1, SlotsPerRank: 2, ExpertMegabytes: 55, LinkMbps: 44000}}
	free := planSettings(e, 10, passTimes{gap: 1}, linkbudget.Link{})
	require.Equal(t, 1150*time.Microsecond, free.MoveCost)
	require.Equal(t, 10*time.Millisecond, free.CopyTime)
	onLink := planSettings(e, 10, passTimes{gap: 1}, linkbudget.Link{BytesPerSecond: 1e6})
	require.Equal(t, free.MoveCost+30*time.Microsecond, onLink.MoveCost)
}
