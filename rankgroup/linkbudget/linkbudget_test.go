package linkbudget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/rankgroup/linkbudget"
)

const (
	megabit      = 1e6 / 8
	round        = 150 * time.Millisecond
	callTimeout  = 160 * time.Millisecond
	electionTime = 900 * time.Millisecond
)

// Guards against rounds of a large group that time out because they exceed the link,
// and against a small group that is read less often than it could be.
func TestLargeGroupOnSlowLink(t *testing.T) {
	const ranks, counts, mapBytes, changesBytes = 64, 12 * 256, 9200, 1000
	l := linkbudget.Link{BytesPerSecond: 6 * megabit}
	interval := l.ReadInterval(round, ranks)
	require.GreaterOrEqual(t, interval, round)
	require.Greater(t, l.ReadInterval(round/3, ranks), round/3)
	require.Less(t, interval, electionTime/2, "the other agents must hear of the holder in time")
	n := l.CountReadings(interval, ranks, counts)
	require.Less(t, float64(n*counts)/2, l.BytesPerSecond*interval.Seconds()/2)
	const stateMessage = 450
	require.Less(t, float64(n*counts)/2+ranks*stateMessage, 0.8*l.BytesPerSecond*interval.Seconds())
	require.Less(t, time.Duration((ranks+n-1)/n)*interval, time.Second, "the counts of all ranks must be recent")
	orders := l.Orders(callTimeout, sizes(ranks, mapBytes))
	require.Positive(t, orders)
	require.Less(t, float64(orders*mapBytes), l.BytesPerSecond*callTimeout.Seconds())
	require.Equal(t, ranks, l.Orders(callTimeout, sizes(ranks, changesBytes)))
	require.Equal(t, 1, l.Orders(callTimeout, sizes(1, 1<<20)), "an order larger than the budget is sent alone")

	small := linkbudget.Link{BytesPerSecond: 20 * megabit}
	require.Equal(t, round, small.ReadInterval(round, 12))
	require.Equal(t, 12, small.CountReadings(round, 12, 3*96))
	require.Equal(t, 12, small.Orders(callTimeout, sizes(12, 3*12*11*2)))
	require.Equal(t, 40*time.Millisecond, small.TransferTime(100_000))
	require.Zero(t, linkbudget.Link{}.TransferTime(100_000))
	require.Equal(t, 64, linkbudget.Link{}.Orders(callTimeout, sizes(64, mapBytes)), "an unknown rate is no limit")
}

func sizes(n, size int) []int { return slices.Repeat([]int{size}, n) }

// Guards against a rank whose counts are never read.
func TestRotationReachesAllRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 64).Draw(t, "ranks")
		n := rapid.IntRange(1, 70).Draw(t, "n")
		var r linkbudget.Rotation
		seen := make(map[int]bool)
		for range (ranks + n - 1) / n {
			for rank, selected := range r.Select(ranks, n) {
				if selected {
					seen[rank] = true
				}
			}
		}
		require.Len(t, seen, ranks)
	})
}
