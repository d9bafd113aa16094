package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
)

// fakeEntry records the reports that it gets.
type fakeEntry struct {
	filbertmuxv1connect.UnimplementedEntryServiceHandler
	reports chan *pb.ReportRequest
}

// Report implements EntryServiceHandler.
func (f fakeEntry) Report(_ context.Context, req *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	f.reports <- req.Msg
	return connect.NewResponse(&pb.ReportResponse{}), nil
}

// Guards against demand that stays unknown to the other entries, against a
// report to the entry itself, and against a dead entry that holds up the round.
func TestReportReachesTheOtherEntries(t *testing.T) {
	other := fakeEntry{reports: make(chan *pb.ReportRequest, 10)}
	mux := http.NewServeMux()
	mux.Handle(filbertmuxv1connect.NewEntryServiceHandler(other))
	server := httptest.NewServer(mux)
	defer server.Close()
	f := newFixtureWith(t, func(*settings.Entry) {}, func(r *table.CSVRow) {
		if l := r.Row.Limit; l != nil {
			l.RequestsPerSecond, l.TokensPerSecond = 0, 0
		}
	}, newFakeSidecar(t, "a", events))
	require.Equal(t, http.StatusOK, f.complete(t).status)
	list := []infra.Instance{
		{ID: "e1", Role: infra.RoleEntry, State: infra.StateLive, Address: "127.0.0.1:1"},
		{ID: "dead", Role: infra.RoleEntry, State: infra.StateLive, Address: "127.0.0.1:1"},
		{ID: "e2", Role: infra.RoleEntry, State: infra.StateLive, Address: server.Listener.Addr().String()},
		{ID: "left", Role: infra.RoleEntry, State: infra.StateLeaving, Address: "127.0.0.1:1"},
	}
	f.entry.instances = func() *[]infra.Instance { return &list }
	require.Equal(t, 3, f.entry.liveEntries())
	r := newReporter(f.entry.quota, f.entry.otherEntries, "", zerolog.Nop())
	r.round(context.Background())
	report := <-other.reports
	require.Equal(t, "e1", report.GetSender())
	require.Len(t, report.GetDemands(), 1)
	require.Equal(t, "mureseni-desk", report.GetDemands()[0].GetOrganisation())
}
