package groupcontrol

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// sendReport passes one report with the counts of one layer from a member to the
// coordinator.
func sendReport(reporter *countReporter, receiver *countReceiver, counts []uint64) ([][]float64, error) {
	number, change := reporter.nextReport(receiver.number, [][]uint64{counts})
	return receiver.readReport(&pb.GroupReportResponse{Experts: uint32(len(counts)), Number: number, Counts: change})
}

// Guards against wrong counts after a lost report, a restart of either side or
// a second caller, and against a rounding error above half the standard
// deviation of a count.
func TestCountChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	total := make([]uint64, 64)
	growCounts := func() []uint64 {
		added := make([]uint64, len(total))
		for e := range total {
			added[e] = uint64(rng.ExpFloat64() * 600)
			total[e] += added[e]
		}
		return added
	}
	reporter, receiver := newCountReporter(100), &countReceiver{}
	lostTokens := make([]uint64, len(total))
	requireExchange := func(wantCounts bool) {
		t.Helper()
		added := growCounts()
		tokens, err := sendReport(reporter, receiver, append([]uint64(nil), total...))
		if !wantCounts {
			require.True(t, errkind.Is(err, errkind.StaleCounts), "%v", err)
			return
		}
		require.NoError(t, err)
		for e, n := range added {
			n += lostTokens[e]
			// Rounding the root 2*sqrt(n) by 1/2 changes n by sqrt(n)/2.
			require.InDelta(t, n, tokens[0][e], math.Sqrt(float64(n))/2+0.1)
		}
	}
	requireExchange(false)
	requireExchange(true)
	requireExchange(true)
	lostTokens = growCounts()
	reporter.nextReport(receiver.number, [][]uint64{append([]uint64(nil), total...)}) // lost report
	requireExchange(true)
	lostTokens = make([]uint64, len(total))
	requireExchange(true)
	reporter.nextReport(0, [][]uint64{total}) // another caller
	requireExchange(false)
	requireExchange(true)
	reporter = newCountReporter(200) // restarted member
	requireExchange(false)
	requireExchange(true)
	clear(total) // restarted backend server
	requireExchange(false)
	requireExchange(true)
	*receiver = countReceiver{} // new coordinator
	requireExchange(false)
	requireExchange(true)
}

// Guards against a plan from an invalid report: one that is truncated or too
// long, has a negative or oversized value, or claims more counts than bytes.
func TestInvalidCountChanges(t *testing.T) {
	for name, c := range map[string]*pb.CountChange{
		"short":    {Layers: 2, Roots: []byte{2, 2, 2}},
		"long":     {Layers: 2, Roots: []byte{2, 2, 2, 2, 2}},
		"negative": {Layers: 2, Roots: []byte{2, 2, 1, 2}},
		"cut off":  {Layers: 2, Roots: []byte{2, 2, 2, 0x80}},
		"overflow": {Layers: 1 << 31, Roots: []byte{2}},
		"too wide": {Layers: 1, Roots: []byte{2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
	} {
		r := &countReceiver{number: 1}
		_, err := r.readReport(&pb.GroupReportResponse{Experts: 2, Number: 2, Counts: c})
		require.True(t, errkind.Is(err, errkind.InvalidCounts), "%s: %v", name, err)
		require.Zero(t, r.number, name)
	}
}
