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

// bytesPerRequest returns the average bytes of a request on a reused connection.
func bytesPerRequest(t *testing.T, handler http.Handler, request func(client *http.Client, url string) error) int {
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

// Guards against byte rates in the report that are computed from outdated
// message sizes.
func TestBytesOnTheWire(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformConfig{Now: time.Now})
	read := bytesPerRequest(t, p, func(client *http.Client, url string) error {
		log, err := infra.NewHTTPClient(url, client)
		require.NoError(t, err)
		_, err = log.Read(t.Context(), tablesync.DefaultStream, 0, tablesync.DefaultReadLimit, time.Millisecond)
		return err
	})
	mux := http.NewServeMux()
	mux.Handle(filbertmuxv1connect.NewEntryServiceHandler(emptyPeer{}))
	peerCall := bytesPerRequest(t, mux, func(client *http.Client, url string) error {
		request := connect.NewRequest(&pb.TableSinceRequest{Offset: 4242, Limit: 512})
		_, err := filbertmuxv1connect.NewEntryServiceClient(client, url).TableSince(t.Context(), request)
		return err
	})
	t.Logf("log read %d B, TableSince call %d B", read, peerCall)
	require.InDelta(t, logRequestBytes, read, 0.1*logRequestBytes)
	require.InDelta(t, peerRequestBytes, peerCall, 0.1*peerRequestBytes)
}
