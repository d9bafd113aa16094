package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/bubble"
	"github.com/filbertmux/filbertmux/internal/seeds"
)

// TestMain sets up the package for synctest.
func TestMain(m *testing.M) { bubble.Main(m) }

// smallDayConfig has the failures of a day within 12 minutes, with fewer readers.
func smallDayConfig(seed uint64) Config {
	const readers = 60
	return Config{
		Seed: seed, Readers: readers, Regions: 2, Organisations: 10, Duration: 12 * time.Minute,
		Log: LogConfig{
			Retention: 6 * time.Minute, AppendRate: 300, ReadRate: 2000 * readers / 930, LostAppendShare: 0.05, LostReadShare: 2e-4,
		},
		ChangesPerDay: 8000, BurstAt: 2 * time.Minute, BurstChanges: 50,
		Restarts: 15, Failures: 5,
		Outages:           []Window{{4 * time.Minute, 5 * time.Minute}},
		LogPartition:      Window{6 * time.Minute, 11 * time.Minute},
		LogPartitionShare: 0.5,
		MessagesPerSec:    0.1,
	}
}

// Guards against an accepted change that is not in force on every process
// within 7 s, that is reverted, or on which processes disagree, while processes
// restart and the log fails or is unreachable.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 1) {
		synctest.Test(t, func(t *testing.T) {
			t.Log(seeds.ReplayCommand(t, "measure/bench/fleet", seed))
			r, err := Run(t.Context(), smallDayConfig(seed))
			require.NoError(t, err)
			t.Logf("%+v", r)
			require.Zero(t, r.Reverts, r.FirstViolation)
			require.Zero(t, r.Disagreements, r.FirstViolation)
			require.Zero(t, r.Missing)
			require.LessOrEqual(t, r.Reachable.Worst, PropagationBound)
			require.LessOrEqual(t, r.Disturbed.Worst, PropagationBound)
		})
	}
}
