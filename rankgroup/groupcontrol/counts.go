package groupcontrol

import (
	"encoding/binary"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// reported turns the counts of the backend server, which grow from its start,
// into changes since the last report that the holder has got. It is safe for
// concurrent use. It serves one caller at a time, the holder: after another
// caller, the first one gets no counts once.
type reported struct {
	mu     sync.Mutex
	number uint64
	// got is the last report that the holder has confirmed, sent the last one
	// that it was sent. They differ while an answer is on its way or lost.
	got, sent snapshot
}

// snapshot is what one report stood for.
type snapshot struct {
	number uint64
	// counts are those of the backend server, by layer and expert.
	counts [][]uint64
	// roots are those of the report, or empty if it had no counts.
	roots []int64
}

// newReported numbers reports from the incarnation of the process, so that no
// number of a former process is taken for one of this process.
func newReported(incarnation uint64) *reported { return &reported{number: incarnation} }

// next returns the number of a new report and the change since a former one.
// The change is nil if the former report is unknown, or if the backend server
// has begun to count anew.
func (r *reported) next(since uint64, counts [][]uint64) (uint64, *pb.CountChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch since {
	case r.sent.number:
		r.got = r.sent
	case r.got.number:
	default:
		r.got = snapshot{}
	}
	r.number++
	r.sent = snapshot{number: r.number, counts: counts}
	roots, ok := r.got.rootsSince(counts)
	if !ok {
		return r.number, nil
	}
	r.sent.roots = roots
	change := &pb.CountChange{Layers: uint32(len(counts))}
	for i, root := range roots {
		change.Roots = binary.AppendVarint(change.Roots, root-at(r.got.roots, i))
	}
	return r.number, change
}

// rootsSince returns the roots of the tokens since the snapshot.
func (s *snapshot) rootsSince(counts [][]uint64) ([]int64, bool) {
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

func at(roots []int64, i int) int64 {
	if i < len(roots) {
		return roots[i]
	}
	return 0
}

// received is what the holder has received from one member.
type received struct {
	number uint64
	roots  []int64
}

// read returns the tokens since the report before, by layer and expert, or
// StaleCounts if there was none. After an error the next report begins anew.
func (r *received) read(report *pb.GroupReportResponse) ([][]float64, error) {
	if report.GetCounts() == nil {
		*r = received{number: report.GetNumber()}
		return nil, errkind.New(errkind.StaleCounts, "first counts of a member")
	}
	roots, err := r.decode(report)
	if err != nil {
		*r = received{}
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

func (r *received) decode(report *pb.GroupReportResponse) ([]int64, error) {
	data := report.GetCounts().GetRoots()
	want := uint64(report.GetCounts().GetLayers()) * uint64(report.GetExperts())
	// Each value takes a byte or more, so this bounds the memory as well.
	if want > uint64(len(data)) {
		return nil, errkind.New(errkind.InvalidCounts, "%d bytes for %d counts", len(data), want)
	}
	roots := make([]int64, want)
	for i := range roots {
		change, n := binary.Varint(data)
		if n <= 0 {
			return nil, errkind.New(errkind.InvalidCounts, "count %d of %d cannot be read", i, want)
		}
		data = data[n:]
		if roots[i] = at(r.roots, i) + change; roots[i] < 0 {
			return nil, errkind.New(errkind.InvalidCounts, "count %d has the root %d", i, roots[i])
		}
	}
	if len(data) > 0 {
		return nil, errkind.New(errkind.InvalidCounts, "%d bytes after %d counts", len(data), want)
	}
	return roots, nil
}
