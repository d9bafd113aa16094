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
	dialTimeout        = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	idleConnsPerHost   = 16
	maxChunkBytes      = 64 << 20
	maxIdleConnections = 1024
)

// sidecarClient talks to one sidecar. Calls may reuse a connection; resumes
// never do, because the connection that went silent must not be used again.
type sidecarClient struct {
	calls   filbertmuxv1connect.SidecarServiceClient
	resumes filbertmuxv1connect.SidecarServiceClient
}

// clients holds one client for each sidecar address. It is safe for concurrent
// use. HTTP/1.1 gives each stream a connection of its own.
type clients struct {
	reusing *http.Client
	fresh   *http.Client

	mu     sync.Mutex
	byAddr map[string]*sidecarClient

	carrier  *suspectCarrier
	suspects connect.Option
}

func newClients(token string) *clients {
	client := func(fresh bool) *http.Client {
		return &http.Client{Transport: daemon.TokenTransport{Token: token, Base: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
		}}}
	}
	carrier := newSuspectCarrier(time.Now)
	return &clients{
		reusing: client(false), fresh: client(true), byAddr: make(map[string]*sidecarClient),
		carrier: carrier, suspects: connect.WithInterceptors(carrier),
	}
}

func (c *clients) of(address string) *sidecarClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.byAddr[address]; known != nil {
		return known
	}
	url := "http://" + address
	limit := connect.WithReadMaxBytes(maxChunkBytes)
	s := &sidecarClient{
		calls:   filbertmuxv1connect.NewSidecarServiceClient(c.reusing, url, limit, c.suspects),
		resumes: filbertmuxv1connect.NewSidecarServiceClient(c.fresh, url, limit, c.suspects),
	}
	c.byAddr[address] = s
	return s
}

// probeFunc returns a probe of a sidecar by this entry.
func probeFunc(c *clients, source tableSource, sender string) servers.ProbeFunc {
	return func(ctx context.Context, server infra.Instance) (*pb.ProbeResponse, error) {
		answer, err := c.of(server.Address).calls.Probe(ctx, connect.NewRequest(&pb.ProbeRequest{
			Sender: sender, TableOffset: uint64(source.View().Offset()),
		}))
		if err != nil {
			return nil, err
		}
		source.Learn(infra.Offset(answer.Msg.GetTableOffset()))
		return answer.Msg, nil
	}
}
