package rankagent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/rankagent/agentconn"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/linkbudget"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const (
	// agentTimeout bounds a call to an agent. It covers the agent's call to its rank.
	agentTimeout = 160 * time.Millisecond
	// prepareTimeout bounds an order with a map. The group isn't held yet, and the orders to
	// all ranks of a large group take the link for longer than agentTimeout.
	prepareTimeout = 320 * time.Millisecond
	// refreshInterval is the time between two readings of the registered servers.
	// It is incompleteRefreshInterval while a rank of the group is missing.
	refreshInterval           = 15 * time.Second
	incompleteRefreshInterval = time.Second
	// reportLag is the maximum age of a report that is read from another instance.
	reportLag = 400 * time.Millisecond
)

// groupClient calls the ranks of the group, through their agents or directly. It is
// not safe for concurrent use.
type groupClient struct {
	agent   *Agent
	store   *platform.StoreClient
	service string
	port    int
	log     zerolog.Logger
	// dial opens connections to other agents, and client calls those of earlier builds.
	dial   agentconn.Dial
	client *http.Client
	link   linkbudget.Link
	maps   *mapSender
	view   *mapView

	engine *fleet.Engine
	// eventGapObjective is the shortest objective for the time between two events of a
	// stream among the routes to the service, or 0.
	eventGapObjective time.Duration
	// refusedConfig is the offset of the configuration whose fault was logged last, or nil.
	refusedConfig *int64
	// registered are the backend servers of all services.
	registered  fleet.Servers
	peers       map[int]*peer
	domains     map[int]string
	refreshedAt time.Time
	// lastOrderAt is the time when the last order was sent, by rank.
	lastOrderAt map[int]time.Time
}

// callOptions controls how ranks are read and how orders are sent to them.
type callOptions struct {
	// token is the fencing token of the caller, or 0 if it isn't the holder.
	token int64
	// leaving tells the agents that the holder gives up its role.
	leaving bool
	// counts selects, by rank, the ranks whose expert counts are read. nil selects none.
	counts []bool
	// direct calls a rank directly if its agent doesn't respond.
	direct bool
	// timeout bounds the reading of a rank through its agent; 0 means agentTimeout.
	timeout time.Duration
	// skip lists the ranks that aren't read, because they did not respond before, and
	// only the ranks that are; nil stands for all.
	skip, only []int
}

// reads reports whether a rank is read.
func (o callOptions) reads(rank int) bool {
	return !slices.Contains(o.skip, rank) && (o.only == nil || slices.Contains(o.only, rank))
}

// readsCounts reports whether the expert counts of a rank are read.
func (o callOptions) readsCounts(rank int) bool { return rank < len(o.counts) && o.counts[rank] }

// outgoingOrder is an order with its message for an agent.
type outgoingOrder struct {
	switchover.Order
	request *pb.OrderRankRequest
	// layers is the whole map of the order, or nil. The message may hold only changes.
	layers mapdelta.Map
}

// encodeOrders converts orders to messages. It returns as many orders with a map as the
// link carries in time; the coordinator issues the others again.
func (g *groupClient) encodeOrders(
	orders []switchover.Order, issuer switchover.Holder, token int64, t *experts.Topology,
) []outgoingOrder {
	name, _, _ := g.agent.Identity()
	var layers mapdelta.Map
	out := make([]outgoingOrder, 0, len(orders))
	sizes := make([]int, 0, len(orders))
	for _, o := range orders {
		e := outgoingOrder{Order: o, request: encodeOrder(name, o, issuer, token)}
		if o.Map != nil {
			layers = g.maps.lists(t, o.Version, o.Map)
			e.layers = layers
			g.maps.encode(e.request, o.Rank, o.Version)
		}
		out = append(out, e)
		sizes = append(sizes, proto.Size(e.request))
	}
	if layers == nil {
		return out
	}
	return out[:g.link.Orders(prepareTimeout, sizes)]
}

// sendOrders sends orders to the ranks concurrently.
func (g *groupClient) sendOrders(
	ctx context.Context, c *switchover.Coordinator, orders []switchover.Order, t *experts.Topology, opts callOptions,
) {
	issuer := c.Issuer()
	outgoing := g.encodeOrders(orders, issuer, opts.token, t)
	replies := make([]*pb.OrderRankResponse, len(outgoing))
	var wg sync.WaitGroup
	for i, o := range outgoing {
		g.lastOrderAt[o.Rank] = clock.Now()
		wg.Go(func() { replies[i] = g.sendOrder(ctx, o, opts) })
	}
	wg.Wait()
	for i, o := range outgoing {
		switch {
		case replies[i].GetAccepted():
			c.MarkAccepted(o.Order)
		case replies[i].GetFenced():
			g.log.Warn().Int64("token", issuer.Token).Int("rank", o.Rank).Msg("order refused because a newer holder has issued orders")
		}
	}
}

// sendOrder sends one order. It returns nil if the outcome is unknown; the next
// report of the rank shows it.
func (g *groupClient) sendOrder(ctx context.Context, o outgoingOrder, opts callOptions) *pb.OrderRankResponse {
	resp, err := g.routeOrder(ctx, o, opts)
	if err != nil {
		g.log.Info().Err(err).Int("rank", o.Rank).Str("order", o.Kind.String()).Int64("version", o.Version).
			Int64("step", o.Step).Msg("order got no response; its outcome is unknown")
		return nil
	}
	if !resp.GetAccepted() {
		g.log.Info().Int("rank", o.Rank).Str("order", o.Kind.String()).Int64("version", o.Version).
			Int64("step", o.Step).Bool("fenced", resp.GetFenced()).Msg("order refused")
	}
	return resp
}

// routeOrder sends an order to the own rank through the local agent, and to another
// rank through its agent or directly.
func (g *groupClient) routeOrder(ctx context.Context, o outgoingOrder, opts callOptions) (*pb.OrderRankResponse, error) {
	timeout := agentTimeout
	if o.layers != nil {
		timeout = prepareTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, own, _ := g.agent.Identity(); own == o.Rank {
		return g.agent.Order(call, o.request)
	}
	p, ok := g.peers[o.Rank]
	if !ok {
		return nil, errkind.New(errkind.NoBackendServer, "no agent of rank %d is known", o.Rank)
	}
	// A hold order is sent to the rank directly, not through its agent. The hold then
	// depends only on the instances of the holder and of the rank, and the loss of
	// either one alone can't leave it in place.
	if o.Kind != switchover.Hold {
		resp, err := p.order(call, o.request)
		if err == nil || !opts.direct {
			return resp, err
		}
	}
	reply, err := orderRank(ctx, p.rank, o.Order, o.request.GetFence(), o.layers)
	if err != nil {
		return nil, err
	}
	return &pb.OrderRankResponse{Accepted: reply.Accepted, Fenced: reply.Fenced}, nil
}

// readAll reads all ranks concurrently. It leaves out the ranks that don't respond.
func (g *groupClient) readAll(ctx context.Context, opts callOptions) []*pb.ReadRankResponse {
	_, own, size := g.agent.Identity()
	responses := make([]*pb.ReadRankResponse, size)
	var wg sync.WaitGroup
	for rank := range size {
		if !opts.reads(rank) {
			continue
		}
		wg.Go(func() {
			r, err := g.read(ctx, rank, own, opts)
			if err != nil {
				g.log.Debug().Err(err).Int("rank", rank).Msg("cannot read the state of the rank")
				return
			}
			responses[rank] = r
		})
	}
	wg.Wait()
	responses = slices.DeleteFunc(responses, func(r *pb.ReadRankResponse) bool { return r == nil })
	responses = g.view.complete(responses)
	g.maps.observe(responses)
	return responses
}

func (g *groupClient) read(ctx context.Context, rank, own int, opts callOptions) (*pb.ReadRankResponse, error) {
	timeout := agentTimeout
	if opts.timeout > 0 {
		timeout = opts.timeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &pb.ReadRankRequest{
		Counts: opts.readsCounts(rank), Token: opts.token, Leaving: opts.leaving, KnownExperts: g.view.known(rank),
	}
	if rank == own {
		resp, err := g.agent.read(call, request)
		return g.checkRank(resp, err, rank, "this instance")
	}
	p, ok := g.peers[rank]
	if !ok {
		return nil, errkind.New(errkind.NoBackendServer, "no agent of rank %d is known", rank)
	}
	resp, err := p.read(call, request)
	if err != nil && opts.direct {
		return g.readDirect(ctx, rank, p)
	}
	return g.checkRank(resp, err, rank, p.agent)
}

// checkRank returns the response of the agent at an address, or an error if the agent serves
// another rank than expected: ranks are restarted in other groups and places.
func (g *groupClient) checkRank(r *pb.ReadRankResponse, err error, rank int, address string) (*pb.ReadRankResponse, error) {
	if err != nil {
		return nil, err
	}
	name, _, _ := g.agent.Identity()
	if r.GetGroup() != name || int(r.GetRank()) != rank {
		return nil, errkind.New(errkind.NoBackendServer, "the agent at %s serves rank %d of group %q",
			address, r.GetRank(), r.GetGroup())
	}
	return r, nil
}

// readDirect reads a rank without its agent. Its report lags, so it may lack the effect
// of an order that was sent less than reportLag before. readDirect then returns an
// error.
func (g *groupClient) readDirect(ctx context.Context, rank int, p *peer) (*pb.ReadRankResponse, error) {
	if age := clock.Now().Sub(g.lastOrderAt[rank]); age < reportLag {
		return nil, errkind.New(errkind.StaleCounts, "the report of rank %d may predate an order sent %s ago", rank, age)
	}
	s, err := p.rank.State(ctx)
	if err != nil {
		return nil, err
	}
	name, _, _ := g.agent.Identity()
	if s.Group != name || s.Report.Rank != rank {
		return nil, errkind.New(errkind.NoBackendServer, "expected another rank, found rank %d of group %q at %s", s.Report.Rank, s.Group, p.address)
	}
	r := encodeState(s)
	_, layers, err := p.rank.Experts(ctx)
	if err != nil {
		return nil, err
	}
	r.Experts = encodeExperts(layers)
	return r, nil
}

// currentMap returns the map in force if all ranks were read. The size of the group is 0 while
// the own rank belongs to none.
func (g *groupClient) currentMap(t *experts.Topology, responses []*pb.ReadRankResponse) (*experts.Map, error) {
	if _, _, size := g.agent.Identity(); size == 0 || len(responses) != size {
		return nil, errkind.New(errkind.BackendUnavailable, "only %d of %d ranks responded", len(responses), size)
	}
	if !sameMapInForce(responses) {
		// The ranks were read while they switched maps. The coordinator waits in this
		// case and doesn't use the map.
		return &experts.Map{}, nil
	}
	return g.view.inForce(t, g.engine.Experts.LayerSets, responses)
}

// sameMapInForce reports whether all ranks use one map version in one epoch.
func sameMapInForce(responses []*pb.ReadRankResponse) bool {
	for _, r := range responses {
		if r.GetInForce() != responses[0].GetInForce() || r.GetEpoch() != responses[0].GetEpoch() {
			return false
		}
	}
	return true
}
