package entry

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/entry/quota"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/serve/drain"
)

// Options configures an entry. A nil Listener or PeerListener means to listen on
// Settings.Listen or Settings.PeerListen.
type Options struct {
	Settings     settings.Entry
	Listener     net.Listener
	PeerListener net.Listener
	Log          zerolog.Logger
}

// Module returns the fx module of an entry.
func Module(o Options) fx.Option {
	return fx.Options(
		daemon.CommonModule(o.Settings.Common, infra.RoleEntry, o.Log),
		fx.Supply(o),
		fx.Provide(provideServer),
		fx.Invoke(startBackgroundTasks, servePeers, serveCallers),
	)
}

func provideServer(o Options, incarnation daemon.Incarnation, t *tablesync.Syncer, instances *daemon.InstanceWatcher,
	gate *drain.Gate, metrics *telemetry.Metrics,
) *Server {
	return NewServer(o.Settings, incarnation, t, instances, gate, o.Log, metrics)
}

func startBackgroundTasks(lc fx.Lifecycle, o Options, s *Server) {
	for _, task := range s.BackgroundTasks() {
		daemon.StartTask(lc, o.Log, task)
	}
}

// peerService implements the EntryService for the other entries.
type peerService struct {
	table *tablesync.Syncer
	quota *quota.Quota
}

// Report implements EntryServiceHandler.
func (p peerService) Report(_ context.Context, req *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	p.table.Learn(infra.Offset(req.Msg.GetTableOffset()))
	p.quota.Receive(req.Msg)
	return connect.NewResponse(&pb.ReportResponse{TableOffset: uint64(p.table.Offset())}), nil
}

// TableSince implements EntryServiceHandler.
func (p peerService) TableSince(ctx context.Context, req *connect.Request[pb.TableSinceRequest]) (*connect.Response[pb.TableSinceResponse], error) {
	return p.table.TableSince(ctx, req)
}

func servePeers(lc fx.Lifecycle, o Options, t *tablesync.Syncer, s *Server) error {
	listener, err := daemon.Listen(o.PeerListener, o.Settings.PeerListen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	path, service := filbertmuxv1connect.NewEntryServiceHandler(peerService{table: t, quota: s.quota},
		connect.WithReadMaxBytes(peerMessageBytes))
	mux.Handle(path, daemon.RequireToken(o.Settings.PeerToken.Reveal(), service))
	// The instance list contains the peer address, so "table publish --wait" polls
	// the status there.
	mux.Handle("GET /statusz", s.Handler())
	daemon.Serve(lc, o.Log, daemon.Server{
		Name:           "peers",
		Listener:       listener,
		Handler:        mux,
		MaxHeaderBytes: o.Settings.MaxHeaderBytes,
		HeaderTimeout:  o.Settings.HeaderTimeout,
		Connections:    s.peerConnections,
	})
	return nil
}

func serveCallers(lc fx.Lifecycle, o Options, s *Server) error {
	listener, err := daemon.Listen(o.Listener, o.Settings.Listen)
	if err != nil {
		return err
	}
	daemon.Serve(lc, o.Log, daemon.Server{
		Name:           "callers",
		Listener:       listener,
		Handler:        s.Handler(),
		MaxHeaderBytes: o.Settings.MaxHeaderBytes,
		HeaderTimeout:  o.Settings.HeaderTimeout,
		Connections:    s.connections,
		Gate:           s.gate,
		DrainTimeout:   o.Settings.DrainTimeout,
		Abort:          s.Abort,
	})
	return nil
}
