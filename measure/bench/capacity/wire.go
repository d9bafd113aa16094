package capacity

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/internal/countconn"
)

func wireSeries() []measurementSeries {
	return []measurementSeries{
		{roleEntry, "bytes of probes, both directions, HTTP headers included", "probes", "B", []int{1, 10, 100}, 25, probeBytes},
		{
			roleEntry, "bytes of a limit report, both directions, HTTP headers included",
			"organisations in the report", "B",
			[]int{1, 10, 100, 1000},
			10, reportWireBytes,
		},
	}
}

// wireServer answers probes and limit reports with typical messages.
type wireServer struct {
	filbertmuxv1connect.UnimplementedSidecarServiceHandler
	filbertmuxv1connect.UnimplementedEntryServiceHandler
}

func (wireServer) Probe(context.Context, *connect.Request[pb.ProbeRequest]) (*connect.Response[pb.ProbeResponse], error) {
	return connect.NewResponse(&pb.ProbeResponse{
		Load:        &pb.Load{Incarnation: uuid.NewString(), InFlight: 12, Queued: 3, LatencyUs: 120_000},
		TableOffset: 4242,
	}), nil
}

func (wireServer) Report(context.Context, *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	return connect.NewResponse(&pb.ReportResponse{TableOffset: 4242}), nil
}

func (wireServer) TableSince(context.Context, *connect.Request[pb.TableSinceRequest]) (*connect.Response[pb.TableSinceResponse], error) {
	return connect.NewResponse(&pb.TableSinceResponse{}), nil
}

// countWireBytes serves a wireServer on the loopback interface, runs use with a
// client that counts the bytes of its connections, and returns their number.
func countWireBytes(use func(client *http.Client, url string) error) (float64, error) {
	mux := http.NewServeMux()
	mux.Handle(filbertmuxv1connect.NewSidecarServiceHandler(wireServer{}))
	mux.Handle(filbertmuxv1connect.NewEntryServiceHandler(wireServer{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	var total atomic.Int64
	transport := countconn.Transport(&total)
	defer transport.CloseIdleConnections()
	err := use(&http.Client{Transport: transport}, server.URL)
	return float64(total.Load()), err
}

func probeBytes(n int) (float64, error) {
	return countWireBytes(func(client *http.Client, url string) error {
		sidecar := filbertmuxv1connect.NewSidecarServiceClient(client, url)
		for range n {
			request := connect.NewRequest(&pb.ProbeRequest{TableOffset: 4242, Sender: uuid.NewString()})
			if _, err := sidecar.Probe(context.Background(), request); err != nil {
				return err
			}
		}
		return nil
	})
}

func reportWireBytes(n int) (float64, error) {
	return countWireBytes(func(client *http.Client, url string) error {
		report := &pb.ReportRequest{Sender: uuid.NewString(), Sequence: 4242, TableOffset: 4242, Ack: 4242}
		for i := range n {
			report.Demands = append(report.Demands, &pb.Demand{
				Organisation: organisationName(i), RequestsPerSecond: 1.5, TokensPerSecond: 720.5, InFlight: 4,
				GrantedRequestsPerSecond: 0.5, GrantedTokensPerSecond: 100.5, GrantedInFlight: 1,
			})
		}
		_, err := filbertmuxv1connect.NewEntryServiceClient(client, url).Report(context.Background(), connect.NewRequest(report))
		return err
	})
}
