package gateway

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/platform"
)

// settingsInterval is the time between checks of the settings file, which may
// change without a request to reload it.
const settingsInterval = 5 * time.Second

// reloadSettings applies changed bounds from the settings file. Addresses and
// names belong to the instance and don't change while the process runs.
func reloadSettings(lc fx.Lifecycle, o Options, g *Gateway) {
	daemon.StartTask(lc, o.Log, daemon.BackgroundTask{Name: "reload settings", Run: func(ctx context.Context) error {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		current := o.Settings.Bounds
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return nil
			case <-o.Reloads:
				signalled = true
			case <-ticker.C:
			}
			current = g.reload(current, signalled)
		}
	}})
}

// reload reads the settings file and returns the bounds to use. If the file is
// invalid, these are the current ones.
func (g *Gateway) reload(current platform.Bounds, signalled bool) platform.Bounds {
	s, err := platform.LoadSettings()
	if err != nil {
		g.log.Error().Err(err).Msg("settings not reloaded; the former ones stay in force")
		return current
	}
	if s.Bounds != current {
		g.bounds.Store(&s.Bounds)
	}
	if s.Bounds != current || signalled {
		g.log.Info().Bool("signal", signalled).Bool("changed", s.Bounds != current).
			Interface("bounds", s.Bounds).Msg("settings reloaded")
	}
	return s.Bounds
}
