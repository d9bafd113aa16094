package gateway

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

const (
	// maxEvacuationBytes limits the names of failure domains in a load report, which is one
	// datagram. Those of all domains of a large deployment fit.
	maxEvacuationBytes = 1 << 10
	// peerSource precedes the address of another gateway in the source of an evacuation.
	peerSource = "peer "
)

// report adds the evacuations that this gateway knows to a load report, so that gateways
// that can't read the store learn them. It adds nothing if they don't fit.
func (t *evacuationTracker) report(m *pb.LoadReport) {
	t.mu.Lock()
	view := t.evacuations.View()
	t.mu.Unlock()
	bytes := 0
	for _, e := range view.Domains {
		bytes += len(e.Domain)
	}
	if bytes > maxEvacuationBytes {
		return
	}
	m.EvacuationsEnd, m.EvacuationsEra = view.EndOffset, view.Era
	for _, e := range view.Domains {
		m.Evacuations = append(m.Evacuations, &pb.Evacuation{FailureDomain: e.Domain, Offset: e.Offset})
	}
}

// receive adopts the evacuations in a load report if its sender has read further.
func (t *evacuationTracker) receive(m *pb.LoadReport) {
	view, err := decodeEvacuations(m)
	if err != nil {
		t.log.Warn().Err(err).Str("peer", m.GetSender()).Msg("evacuations in a load report can't be read; ignoring them")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.evacuations.ApplyReport(clock.Now(), view), peerSource+m.GetSender())
}

// decodeEvacuations returns the evacuations that the sender of a load report knows.
func decodeEvacuations(m *pb.LoadReport) (fleet.EvacuationView, error) {
	view := fleet.EvacuationView{EndOffset: m.GetEvacuationsEnd(), Era: m.GetEvacuationsEra()}
	bytes := 0
	for _, e := range m.GetEvacuations() {
		if e.GetFailureDomain() == "" {
			return fleet.EvacuationView{}, errors.New("no failure domain")
		}
		bytes += len(e.GetFailureDomain())
		view.Domains = append(view.Domains, fleet.Evacuation{Domain: e.GetFailureDomain(), Offset: e.GetOffset()})
	}
	if bytes > maxEvacuationBytes {
		return fleet.EvacuationView{}, errors.Errorf("%d bytes of failure domains exceed the limit of %d", bytes, maxEvacuationBytes)
	}
	slices.SortFunc(view.Domains, func(a, b fleet.Evacuation) int { return strings.Compare(a.Domain, b.Domain) })
	return view, nil
}
