package rankagent

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
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/rankagent/agentconn"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/rankgroup/linkbudget"
)

// Role is the name of the daemon in logs and metrics.
const Role = "rankagent"

const (
	// peerIdleTimeout is how long an idle connection to another agent stays open.
	peerIdleTimeout = 30 * time.Second
	// headerTimeout bounds the reading of the header of a call.
	headerTimeout = 2 * time.Second
)

// Options holds the parameters of an agent.
type Options struct {
	Settings platform.Settings
	Log      zerolog.Logger
}

// Module returns the fx options of an agent.
func Module(o Options) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o),
		fx.Provide(
			func(o Options) *platform.StoreClient { return platform.NewStoreClient(o.Settings.Store.Address) },
			func(o Options) *Agent { return NewAgent(platform.NewRankClient(o.Settings.BackendAddress), o.Log) },
			func(o Options, store *platform.StoreClient) *election {
				return newElection(store, o.Settings.IP, o.Log)
			},
		),
		fx.Invoke(serveAgent, startTasks),
	)
}

// serveAgent serves the calls of the other agents of the group.
func serveAgent(lc fx.Lifecycle, o Options, agent *Agent) error {
	address := net.JoinHostPort(o.Settings.IP, strconv.Itoa(o.Settings.PeerPort))
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen address for calls of other agents")
	}
	calls := agentconn.NewServer(agent)
	server := &http.Server{Handler: agentHandler(agent, calls), ReadHeaderTimeout: headerTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					o.Log.Error().Err(err).Msg("server for calls of other agents failed")
				}
			}()
			o.Log.Info().Str("address", address).Str("rank", o.Settings.BackendAddress).
				Str("service", o.Settings.BackendService).Msg("started")
			return nil
		},
		OnStop: func(context.Context) error {
			o.Log.Info().Msg("stopped")
			calls.Close()
			return server.Close()
		},
	})
	return nil
}

// agentHandler returns the handler of the calls of other agents: on connections that stay
// open, and from agents of earlier builds.
func agentHandler(agent *Agent, calls *agentconn.Server) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(agentconn.Path, calls)
	mux.Handle(filbertmuxv1connect.NewRankAgentServiceHandler(agent))
	return mux
}

// startTasks starts the background tasks of an agent: the election, the coordination
// of the group while the agent is the holder, and the detection of a stalled group.
func startTasks(lc fx.Lifecycle, o Options, agent *Agent, e *election, store *platform.StoreClient) {
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "election", Run: func(ctx context.Context) error {
		return e.run(ctx, agent.candidate)
	}})
	h := &holder{group: newGroupClient(o, agent, store), agent: agent, election: e, log: o.Log, planner: newPlanner()}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "lead the group", Run: h.run})
	w := &rankWatcher{
		agent: agent, rank: agent.rank, states: make(chan platform.RankState, 1),
		slowdownReporter: &slowdownReporter{store: store, server: o.Settings.BackendAddress, log: o.Log},
	}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "watch the rank", Run: w.watch})
	r := &recoverer{agent: agent, group: newGroupClient(o, agent, store), log: o.Log, states: w.states}
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "recover a stalled group", Run: r.run})
}

func newGroupClient(o Options, agent *Agent, store *platform.StoreClient) *groupClient {
	dialer := &net.Dialer{Timeout: agentTimeout, KeepAlive: -1}
	return &groupClient{
		agent: agent, store: store, service: o.Settings.BackendService, port: o.Settings.PeerPort,
		log: o.Log, dial: dialer.DialContext, client: peerClient(dialer), link: linkbudget.Link{BytesPerSecond: o.Settings.LinkBytesPerSecond},
		maps: newMapSender(), view: newMapView(), peers: make(map[int]*peer), domains: make(map[int]string),
		lastOrderAt: make(map[int]time.Time),
	}
}

// peerClient returns the client that calls agents of earlier builds.
func peerClient(dialer *net.Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTimeout,
	}}
}
