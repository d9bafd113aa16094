// Package soak runs a deployment of separate processes under random faults for some
// minutes, checks what is promised while it runs, and writes a report.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/measure/scenarios"
)

// Files of the report. The processes write their logs to processDir.
const (
	reportFile = "report.json"
	plotFile   = "service.png"
	processDir = "processes"
)

// Cmd is the command filbertmux-bench soak.
type Cmd struct {
	Seed    uint64  `help:"Seed of the faults." default:"1"`
	Minutes float64 `help:"Time during which faults begin, in minutes." default:"1"`
	Program string  `help:"Path of filbertmux, built without the race detector. Without it, the program is built from this module." type:"path" placeholder:"FILE"`
	Report  string  `help:"Directory for the report, the plot and the logs." type:"path" placeholder:"DIR" default:"soak-report"`
}

// Run runs the soak until its time is over or it is interrupted. It returns an error if
// something promised did not hold.
func (c *Cmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.run(ctx, os.Stdout)
}

func (c *Cmd) run(ctx context.Context, out io.Writer) error {
	if c.Minutes <= 0 {
		return errors.New("--minutes must be positive")
	}
	dir := filepath.Join(c.Report, processDir)
	if err := os.MkdirAll(c.Report, 0o755); err != nil {
		return errors.Wrap(err, "create the directory of the report")
	}
	if err := os.RemoveAll(dir); err != nil { // of an earlier run
		return errors.Wrap(err, "remove the logs of the last run")
	}
	program, err := c.program(ctx)
	if err != nil {
		return err
	}
	if c.Program == "" {
		defer func() { _ = os.RemoveAll(filepath.Dir(program)) }()
	}
	report, err := scenarios.Soak(ctx, scenarios.SoakOptions{
		Seed: c.Seed, Duration: time.Duration(c.Minutes * float64(time.Minute)), Program: program, Dir: dir,
		SeriesFaults: scenarios.SoakSeriesFaults, OverlappingSteps: scenarios.SoakOverlappingSteps,
		Print: func(line string) { _, _ = fmt.Fprintln(out, line) },
	})
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	if err := c.write(report); err != nil {
		return err
	}
	return c.verdict(out, report)
}

// program returns the path of the program under test, which is built if none is given.
func (c *Cmd) program(ctx context.Context) (string, error) {
	if c.Program != "" {
		return c.Program, nil
	}
	dir, err := os.MkdirTemp("", "filbertmux-soak")
	if err != nil {
		return "", errors.Wrap(err, "create a directory for the program")
	}
	path := filepath.Join(dir, "filbertmux")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "github.com/filbertmux/filbertmux/cmd/filbertmux")
	if output, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build filbertmux: %s", output)
	}
	return path, nil
}

func (c *Cmd) write(report scenarios.SoakReport) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	if err := os.WriteFile(filepath.Join(c.Report, reportFile), data, 0o600); err != nil {
		return errors.Wrap(err, "write the report")
	}
	if err := writePlot(filepath.Join(c.Report, plotFile), report); err != nil {
		return errors.Wrap(err, "write the plot")
	}
	return nil
}

func (c *Cmd) verdict(out io.Writer, report scenarios.SoakReport) error {
	_, _ = fmt.Fprintf(out, "seed %d: %d faults and changes in %.0f s, %d calls checked against evacuations, %d violations; report in %s\n",
		c.Seed, len(report.Faults), report.Seconds, report.EvacuationChecks, len(report.Violations), c.Report)
	if len(report.Violations) == 0 {
		return nil
	}
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintf(out, "violation: %s\n", violation)
	}
	return errors.Errorf("%d violations; replay: %s", len(report.Violations), c.replay())
}

// replay returns the command that repeats the faults of this run.
func (c *Cmd) replay() string {
	return fmt.Sprintf("filbertmux-bench soak --seed %d --minutes %s", c.Seed, strconv.FormatFloat(c.Minutes, 'g', -1, 64))
}
