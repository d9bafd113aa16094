package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/fx"
)

// Run starts the application, waits for SIGTERM or SIGINT and stops it without
// a time limit. Further signals are received and ignored, so that a second one
// does not cut off requests in flight.
func Run(ctx context.Context, app *fx.App) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start")
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	if err := app.Stop(context.WithoutCancel(ctx)); err != nil {
		return errors.Wrap(err, "stop")
	}
	return nil
}
