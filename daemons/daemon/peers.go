package daemon

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/tablesync"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
)

// peerIdleTimeout is short because a process rarely calls the same peer twice.
const peerIdleTimeout = 5 * time.Second

// peers lists the processes that can serve the table while the log is
// unavailable. It is safe for concurrent use.
type peers struct {
	instances *InstanceWatcher
	ownID     string // instance id of this process
	client    *http.Client
}

func newPeers(instances *InstanceWatcher, ownID, token string) *peers {
	transport := &http.Transport{IdleConnTimeout: peerIdleTimeout}
	return &peers{
		instances: instances, ownID: ownID,
		client: &http.Client{Transport: TokenTransport{Token: token, Base: transport}},
	}
}

func (p *peers) list() []tablesync.Peer {
	instances := p.instances.Latest()
	if instances == nil {
		return nil
	}
	var list []tablesync.Peer
	for _, instance := range *instances {
		if instance.ID != p.ownID && instance.State == infra.StateLive && instance.Address != "" {
			list = append(list, peer{client: p.client, instance: instance})
		}
	}
	return list
}

// peer creates its RPC client on each call, because a process lists hundreds of
// peers but calls only a few.
type peer struct {
	client   *http.Client
	instance infra.Instance
}

// TableSince implements tablesync.Peer.
func (p peer) TableSince(ctx context.Context, req *connect.Request[pb.TableSinceRequest]) (*connect.Response[pb.TableSinceResponse], error) {
	url := "http://" + p.instance.Address
	if p.instance.Role == infra.RoleEntry {
		return filbertmuxv1connect.NewEntryServiceClient(p.client, url).TableSince(ctx, req)
	}
	return filbertmuxv1connect.NewSidecarServiceClient(p.client, url).TableSince(ctx, req)
}
