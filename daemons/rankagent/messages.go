package rankagent

import (
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// encodeState converts the state of a rank to its message.
func encodeState(s platform.RankState) *pb.ReadRankResponse {
	r := &pb.ReadRankResponse{
		Group: s.Group, Rank: uint32(s.Report.Rank), Size: uint32(s.Size), Born: s.StartedUnixMs, Pace: s.Slowdown,
		Epoch: s.Report.Epoch, Open: s.Report.Open, Step: s.Report.Step,
		InForce: s.Report.InForce, Prepared: s.Report.Prepared, Held: s.Report.HoldStep,
	}
	if a := s.Report.Armed; a != nil {
		r.Armed = &pb.RankArm{Version: a.Version, Step: a.Step}
	}
	return r
}

// encodeExperts converts the experts of a rank by layer.
func encodeExperts(layers [][]int32) []*pb.RankExperts {
	encoded := make([]*pb.RankExperts, 0, len(layers))
	for _, l := range layers {
		encoded = append(encoded, &pb.RankExperts{Experts: l})
	}
	return encoded
}

// decodeReport converts a response to the report of a rank.
func decodeReport(r *pb.ReadRankResponse) switchover.Report {
	report := switchover.Report{
		Rank: int(r.GetRank()), Epoch: r.GetEpoch(), Open: r.GetOpen(), Step: r.GetStep(),
		InForce: r.GetInForce(), Prepared: r.GetPrepared(), HoldStep: r.GetHeld(),
		OrderedBy: switchover.Holder{Token: r.GetFence(), Rank: int(r.GetHolder())},
		Cancelled: switchover.Cancellation{Step: r.GetCancelledStep(), Version: r.GetCancelledVersion()},
	}
	if a := r.GetArmed(); a != nil {
		report.Armed = &switchover.ArmedSwitch{Version: a.GetVersion(), Step: a.GetStep()}
	}
	return report
}

var orderKinds = map[switchover.OrderKind]pb.RankOrderKind{
	switchover.Prepare: pb.RankOrderKind_RANK_ORDER_KIND_PREPARE,
	switchover.Hold:    pb.RankOrderKind_RANK_ORDER_KIND_HOLD,
	switchover.Arm:     pb.RankOrderKind_RANK_ORDER_KIND_ARM,
	switchover.Disarm:  pb.RankOrderKind_RANK_ORDER_KIND_DISARM,
	switchover.Release: pb.RankOrderKind_RANK_ORDER_KIND_RELEASE,
}

// encodeOrder converts an order to its message, without the map. issuer is the holder
// in whose name it is sent, and token the fencing token of the caller.
func encodeOrder(group string, o switchover.Order, issuer switchover.Holder, token int64) *pb.OrderRankRequest {
	return &pb.OrderRankRequest{
		Group: group, Rank: uint32(o.Rank), Kind: orderKinds[o.Kind],
		Epoch: o.Epoch, Version: o.Version, Step: o.Step,
		Fence: issuer.Token, Holder: uint32(issuer.Rank), Token: token, Cancels: o.CancelsStep,
	}
}

// expertsOfRank lists the experts that a rank hosts in a layer. The list is never
// nil.
func expertsOfRank(t *experts.Topology, layer experts.Layer, rank int) []int32 {
	list := []int32{}
	for _, e := range layer[rank*t.SlotsPerRank : (rank+1)*t.SlotsPerRank] {
		if e != experts.EmptySlot {
			list = append(list, int32(e))
		}
	}
	return list
}

// decodeOrder converts a message to its order, without the map; see decodeLayers.
func decodeOrder(m *pb.OrderRankRequest) switchover.Order {
	o := switchover.Order{
		Rank: int(m.GetRank()), Epoch: m.GetEpoch(), Version: m.GetVersion(), Step: m.GetStep(), CancelsStep: m.GetCancels(),
	}
	for kind, encoded := range orderKinds {
		if encoded == m.GetKind() {
			o.Kind = kind
		}
	}
	return o
}

// decodeLayers returns the experts of the new map by layer and rank, or nil if the
// message carries no valid map.
func decodeLayers(m *pb.OrderRankRequest) mapdelta.Map {
	layers := int(m.GetLayers())
	lists := m.GetLayersRanks()
	if layers == 0 || len(lists) == 0 || len(lists)%layers != 0 {
		return nil
	}
	ranks := len(lists) / layers
	out := make(mapdelta.Map, layers)
	for i, l := range lists {
		list := l.GetExperts()
		if list == nil {
			list = []int32{}
		}
		out[i/ranks] = append(out[i/ranks], list)
	}
	return out
}
