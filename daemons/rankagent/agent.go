// Package rankagent is the daemon beside each rank of a group on the users'
// platform. It reads the rank and gives it orders, which is free from the same
// machine. One of the agents of a group is its holder: it plans the expert maps
// and leads the group from one map to the next.
package rankagent

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// Agent serves the holder of the group. It is safe for concurrent use.
type Agent struct {
	rank *platform.RankClient
	log  zerolog.Logger

	mu sync.Mutex
	// identity is that of the last reading.
	identity identity
	// experts are those in use in the epoch and version below.
	experts [][]int32
	epoch   int64
	version int64
	cached  bool
	// fence is the highest fencing token of an order that passed here, and holder
	// the rank beside the holder that gave it.
	fence  int64
	holder uint32
	// seen is the highest fencing token of a holder that called, and seenAt when
	// the present one last did.
	seen   int64
	seenAt time.Time
	// cancelled is the switch of cancelledIn, an epoch, for which the rank is not
	// armed any more.
	cancelled   switchover.Cancellation
	cancelledIn int64
}

type identity struct {
	group string
	rank  int
	size  int
	born  int64
}

// NewAgent returns the agent of a rank.
func NewAgent(rank *platform.RankClient, log zerolog.Logger) *Agent {
	// A holder that is there calls within the first moments.
	return &Agent{rank: rank, log: log, seenAt: clock.Now().Add(firstCall - candidateSilence)}
}

// ReadRank implements the service.
func (a *Agent) ReadRank(
	ctx context.Context, req *connect.Request[pb.ReadRankRequest],
) (*connect.Response[pb.ReadRankResponse], error) {
	called := clock.Now()
	if req.Msg.GetLeaving() {
		called = called.Add(-candidateSilence)
	}
	a.noteHolder(called, req.Msg.GetToken())
	r, err := a.read(ctx, req.Msg.GetCounts())
	if err != nil {
		return nil, connect.NewError(errkind.Of(err).Kind.Attributes().ConnectCode, err)
	}
	return connect.NewResponse(r), nil
}

// read returns the state of the rank, and the counts on request.
func (a *Agent) read(ctx context.Context, counts bool) (*pb.ReadRankResponse, error) {
	s, err := a.rank.State(ctx)
	if err != nil {
		return nil, err
	}
	a.note(s)
	r := encodeState(s)
	a.addOrders(r)
	layers, err := a.inUse(ctx, s)
	if err != nil {
		return nil, err
	}
	for _, l := range layers {
		r.Experts = append(r.Experts, &pb.RankExperts{Experts: l})
	}
	if counts {
		if r.Counts, err = a.rank.ExpertCounts(ctx); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (a *Agent) note(s platform.RankState) {
	now := identity{group: s.Group, rank: s.Report.Rank, size: s.Size, born: s.StartedUnixMs}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now == a.identity {
		return
	}
	a.identity = now
	a.cached = false
	a.log.Info().Str("group", now.group).Int("rank", now.rank).Int("ranks", now.size).
		Int64("epoch", s.Report.Epoch).Msg("rank of a group")
}

// Identity returns the group and rank of the last reading.
func (a *Agent) Identity() (group string, rank, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.identity.group, a.identity.rank, a.identity.size
}

// inUse returns the experts of the map in use. They are read once for each
// version of an epoch.
func (a *Agent) inUse(ctx context.Context, s platform.RankState) ([][]int32, error) {
	a.mu.Lock()
	known := a.cached && a.epoch == s.Report.Epoch && a.version == s.Report.InForce
	layers := a.experts
	a.mu.Unlock()
	if known {
		return layers, nil
	}
	version, layers, err := a.rank.Experts(ctx)
	if err != nil {
		return nil, err
	}
	if version != s.Report.InForce {
		return nil, errkind.New(errkind.StaleCounts, "the map changed from version %d to %d", s.Report.InForce, version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.experts, a.epoch, a.version, a.cached = layers, s.Report.Epoch, version, true
	return layers, nil
}

// OrderRank implements the service.
func (a *Agent) OrderRank(
	ctx context.Context, req *connect.Request[pb.OrderRankRequest],
) (*connect.Response[pb.OrderRankResponse], error) {
	m := req.Msg
	group, rank, _ := a.Identity()
	if m.GetGroup() != group || int(m.GetRank()) != rank {
		err := errkind.New(errkind.InvalidRequest, "order for rank %d of %q at rank %d of %q",
			m.GetRank(), m.GetGroup(), rank, group)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if !a.noteHolder(clock.Now(), m.GetToken()) || !a.noteFence(m.GetFence(), m.GetHolder()) {
		return connect.NewResponse(&pb.OrderRankResponse{Fenced: true}), nil
	}
	o := decodeOrder(m)
	if !a.takes(o) {
		return connect.NewResponse(&pb.OrderRankResponse{}), nil
	}
	reply, err := orderRank(ctx, a.rank, o, m.GetFence(), decodeLayers(m))
	if err != nil {
		return nil, connect.NewError(errkind.Of(err).Kind.Attributes().ConnectCode, err)
	}
	if reply.Accepted {
		a.noteAccepted(o)
	}
	return connect.NewResponse(&pb.OrderRankResponse{Accepted: reply.Accepted, Fenced: reply.Fenced}), nil
}

// noteHolder notes a call of a holder. It reports whether no newer one has called;
// token is 0 for callers that aren't the holder.
func (a *Agent) noteHolder(now time.Time, token int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if token == 0 {
		return true
	}
	if token < a.seen {
		return false
	}
	a.seen, a.seenAt = token, now
	return true
}

// candidate describes this agent to its election.
func (a *Agent) candidate() candidate {
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return candidate{group: a.identity.group, rank: a.identity.rank, silence: now.Sub(a.seenAt)}
}

// noteFence notes the holder that gives an order. It reports whether no newer one
// has given orders: not all backend servers check that.
func (a *Agent) noteFence(fence int64, holder uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return false
	}
	a.fence, a.holder = fence, holder
	return true
}

// takes reports whether an order goes to the rank, and notes one that cancels a
// switch. After that, the rank is not armed for the switch any more.
func (a *Agent) takes(o switchover.Order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Kind == switchover.Arm {
		return o.Epoch != a.cancelledIn || o.Step > a.cancelled.Step
	}
	if o.CancelsStep > 0 && (o.Epoch != a.cancelledIn || o.CancelsStep > a.cancelled.Step) {
		a.cancelledIn, a.cancelled = o.Epoch, switchover.Cancellation{Step: o.CancelsStep}
		a.log.Info().Int64("epoch", o.Epoch).Int64("step", o.CancelsStep).Int64("version", o.Version).
			Msg("switch cancelled at this rank")
	}
	return true
}

// noteAccepted notes that the rank took an order that cancels a switch.
func (a *Agent) noteAccepted(o switchover.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.CancelsStep > 0 && o.Epoch == a.cancelledIn {
		a.cancelled.Version = max(a.cancelled.Version, o.Version)
	}
}

// addOrders adds what is known of the orders that passed here.
func (a *Agent) addOrders(r *pb.ReadRankResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Fence, r.Holder, r.Seen = a.fence, a.holder, a.seen
	if r.GetEpoch() == a.cancelledIn {
		r.CancelledStep, r.CancelledVersion = a.cancelled.Step, a.cancelled.Version
	}
}

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

func encodeOrder(
	group string, o switchover.Order, by switchover.Holder, token int64, t *experts.Topology,
) *pb.OrderRankRequest {
	m := &pb.OrderRankRequest{
		Group: group, Rank: uint32(o.Rank), Kind: orderKinds[o.Kind],
		Epoch: o.Epoch, Version: o.Version, Step: o.Step,
		Fence: by.Token, Holder: uint32(by.Rank), Token: token, Cancels: o.CancelsStep,
	}
	if o.Map == nil {
		return m
	}
	m.Layers = uint32(len(o.Map.Layers))
	for _, layer := range o.Map.Layers {
		for rank := range t.Ranks() {
			m.LayersRanks = append(m.LayersRanks, &pb.RankExperts{Experts: expertsOf(t, layer, rank)})
		}
	}
	return m
}

func expertsOf(t *experts.Topology, layer experts.Layer, rank int) []int32 {
	list := []int32{}
	for _, e := range layer[rank*t.SlotsPerRank : (rank+1)*t.SlotsPerRank] {
		if e != experts.EmptySlot {
			list = append(list, int32(e))
		}
	}
	return list
}

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

func decodeLayers(m *pb.OrderRankRequest) [][][]int32 {
	layers := int(m.GetLayers())
	lists := m.GetLayersRanks()
	if layers == 0 || len(lists)%layers != 0 {
		return nil
	}
	ranks := len(lists) / layers
	out := make([][][]int32, layers)
	for i, l := range lists {
		list := l.GetExperts()
		if list == nil {
			list = []int32{}
		}
		out[i/ranks] = append(out[i/ranks], list)
	}
	return out
}
