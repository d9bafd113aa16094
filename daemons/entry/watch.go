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

// signals takes what a transfer sees of its sidecar.
type signals interface {
	chunk(c *pb.Chunk)
	broken(ctx context.Context, cause error)
	silent()
}

// watch passes the signals of one attempt to the view of the backend servers.
type watch struct {
	servers  *servers.Servers
	table    tableSource
	retries  *retries
	instance infra.Instance
	sent     time.Time
}

// chunk takes a sign of life. Data may have waited in a buffer since the
// sidecar died, so it counts from the time of the call.
func (w *watch) chunk(c *pb.Chunk) {
	w.table.Learn(infra.Offset(c.GetTableOffset()))
	if c.GetLoad() == nil {
		return
	}
	if c.GetLoad().GetOverloaded() {
		w.retries.overloaded(w.instance.Service)
	}
	sent := w.sent
	if c.GetHeartbeat() != nil {
		sent = time.Now()
	}
	w.servers.RecordResponse(w.instance, sent, c.GetLoad(), routing.Reported)
}

// broken takes the end of a connection ahead of the end of the answer. An error
// that the sidecar sent shows that it lives.
func (w *watch) broken(ctx context.Context, cause error) {
	if cause == nil || ctx.Err() != nil || connect.IsWireError(cause) {
		return
	}
	w.servers.RecordConnectionFailure(w.instance, w.sent, false)
}

// silent takes a connection on which neither chunks nor heartbeats arrive.
func (w *watch) silent() { w.servers.RecordConnectionFailure(w.instance, w.sent, true) }
