package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// Process runs a daemon and handles the signals to its process.
type Process struct {
	Log zerolog.Logger
	// Reload is called for SIGHUP. If it is nil, the daemon has nothing to reload and
	// only logs the signal.
	Reload func()
}

// Run builds and starts the application, waits for SIGTERM, SIGINT or the end of ctx,
// and stops the application without a timeout. Further signals are ignored, so that
// a second one does not abort requests in flight. The signals are never reset to
// their default action, because a signal may be delivered while the process exits.
func (p Process) Run(ctx context.Context, options ...fx.Option) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	app := fx.New(options...)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start the application")
	}
	p.waitForStop(ctx, stop, hangup)
	if err := app.Stop(context.WithoutCancel(ctx)); err != nil {
		return errors.Wrap(err, "stop the application")
	}
	return nil
}

// waitForStop reloads the settings on each hangup until the daemon has to stop.
func (p Process) waitForStop(ctx context.Context, stop, hangup <-chan os.Signal) {
	for {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-hangup:
			p.reload()
		}
	}
}

func (p Process) reload() {
	if p.Reload == nil {
		p.Log.Info().Msg("SIGHUP received; there are no settings to reload")
		return
	}
	p.Reload()
}
