package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/entry/servers"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// connectionObserver receives what a transfer observes of its sidecar.
type connectionObserver interface {
	chunkReceived(c *pb.Chunk)
	connectionLost(ctx context.Context, cause error)
	connectionSilent()
}

// serverObserver records the observations of one attempt as passive health checks
// and load reports of its backend server.
type serverObserver struct {
	servers  *servers.Servers
	table    tableSource
	retries  *retryBudgets
	instance infra.Instance
	sent     time.Time
}

// chunkReceived records that the sidecar responded. A heartbeat proves that the
// sidecar is alive when the heartbeat arrives. Any other chunk may have waited in a
// buffer while the sidecar crashed, so it only proves that the sidecar was alive
// when the call was sent.
func (o *serverObserver) chunkReceived(c *pb.Chunk) {
	o.table.Learn(infra.Offset(c.GetTableOffset()))
	if c.GetLoad() == nil {
		return
	}
	if c.GetLoad().GetOverloaded() {
		o.retries.recordOverload(o.instance.Service)
	}
	sent := o.sent
	if c.GetHeartbeat() != nil {
		sent = time.Now()
	}
	o.servers.RecordResponse(o.instance, sent, c.GetLoad(), routing.Reported)
}

// connectionLost records a connection that ended before the end of the response. An
// error that the sidecar itself sent is not recorded as a connection failure,
// because it shows that the sidecar is alive.
func (o *serverObserver) connectionLost(ctx context.Context, cause error) {
	if cause == nil || ctx.Err() != nil || connect.IsWireError(cause) {
		return
	}
	o.servers.RecordConnectionFailure(o.instance, o.sent, false)
}

// connectionSilent records a connection on which neither chunks nor heartbeats
// arrive.
func (o *serverObserver) connectionSilent() {
	o.servers.RecordConnectionFailure(o.instance, o.sent, true)
}
