package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/tablesync"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/internal/countconn"
	"github.com/filbertmux/filbertmux/measure/standin"
)

type emptyPeer struct {
	filbertmuxv1connect.UnimplementedEntryServiceHandler
}

func (emptyPeer) TableSince(context.Context, *connect.Request[pb.TableSinceRequest]) (*connect.Response[pb.TableSinceResponse], error) {
	return connect.NewResponse(&pb.TableSinceResponse{Offset: 4242}), nil
}

// perRequest returns the bytes of one of n requests on one connection.
func perRequest(t *testing.T, handler http.Handler, request func(client *http.Client, url string) error) int {
	const n = 20
	server := httptest.NewServer(handler)
	defer server.Close()
	var total atomic.Int64
	transport := countconn.Transport(&total)
	defer transport.CloseIdleConnections()
	for range n {
		require.NoError(t, request(&http.Client{Transport: transport}, server.URL))
	}
	return int(total.Load()) / n
}

// Guards against a byte rate that is computed from sizes that the wire does not
// have.
func TestBytesOnTheWire(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformConfig{Now: time.Now})
	read := perRequest(t, p, func(client *http.Client, url string) error {
		log, err := infra.NewHTTPClient(url, client)
		require.NoError(t, err)
		_, err = log.Read(t.Context(), tablesync.DefaultStream, 0, tablesync.DefaultReadLimit, time.Millisecond)
		return err
	})
	mux := http.NewServeMux()
	mux.Handle(filbertmuxv1connect.NewEntryServiceHandler(emptyPeer{}))
	ask := perRequest(t, mux, func(client *http.Client, url string) error {
		request := connect.NewRequest(&pb.TableSinceRequest{Offset: 4242, Limit: 512})
		_, err := filbertmuxv1connect.NewEntryServiceClient(client, url).TableSince(t.Context(), request)
		return err
	})
	t.Logf("read %d B, question to a peer %d B", read, ask)
	require.InDelta(t, logRequestBytes, read, 0.1*logRequestBytes)
	require.InDelta(t, peerRequestBytes, ask, 0.1*peerRequestBytes)
}
