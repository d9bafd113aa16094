// Package cli implements the commands of the filbertmux program.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/tablecli"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/demo"
	"github.com/filbertmux/filbertmux/daemons/entry"
	"github.com/filbertmux/filbertmux/daemons/sidecar"
)

type commands struct {
	Entry     entryCommand      `cmd:"" help:"Run an entry, which serves callers."`
	Sidecar   sidecarCommand    `cmd:"" help:"Run the sidecar of a backend server."`
	Gateway   gatewayCommand    `cmd:"" help:"Run a gateway on the users' platform, which serves callers."`
	RankAgent rankAgentCommand  `cmd:"" name:"rankagent" help:"Run the agent beside a rank on the users' platform, which controls the expert maps of its group."`
	Config    configCommand     `cmd:"" help:"Check a configuration of the users' platform."`
	Table     tablecli.Commands `cmd:"" help:"Validate, publish and inspect the table."`
	Standin   standinCommand    `cmd:"" help:"Run a stand-in for tests."`
	Demo      demoCommand       `cmd:"" help:"Run a whole deployment on loopback and check its answers."`
}

// Streams holds the standard output and standard error of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Main runs one command and returns the exit code of the process.
func Main(ctx context.Context, args []string, streams Streams) int {
	var c commands
	var faults settings.ParseErrors
	exit := -1
	options := append(faults.KongOptions(),
		kong.Name("filbertmux"),
		kong.Description("Load balancer for expert-parallel model groups and plain services."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { exit = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(streams.Out, (*io.Writer)(nil)),
		kong.Bind(&faults, streams),
	)
	parser, err := kong.New(&c, options...)
	if err != nil {
		return report(streams, errkind.Wrap(errkind.Internal, err, "command line"))
	}
	command, err := parser.Parse(args)
	if exit >= 0 { // --help
		return exit
	}
	if err != nil {
		return report(streams, errkind.Wrap(errkind.InvalidSettings, err, "command line"))
	}
	return report(streams, command.Run())
}

// report prints err and returns its exit code. Only an invalid table takes more
// than one line, one for each of its faults.
func report(streams Streams, err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(streams.Err, "filbertmux: "+errkind.Of(err).Error())
	return errkind.Of(err).Kind.Attributes().ExitCode
}

type entryCommand struct {
	settings.Entry `embed:""`
}

// Run implements the entry command.
func (c *entryCommand) Run(ctx context.Context, faults *settings.ParseErrors, streams Streams) error {
	done, err := validateSettings(&c.Entry, c.PrintSettings, faults, streams)
	if done || err != nil {
		return err
	}
	setSoftMemoryLimit(c.MemoryLimit)
	log := newLogger(c.Common, "entry", streams)
	return daemon.Process{Log: log}.Run(ctx, entry.Module(entry.Options{Settings: c.Entry, Log: log}))
}

type sidecarCommand struct {
	settings.Sidecar `embed:""`
}

// Run implements the sidecar command.
func (c *sidecarCommand) Run(ctx context.Context, faults *settings.ParseErrors, streams Streams) error {
	done, err := validateSettings(&c.Sidecar, c.PrintSettings, faults, streams)
	if done || err != nil {
		return err
	}
	debug.SetMemoryLimit(sidecar.SoftMemoryLimit(c.Sidecar))
	log := newLogger(c.Common, "sidecar", streams)
	return daemon.Process{Log: log}.Run(ctx, sidecar.Module(sidecar.Options{Settings: c.Sidecar, Log: log}))
}

// validateSettings validates the settings and prints them if show is set. done
// reports that the command must not start the daemon.
func validateSettings(s any, show bool, faults *settings.ParseErrors, streams Streams) (done bool, err error) {
	if show {
		if err := settings.Print(streams.Out, s); err != nil {
			return true, err
		}
	}
	return show, settings.Validate(s, faults)
}

func newLogger(s settings.Common, role string, streams Streams) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel // unreachable; the settings were validated
	}
	log := telemetry.NewLogger(streams.Err, level, role, s.Instance)
	telemetry.LogViolations(log)
	return log
}

type demoCommand struct {
	JSON bool `name:"json" help:"Print the report as one JSON object."`
	Logs bool `name:"logs" help:"Print the log lines of the daemons to standard error."`
}

// Run implements the demo command.
func (c *demoCommand) Run(ctx context.Context, streams Streams) error {
	logs := io.Discard
	if c.Logs {
		logs = streams.Err
	}
	result, err := demo.Run(ctx, logs)
	if err != nil {
		return err
	}
	write := result.WriteText
	if c.JSON {
		write = result.WriteJSON
	}
	if err := write(streams.Out); err != nil {
		return err
	}
	if !result.OK {
		return errkind.New(errkind.Internal, "the demo failed: a response was incorrect or a non-idempotent request did not run exactly once")
	}
	return nil
}

// StandardStreams returns the standard output and standard error of the process.
func StandardStreams() Streams { return Streams{Out: os.Stdout, Err: os.Stderr} }
