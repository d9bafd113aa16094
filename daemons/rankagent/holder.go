package rankagent

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// idleInterval is the time between readings of the ranks without a switch.
	idleInterval = 250 * time.Millisecond
	// copyInterval is the same while ranks copy experts, switchInterval during
	// a switch, when the group may be held.
	copyInterval   = 60 * time.Millisecond
	switchInterval = 8 * time.Millisecond
	// blindInterval is the same while ranks can't be read.
	blindInterval = 150 * time.Millisecond
	// standbyInterval is how often an agent that isn't the holder looks whether
	// it is.
	standbyInterval = 200 * time.Millisecond
	// agentTimeout bounds a call to an agent, which itself calls its rank.
	agentTimeout = 160 * time.Millisecond
	// leadSteps is how far ahead of the newest step the group is held. The
	// orders to arm all ranks take less than the time of these steps.
	leadSteps = 2
	// prepareTimeout bounds the copying of experts: 12 experts of 780 MB take
	// 1.7 s over the usual link.
	prepareTimeout = 6 * time.Second
	// refreshInterval is the time between readings of the registered servers
	// and the configuration by the holder.
	refreshInterval = 10 * time.Second
	// missingRefresh is the same while a rank of the group is missing.
	missingRefresh = time.Second
	// versionsPerToken is the number of map versions that a holder may issue,
	// so that versions grow from holder to holder.
	versionsPerToken = 1_000_000
	// versionGap is left to the versions that the ranks report when a tenure
	// begins. An agent that restarted may have the token of its former process,
	// and a version that is being copied isn't reported.
	versionGap = 1000
)

// peer is the agent beside another rank.
type peer struct {
	address string
	client  filbertmuxv1connect.RankAgentServiceClient
}

// holder leads the group while this agent has the duty. It belongs to one
// goroutine.
type holder struct {
	agent    *Agent
	election *election
	store    *platform.Store
	service  string
	port     int
	log      zerolog.Logger
	client   *http.Client

	token int64
	// version is the last one that was issued, or the base of the first one.
	version int64
	// based says that version lies above those that the ranks report.
	based       bool
	coordinator *switchover.Coordinator
	planner     *planner
	engine      *fleet.Engine
	peers       map[int]peer
	domains     map[int]string
	refreshed   time.Time
	began       time.Time
	moves       int
	phase       switchover.Phase
}

// run leads the group until ctx ends.
func (h *holder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		token, ok := h.election.token(clock.Now())
		if !ok {
			h.token = 0
			sleep(ctx, standbyInterval)
			continue
		}
		if token != h.token {
			h.begin(token)
		}
		sleep(ctx, h.round(ctx))
	}
	return nil
}

// begin starts a tenure. The counts that were seen before stay of use.
func (h *holder) begin(token int64) {
	_, own, size := h.agent.Identity()
	h.token, h.version = token, token*versionsPerToken
	h.based = false
	h.coordinator = switchover.New(switchover.Config{Own: own, Ranks: size, Lead: leadSteps})
	h.refreshed = time.Time{}
	h.phase = switchover.Blind
}

// round reads the ranks, gives the orders that follow and returns the time to
// the next round.
func (h *holder) round(ctx context.Context) time.Duration {
	if err := h.refresh(ctx); err != nil {
		h.log.Debug().Err(err).Msg("members of the group not read")
	}
	if h.engine == nil || h.engine.Experts == nil {
		return blindInterval
	}
	idle := h.phase == switchover.Idle || h.phase == switchover.Blind
	responses := h.readAll(ctx, idle)
	t := topology(h.engine.Experts, h.domainList())
	if len(responses) == t.Ranks() {
		t.Pace = paces(responses)
	}
	inForce, err := h.merge(t, responses)
	if err != nil {
		h.log.Debug().Err(err).Msg("ranks not read")
		h.phase = switchover.Blind
		return blindInterval
	}
	reports := make([]switchover.Report, 0, len(responses))
	for _, r := range responses {
		reports = append(reports, decodeReport(r))
	}
	h.raiseVersion(reports)
	orders := h.coordinator.Next(reports, inForce, h.version+1)
	h.notePhase()
	h.give(ctx, orders, t)
	if h.phase == switchover.Idle && idle {
		h.plan(responses, t, inForce)
	}
	return h.pause()
}

// pause is the time to the next round.
func (h *holder) pause() time.Duration {
	switch h.phase {
	case switchover.Preparing:
		if clock.Now().Sub(h.began) > prepareTimeout {
			h.log.Warn().Msg("experts not copied in time; the plan is given up")
			h.coordinator.Abandon()
			h.began = clock.Now()
		}
		return copyInterval
	case switchover.Holding, switchover.Arming, switchover.Switching:
		return switchInterval
	case switchover.Blind:
		return blindInterval
	default:
		return idleInterval
	}
}

// notePhase logs the begin and the end of a switch.
func (h *holder) notePhase() {
	now := h.coordinator.Phase()
	if now == h.phase {
		return
	}
	if h.phase == switchover.Switching && now == switchover.Idle {
		h.log.Info().Int64("token", h.token).Int("moves", h.moves).Dur("took_ms", clock.Now().Sub(h.began)).
			Msg("expert map switched")
	}
	h.phase = now
}

// raiseVersion keeps the versions of this tenure above all that the ranks had.
func (h *holder) raiseVersion(reports []switchover.Report) {
	newest := int64(0)
	for _, r := range reports {
		newest = max(newest, r.InForce, r.Prepared)
		if r.Armed != nil {
			newest = max(newest, r.Armed.Version)
		}
	}
	if !h.based {
		h.based = true
		newest += versionGap
	}
	h.version = max(h.version, newest)
}

// plan submits a map if one is worth it.
func (h *holder) plan(responses []*pb.ReadRankResponse, t *experts.Topology, inForce *experts.Map) {
	now := clock.Now()
	if err := h.planner.observe(now, h.engine.Experts, responses); err != nil {
		h.log.Warn().Err(err).Msg("counts not usable")
		return
	}
	d, err := h.planner.decide(now, h.engine, t, inForce)
	if err != nil {
		h.log.Warn().Err(err).Msg("no plan")
		return
	}
	if !d.Rebalance {
		return
	}
	version := h.version + 1
	if !h.coordinator.Submit(version, &d.Target) {
		return
	}
	h.version = version
	h.began, h.moves = now, len(d.Moves)
	h.phase = switchover.Preparing
	h.log.Info().Int64("token", h.token).Int64("version", version).Int("moves", len(d.Moves)).
		Dur("saved_ms", d.Saved).Dur("cost_ms", d.Cost).Msg("expert map planned")
}

// give sends orders to the ranks at the same time.
func (h *holder) give(ctx context.Context, orders []switchover.Order, t *experts.Topology) {
	if len(orders) == 0 {
		return
	}
	for _, o := range orders {
		h.version = max(h.version, o.Version)
	}
	if _, ok := h.election.token(clock.Now()); !ok {
		return
	}
	group, _, _ := h.agent.Identity()
	replies := make([]*pb.OrderRankResponse, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		request := encodeOrder(group, o, h.token, t)
		wg.Go(func() { replies[i] = h.order(ctx, o, request) })
	}
	wg.Wait()
	for i, o := range orders {
		switch {
		case replies[i].GetAccepted():
			h.coordinator.Accepted(o)
		case replies[i].GetFenced():
			h.log.Warn().Int64("token", h.token).Int("rank", o.Rank).Msg("a newer holder has given orders")
		}
	}
}

// order sends one order; nil stands for an order whose fate is unknown. The next
// reading of the rank tells.
func (h *holder) order(ctx context.Context, o switchover.Order, request *pb.OrderRankRequest) *pb.OrderRankResponse {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	var resp *connect.Response[pb.OrderRankResponse]
	var err error
	if _, own, _ := h.agent.Identity(); own == o.Rank {
		resp, err = h.agent.OrderRank(ctx, connect.NewRequest(request))
	} else if p, ok := h.peers[o.Rank]; ok {
		resp, err = p.client.OrderRank(ctx, connect.NewRequest(request))
	} else {
		err = errkind.New(errkind.NoBackendServer, "no agent of rank %d is known", o.Rank)
	}
	if err != nil {
		h.log.Info().Err(err).Int("rank", o.Rank).Str("order", o.Kind.String()).Int64("version", o.Version).
			Int64("step", o.Step).Msg("order without an answer")
		return nil
	}
	if !resp.Msg.GetAccepted() {
		h.log.Info().Int("rank", o.Rank).Str("order", o.Kind.String()).Int64("version", o.Version).
			Int64("step", o.Step).Bool("fenced", resp.Msg.GetFenced()).Msg("order refused")
	}
	return resp.Msg
}

// readAll reads all ranks at the same time. Ranks that don't answer are left out.
func (h *holder) readAll(ctx context.Context, counts bool) []*pb.ReadRankResponse {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	_, own, size := h.agent.Identity()
	answers := make([]*pb.ReadRankResponse, size)
	var wg sync.WaitGroup
	for rank := range size {
		wg.Go(func() {
			r, err := h.read(ctx, rank, own, counts)
			if err != nil {
				h.log.Debug().Err(err).Int("rank", rank).Msg("rank not read")
				return
			}
			answers[rank] = r
		})
	}
	wg.Wait()
	return slices.DeleteFunc(answers, func(r *pb.ReadRankResponse) bool { return r == nil })
}

func (h *holder) read(ctx context.Context, rank, own int, counts bool) (*pb.ReadRankResponse, error) {
	if rank == own {
		return h.agent.read(ctx, counts)
	}
	p, ok := h.peers[rank]
	if !ok {
		return nil, errkind.New(errkind.NoBackendServer, "no agent of rank %d is known", rank)
	}
	resp, err := p.client.ReadRank(ctx, connect.NewRequest(&pb.ReadRankRequest{Counts: counts}))
	if err != nil {
		return nil, err
	}
	group, _, _ := h.agent.Identity()
	if resp.Msg.GetGroup() != group || int(resp.Msg.GetRank()) != rank {
		return nil, errkind.New(errkind.NoBackendServer, "the agent at %s is beside rank %d of %q",
			p.address, resp.Msg.GetRank(), resp.Msg.GetGroup())
	}
	return resp.Msg, nil
}

// merge returns the map in force if all ranks were read.
func (h *holder) merge(t *experts.Topology, responses []*pb.ReadRankResponse) (*experts.Map, error) {
	if _, _, size := h.agent.Identity(); len(responses) != size {
		return nil, errkind.New(errkind.BackendUnavailable, "%d of %d ranks answered", len(responses), size)
	}
	for _, r := range responses {
		if r.GetInForce() != responses[0].GetInForce() || r.GetEpoch() != responses[0].GetEpoch() {
			// The ranks were read while they went from one map to the next. The
			// coordinator waits, and uses no map.
			return &experts.Map{}, nil
		}
	}
	return mapInForce(t, h.engine.Experts.Layers, responses)
}

func (h *holder) domainList() []string {
	_, _, size := h.agent.Identity()
	list := make([]string, size)
	for rank := range list {
		list[rank] = h.domains[rank]
	}
	return list
}

// refresh reads the members of the group and the engine from the store.
func (h *holder) refresh(ctx context.Context) error {
	interval := refreshInterval
	_, _, size := h.agent.Identity()
	if len(h.domains) < size || h.engine == nil || h.phase == switchover.Blind {
		interval = missingRefresh
	}
	now := clock.Now()
	if !h.refreshed.IsZero() && now.Sub(h.refreshed) < interval {
		return nil
	}
	h.refreshed = now
	if h.engine == nil {
		if err := h.readEngine(ctx); err != nil {
			return err
		}
	}
	return h.readPeers(ctx)
}

func (h *holder) readEngine(ctx context.Context) error {
	records, _, err := h.store.Newest(ctx, platform.ConfigTopic)
	if err != nil {
		return err
	}
	for _, r := range records {
		if r.Key != platform.ConfigKey {
			continue
		}
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			return err
		}
		h.engine = c.Services[h.service].Engine
	}
	return nil
}

func (h *holder) readPeers(ctx context.Context) error {
	records, _, err := h.store.Newest(ctx, platform.ServerTopic)
	if err != nil {
		return err
	}
	group, own, _ := h.agent.Identity()
	for _, r := range records {
		s, err := platform.DecodeServer(r.Key, r.Value)
		if err != nil || s.Group != group || s.Service != h.service {
			continue // not a rank of this group
		}
		h.domains[s.Rank] = s.FailureDomain
		if s.Rank != own {
			h.addPeer(s)
		}
	}
	return nil
}

func (h *holder) addPeer(s *fleet.Server) {
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return // checked when the entry was decoded
	}
	address := net.JoinHostPort(host, strconv.Itoa(h.port))
	if h.peers[s.Rank].address == address {
		return
	}
	h.peers[s.Rank] = peer{
		address: address,
		client:  filbertmuxv1connect.NewRankAgentServiceClient(h.client, "http://"+address),
	}
}
