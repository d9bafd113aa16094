package groupcontrol_test

import (
	"os"
	"testing"
	"time"

	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/groupcontrol"
	"github.com/filbertmux/filbertmux/rankgroup/leaselog"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// TestControlCost measures the control traffic of a group of the design size
// with the default settings. It asserts nothing and takes three minutes, so it
// runs only if FILBERTMUX_MEASURE is set.
func TestControlCost(t *testing.T) {
	if os.Getenv("FILBERTMUX_MEASURE") == "" {
		t.Skip("FILBERTMUX_MEASURE is not set")
	}
	withFixture(t, measureTraffic, func(c *standin.RankGroupConfig) {
		c.RanksPerReplica, c.Layers, c.Experts, c.SlotsPerRank = 8, 58, 256, 10
		c.StepTime, c.Popularity, c.CountIntervalSteps = 45*time.Millisecond, nil, 20
	})
}

func measureTraffic(f *fixture) {
	const period = time.Minute
	f.lease = leaselog.DefaultSettings()
	f.adjustOptions = func(o groupcontrol.Options) groupcontrol.Options {
		o = o.WithDefaults()
		o.Ranks = nil
		for i := range 8 {
			o.Ranks = append(o.Ranks, mapswitch.RankID(8*int(o.MemberID)+i))
		}
		o.PlannerWeights = func() (experts.Weights, bool) { return experts.Weights{Skew: 1, Cost: 1}, true }
		return o
	}
	f.startSidecars()
	l := f.lease.Lease
	f.awaitCoordinator(nil, l.TTL+l.SafetyMargin+l.RenewInterval)
	for _, name := range []string{"idle", "switch"} {
		if name == "switch" {
			f.ranks.SetPopularity(standin.DriftingPopularity(256, 0.8, 1<<40))
		}
		appends, before := f.platform.AppendCount(), f.traffic()
		time.Sleep(period)
		f.t.Logf("%s: %.2f appends/s, bytes/s by sidecar %v, held steps %d, mixed %d, %+v", name,
			float64(f.platform.AppendCount()-appends)/period.Seconds(), perSecond(before, f.traffic(), period),
			f.ranks.HeldSteps(), f.ranks.MixedSteps(), f.stats())
	}
}

func (f *fixture) traffic() []int64 {
	var all []int64
	for _, n := range f.nodes {
		all = append(all, n.transport.trafficBytes())
	}
	return all
}

func perSecond(before, after []int64, period time.Duration) []int {
	var rates []int
	for i := range before {
		rates = append(rates, int(float64(after[i]-before[i])/period.Seconds()))
	}
	return rates
}
