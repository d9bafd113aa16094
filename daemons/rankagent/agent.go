// Package rankagent is the daemon that runs beside each rank of a group on the
// users' platform. It reads the state of the rank and sends orders to it, because
// calls from the same instance aren't billed. The agents of a group elect one of
// them as the holder. The holder plans the expert maps and coordinates the switches
// between them.
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
	"github.com/filbertmux/filbertmux/rankgroup/countwindow"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// Agent serves the calls of other agents, above all of the holder, for one rank. It is
// safe for concurrent use.
type Agent struct {
	rank *platform.RankClient
	log  zerolog.Logger

	mu sync.Mutex
	// identity is the identity of the rank at its last reading.
	identity identity
	// cachedExperts holds the experts in use, by layer, for cachedEpoch and
	// cachedVersion.
	cachedExperts [][]int32
	cachedEpoch   int64
	cachedVersion int64
	cacheValid    bool
	// issuerToken is the highest fencing token of an order that reached this agent,
	// and issuerRank the rank beside the holder that issued it.
	issuerToken int64
	issuerRank  uint32
	// callToken is the highest fencing token of a holder that called this agent, and
	// calledAt the time of the last call with it.
	callToken int64
	calledAt  time.Time
	// cancelled is the last cancelled switch of cancelledEpoch. This agent no longer
	// forwards orders to arm the rank for it. When the agent starts, it counts each
	// switch that may be in progress as cancelled.
	cancelled      switchover.Cancellation
	cancelledEpoch int64
	// knownMap is the last whole map that the agent received and knownVersion its
	// version, or 0. Holders send the changes of this map.
	knownMap     mapdelta.Map
	knownVersion int64
	// counts holds the recent expert counts of the rank. They are read while a holder
	// asks for them; countsAskedAt is when one last did.
	counts        countwindow.Window
	countsAskedAt time.Time
}

// identity identifies a rank within its group, and one run of its process.
type identity struct {
	group         string
	rank          int
	size          int
	startedUnixMs int64
}

// NewAgent returns the agent of a rank.
func NewAgent(rank *platform.RankClient, log zerolog.Logger) *Agent {
	// The agent claims the role of holder after initialElectionTimeout, unless a
	// holder calls it earlier.
	return &Agent{rank: rank, log: log, calledAt: clock.Now().Add(initialElectionTimeout - electionTimeout)}
}

// ReadRank implements RankAgentService.
func (a *Agent) ReadRank(
	ctx context.Context, req *connect.Request[pb.ReadRankRequest],
) (*connect.Response[pb.ReadRankResponse], error) {
	r, err := a.Read(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(errkind.Of(err).Kind.Attributes().ConnectCode, err)
	}
	return connect.NewResponse(r), nil
}

// Read implements agentconn.Service.
func (a *Agent) Read(ctx context.Context, m *pb.ReadRankRequest) (*pb.ReadRankResponse, error) {
	calledAt := clock.Now()
	if m.GetLeaving() {
		calledAt = calledAt.Add(-electionTimeout)
	}
	a.recordCall(calledAt, m.GetToken())
	return a.read(ctx, m)
}

// read returns the state of the rank, its experts unless the caller has them, and its
// expert counts if requested.
func (a *Agent) read(ctx context.Context, m *pb.ReadRankRequest) (*pb.ReadRankResponse, error) {
	s, err := a.rank.State(ctx)
	if err != nil {
		return nil, err
	}
	a.updateIdentity(s)
	r := encodeState(s)
	a.addOrderState(r)
	layers, err := a.expertsInUse(ctx, s)
	if err != nil {
		return nil, err
	}
	if known := m.GetKnownExperts(); known != nil && known.GetEpoch() == r.GetEpoch() && known.GetVersion() == r.GetInForce() {
		r.ExpertsKnown = true
	} else {
		r.Experts = encodeExperts(layers)
	}
	if m.GetCounts() {
		r.RecentCounts = a.recentCounts(clock.Now(), len(layers))
	}
	return r, nil
}

// countsWanted reports whether a holder has asked for the expert counts lately.
func (a *Agent) countsWanted(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.countsAskedAt) < electionTimeout
}

// pollCounts reads the expert counts of the rank, if a holder has asked for them.
func (a *Agent) pollCounts(ctx context.Context, startedUnixMs int64) {
	if !a.countsWanted(clock.Now()) {
		return
	}
	counts, err := a.rank.ExpertCounts(ctx)
	if err != nil {
		a.log.Debug().Err(err).Msg("cannot read the expert counts of the rank")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Add(clock.Now(), startedUnixMs, counts)
}

// recentCounts returns the recent expert counts of the rank, or nil if they aren't known
// yet.
func (a *Agent) recentCounts(now time.Time, layers int) *pb.RecentCounts {
	a.mu.Lock()
	a.countsAskedAt = now
	increase, over, ok := a.counts.Increase(now)
	a.mu.Unlock()
	if !ok || layers == 0 {
		return nil
	}
	e := countwindow.Encode(increase, layers)
	return &pb.RecentCounts{OverMs: uint32(over.Milliseconds()), Largest: e.Largest, Levels: e.Levels}
}

// updateIdentity stores the identity of the rank, and drops the cached experts if
// it changed.
func (a *Agent) updateIdentity(s platform.RankState) {
	now := identity{group: s.Group, rank: s.Report.Rank, size: s.Size, startedUnixMs: s.StartedUnixMs}
	a.mu.Lock()
	defer a.mu.Unlock()
	if now == a.identity {
		return
	}
	if a.identity.group == "" && now.group != "" {
		a.cancelledEpoch = s.Report.Epoch
		a.cancelled = switchover.CancellationAfterRestart(s.Report, maxLeadSteps(now.size))
	}
	a.identity = now
	a.cacheValid = false
	a.log.Info().Str("group", now.group).Int("rank", now.rank).Int("ranks", now.size).
		Int64("epoch", s.Report.Epoch).Msg("rank belongs to a group")
}

// Identity returns the group, the rank and the number of ranks at the last reading.
func (a *Agent) Identity() (group string, rank, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.identity.group, a.identity.rank, a.identity.size
}

// expertsInUse returns the experts that the rank hosts in the map in force, by layer.
// It reads them once for each version of an epoch.
func (a *Agent) expertsInUse(ctx context.Context, s platform.RankState) ([][]int32, error) {
	a.mu.Lock()
	known := a.cacheValid && a.cachedEpoch == s.Report.Epoch && a.cachedVersion == s.Report.InForce
	layers := a.cachedExperts
	a.mu.Unlock()
	if known {
		return layers, nil
	}
	version, layers, err := a.rank.Experts(ctx)
	if err != nil {
		return nil, err
	}
	if version != s.Report.InForce {
		return nil, errkind.New(errkind.StaleCounts, "the map in force changed from version %d to %d between two reads", s.Report.InForce, version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cachedExperts, a.cachedEpoch, a.cachedVersion, a.cacheValid = layers, s.Report.Epoch, version, true
	return layers, nil
}

// OrderRank implements RankAgentService.
func (a *Agent) OrderRank(
	ctx context.Context, req *connect.Request[pb.OrderRankRequest],
) (*connect.Response[pb.OrderRankResponse], error) {
	r, err := a.Order(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(errkind.Of(err).Kind.Attributes().ConnectCode, err)
	}
	return connect.NewResponse(r), nil
}

// Order implements agentconn.Service.
func (a *Agent) Order(ctx context.Context, m *pb.OrderRankRequest) (*pb.OrderRankResponse, error) {
	group, rank, _ := a.Identity()
	if m.GetGroup() != group || int(m.GetRank()) != rank {
		return nil, errkind.New(errkind.InvalidRequest, "order for rank %d of group %q reached rank %d of group %q",
			m.GetRank(), m.GetGroup(), rank, group)
	}
	if !a.recordCall(clock.Now(), m.GetToken()) || !a.recordIssuer(m.GetFence(), m.GetHolder()) {
		return &pb.OrderRankResponse{Fenced: true}, nil
	}
	o := decodeOrder(m)
	if !a.admitOrder(o) {
		return &pb.OrderRankResponse{}, nil
	}
	layers, err := a.receiveMap(m)
	if err != nil {
		a.log.Info().Err(err).Int64("version", o.Version).Msg("map refused; the holder has to send it whole")
		return &pb.OrderRankResponse{}, nil
	}
	reply, err := orderRank(ctx, a.rank, o, m.GetFence(), layers)
	if err != nil {
		return nil, err
	}
	if reply.Accepted {
		a.recordAccepted(o)
	}
	return &pb.OrderRankResponse{Accepted: reply.Accepted, Fenced: reply.Fenced}, nil
}

// receiveMap returns the map of an order, or nil if the order needs none. The agent keeps
// the map as the base of later changes. After an error it has no base.
func (a *Agent) receiveMap(m *pb.OrderRankRequest) (mapdelta.Map, error) {
	if m.GetKind() != pb.RankOrderKind_RANK_ORDER_KIND_PREPARE {
		return nil, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	layers, err := a.decodeMap(m)
	if want := m.GetMapDigest(); err == nil && want != 0 && layers.Digest() != want {
		err = errkind.New(errkind.InvalidMap, "map %d has another content than the holder planned", m.GetVersion())
	}
	if err != nil {
		a.knownVersion, a.knownMap = 0, nil
		return nil, err
	}
	a.knownVersion, a.knownMap = m.GetVersion(), layers
	return layers, nil
}

// decodeMap returns the map of an order that has to have one.
func (a *Agent) decodeMap(m *pb.OrderRankRequest) (mapdelta.Map, error) {
	if m.GetHasChanges() {
		return a.applyChanges(m)
	}
	if layers := decodeLayers(m); layers != nil {
		return layers, nil
	}
	return nil, errkind.New(errkind.InvalidMap, "order to prepare map %d has no map", m.GetVersion())
}

// applyChanges returns the map that an order gives as changes of the known one or of the
// initial one.
func (a *Agent) applyChanges(m *pb.OrderRankRequest) (mapdelta.Map, error) {
	base := a.knownMap
	if m.GetBaseVersion() == 0 {
		var err error
		if base, err = mapdelta.Initial(int(m.GetLayers()), int(m.GetRanks()), int(m.GetLayerExperts())); err != nil {
			return nil, err
		}
	} else if m.GetBaseVersion() != a.knownVersion || base.Digest() != m.GetBaseDigest() {
		return nil, errkind.New(errkind.InvalidMap, "got changes of map %d, but the agent has map %d", m.GetBaseVersion(), a.knownVersion)
	}
	changes, err := mapdelta.Unpack(base, m.GetChanges())
	if err != nil {
		return nil, err
	}
	return base.Apply(changes)
}

// recordCall records a call of a holder. It returns false if a newer holder has
// called before. token is 0 for a caller that isn't the holder; its calls are not
// recorded and always allowed.
func (a *Agent) recordCall(now time.Time, token int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if token == 0 {
		return true
	}
	if token < a.callToken {
		return false
	}
	a.callToken, a.calledAt = token, now
	return true
}

// sinceHolderCall returns the time since a holder last called this agent.
func (a *Agent) sinceHolderCall(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.calledAt)
}

// candidate returns the state of this agent as a candidate of the election.
func (a *Agent) candidate() candidate {
	now := clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return candidate{group: a.identity.group, rank: a.identity.rank, sinceLastCall: now.Sub(a.calledAt)}
}

// recordIssuer records the holder that issued an order. It returns false if a newer
// holder has issued orders before. The agent checks this itself, because not all
// backend servers check fencing tokens.
func (a *Agent) recordIssuer(fence int64, holder uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.issuerToken {
		return false
	}
	a.issuerToken, a.issuerRank = fence, holder
	return true
}

// admitOrder reports whether an order may be forwarded to the rank. It records an
// order that cancels a switch. From then on it refuses orders that arm the rank for
// that switch.
func (a *Agent) admitOrder(o switchover.Order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Kind == switchover.Arm {
		return o.Epoch != a.cancelledEpoch || o.Step > a.cancelled.Step
	}
	if o.CancelsStep > 0 && (o.Epoch != a.cancelledEpoch || o.CancelsStep > a.cancelled.Step) {
		a.cancelledEpoch, a.cancelled = o.Epoch, switchover.Cancellation{Step: o.CancelsStep}
		a.log.Info().Int64("epoch", o.Epoch).Int64("step", o.CancelsStep).Int64("version", o.Version).
			Msg("switch cancelled at this rank")
	}
	return true
}

// recordAccepted records that the rank accepted an order that cancels a switch.
func (a *Agent) recordAccepted(o switchover.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.CancelsStep > 0 && o.Epoch == a.cancelledEpoch {
		a.cancelled.Version = max(a.cancelled.Version, o.Version)
	}
}

// addOrderState adds the agent's own state to a response: the newest holders and the
// cancelled switch.
func (a *Agent) addOrderState(r *pb.ReadRankResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Fence, r.Holder, r.Seen = a.issuerToken, a.issuerRank, a.callToken
	r.KnownMap, r.AcceptsChanges = a.knownVersion, true
	if r.GetEpoch() == a.cancelledEpoch {
		r.CancelledStep, r.CancelledVersion = a.cancelled.Step, a.cancelled.Version
	}
}
