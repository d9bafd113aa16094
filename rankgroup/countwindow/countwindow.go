// Package countwindow measures the load of the experts of a rank group over a short
// recent time.
//
// It is designed for mixes of requests that change within seconds, and for groups of up
// to 64 ranks behind slow links. The counts of a rank run since its start. A holder that
// subtracts successive readings gets increases over different times from each rank, of
// several seconds for a large group, and their sum mixes the load before and after a
// change. Each agent therefore keeps its own recent counts and reports the increase over
// one span, the same for all ranks. The report takes half a byte for each expert, so that
// all ranks of a group can be read several times per second.
//
// The package is deterministic and does no I/O.
package countwindow

import (
	"math"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

const (
	// Span is the time over which increases are reported. It covers two to five steps of
	// a loaded group.
	Span = 300 * time.Millisecond
	// maxSnapshotAge is the age after which a snapshot is no longer used. An increase
	// over a longer time mixes the loads of several mixes of requests. A group with a
	// slow rank completes one or two steps within it.
	maxSnapshotAge = 1600 * time.Millisecond
	// levelBits is the size of one encoded count.
	levelBits = 4
	maxLevel  = 1<<levelBits - 1
)

// Window holds the expert counts of one rank over a short time. The zero value is empty.
// It isn't safe for concurrent use.
type Window struct {
	startedUnixMs int64
	snapshots     []snapshot
}

// snapshot holds the counts of a rank since its start.
type snapshot struct {
	at     time.Time
	counts []uint64
}

// Add records the counts of a rank since its start. A rank that has started again begins
// a new window.
func (w *Window) Add(now time.Time, startedUnixMs int64, counts []uint64) {
	if startedUnixMs != w.startedUnixMs || w.restarted(counts) {
		w.snapshots = nil
	}
	w.startedUnixMs = startedUnixMs
	w.snapshots = append(w.snapshots, snapshot{at: now, counts: counts})
	for len(w.snapshots) > 1 && now.Sub(w.snapshots[0].at) > maxSnapshotAge {
		w.snapshots = w.snapshots[1:]
	}
}

// restarted reports whether counts have another shape than the last ones or are lower.
func (w *Window) restarted(counts []uint64) bool {
	if len(w.snapshots) == 0 {
		return false
	}
	last := w.snapshots[len(w.snapshots)-1].counts
	if len(last) != len(counts) {
		return true
	}
	for i, n := range counts {
		if n < last[i] {
			return true
		}
	}
	return false
}

// Increase returns the increase of the counts over the last Span, or over a longer time
// if no snapshot is closer or no step ended meanwhile, and that time. It returns false
// without two snapshots that are at least Span apart, and if the last one is older than
// Span.
func (w *Window) Increase(now time.Time) (increase []uint64, over time.Duration, ok bool) {
	if len(w.snapshots) == 0 {
		return nil, 0, false
	}
	last := w.snapshots[len(w.snapshots)-1]
	if now.Sub(last.at) > Span {
		return nil, 0, false
	}
	for i := len(w.snapshots) - 2; i >= 0; i-- {
		first := w.snapshots[i]
		if over = last.at.Sub(first.at); over < Span {
			continue
		}
		if increase = difference(last.counts, first.counts); slices.ContainsFunc(increase, func(n uint64) bool { return n > 0 }) {
			return increase, over, true
		}
	}
	return increase, over, increase != nil
}

// difference returns how much counts have increased since earlier ones.
func difference(counts, earlier []uint64) []uint64 {
	increase := make([]uint64, len(counts))
	for i := range increase {
		increase[i] = counts[i] - earlier[i]
	}
	return increase
}

// Encoded is an increase in a compact form. A count is encoded as the square root of its
// ratio to the largest count of its layer, in levelBits bits. The errors of the ranks are
// independent, and their sum is small next to the variance of the counts.
type Encoded struct {
	// Largest holds the largest count of each layer.
	Largest []uint64
	// Levels holds two counts in each byte, by layer and expert.
	Levels []byte
}

// Encode encodes the counts of a number of layers of equal size.
func Encode(counts []uint64, layers int) Encoded {
	e := Encoded{Largest: make([]uint64, layers), Levels: make([]byte, (len(counts)+1)/2)}
	perLayer := len(counts) / max(layers, 1)
	for layer := range layers {
		for _, n := range counts[layer*perLayer : (layer+1)*perLayer] {
			e.Largest[layer] = max(e.Largest[layer], n)
		}
	}
	for i, n := range counts {
		largest := e.Largest[min(i/max(perLayer, 1), layers-1)]
		if largest == 0 {
			continue
		}
		level := byte(math.Round(maxLevel * math.Sqrt(float64(n)/float64(largest))))
		e.Levels[i/2] |= level << (levelBits * (i % 2))
	}
	return e
}

// levelShares maps a level to its count relative to the largest one of the layer.
var levelShares = func() (shares [maxLevel + 1]float64) {
	for level := range shares {
		shares[level] = float64(level*level) / (maxLevel * maxLevel)
	}
	return shares
}()

// Decode returns the counts of layers of a size, in the memory of buffer if that is large
// enough. It returns an InvalidCounts error if the encoded counts have another shape.
func (e Encoded) Decode(buffer []float64, layers, perLayer int) ([]float64, error) {
	if len(e.Largest) != layers || len(e.Levels) != (layers*perLayer+1)/2 {
		return nil, errkind.New(errkind.InvalidCounts, "got %d layers and %d bytes of counts, want %d layers of %d experts",
			len(e.Largest), len(e.Levels), layers, perLayer)
	}
	counts := buffer[:0]
	for layer, n := range e.Largest {
		largest := float64(n)
		for i := layer * perLayer; i < (layer+1)*perLayer; i++ {
			level := e.Levels[i/2] >> (levelBits * (i % 2)) & maxLevel
			counts = append(counts, levelShares[level]*largest)
		}
	}
	return counts, nil
}
