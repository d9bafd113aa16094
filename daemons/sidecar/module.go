package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/serve/claimlog"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/suspectlog"
)

const (
	// messageOverheadBytes is the allowance for the fields of a call other than
	// its body.
	messageOverheadBytes = 1 << 20
	headerTimeout        = 10 * time.Second
	// claimFlushTimeout bounds the wait for the log at shutdown. Without it, a
	// sidecar would never exit during an outage of the log.
	claimFlushTimeout = 5 * time.Second
	// markersPerRetentionWindow is the minimum number of markers written to an
	// idle claim stream during the retention window.
	markersPerRetentionWindow = 20
)

// Options configures a sidecar. If Listener is nil, the sidecar listens on
// Settings.Listen.
type Options struct {
	Settings settings.Sidecar
	Listener net.Listener
	Log      zerolog.Logger
}

// Module returns the fx module of a sidecar.
func Module(o Options) fx.Option {
	return fx.Options(
		daemon.CommonModule(o.Settings.Common, infra.RoleBackend, o.Log),
		fx.Supply(o),
		fx.Provide(newClaimClient, newServer, newGroupControl),
		fx.Invoke(shareSuspectReports, monitorBackend, reportUse, serve),
	)
}

func newServer(o Options, incarnation daemon.Incarnation, claims *claimlog.Client, t *tablesync.Syncer,
	gate *drain.Gate, metrics *telemetry.Metrics,
) (*Server, error) {
	return NewServer(o.Settings, incarnation, claims, t, gate, o.Log, metrics)
}

func newClaimClient(lc fx.Lifecycle, o Options, incarnation daemon.Incarnation, log infra.Log) (*claimlog.Client, error) {
	s, err := claimSettings(o.Settings)
	if err != nil {
		return nil, err
	}
	client := claimlog.New(log, string(incarnation), time.Now, s)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for n := range s.Partitions {
				if err := client.StartPartition(o.Settings.Service, n); err != nil {
					return err
				}
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, claimFlushTimeout)
			defer cancel()
			if err := client.Shutdown(ctx); err != nil {
				o.Log.Warn().Err(err).Msg("claims were not flushed at shutdown; the outcome of unfinished calls stays unknown")
			}
			return nil
		},
	})
	return client, nil
}

// claimSettings limits the key window so that the log still retains all records
// of an accepted key and a marker that precedes them.
func claimSettings(s settings.Sidecar) (claimlog.Settings, error) {
	c := claimlog.DefaultSettings()
	c.MarkerInterval = min(c.MarkerInterval, s.RetentionWindow/markersPerRetentionWindow)
	c.Claim.MaxClockSkew = s.ClockSkew
	c.Claim.KeyWindow = s.RetentionWindow - c.MarkerInterval - s.ClockSkew
	if c.Claim.KeyWindow <= c.Claim.MaxClockSkew {
		return c, errkind.New(errkind.InvalidSettings,
			"--retention-window %s is too short to accept idempotency keys with --clock-skew %s", s.RetentionWindow, s.ClockSkew)
	}
	return c, nil
}

func serve(lc fx.Lifecycle, o Options, s *Server, g *groupControl) error {
	listener, err := daemon.Listen(o.Listener, o.Settings.Listen)
	if err != nil {
		return err
	}
	daemon.Serve(lc, o.Log, daemon.Server{
		Name:           "sidecar",
		Listener:       listener,
		Handler:        g.handler(o.Settings, s.Handler()),
		MaxHeaderBytes: o.Settings.MaxHeaderBytes,
		HeaderTimeout:  headerTimeout,
		Connections:    s.connections,
		Gate:           s.gate,
		DrainTimeout:   o.Settings.DrainTimeout,
		Abort:          s.Abort,
	})
	return nil
}

// shareSuspectReports exchanges suspect reports with other sidecars through the
// log.
func shareSuspectReports(lc fx.Lifecycle, o Options, log infra.Log, s *Server) {
	suspects := suspectlog.New(log, suspectlog.DefaultSettings(), o.Log)
	s.admission.publish = suspects.Publish
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "append suspect reports", Run: suspects.RunAppender})
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "follow suspect reports", Run: func(ctx context.Context) error {
		return suspects.Follow(ctx, s.admission.applyReports)
	}})
}

func monitorBackend(lc fx.Lifecycle, o Options, s *Server) {
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "watch the backend server", Run: func(ctx context.Context) error {
		s.admission.monitor(ctx, healthInterval)
		return nil
	}})
}

// reportUse reports what other processes take of the memory and the connections.
func reportUse(lc fx.Lifecycle, o Options, s *Server) {
	reporter := &inbound.Reporter{Memory: s.memory, Connections: s.connections, Metrics: s.metrics, Log: o.Log}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "report memory and connections", Run: reporter.Run})
}

// Handler returns the HTTP handler of the sidecar. Only SidecarService requires
// the peer token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, service := filbertmuxv1connect.NewSidecarServiceHandler(s,
		connect.WithReadMaxBytes(s.maxMessageBytes()))
	metered := s.memory.Meter(s.readOptions(), wrapRefusal, service)
	mux.Handle(path, daemon.RequireToken(s.settings.PeerToken.Reveal(), metered))
	mux.Handle("GET /metrics", s.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /statusz", s.serveStatus)
	return mux
}

// Status is the JSON body of /statusz.
type Status struct {
	daemon.Status
	Service string `json:"service"`
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	common := daemon.NewStatus("sidecar", s.settings.Common, daemon.Incarnation(s.incarnation), s.table.Offset(), s.gate)
	_ = json.NewEncoder(w).Encode(Status{Status: common, Service: s.settings.Service})
}
