package groupcontrol

import (
	"github.com/filbertmux/filbertmux/base/infra"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// encode returns the wire form of a message between members, or nil for a
// message type that is never sent to another process.
func encode(m mapswitch.Message) *pb.GroupMessage {
	switch m := m.(type) {
	case mapswitch.TakeOver:
		return &pb.GroupMessage{Kind: &pb.GroupMessage_TakeOver{TakeOver: &pb.TakeOver{Token: uint64(m.Token)}}}
	case mapswitch.Prepare:
		return &pb.GroupMessage{Kind: &pb.GroupMessage_Prepare{Prepare: encodePlan(m.Plan)}}
	case mapswitch.Propose:
		return &pb.GroupMessage{Kind: &pb.GroupMessage_Propose{Propose: &pb.Propose{
			Attempt: encodeAttempt(m.Attempt), Step: m.Step, Incarnations: m.Incarnations,
		}}}
	case mapswitch.Status:
		return &pb.GroupMessage{Kind: &pb.GroupMessage_Status{Status: encodeStatus(m)}}
	case mapswitch.Rejected:
		return &pb.GroupMessage{Kind: &pb.GroupMessage_Rejected{Rejected: &pb.Rejected{Token: uint64(m.Token)}}}
	case mapswitch.Query:
		return &pb.GroupMessage{Kind: &pb.GroupMessage_Query{Query: &pb.VoteQuery{
			Attempt: encodeAttempt(m.Attempt), Step: m.Step,
		}}}
	case mapswitch.Vote:
		return &pb.GroupMessage{Kind: &pb.GroupMessage_Vote{Vote: &pb.Vote{
			Attempt: encodeAttempt(m.Attempt), Verdict: uint32(m.Verdict), Token: uint64(m.Token),
		}}}
	}
	return nil
}

// decode converts a message to its type in mapswitch. It returns nil for a kind of
// message that this version does not know.
func decode(from mapswitch.MemberID, m *pb.GroupMessage) mapswitch.Message {
	switch k := m.GetKind().(type) {
	case *pb.GroupMessage_TakeOver:
		return mapswitch.TakeOver{Token: infra.Offset(k.TakeOver.GetToken())}
	case *pb.GroupMessage_Prepare:
		return mapswitch.Prepare{Plan: decodePlan(k.Prepare)}
	case *pb.GroupMessage_Propose:
		return mapswitch.Propose{
			Attempt: decodeAttempt(k.Propose.GetAttempt()), Step: k.Propose.GetStep(),
			Incarnations: k.Propose.GetIncarnations(),
		}
	case *pb.GroupMessage_Status:
		return decodeStatus(from, k.Status)
	case *pb.GroupMessage_Rejected:
		return mapswitch.Rejected{From: from, Token: infra.Offset(k.Rejected.GetToken())}
	case *pb.GroupMessage_Query:
		return mapswitch.Query{From: from, Attempt: decodeAttempt(k.Query.GetAttempt()), Step: k.Query.GetStep()}
	case *pb.GroupMessage_Vote:
		return mapswitch.Vote{
			From: from, Attempt: decodeAttempt(k.Vote.GetAttempt()),
			Verdict: mapswitch.Verdict(k.Vote.GetVerdict()), Token: infra.Offset(k.Vote.GetToken()),
		}
	}
	return nil
}

func encodeAttempt(a mapswitch.Attempt) *pb.SwitchAttempt {
	return &pb.SwitchAttempt{Token: uint64(a.Token), Seq: a.Seq}
}

func decodeAttempt(a *pb.SwitchAttempt) mapswitch.Attempt {
	return mapswitch.Attempt{Token: infra.Offset(a.GetToken()), Seq: a.GetSeq()}
}

func encodePlan(p mapswitch.Plan) *pb.Prepare {
	target := &pb.ExpertMap{Epoch: p.Target.Epoch}
	for _, layer := range p.Target.Layers {
		slots := make([]int32, len(layer))
		for i, e := range layer {
			slots[i] = int32(e)
		}
		target.Layers = append(target.Layers, &pb.ExpertLayer{Experts: slots})
	}
	return &pb.Prepare{
		Attempt: encodeAttempt(p.Attempt), Base: encodeAttempt(p.Base), Epoch: p.Epoch, Target: target,
	}
}

func decodePlan(p *pb.Prepare) mapswitch.Plan {
	target := &experts.Map{Epoch: p.GetTarget().GetEpoch()}
	for _, slots := range p.GetTarget().GetLayers() {
		layer := make(experts.Layer, len(slots.GetExperts()))
		for i, e := range slots.GetExperts() {
			layer[i] = experts.Expert(e)
		}
		target.Layers = append(target.Layers, layer)
	}
	return mapswitch.Plan{
		Attempt: decodeAttempt(p.GetAttempt()), Base: decodeAttempt(p.GetBase()), Epoch: p.GetEpoch(), Target: target,
	}
}

func encodeStatus(s mapswitch.Status) *pb.MemberStatus {
	out := &pb.MemberStatus{
		Incarnation: s.Incarnation, Token: uint64(s.Token), Floor: encodeAttempt(s.Floor), Undecided: s.Undecided,
	}
	for i := range s.Ranks {
		out.Ranks = append(out.Ranks, encodeRankState(&s.Ranks[i]))
	}
	return out
}

func decodeStatus(from mapswitch.MemberID, s *pb.MemberStatus) mapswitch.Status {
	out := mapswitch.Status{
		From: from, Incarnation: s.GetIncarnation(), Token: infra.Offset(s.GetToken()),
		Floor: decodeAttempt(s.GetFloor()), Undecided: s.GetUndecided(),
	}
	for _, r := range s.GetRanks() {
		out.Ranks = append(out.Ranks, decodeRankState(r))
	}
	return out
}

func encodeRankState(s *mapswitch.RankState) *pb.RankStatus {
	out := &pb.RankStatus{
		Rank: uint32(s.Rank), Version: s.Version, Token: uint64(s.Token), Step: s.Step,
		Installed: encodeAttempt(s.Installed), Epoch: s.Epoch, ActiveFrom: s.ActiveFrom,
		Previous: encodeAttempt(s.Previous), PreviousEpoch: s.PreviousEpoch,
		Staged: encodeAttempt(s.Staged), Released: encodeAttempt(s.Released),
	}
	if s.Hold != nil {
		out.Hold, out.HoldStep = encodeAttempt(s.Hold.Attempt), s.Hold.Step
	}
	return out
}

func decodeRankState(r *pb.RankStatus) mapswitch.RankState {
	s := mapswitch.RankState{
		Rank: mapswitch.RankID(r.GetRank()), Version: r.GetVersion(), Token: infra.Offset(r.GetToken()),
		Step: r.GetStep(), Installed: decodeAttempt(r.GetInstalled()), Epoch: r.GetEpoch(),
		ActiveFrom: r.GetActiveFrom(), Previous: decodeAttempt(r.GetPrevious()),
		PreviousEpoch: r.GetPreviousEpoch(), Staged: decodeAttempt(r.GetStaged()),
		Released: decodeAttempt(r.GetReleased()),
	}
	if r.GetHold() != nil {
		s.Hold = &mapswitch.Hold{Attempt: decodeAttempt(r.GetHold()), Step: r.GetHoldStep()}
	}
	return s
}
