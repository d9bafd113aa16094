package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/platform"
)

// Role is the name of the daemon in logs and metrics.
const Role = "gateway"

// Options are what a gateway is built from.
type Options struct {
	Settings platform.Settings
	Log      zerolog.Logger
	// MetricsPort is the port of the metrics, or 0 for none.
	MetricsPort int
}

// Module returns the fx options of a gateway.
func Module(o Options) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o),
		fx.Provide(
			NewClusterState,
			func(o Options) *platform.StoreClient { return platform.NewStoreClient(o.Settings.Store.Address) },
			func(o Options) *telemetry.Metrics { return telemetry.NewMetrics(Role, o.Settings.Instance, o.Log) },
			func(o Options, v *ClusterState, m *telemetry.Metrics) *Gateway { return New(o.Settings, v, m, o.Log) },
			listenPeers,
		),
		fx.Invoke(reloadSettings, followStore, exchangeLoad, serveMetrics, serveReady, serveCallers),
	)
}

func listenPeers(o Options, g *Gateway, store *platform.StoreClient) (*peers, error) {
	address := &net.UDPAddr{IP: net.ParseIP(o.Settings.IP), Port: o.Settings.PeerPort}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "address for other gateways")
	}
	return newPeers(conn, g, store, o.Log), nil
}

func followStore(lc fx.Lifecycle, o Options, g *Gateway, store *platform.StoreClient, view *ClusterState) {
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "follow configuration", Run: func(ctx context.Context) error {
		return FollowConfig(ctx, store, view, o.Log)
	}})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "follow servers", Run: func(ctx context.Context) error {
		return FollowServers(ctx, store, view, o.Log, g.bounds.Load, g.kick, func() {
			g.services.refresh(view)
			g.pool.CloseExpired()
		})
	}})
}

func exchangeLoad(lc fx.Lifecycle, o Options, p *peers) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		p.withdraw()
		return p.conn.Close()
	}})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "discover gateways", Run: p.discover})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "send load", Run: p.send})
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		go p.receive()
		return nil
	}})
}

func serveMetrics(lc fx.Lifecycle, o Options, m *telemetry.Metrics) error {
	if o.MetricsPort == 0 {
		return nil
	}
	listener, err := net.Listen("tcp4", net.JoinHostPort(o.Settings.IP, strconv.Itoa(o.MetricsPort)))
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "metrics address")
	}
	serveAdmin(lc, o.Log, "metrics", listener, m.Handler())
	return nil
}

func serveReady(lc fx.Lifecycle, o Options, g *Gateway) error {
	listener, err := net.Listen("tcp4", o.Settings.ReadyAddress)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "ready address")
	}
	serveAdmin(lc, o.Log, "ready", listener, g.readyHandler())
	return nil
}

// serveAdmin serves until the process ends: the platform asks for readiness
// during a shutdown as well.
func serveAdmin(lc fx.Lifecycle, log zerolog.Logger, name string, l net.Listener, h http.Handler) {
	server := adminServer(h)
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				log.Error().Err(err).Str("server", name).Msg("server ended")
			}
		}()
		return nil
	}})
}

func serveCallers(lc fx.Lifecycle, o Options, g *Gateway, view *ClusterState) error {
	listener, err := net.Listen("tcp4", o.Settings.FrontendAddress)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "address for callers")
	}
	f := newFront(listener, g, o.Log)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go f.accept(limitsInForce(view))
			o.Log.Info().Str("callers", o.Settings.FrontendAddress).Str("ready", o.Settings.ReadyAddress).
				Str("failure_domain", o.Settings.FailureDomain).Msg("started")
			return nil
		},
		OnStop: func(context.Context) error { return g.leave(f) },
	})
	return nil
}

func limitsInForce(view *ClusterState) func() fleet.Limits {
	return func() fleet.Limits {
		if index := view.Index(); index != nil {
			return index.Config.Limits
		}
		return fleet.Limits{}
	}
}

// leave shuts the gateway down: it stops to be ready, serves on until the
// platform sends no new connections, then waits for the requests in flight.
func (g *Gateway) leave(f *front) error {
	began := time.Now()
	g.leaving.Store(true)
	g.log.Info().Int("in_flight", g.gate.InFlight()).Msg("leaving")
	time.Sleep(min(rotationTime, g.bounds.Load().TerminationGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.bounds.Load().TerminationGrace-abortMargin))
	defer cancel()
	err := f.shutdown(ctx)
	if err != nil {
		g.log.Warn().Int("in_flight", g.gate.InFlight()).Msg("requests cut off at the end of the grace period")
		g.abort()
		time.Sleep(abortMargin / 2)
	}
	g.log.Info().Dur("took_ms", time.Since(began)).Msg("stopped")
	return nil
}
