// Package daemon provides the parts that all daemons share: background tasks
// bound to the fx lifecycle, HTTP servers with graceful shutdown, and signal
// handling.
package daemon

import (
	"context"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// BackgroundTask is a goroutine of a daemon. Run returns when ctx is cancelled.
type BackgroundTask struct {
	Name string
	Run  func(ctx context.Context) error
}

// StartTask runs task for the lifetime of the application. An error of Run is
// logged and does not stop the other tasks.
func StartTask(lc fx.Lifecycle, log zerolog.Logger, task BackgroundTask) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				if err := task.Run(ctx); err != nil && ctx.Err() == nil {
					log.Error().Err(err).Str("duty", task.Name).Msg("background task failed")
				}
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stopCtx.Done():
				return stopCtx.Err()
			}
		},
	})
}
