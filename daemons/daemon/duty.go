// Package daemon holds what entry and sidecar share: goroutines bound to the
// fx lifecycle, HTTP servers that drain, and the handling of signals.
package daemon

import (
	"context"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// Duty is one goroutine of a daemon. Run returns when ctx ends.
type BackgroundTask struct {
	Name string
	Run  func(ctx context.Context) error
}

// Start runs d for the lifetime of the application. An error of Run is logged;
// the other duties go on.
func StartTask(lc fx.Lifecycle, log zerolog.Logger, d BackgroundTask) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				if err := d.Run(ctx); err != nil && ctx.Err() == nil {
					log.Error().Err(err).Str("duty", d.Name).Msg("duty ended")
				}
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	})
}
