package groupcontrol

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// exchange sends one report with the counts of one layer to the holder.
func exchange(sender *reported, holder *received, counts []uint64) ([][]float64, error) {
	number, change := sender.next(holder.number, [][]uint64{counts})
	return holder.read(&pb.GroupReportResponse{Experts: uint32(len(counts)), Number: number, Counts: change})
}

// Guards against counts that are wrong after a lost report, a restart of
// either side, or a second caller, and against an error beyond the noise.
func TestCountChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	total := make([]uint64, 64)
	step := func() []uint64 {
		added := make([]uint64, len(total))
		for e := range total {
			added[e] = uint64(rng.ExpFloat64() * 600)
			total[e] += added[e]
		}
		return added
	}
	sender, holder := newReported(100), &received{}
	carried := make([]uint64, len(total))
	exact := func(wantCounts bool) {
		t.Helper()
		added := step()
		tokens, err := exchange(sender, holder, append([]uint64(nil), total...))
		if !wantCounts {
			require.True(t, errkind.Is(err, errkind.StaleCounts), "%v", err)
			return
		}
		require.NoError(t, err)
		for e, n := range added {
			n += carried[e]
			// Half a root of 2*sqrt(n).
			require.InDelta(t, n, tokens[0][e], math.Sqrt(float64(n))/2+0.1)
		}
	}
	exact(false)
	exact(true)
	exact(true)
	carried = step()
	sender.next(holder.number, [][]uint64{append([]uint64(nil), total...)}) // this report is lost
	exact(true)
	carried = make([]uint64, len(total))
	exact(true)
	sender.next(0, [][]uint64{total}) // another caller
	exact(false)
	exact(true)
	sender = newReported(200) // another process
	exact(false)
	exact(true)
	clear(total) // the backend server has restarted
	exact(false)
	exact(true)
	*holder = received{} // another holder
	exact(false)
	exact(true)
}

// Guards against a plan from a report that is cut off, too long, negative or
// that claims more counts than it has bytes.
func TestBadCountChanges(t *testing.T) {
	for name, c := range map[string]*pb.CountChange{
		"short":    {Layers: 2, Roots: []byte{2, 2, 2}},
		"long":     {Layers: 2, Roots: []byte{2, 2, 2, 2, 2}},
		"negative": {Layers: 2, Roots: []byte{2, 2, 1, 2}},
		"cut off":  {Layers: 2, Roots: []byte{2, 2, 2, 0x80}},
		"overflow": {Layers: 1 << 31, Roots: []byte{2}},
		"too wide": {Layers: 1, Roots: []byte{2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
	} {
		r := &received{number: 1}
		_, err := r.read(&pb.GroupReportResponse{Experts: 2, Number: 2, Counts: c})
		require.True(t, errkind.Is(err, errkind.InvalidCounts), "%s: %v", name, err)
		require.Zero(t, r.number, name)
	}
}
