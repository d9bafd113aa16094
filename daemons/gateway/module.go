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
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/hedge"
)

// Role is the name of this daemon in logs and metrics.
const Role = "gateway"

// Options configures a gateway.
type Options struct {
	Settings platform.Settings
	Log      zerolog.Logger
	// Hedging says which requests are hedged. The zero value means none.
	Hedging hedge.Config
	// MetricsPort is the port that serves the metrics, or 0 for none.
	MetricsPort int
	// ShareStoreReads makes the gateways share their reads of the configuration.
	ShareStoreReads bool
	// Reloads delivers requests to reload the settings. It may be nil.
	Reloads <-chan struct{}
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
			func(o Options, state *ClusterState, m *telemetry.Metrics) *Gateway {
				g := New(o.Settings, state, m, o.Log)
				g.EnableHedging(o.Hedging)
				return g
			},
			listenForPeers,
		),
		fx.Invoke(reloadSettings, followMetadata, startPeerExchange, serveMetrics, serveReady, serveCallers, reportUse),
	)
}

func listenForPeers(o Options, g *Gateway, store *platform.StoreClient) (*peerExchange, error) {
	address := &net.UDPAddr{IP: net.ParseIP(o.Settings.IP), Port: o.Settings.PeerPort}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "listen on the address for other gateways")
	}
	p := newPeerExchange(conn, g, store, o.Log)
	if o.ShareStoreReads {
		p.shareReads(g)
	}
	return p, nil
}

func followMetadata(
	lc fx.Lifecycle, o Options, g *Gateway, store *platform.StoreClient, state *ClusterState, p *peerExchange,
) {
	if p.proofs != nil {
		daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "ask for proofs", Run: p.proofs.run})
	}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "follow configuration", Run: func(ctx context.Context) error {
		return followConfig(ctx, store, state, o.Log, g.evacuations.applyRead, p.proofs)
	}})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "watch evacuations", Run: g.evacuations.watch})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "follow servers", Run: func(ctx context.Context) error {
		return FollowServers(ctx, store, state, o.Log, g.bounds.Load, g.serverRefresh, func() {
			g.services.refreshServers(state)
			g.pool.CloseExpired()
		})
	}})
}

func startPeerExchange(lc fx.Lifecycle, o Options, p *peerExchange) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		p.announceShutdown()
		return p.conn.Close()
	}})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "discover gateways", Run: p.discover})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "send load", Run: p.send})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "keep refusals", Run: p.refusals.run})
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
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on the metrics address")
	}
	serveAdmin(lc, o.Log, m, "metrics", listener, m.Handler())
	return nil
}

func serveReady(lc fx.Lifecycle, o Options, g *Gateway, m *telemetry.Metrics) error {
	listener, err := net.Listen("tcp4", o.Settings.ReadyAddress)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on the readiness address")
	}
	serveAdmin(lc, o.Log, m, "ready", listener, g.readyHandler())
	return nil
}

// serveAdmin starts an admin server that runs until the process exits, because
// the platform checks readiness during a shutdown as well.
func serveAdmin(lc fx.Lifecycle, log zerolog.Logger, m *telemetry.Metrics, name string, l net.Listener, h http.Handler) {
	server := adminServer(h)
	connections := inbound.NewConnections(inbound.FewConnections(adminConnections), m)
	connections.Observe(server)
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		go func() {
			if err := server.Serve(connections.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
				log.Error().Err(err).Str("server", name).Msg("admin HTTP server failed")
			}
		}()
		return nil
	}})
}

func serveCallers(lc fx.Lifecycle, o Options, g *Gateway, state *ClusterState) error {
	listener, err := net.Listen("tcp4", o.Settings.FrontendAddress)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on the address for callers")
	}
	f := newFrontend(listener, g.connections, g, o.Log)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go f.accept(currentLimits(state))
			o.Log.Info().Str("callers", o.Settings.FrontendAddress).Str("ready", o.Settings.ReadyAddress).
				Str("failure_domain", o.Settings.FailureDomain).Float64("hedge_share", o.Hedging.Share).Msg("started")
			return nil
		},
		OnStop: func(context.Context) error { return g.shutdown(f) },
	})
	return nil
}

// reportUse reports what callers take of the memory and the connections.
func reportUse(lc fx.Lifecycle, o Options, g *Gateway, m *telemetry.Metrics) {
	reporter := &inbound.Reporter{Memory: g.memory, Connections: g.connections, Metrics: m, Log: o.Log}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "report memory and connections", Run: reporter.Run})
}

func currentLimits(state *ClusterState) func() fleet.Limits {
	return func() fleet.Limits {
		if index := state.Index(); index != nil {
			return index.Config.Limits
		}
		return fleet.Limits{}
	}
}

// shutdown stops the gateway gracefully. It reports unready and keeps serving until the
// platform sends no new connections. From then on it refuses requests, which another
// gateway can serve in full, and waits for those in flight. Shortly before the end of the
// grace period it aborts those that remain.
func (g *Gateway) shutdown(f *frontend) error {
	start := time.Now()
	grace := g.bounds.Load().TerminationGrace
	g.draining.Store(true)
	g.log.Info().Int("in_flight", g.gate.InFlight()).Msg("leaving")
	time.Sleep(min(readinessPropagation, grace/2))
	// A request may arrive on an idle connection that is being closed. It must not be passed
	// on, so the gate closes first.
	g.gate.Terminate()
	f.stopAccepting()
	select {
	case <-g.gate.Stopped():
	case <-time.After(time.Until(start.Add(grace - abortMargin))):
		g.log.Warn().Int("in_flight", g.gate.InFlight()).Msg("aborting the requests in flight at the end of the grace period")
		g.abort()
	}
	ctx, cancel := context.WithTimeout(context.Background(), abortMargin/2)
	defer cancel()
	if err := f.shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Int("in_flight", g.gate.InFlight()).Msg("connections of callers are still open")
	}
	g.log.Info().Dur("took_ms", time.Since(start)).Msg("stopped")
	return nil
}
