package rankagent

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/daemons/rankagent/agentconn"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/platform"
)

// earlierBuildInterval is the time for which an agent that serves no connections for calls
// isn't asked again whether it does.
const earlierBuildInterval = 30 * time.Second

// peer is another rank of the group. It is safe for concurrent use.
type peer struct {
	// address is the address of the backend server.
	address string
	// agent is the address of the rank's agent.
	agent string
	// calls calls the agent, and service an agent of an earlier build.
	calls   *agentconn.Client
	service filbertmuxv1connect.RankAgentServiceClient
	// serviceUntil is the time in Unix nanoseconds until which service is used.
	serviceUntil atomic.Int64
	// rank calls the rank directly, without its agent. These calls are billed and
	// their responses lag, so they are made only while the group may be held.
	rank *platform.RankClient
}

// read reads the rank through its agent.
func (p *peer) read(ctx context.Context, m *pb.ReadRankRequest) (*pb.ReadRankResponse, error) {
	if !p.isEarlierBuild() {
		r, err := p.calls.Read(ctx, m)
		if !p.recordEarlierBuild(err) {
			return r, err
		}
	}
	resp, err := p.service.ReadRank(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// order sends an order to the rank through its agent.
func (p *peer) order(ctx context.Context, m *pb.OrderRankRequest) (*pb.OrderRankResponse, error) {
	if !p.isEarlierBuild() {
		r, err := p.calls.Order(ctx, m)
		if !p.recordEarlierBuild(err) {
			return r, err
		}
	}
	resp, err := p.service.OrderRank(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (p *peer) isEarlierBuild() bool { return clock.Now().UnixNano() < p.serviceUntil.Load() }

// recordEarlierBuild reports whether a call failed because the agent runs an earlier build.
func (p *peer) recordEarlierBuild(err error) bool {
	if !errors.Is(err, agentconn.ErrNotServed) {
		return false
	}
	p.serviceUntil.Store(clock.Now().Add(earlierBuildInterval).UnixNano())
	return true
}
