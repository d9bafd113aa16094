package cli

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/gateway"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// logBuffer is the number of lines that wait for a slow reader of the log.
	// Further ones are dropped, because no request waits for the log.
	logBuffer = 1000
	// memoryShare is the part of the memory limit at which the garbage
	// collector works harder. The rest is for sockets and stacks.
	memoryShare = 0.7
)

// gatewayCommand has few flags, because the platform gives the settings in a
// file.
type gatewayCommand struct {
	LogLevel      string `name:"log-level" default:"info" enum:"debug,info,warn,error" help:"Lowest level of log lines."`
	MetricsPort   int    `name:"metrics-port" default:"0" help:"Port of the metrics at the instance's address; 0 serves none."`
	CheckSettings bool   `name:"check-settings" help:"Read the settings file of the platform, report all faults, and exit."`
}

// Run implements the gateway command.
func (c *gatewayCommand) Run(ctx context.Context, faults *settings.ParseErrors, streams Streams) error {
	if err := settings.Validate(c, faults); err != nil {
		return err
	}
	s, err := platform.LoadSettings()
	if err != nil || c.CheckSettings {
		return err
	}
	if s.FrontendAddress == "" || s.ReadyAddress == "" {
		return errkind.New(errkind.InvalidSettings, "the settings name no address for callers; this is no entry instance")
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	log, flush := platformLogger(c.LogLevel, gateway.Role, s.Instance, streams)
	defer flush()
	options := gateway.Options{Settings: s, Log: log, MetricsPort: c.MetricsPort}
	return daemon.Run(ctx, fx.New(gateway.Module(options)))
}

// platformLogger writes to standard output, where the platform collects the
// lines, and never blocks.
func platformLogger(level, role, instance string, streams Streams) (log zerolog.Logger, flush func()) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel // checked by the command line
	}
	var dropped zerolog.Logger
	out := diode.NewWriter(streams.Out, logBuffer, 0, func(missed int) {
		dropped.Warn().Int("dropped", missed).Msg("log lines lost; the reader is slow")
	})
	dropped = telemetry.NewLogger(streams.Out, parsed, role, instance)
	log = telemetry.NewLogger(out, parsed, role, instance)
	telemetry.LogViolations(log)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return log, func() { _ = out.Close() }
}
