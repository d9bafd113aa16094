package entry

import (
	"net"
	"net/http"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/daemon"
	"github.com/filbertmux/filbertmux/drain"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/settings"
	"github.com/filbertmux/filbertmux/telemetry"
)

// Options sets up an entry. Without listeners it listens on Settings.Listen and
// Settings.PeerListen.
type Options struct {
	Settings     settings.Entry
	Listener     net.Listener
	PeerListener net.Listener
	Log          zerolog.Logger
}

// Module returns the fx module of an entry.
func Module(o Options) fx.Option {
	return fx.Options(
		daemon.Common(o.Settings.Common, platform.RoleEntry, o.Log),
		fx.Supply(o),
		fx.Provide(provideServer),
		fx.Invoke(servePeers, serveCallers),
	)
}

func provideServer(o Options, incarnation daemon.Incarnation, t *daemon.Table, instances *daemon.Instances,
	gate *drain.Gate, metrics *telemetry.Metrics,
) *Server {
	return NewServer(o.Settings, incarnation, t, instances, gate, o.Log, metrics)
}

func servePeers(lc fx.Lifecycle, o Options) error {
	listener, err := daemon.Listen(o.PeerListener, o.Settings.PeerListen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	path, service := filbertmuxv1connect.NewEntryServiceHandler(filbertmuxv1connect.UnimplementedEntryServiceHandler{})
	mux.Handle(path, daemon.RequireToken(o.Settings.PeerToken.Reveal(), service))
	daemon.Serve(lc, o.Log, daemon.Server{
		Name:           "peers",
		Listener:       listener,
		Handler:        mux,
		MaxHeaderBytes: o.Settings.MaxHeaderBytes,
		HeaderTimeout:  o.Settings.HeaderTimeout,
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
		Gate:           s.gate,
		DrainTimeout:   o.Settings.DrainTimeout,
		Abort:          s.Abort,
	})
	return nil
}
