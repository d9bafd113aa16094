package groupcontrol

import (
	"encoding/binary"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// countReporter encodes the expert counts of the backend server, which grow
// from its start, as changes since the last report that the coordinator
// received. It is safe for concurrent use. It keeps the state of only one
// caller, the coordinator: if another caller requests a report, the next report
// to the coordinator has no counts.
type countReporter struct {
	mu     sync.Mutex
	number uint64
	// confirmed is the last report that the coordinator has confirmed, and
	// lastSent is the last report sent to it. They differ while the response
	// with lastSent is in flight, and after it was lost.
	confirmed, lastSent reportSnapshot
}

// reportSnapshot is the state of the counts at one report.
type reportSnapshot struct {
	number uint64
	// counts are the totals of the backend server, by layer and expert.
	counts [][]uint64
	// roots are the values that the report encoded (see experts.CountRoot), or
	// empty if it had no counts.
	roots []int64
}

// newCountReporter numbers reports from the incarnation of the process, so that
// a number of an earlier process is not mistaken for one of this process.
func newCountReporter(incarnation uint64) *countReporter { return &countReporter{number: incarnation} }

// nextReport returns the number of a new report and the change since the report
// numbered since. The change is nil if that report is unknown, or if the backend
// server has reset its counts.
func (r *countReporter) nextReport(since uint64, counts [][]uint64) (uint64, *pb.CountChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch since {
	case r.lastSent.number:
		r.confirmed = r.lastSent
	case r.confirmed.number:
	default:
		r.confirmed = reportSnapshot{}
	}
	r.number++
	r.lastSent = reportSnapshot{number: r.number, counts: counts}
	roots, ok := r.confirmed.rootsSince(counts)
	if !ok {
		return r.number, nil
	}
	r.lastSent.roots = roots
	change := &pb.CountChange{Layers: uint32(len(counts))}
	for i, root := range roots {
		change.Roots = binary.AppendVarint(change.Roots, root-rootAt(r.confirmed.roots, i))
	}
	return r.number, change
}

// rootsSince returns the roots of the token counts since the snapshot. It
// reports false if the counts cannot be compared.
func (s *reportSnapshot) rootsSince(counts [][]uint64) ([]int64, bool) {
	if !sameShape(s.counts, counts) {
		return nil, false
	}
	var roots []int64
	for layer := range counts {
		for e, n := range counts[layer] {
			if n < s.counts[layer][e] {
				return nil, false
			}
			roots = append(roots, experts.CountRoot(n-s.counts[layer][e]))
		}
	}
	return roots, true
}

func sameShape(a, b [][]uint64) bool {
	if a == nil || len(a) != len(b) {
		return false
	}
	for i := range a {
		if len(a[i]) != len(b[i]) {
			return false
		}
	}
	return true
}

func rootAt(roots []int64, i int) int64 {
	if i < len(roots) {
		return roots[i]
	}
	return 0
}

// countReceiver decodes the count changes that the coordinator receives from
// one member.
type countReceiver struct {
	number uint64
	roots  []int64
}

// readReport returns the tokens since the previous report, by layer and expert.
// It returns a StaleCounts error if there is no previous report. After any other
// error, the next report has no previous one either.
func (r *countReceiver) readReport(report *pb.GroupReportResponse) ([][]float64, error) {
	if report.GetCounts() == nil {
		*r = countReceiver{number: report.GetNumber()}
		return nil, errkind.New(errkind.StaleCounts, "no earlier counts of the member")
	}
	roots, err := r.decodeRoots(report)
	if err != nil {
		*r = countReceiver{}
		return nil, err
	}
	r.number, r.roots = report.GetNumber(), roots
	perLayer := int(report.GetExperts())
	tokens := make([][]float64, report.GetCounts().GetLayers())
	for layer := range tokens {
		tokens[layer] = make([]float64, perLayer)
		for e := range tokens[layer] {
			tokens[layer][e] = experts.CountFromRoot(roots[layer*perLayer+e])
		}
	}
	return tokens, nil
}

func (r *countReceiver) decodeRoots(report *pb.GroupReportResponse) ([]int64, error) {
	data := report.GetCounts().GetRoots()
	want := uint64(report.GetCounts().GetLayers()) * uint64(report.GetExperts())
	// Each value takes at least one byte, so this also bounds the memory.
	if want > uint64(len(data)) {
		return nil, errkind.New(errkind.InvalidCounts, "%d bytes are too few for %d counts", len(data), want)
	}
	roots := make([]int64, want)
	for i := range roots {
		change, n := binary.Varint(data)
		if n <= 0 {
			return nil, errkind.New(errkind.InvalidCounts, "count %d of %d is not a valid varint", i, want)
		}
		data = data[n:]
		if roots[i] = rootAt(r.roots, i) + change; roots[i] < 0 {
			return nil, errkind.New(errkind.InvalidCounts, "count %d has the negative root %d", i, roots[i])
		}
	}
	if len(data) > 0 {
		return nil, errkind.New(errkind.InvalidCounts, "%d unexpected bytes after %d counts", len(data), want)
	}
	return roots, nil
}
