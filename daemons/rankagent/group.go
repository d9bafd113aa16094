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
	// agentTimeout bounds a call to an agent, which itself calls its rank.
	agentTimeout = 160 * time.Millisecond
	// refreshInterval is the time between readings of the registered servers,
	// missingRefresh the same while a rank of the group is missing.
	refreshInterval = 15 * time.Second
	missingRefresh  = time.Second
	// reportLag is how old a report is at most that another machine reads from a
	// rank.
	reportLag = 400 * time.Millisecond
)

// peer is another rank of the group.
type peer struct {
	// address is that of the backend server, agent that of the agent beside it.
	address string
	agent   string
	client  filbertmuxv1connect.RankAgentServiceClient
	// rank reaches the rank without its agent. These calls are billed and their
	// answers lag, so they are made only while a group is held.
	rank *platform.RankClient
}

// group reaches the ranks of the group. It belongs to one goroutine.
type group struct {
	agent   *Agent
	store   *platform.StoreClient
	service string
	port    int
	log     zerolog.Logger
	client  *http.Client

	engine *fleet.Engine
	// pauseObjective is the shortest one of the routes to the service, or 0.
	pauseObjective time.Duration
	peers          map[int]peer
	domains        map[int]string
	refreshed      time.Time
	// ordered is when the last order to a rank was sent, by rank.
	ordered map[int]time.Time
}

// reached says how the ranks may be read and ordered.
type reached struct {
	// token is the fencing token of the caller, or 0 if it isn't the holder.
	token int64
	// leaving tells the agents that the holder gives up the duty.
	leaving bool
	// counts asks for the counts of the experts.
	counts bool
	// direct says that ranks whose agents don't answer are called themselves.
	direct bool
	// timeout bounds a call to an agent; 0 takes the usual one.
	timeout time.Duration
	// skip lists the ranks that aren't read, because they didn't answer before.
	skip []int
}

// give sends orders to the ranks at the same time.
func (g *group) give(
	ctx context.Context, c *switchover.Coordinator, orders []switchover.Order, t *experts.Topology, how reached,
) {
	name, _, _ := g.agent.Identity()
	by := c.Issuer()
	replies := make([]*pb.OrderRankResponse, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		request := encodeOrder(name, o, by, how.token, t)
		g.ordered[o.Rank] = clock.Now()
		wg.Go(func() { replies[i] = g.order(ctx, o, request, how) })
	}
	wg.Wait()
	for i, o := range orders {
		switch {
		case replies[i].GetAccepted():
			c.MarkAccepted(o)
		case replies[i].GetFenced():
			g.log.Warn().Int64("token", by.Token).Int("rank", o.Rank).Msg("a newer holder has given orders")
		}
	}
}

// order sends one order; nil stands for an order whose fate is unknown. The next
// reading of the rank tells.
func (g *group) order(
	ctx context.Context, o switchover.Order, request *pb.OrderRankRequest, how reached,
) *pb.OrderRankResponse {
	resp, err := g.send(ctx, o, request, how)
	if err != nil {
		g.log.Info().Err(err).Int("rank", o.Rank).Str("order", o.Kind.String()).Int64("version", o.Version).
			Int64("step", o.Step).Msg("order without an answer")
		return nil
	}
	if !resp.GetAccepted() {
		g.log.Info().Int("rank", o.Rank).Str("order", o.Kind.String()).Int64("version", o.Version).
			Int64("step", o.Step).Bool("fenced", resp.GetFenced()).Msg("order refused")
	}
	return resp
}

func (g *group) send(
	ctx context.Context, o switchover.Order, request *pb.OrderRankRequest, how reached,
) (*pb.OrderRankResponse, error) {
	call, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	if _, own, _ := g.agent.Identity(); own == o.Rank {
		resp, err := g.agent.OrderRank(call, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}
	p, ok := g.peers[o.Rank]
	if !ok {
		return nil, errkind.New(errkind.NoBackendServer, "no agent of rank %d is known", o.Rank)
	}
	// The order to hold doesn't pass the agent beside the rank: a hold that was
	// given on one machine and rests on another outlives neither of them alone.
	if o.Kind != switchover.Hold {
		resp, err := p.client.OrderRank(call, connect.NewRequest(request))
		if err == nil {
			return resp.Msg, nil
		}
		if !how.direct {
			return nil, err
		}
	}
	reply, err := orderRank(ctx, p.rank, o, request.GetFence(), decodeLayers(request))
	if err != nil {
		return nil, err
	}
	return &pb.OrderRankResponse{Accepted: reply.Accepted, Fenced: reply.Fenced}, nil
}

// readAll reads all ranks at the same time. Ranks that don't answer are left out.
func (g *group) readAll(ctx context.Context, how reached) []*pb.ReadRankResponse {
	_, own, size := g.agent.Identity()
	answers := make([]*pb.ReadRankResponse, size)
	var wg sync.WaitGroup
	for rank := range size {
		if slices.Contains(how.skip, rank) {
			continue
		}
		wg.Go(func() {
			r, err := g.read(ctx, rank, own, how)
			if err != nil {
				g.log.Debug().Err(err).Int("rank", rank).Msg("rank not read")
				return
			}
			answers[rank] = r
		})
	}
	wg.Wait()
	return slices.DeleteFunc(answers, func(r *pb.ReadRankResponse) bool { return r == nil })
}

func (g *group) read(ctx context.Context, rank, own int, how reached) (*pb.ReadRankResponse, error) {
	timeout := agentTimeout
	if how.timeout > 0 {
		timeout = how.timeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if rank == own {
		return g.agent.read(call, how.counts)
	}
	p, ok := g.peers[rank]
	if !ok {
		return nil, errkind.New(errkind.NoBackendServer, "no agent of rank %d is known", rank)
	}
	resp, err := p.client.ReadRank(call, connect.NewRequest(&pb.ReadRankRequest{Counts: how.counts, Token: how.token, Leaving: how.leaving}))
	if err != nil && how.direct {
		return g.readDirect(ctx, rank, p)
	}
	if err != nil {
		return nil, err
	}
	name, _, _ := g.agent.Identity()
	if resp.Msg.GetGroup() != name || int(resp.Msg.GetRank()) != rank {
		return nil, errkind.New(errkind.NoBackendServer, "the agent at %s is beside rank %d of %q",
			p.agent, resp.Msg.GetRank(), resp.Msg.GetGroup())
	}
	return resp.Msg, nil
}

// readDirect reads a rank without its agent. The report lags, so it says nothing
// about an order that was sent shortly before.
func (g *group) readDirect(ctx context.Context, rank int, p peer) (*pb.ReadRankResponse, error) {
	if age := clock.Now().Sub(g.ordered[rank]); age < reportLag {
		return nil, errkind.New(errkind.StaleCounts, "rank %d was given an order %s ago", rank, age)
	}
	s, err := p.rank.State(ctx)
	if err != nil {
		return nil, err
	}
	name, _, _ := g.agent.Identity()
	if s.Group != name || s.Report.Rank != rank {
		return nil, errkind.New(errkind.NoBackendServer, "rank %d of %q is at %s", s.Report.Rank, s.Group, p.address)
	}
	r := encodeState(s)
	_, layers, err := p.rank.Experts(ctx)
	if err != nil {
		return nil, err
	}
	for _, l := range layers {
		r.Experts = append(r.Experts, &pb.RankExperts{Experts: l})
	}
	return r, nil
}

// merge returns the map in force if all ranks were read.
func (g *group) merge(t *experts.Topology, responses []*pb.ReadRankResponse) (*experts.Map, error) {
	if _, _, size := g.agent.Identity(); len(responses) != size {
		return nil, errkind.New(errkind.BackendUnavailable, "%d of %d ranks answered", len(responses), size)
	}
	if !sameMap(responses) {
		// The ranks were read while they went from one map to the next. The
		// coordinator waits, and uses no map.
		return &experts.Map{}, nil
	}
	return mapInForce(t, g.engine.Experts.LayerSets, responses)
}

func sameMap(responses []*pb.ReadRankResponse) bool {
	for _, r := range responses {
		if r.GetInForce() != responses[0].GetInForce() || r.GetEpoch() != responses[0].GetEpoch() {
			return false
		}
	}
	return true
}

func (g *group) domainList() []string {
	_, _, size := g.agent.Identity()
	list := make([]string, size)
	for rank := range list {
		list[rank] = g.domains[rank]
	}
	return list
}

// complete reports whether the engine and all ranks of the group are known. Ranks
// register one after the other when a deployment starts.
func (g *group) complete() bool {
	_, _, size := g.agent.Identity()
	return g.engine != nil && size > 0 && len(g.domains) >= size
}

// refresh reads the members of the group and the engine from the store.
func (g *group) refresh(ctx context.Context, missing bool) error {
	interval := refreshInterval
	if !g.complete() || missing {
		interval = missingRefresh
	}
	now := clock.Now()
	if !g.refreshed.IsZero() && now.Sub(g.refreshed) < interval {
		return nil
	}
	g.refreshed = now
	if g.engine == nil {
		if err := g.readEngine(ctx); err != nil {
			return err
		}
	}
	return g.readPeers(ctx)
}

func (g *group) readEngine(ctx context.Context) error {
	records, _, err := g.store.ReadNewest(ctx, platform.ConfigTopic)
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
		g.engine = c.Services[g.service].Engine
		g.pauseObjective = c.EventGapObjective(g.service)
	}
	return nil
}

func (g *group) readPeers(ctx context.Context) error {
	records, _, err := g.store.ReadNewest(ctx, platform.ServerTopic)
	if err != nil {
		return err
	}
	name, own, _ := g.agent.Identity()
	for _, r := range records {
		s, err := platform.DecodeServer(r.Key, r.Value)
		if err != nil || s.Group != name || s.Service != g.service {
			continue // not a rank of this group
		}
		g.domains[s.Rank] = s.FailureDomain
		if s.Rank != own {
			g.addPeer(s)
		}
	}
	return nil
}

func (g *group) addPeer(s *fleet.Server) {
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return // checked when the entry was decoded
	}
	address := net.JoinHostPort(host, strconv.Itoa(g.port))
	if p := g.peers[s.Rank]; p.agent == address && p.address == s.Address {
		return
	}
	g.peers[s.Rank] = peer{
		address: s.Address,
		agent:   address,
		client:  filbertmuxv1connect.NewRankAgentServiceClient(g.client, "http://"+address),
		rank:    platform.NewRankClient(s.Address),
	}
}
