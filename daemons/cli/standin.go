package cli

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/measure/standin"

	"github.com/rs/zerolog"
)

const (
	standinHeaderBytes   = 64 << 10
	standinHeaderTimeout = 10 * time.Second
)

type standinCommand struct {
	Platform standinPlatform `cmd:"" help:"Run the log, the instance list and the weight store."`
	Engine   standinEngine   `cmd:"" help:"Run a model engine."`
	Plain    standinPlain    `cmd:"" help:"Run a plain service."`
	Ranks    standinRanks    `cmd:"" help:"Run the ranks of a group."`
}

type standinPlatform struct {
	Listen           string  `name:"listen" default:"127.0.0.1:9000" help:"Address to listen on."`
	AppendsPerSecond float64 `name:"appends-per-second" help:"Append limit of the log; 0 means none."`
	FetchesPerSecond float64 `name:"fetches-per-second" help:"Fetch limit of the weight store; 0 means none."`
	ExpertBytes      int     `name:"expert-bytes" help:"Size of the weights of one expert; 0 means 4096."`
}

// Run implements the standin platform command.
func (c *standinPlatform) Run(ctx context.Context, streams Streams) error {
	if c.AppendsPerSecond < 0 || c.FetchesPerSecond < 0 || c.ExpertBytes < 0 {
		return errkind.New(errkind.InvalidSettings, "standin platform: rates and sizes must not be negative")
	}
	p := standin.NewPlatform(standin.PlatformConfig{
		AppendsPerSecond: c.AppendsPerSecond, FetchesPerSecond: c.FetchesPerSecond,
		ExpertBytes: c.ExpertBytes,
	})
	return serveStandin(ctx, streams, "platform", c.Listen, p)
}

type standinEngine struct {
	Listen        string        `name:"listen" default:"127.0.0.1:9100" help:"Address to listen on."`
	Model         string        `name:"model" required:"" help:"Model name in the answers."`
	TokenInterval time.Duration `name:"token-interval" default:"20ms" help:"Time between tokens."`
	MaxBatch      int           `name:"max-batch" default:"32" help:"Requests that generate at once."`
	Tokens        int           `name:"tokens" default:"64" help:"Answer length without max_tokens."`
}

// Run implements the standin engine command.
func (c *standinEngine) Run(ctx context.Context, streams Streams) error {
	e := standin.NewEngine(standin.EngineConfig{
		Model: c.Model, TokenInterval: c.TokenInterval, MaxBatch: c.MaxBatch, DefaultTokens: c.Tokens,
	})
	return serveStandin(ctx, streams, "engine", c.Listen, e)
}

type standinPlain struct {
	Listen string        `name:"listen" default:"127.0.0.1:9200" help:"Address to listen on."`
	Name   string        `name:"service-name" required:"" help:"Service name in the answers."`
	Delay  time.Duration `name:"delay" default:"0s" help:"Time that each call takes."`
}

// Run implements the standin plain command.
func (c *standinPlain) Run(ctx context.Context, streams Streams) error {
	return serveStandin(ctx, streams, "plain", c.Listen, standin.NewPlainService(standin.PlainServiceConfig{Name: c.Name, Delay: c.Delay}))
}

type standinRanks struct {
	Listen       string        `name:"listen" default:"127.0.0.1:9300" help:"Address to listen on. The commands of backend server n are below /<n>."`
	Replicas     int           `name:"replicas" default:"4" help:"Backend servers of the group."`
	PerReplica   int           `name:"ranks-per-replica" default:"8" help:"Ranks of each backend server."`
	Layers       int           `name:"layers" default:"4" help:"Layers of the model."`
	Experts      int           `name:"experts" default:"64" help:"Experts of each layer."`
	SlotsPerRank int           `name:"slots-per-rank" default:"4" help:"Experts that a rank hosts in each layer."`
	StepTime     time.Duration `name:"step-time" default:"45ms" help:"Time of a step."`
	DriftSteps   uint64        `name:"drift-steps" default:"2000" help:"Steps after which the popularity moves on by one expert."`
	CheckFencing bool          `name:"check-fencing" help:"Refuse commands with a stale fencing token."`
	Seed         uint64        `name:"seed" default:"1" help:"Seed of the expert counts."`
	IgnoreHolds  bool          `name:"ignore-holds" help:"Let ranks ignore holds and enter the step of an undecided map switch, to show that a test detects it."`
}

// Run implements the standin ranks command.
func (c *standinRanks) Run(ctx context.Context, streams Streams) error {
	if c.DriftSteps == 0 || c.StepTime <= 0 || c.Replicas < 1 || c.PerReplica < 1 {
		return errkind.New(errkind.InvalidSettings, "standin ranks: --replicas, --ranks-per-replica, --drift-steps and --step-time must be positive")
	}
	g, err := standin.NewRankGroup(standin.RankGroupConfig{
		Replicas: c.Replicas, RanksPerReplica: c.PerReplica, Layers: c.Layers, Experts: c.Experts,
		SlotsPerRank: c.SlotsPerRank, StepTime: c.StepTime, Seed: c.Seed,
		ChecksFencing: func(int) bool { return c.CheckFencing },
		IgnoreHolds:   c.IgnoreHolds,
		Popularity:    standin.DriftingPopularity(c.Experts, 1, c.DriftSteps),
	})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for n := range c.Replicas {
		prefix := "/" + strconv.Itoa(n)
		mux.Handle(prefix+"/", http.StripPrefix(prefix, g.Handler(n)))
	}
	mux.Handle("/standin/", g.ControlHandler())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = g.Run(ctx) }()
	return serveStandin(ctx, streams, "ranks", c.Listen, mux)
}

func serveStandin(ctx context.Context, streams Streams, name, address string, h http.Handler) error {
	listener, err := daemon.Listen(nil, address)
	if err != nil {
		return err
	}
	log := telemetry.NewLogger(streams.Err, zerolog.InfoLevel, "standin", name)
	return daemon.Process{Log: log}.Run(
		ctx,
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func(lc fx.Lifecycle) {
			daemon.Serve(lc, log, daemon.Server{
				Name: name, Listener: listener, Handler: h,
				MaxHeaderBytes: standinHeaderBytes, HeaderTimeout: standinHeaderTimeout,
			})
		}),
	)
}
