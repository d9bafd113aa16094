package cli

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/gateway"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/hedge"
)

const (
	// logBufferLines is the number of log lines buffered for a slow reader.
	// Further lines are dropped, so that a request never blocks on logging.
	logBufferLines = 1000
)

// gatewayCommand has few flags, because the platform provides the settings in a
// file.
type gatewayCommand struct {
	LogLevel      string  `name:"log-level" default:"info" enum:"debug,info,warn,error" help:"Lowest level of log lines."`
	MetricsPort   int     `name:"metrics-port" default:"0" help:"Port of the metrics at the instance's address; 0 serves none."`
	HedgeShare    float64 `name:"hedge-share" default:"0" validate:"min=0,max=0.2" help:"Largest number of extra requests for each request that may run more than once, by which late ones are sent to a second backend server; 0 sends none."`
	HedgeQuantile float64 `name:"hedge-quantile" default:"0.95" validate:"min=0.5,max=0.999" help:"Quantile of the recent times to the first output after which a request is late."`
	ShareReads    bool    `name:"share-store-reads" help:"Let a few gateways poll the store for the configuration and ask them whether it is current; otherwise each gateway polls."`
	CheckSettings bool    `name:"check-settings" help:"Read the settings file of the platform, report all faults, and exit."`
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
		return errkind.New(errkind.InvalidSettings, "the settings contain no frontend or readiness address; this is not an entry instance")
	}
	setSoftMemoryLimit(s.MemoryBytes)
	log, flush := newNonBlockingLogger(c.LogLevel, gateway.Role, s.Instance, streams)
	defer flush()
	reloads := make(chan struct{}, 1)
	options := gateway.Options{
		Settings: s, Log: log, MetricsPort: c.MetricsPort, ShareStoreReads: c.ShareReads, Reloads: reloads,
		Hedging: hedge.Config{Share: c.HedgeShare, Quantile: c.HedgeQuantile},
	}
	return daemon.Process{Log: log, Reload: func() { requestReload(reloads) }}.Run(ctx, gateway.Module(options))
}

// setSoftMemoryLimit makes the garbage collector run more often near the memory limit of
// the process, in bytes. 0 stands for the memory of the instance.
func setSoftMemoryLimit(memory int64) {
	if memory <= 0 {
		memory = inbound.InstanceMemory()
	}
	debug.SetMemoryLimit(inbound.SoftMemoryLimit(memory))
}

// requestReload asks for a reload, unless one is already pending.
func requestReload(reloads chan<- struct{}) {
	select {
	case reloads <- struct{}{}:
	default:
	}
}

// newNonBlockingLogger returns a logger that writes to standard output, where
// the platform collects the lines. It drops lines instead of blocking.
func newNonBlockingLogger(level, role, instance string, streams Streams) (log zerolog.Logger, flush func()) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel // unreachable; kong checked the enum
	}
	var dropped zerolog.Logger
	out := diode.NewWriter(streams.Out, logBufferLines, 0, func(missed int) {
		dropped.Warn().Int("dropped", missed).Msg("log lines dropped; the log reader is too slow")
	})
	dropped = telemetry.NewLogger(streams.Out, parsed, role, instance)
	log = telemetry.NewLogger(out, parsed, role, instance)
	telemetry.LogViolations(log)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return log, func() { _ = out.Close() }
}
