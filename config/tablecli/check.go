package tablecli

import (
	"context"
	"io"
	"os"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/check"
	"github.com/filbertmux/filbertmux/config/table"
)

// CheckCmd checks the CSV files of a directory without access to the platform.
type CheckCmd struct {
	Dir     string `arg:"" help:"Directory of the CSV files."`
	Against string `help:"Directory with the table that they edit, such as an export."`
	JSON    bool   `name:"json" help:"Print the report as one JSON object."`
}

// Run implements the command. The error has the kind CheckFailed if the files are refused,
// and CheckNotRun if they can't be checked.
func (c *CheckCmd) Run(_ context.Context, out io.Writer) error {
	report, err := c.check()
	if err != nil {
		return errkind.Wrap(errkind.CheckNotRun, err, "check table")
	}
	data, err := report.Format(c.JSON)
	if err != nil {
		return errkind.Wrap(errkind.CheckNotRun, err, "check table")
	}
	if _, err := out.Write(data); err != nil {
		return errkind.Wrap(errkind.CheckNotRun, err, "write report")
	}
	return report.Err()
}

func (c *CheckCmd) check() (check.Report, error) {
	if err := requireDir(c.Dir); err != nil {
		return check.Report{}, err
	}
	run := check.TableCheck{Dir: c.Dir, AgainstSource: c.Against}
	var err error
	if run.Edited, run.Faults, err = table.ReadDir(os.DirFS(c.Dir)); err != nil {
		return check.Report{}, err
	}
	if c.Against != "" {
		if run.Against, err = loadView(c.Against); err != nil {
			return check.Report{}, err
		}
	}
	return run.Run(), nil
}

// loadView returns the table in a directory, which must be valid.
func loadView(dir string) (*table.View, error) {
	if err := requireDir(dir); err != nil {
		return nil, err
	}
	csvTable, err := table.LoadDir(os.DirFS(dir))
	if err != nil {
		return nil, err
	}
	return table.ViewFromCSV(csvTable)
}

// requireDir returns an error unless dir is a directory. Missing CSV files count as empty, so
// a misspelt directory would pass for an empty table.
func requireDir(dir string) error {
	info, err := os.Stat(dir)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return errkind.New(errkind.InvalidSettings, "%s is not a directory", dir)
	}
	return nil
}
