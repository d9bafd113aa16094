package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/entry/servers"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
)

const (
	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 16
	maxChunkBytes    = 64 << 20
)

// sidecarClient holds the clients of one sidecar. Calls may reuse a connection.
// Resumes never do, because the connection that went silent must not be used
// again.
type sidecarClient struct {
	calls   filbertmuxv1connect.SidecarServiceClient
	resumes filbertmuxv1connect.SidecarServiceClient
}

// clients holds the clients of each sidecar address. It is safe for concurrent
// use. It uses HTTP/1.1, so each stream has its own connection.
type clients struct {
	pooled   *http.Client
	unpooled *http.Client

	mu     sync.Mutex
	byAddr map[string]*sidecarClient

	suspects     *suspectInterceptor
	interceptors connect.Option
}

// newClients returns clients with a number of idle connections at most.
func newClients(token string, maxIdle int) *clients {
	client := func(unpooled bool) *http.Client {
		return &http.Client{Transport: daemon.TokenTransport{Token: token, Base: sendCheckTransport{&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:   unpooled,
			DisableCompression:  true,
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
		}}}}
	}
	suspects := newSuspectInterceptor(time.Now)
	return &clients{
		pooled: client(false), unpooled: client(true), byAddr: make(map[string]*sidecarClient),
		suspects: suspects, interceptors: connect.WithInterceptors(suspects),
	}
}

func (c *clients) forAddress(address string) *sidecarClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.byAddr[address]; client != nil {
		return client
	}
	url := "http://" + address
	limit := connect.WithReadMaxBytes(maxChunkBytes)
	client := &sidecarClient{
		calls:   filbertmuxv1connect.NewSidecarServiceClient(c.pooled, url, limit, c.interceptors),
		resumes: filbertmuxv1connect.NewSidecarServiceClient(c.unpooled, url, limit, c.interceptors),
	}
	c.byAddr[address] = client
	return client
}

// probeFunc returns a function that probes a sidecar.
func probeFunc(c *clients, source tableSource, sender string) servers.ProbeFunc {
	return func(ctx context.Context, server infra.Instance) (*pb.ProbeResponse, error) {
		response, err := c.forAddress(server.Address).calls.Probe(ctx, connect.NewRequest(&pb.ProbeRequest{
			Sender: sender, TableOffset: uint64(source.View().Offset()),
		}))
		if err != nil {
			return nil, err
		}
		source.Learn(infra.Offset(response.Msg.GetTableOffset()))
		return response.Msg, nil
	}
}
