package countwindow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/rankgroup/countwindow"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an increase that covers the time before the last change of the load, as
// the difference between two readings of a rank that is rarely read does.
func TestIncreaseCoversOneSpan(t *testing.T) {
	var w countwindow.Window
	_, _, ok := w.Increase(at(0))
	require.False(t, ok)
	for ms := 0; ms <= 5000; ms += 100 {
		early := uint64(min(ms, 4000))
		w.Add(at(ms), 7, []uint64{early, uint64(ms) - early})
	}
	increase, over, ok := w.Increase(at(5000))
	require.True(t, ok)
	require.Equal(t, countwindow.Span, over)
	require.Equal(t, []uint64{0, uint64(countwindow.Span.Milliseconds())}, increase)

	_, _, ok = w.Increase(at(5000).Add(countwindow.Span + time.Millisecond))
	require.False(t, ok, "the counts are too old")
}

// Guards against an increase across the restart of a rank, whose counts begin at 0, and
// against one across a gap in the readings.
func TestIncreaseAfterRestartAndGap(t *testing.T) {
	var w countwindow.Window
	w.Add(at(0), 7, []uint64{500})
	w.Add(at(300), 8, []uint64{900})
	_, _, ok := w.Increase(at(300))
	require.False(t, ok, "another run of the rank")
	w.Add(at(600), 8, []uint64{10})
	_, _, ok = w.Increase(at(600))
	require.False(t, ok, "counts that fall")
	w.Add(at(3000), 8, []uint64{4000})
	_, _, ok = w.Increase(at(3000))
	require.False(t, ok, "a gap of seconds")
	w.Add(at(3300), 8, []uint64{4040})
	increase, _, ok := w.Increase(at(3300))
	require.True(t, ok)
	require.Equal(t, []uint64{40}, increase)
}

// Guards against counts that change when they are encoded and decoded by more than a
// fraction of the largest count, and against a message of another shape.
func TestEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, perLayer := rapid.IntRange(1, 5).Draw(t, "layers"), rapid.IntRange(1, 9).Draw(t, "experts")
		counts := make([]uint64, layers*perLayer)
		for i := range counts {
			counts[i] = rapid.Uint64Range(0, 1<<40).Draw(t, "count")
		}
		encoded := countwindow.Encode(counts, layers)
		require.LessOrEqual(t, len(encoded.Levels), len(counts)/2+1)
		used := []float64{1, 2, 3}
		decoded, err := encoded.Decode(used, layers, perLayer)
		require.NoError(t, err)
		for i, n := range counts {
			largest := float64(encoded.Largest[i/perLayer])
			require.InDelta(t, float64(n), decoded[i], largest/15+1)
		}
		_, err = encoded.Decode(nil, layers+1, perLayer)
		require.Error(t, err)
		_, err = encoded.Decode(nil, layers, perLayer+2)
		require.Error(t, err)
	})
}

// Guards against a total of a part of the ranks, of counts that were used before, and of
// counts of different ages.
func TestTotalNeedsMostRanks(t *testing.T) {
	const ranks, maxAge = 8, 400 * time.Millisecond
	table := countwindow.NewTable()
	for rank := range ranks - 2 {
		table.Set(rank, at(1000), []float64{10, 20}, countwindow.Span)
	}
	_, ok := table.Total(at(1000), ranks, maxAge)
	require.False(t, ok, "six of eight")
	table.Set(6, at(1200), []float64{20, 40}, 2*countwindow.Span)
	total, ok := table.Total(at(1200), ranks, maxAge)
	require.True(t, ok)
	require.InDeltaSlice(t, []float64{70, 140}, total.Counts, 1e-9)
	require.Equal(t, 200*time.Millisecond, total.OldestAge)
	require.InDelta(t, 1, total.Dispersion, 1e-9, "equal ranks")
	_, ok = table.Total(at(1250), ranks, maxAge)
	require.False(t, ok, "no rank has counted since")
	span := int(countwindow.Span.Milliseconds())
	require.False(t, table.Due(at(1199+span), 0), "counts that are read now are out of date at the next total")
	require.True(t, table.Due(at(1200+span), 0))
	require.True(t, table.Due(at(1000+span), 200*time.Millisecond), "reading all ranks takes that long")
	for rank := range ranks {
		table.Set(rank, at(1300+rank*100), []float64{10, 20}, countwindow.Span)
	}
	_, ok = table.Total(at(2000), ranks, maxAge)
	require.False(t, ok, "half of the counts are too old")
}

// Guards against maps for the few requests of the moment: if each rank serves one request,
// its counts say less than as many independent choices would.
func TestDispersionOfFewRequests(t *testing.T) {
	const ranks = 16
	table := countwindow.NewTable()
	for rank := range ranks {
		counts := make([]float64, ranks)
		counts[rank] = 1000
		table.Set(rank, at(0), counts, countwindow.Span)
	}
	total, ok := table.Total(at(0), ranks, time.Second)
	require.True(t, ok)
	require.Greater(t, total.Dispersion, 500.0)
}

// Guards against a report without counts while a slow rank makes the steps of its group
// longer than the span: without counts there is no map that relieves the rank.
func TestIncreaseCoversLongSteps(t *testing.T) {
	var w countwindow.Window
	const step = 700
	for ms := 0; ms <= 3000; ms += 120 {
		w.Add(at(ms), 7, []uint64{100 * uint64(ms/step), 0})
		if ms < 2*step {
			continue
		}
		increase, over, ok := w.Increase(at(ms))
		require.True(t, ok, "at %d ms", ms)
		require.GreaterOrEqual(t, increase[0], uint64(100), "at %d ms, over %s", ms, over)
	}
}
