package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/fx"
)

// Run starts the application, waits for SIGTERM, SIGINT or the end of ctx, and
// stops the application without a timeout. Further signals are ignored, so that
// a second one does not abort requests in flight.
func Run(ctx context.Context, app *fx.App) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start the application")
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	if err := app.Stop(context.WithoutCancel(ctx)); err != nil {
		return errors.Wrap(err, "stop the application")
	}
	return nil
}
