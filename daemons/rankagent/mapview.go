package rankagent

import (
	"slices"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// mapView keeps the experts that the ranks of a group reported, and the map in force that
// they make up. In each round the ranks report only what has changed, and the map is
// assembled and validated once. It is not safe for concurrent modification.
type mapView struct {
	// reported holds the experts of each rank.
	reported map[int]reportedExperts
	// current is the last map in force, for the key assembledFor.
	current      *experts.Map
	assembledFor mapKey
}

// reportedExperts are the experts of a rank, by layer, in a map.
type reportedExperts struct {
	epoch, version int64
	// startedUnixMs identifies the run of the rank.
	startedUnixMs int64
	layers        []*pb.RankExperts
}

// mapKey identifies a map in force of a group and its shape.
type mapKey struct {
	epoch, version                int64
	layers, ranks, experts, slots int
}

func newMapView() *mapView { return &mapView{reported: make(map[int]reportedExperts)} }

// known returns the map whose experts of a rank need not be reported again, or nil.
func (v *mapView) known(rank int) *pb.RankMap {
	r, ok := v.reported[rank]
	if !ok {
		return nil
	}
	return &pb.RankMap{Epoch: r.epoch, Version: r.version}
}

// complete adds the known experts to the responses that leave them out, and keeps those of
// the others. It drops responses that leave out experts of another map or run of the rank;
// the next reading of such a rank gets them.
func (v *mapView) complete(responses []*pb.ReadRankResponse) []*pb.ReadRankResponse {
	return slices.DeleteFunc(responses, func(r *pb.ReadRankResponse) bool {
		rank := int(r.GetRank())
		if !r.GetExpertsKnown() {
			v.reported[rank] = reportedExperts{
				epoch: r.GetEpoch(), version: r.GetInForce(), startedUnixMs: r.GetBorn(), layers: r.GetExperts(),
			}
			return false
		}
		known := v.reported[rank]
		if known.epoch != r.GetEpoch() || known.version != r.GetInForce() || known.startedUnixMs != r.GetBorn() {
			delete(v.reported, rank)
			return true
		}
		r.Experts = known.layers
		return false
	})
}

// inForce returns the map in force, given the responses of all ranks, which use the same
// one. The caller must not change it.
func (v *mapView) inForce(t *experts.Topology, layers int, responses []*pb.ReadRankResponse) (*experts.Map, error) {
	key := mapKey{
		epoch: responses[0].GetEpoch(), version: responses[0].GetInForce(),
		layers: layers, ranks: t.Ranks(), experts: t.Experts, slots: t.SlotsPerRank,
	}
	if v.current != nil && v.assembledFor == key {
		return v.current, nil
	}
	m, err := mapInForce(t, layers, responses)
	if err != nil {
		return nil, err
	}
	v.current, v.assembledFor = m, key
	return m, nil
}
