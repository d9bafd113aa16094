package rankagent

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/rankagent/agentconn"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// failureDomains returns the failure domain of each rank.
func (g *groupClient) failureDomains() []string {
	_, _, size := g.agent.Identity()
	list := make([]string, size)
	for rank := range list {
		list[rank] = g.domains[rank]
	}
	return list
}

// membersKnown reports whether the engine and all ranks of the group are known.
// Ranks register one by one when a deployment starts.
func (g *groupClient) membersKnown() bool {
	_, _, size := g.agent.Identity()
	return g.engine != nil && size > 0 && len(g.domains) >= size
}

// refresh reads the members of the group and the engine from the store, unless they
// were read within the refresh interval. missing reports that a rank could not be
// read, which shortens the interval.
func (g *groupClient) refresh(ctx context.Context, missing bool) error {
	interval := refreshInterval
	if !g.membersKnown() || missing {
		interval = incompleteRefreshInterval
	}
	now := clock.Now()
	if !g.refreshedAt.IsZero() && now.Sub(g.refreshedAt) < interval {
		return nil
	}
	g.refreshedAt = now
	if g.engine == nil {
		if err := g.readEngine(ctx); err != nil {
			return err
		}
	}
	return g.readPeers(ctx)
}

func (g *groupClient) readEngine(ctx context.Context) error {
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
			g.logConfigFault(err, r.Offset)
			return err
		}
		g.engine = g.plannableEngine(c.Services[g.service].Engine)
		g.eventGapObjective = c.EventGapObjective(g.service)
	}
	return nil
}

// logConfigFault logs that no map can be planned because of the configuration, once for
// each record.
func (g *groupClient) logConfigFault(err error, offset int64) {
	if g.refusedConfig != nil && *g.refusedConfig == offset {
		return
	}
	g.refusedConfig = &offset
	g.log.Error().Err(err).Int64("offset", offset).Msg("configuration can't be decoded or served; planning no expert maps")
}

// plannableEngine returns the engine without its expert maps if these are larger than the
// planner carries. The group then keeps its initial map.
func (g *groupClient) plannableEngine(engine *fleet.Engine) *fleet.Engine {
	if engine == nil || engine.Experts == nil {
		return engine
	}
	e := engine.Experts
	err := experts.CheckSizes(e.LayerSets, e.ExpertsPerLayer, e.SlotsPerRank)
	if err == nil {
		return engine
	}
	g.log.Error().Err(err).Str("service", g.service).Msg("the experts of the service exceed what can be planned; the group keeps its initial map")
	limited := *engine
	limited.Experts = nil
	return &limited
}

func (g *groupClient) readPeers(ctx context.Context) error {
	records, _, err := g.store.ReadNewest(ctx, platform.ServerTopic)
	if err != nil {
		return err
	}
	g.applyRegistrations(records, clock.Now())
	name, own, size := g.agent.Identity()
	for _, id := range g.registered.IDs() {
		s, _ := g.registered.Get(id)
		if s.Group != name || s.Service != g.service || s.Rank >= size {
			continue // not a rank of this group
		}
		g.domains[s.Rank] = s.FailureDomain
		if s.Rank != own {
			g.addPeer(&s)
		}
	}
	return nil
}

// applyRegistrations replaces the registrations by those of the store, except that an older
// one of a server doesn't replace a later one.
func (g *groupClient) applyRegistrations(records []platform.KeyedRecord, now time.Time) {
	var listed []fleet.ServerChange
	for _, r := range records {
		s, err := decodeRank(r)
		if err != nil {
			g.log.Debug().Err(err).Str("server", r.Key).Msg("registration of a backend server can't be decoded; ignoring it")
			continue
		}
		listed = append(listed, fleet.ServerChange{ID: r.Key, Server: s, Offset: r.Offset, ReadAt: now})
	}
	g.registered.Apply(g.registered.Missing(listed, now))
	g.registered.Apply(listed)
}

func decodeRank(r platform.KeyedRecord) (*fleet.Server, error) {
	if r.Err != nil {
		return nil, r.Err
	}
	return platform.DecodeServer(r.Key, r.Value)
}

func (g *groupClient) addPeer(s *fleet.Server) {
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return // can't happen: DecodeServer has checked the address
	}
	address := net.JoinHostPort(host, strconv.Itoa(g.port))
	if p := g.peers[s.Rank]; p != nil {
		if p.agent == address && p.address == s.Address {
			return
		}
		p.calls.Close()
	}
	g.peers[s.Rank] = &peer{
		address: s.Address,
		agent:   address,
		calls:   agentconn.NewClient(address, g.dial),
		service: filbertmuxv1connect.NewRankAgentServiceClient(g.client, "http://"+address),
		rank:    platform.NewRankClient(s.Address),
	}
}
