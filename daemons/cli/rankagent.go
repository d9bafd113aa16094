package cli

import (
	"context"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/rankagent"
	"github.com/filbertmux/filbertmux/platform"
)

// rankAgentCommand has few flags, because the platform provides the settings in
// a file.
type rankAgentCommand struct {
	LogLevel      string `name:"log-level" default:"info" enum:"debug,info,warn,error" help:"Lowest level of log lines."`
	CheckSettings bool   `name:"check-settings" help:"Read the settings file of the platform, report all faults, and exit."`
}

// Run implements the rankagent command.
func (c *rankAgentCommand) Run(ctx context.Context, faults *settings.ParseErrors, streams Streams) error {
	if err := settings.Validate(c, faults); err != nil {
		return err
	}
	s, err := platform.LoadSettings()
	if err != nil || c.CheckSettings {
		return err
	}
	if s.BackendAddress == "" {
		return errkind.New(errkind.InvalidSettings, "the settings contain no address of a backend server on this instance")
	}
	setSoftMemoryLimit(s.MemoryBytes)
	log, flush := newNonBlockingLogger(c.LogLevel, rankagent.Role, s.Instance, streams)
	defer flush()
	return daemon.Process{Log: log}.Run(ctx, rankagent.Module(rankagent.Options{Settings: s, Log: log}))
}
