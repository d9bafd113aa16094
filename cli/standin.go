package cli

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/filbertmux/filbertmux/daemon"
	"github.com/filbertmux/filbertmux/standin"
	"github.com/filbertmux/filbertmux/telemetry"

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
}

type standinPlatform struct {
	Listen           string  `name:"listen" default:"127.0.0.1:9000" help:"Address to listen on."`
	AppendsPerSecond float64 `name:"appends-per-second" help:"Append limit of the log; 0 means none."`
}

// Run implements the command.
func (c *standinPlatform) Run(ctx context.Context, streams Streams) error {
	p := standin.NewPlatform(standin.PlatformConfig{AppendsPerSecond: c.AppendsPerSecond})
	return serveStandin(ctx, streams, "platform", c.Listen, p)
}

type standinEngine struct {
	Listen        string        `name:"listen" default:"127.0.0.1:9100" help:"Address to listen on."`
	Model         string        `name:"model" required:"" help:"Model name in the answers."`
	TokenInterval time.Duration `name:"token-interval" default:"20ms" help:"Time between tokens."`
	MaxBatch      int           `name:"max-batch" default:"32" help:"Requests that generate at once."`
	Tokens        int           `name:"tokens" default:"64" help:"Answer length without max_tokens."`
}

// Run implements the command.
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

// Run implements the command.
func (c *standinPlain) Run(ctx context.Context, streams Streams) error {
	return serveStandin(ctx, streams, "plain", c.Listen, standin.NewPlain(standin.PlainConfig{Name: c.Name, Delay: c.Delay}))
}

func serveStandin(ctx context.Context, streams Streams, name, address string, h http.Handler) error {
	listener, err := daemon.Listen(nil, address)
	if err != nil {
		return err
	}
	log := telemetry.NewLogger(streams.Err, zerolog.InfoLevel, "standin", name)
	return daemon.Run(ctx, fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func(lc fx.Lifecycle) {
			daemon.Serve(lc, log, daemon.Server{
				Name: name, Listener: listener, Handler: h,
				MaxHeaderBytes: standinHeaderBytes, HeaderTimeout: standinHeaderTimeout,
			})
		}),
	))
}
