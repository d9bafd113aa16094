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

// peerIdleTimeout is short, because a process seldom asks the same peer twice.
const peerIdleTimeout = 5 * time.Second

// peers lists the processes from which the table can be taken while the log is
// down. It is safe for concurrent use.
type peers struct {
	instances *InstanceWatcher
	own       string // instance id of this process
	client    *http.Client
}

func newPeers(instances *InstanceWatcher, own, token string) *peers {
	transport := &http.Transport{IdleConnTimeout: peerIdleTimeout}
	return &peers{
		instances: instances, own: own,
		client: &http.Client{Transport: TokenTransport{Token: token, Base: transport}},
	}
}

func (p *peers) list() []tablesync.Peer {
	view := p.instances.Latest()
	if view == nil {
		return nil
	}
	var list []tablesync.Peer
	for _, i := range *view {
		if i.ID != p.own && i.State == infra.StateLive && i.Address != "" {
			list = append(list, peer{client: p.client, instance: i})
		}
	}
	return list
}

// peer makes its client when it is asked, because a process lists hundreds of
// peers and asks few.
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
