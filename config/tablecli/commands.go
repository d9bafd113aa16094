// Package tablecli holds the operators' commands on the table.
package tablecli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
)

// Commands is embedded into the command line. Each Run takes a
// context.Context and an io.Writer binding.
type Commands struct {
	Validate ValidateCmd `cmd:"" help:"Check the CSV files of a directory."`
	Diff     DiffCmd     `cmd:"" help:"Show what publish would change."`
	Publish  PublishCmd  `cmd:"" help:"Publish the rows of one office."`
	History  HistoryCmd  `cmd:"" help:"List the remembered verdicts."`
	Export   ExportCmd   `cmd:"" help:"Write the table in force as CSV files with versions."`
	Status   StatusCmd   `cmd:"" help:"Show the table in force."`
}

// Source names the platform.
type Source struct {
	// The name is that of the daemons' setting; --platform is its earlier one.
	PlatformURL string `name:"platform-url" aliases:"platform" required:"" env:"FILBERTMUX_PLATFORM_URL,FILBERTMUX_PLATFORM" help:"URL of the platform services."`
}

func (s Source) client() (*infra.HTTPClient, error) {
	return infra.NewHTTPClient(s.PlatformURL, &http.Client{Timeout: time.Minute})
}

// read returns a client of the platform and the table at the end of the log.
func (s Source) read(ctx context.Context) (*infra.HTTPClient, *table.State, error) {
	client, err := s.client()
	if err != nil {
		return nil, nil, err
	}
	f, err := tablesync.ReadOnce(ctx, client)
	return client, f, err
}

// Edit names the edited rows.
type Edit struct {
	Dir    string `arg:"" type:"existingdir" help:"Directory of the CSV files."`
	Office string `required:"" help:"Office that owns the rows."`
}

// changeSet returns the change set against the fold and its faults.
func (e Edit) changeSet(f *table.State) (table.ChangeSet, error) {
	sheet, err := table.LoadDir(os.DirFS(e.Dir))
	if err != nil {
		return table.ChangeSet{}, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return table.ChangeSet{}, errkind.Wrap(errkind.Internal, err, "change-set id")
	}
	return table.Diff(f.View(), sheet, e.Office, id.String()), nil
}

// ValidateCmd checks a directory without the platform.
type ValidateCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of the CSV files."`
}

// Run implements the command.
func (c *ValidateCmd) Run(_ context.Context, out io.Writer) error {
	sheet, err := table.LoadDir(os.DirFS(c.Dir))
	if err != nil {
		return err
	}
	if _, err := table.ViewFromCSV(sheet); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d rows are valid\n", len(sheet.Rows))
	return err
}

// DiffCmd shows a change set.
type DiffCmd struct {
	Source
	Edit
}

// Run implements the command.
func (c *DiffCmd) Run(ctx context.Context, out io.Writer) error {
	_, f, err := c.read(ctx)
	if err != nil {
		return err
	}
	set, err := c.changeSet(f)
	if err != nil {
		return err
	}
	printChanges(out, set)
	if len(set.Changes) == 0 {
		return nil
	}
	return table.FaultsError(f.Check(set))
}

func printChanges(out io.Writer, set table.ChangeSet) {
	_, _ = fmt.Fprintf(out, "%d change(s) of office %s at table offset %d\n", len(set.Changes), set.Office, set.ReadOffset)
	for _, c := range set.Changes {
		if c.Row == nil {
			_, _ = fmt.Fprintf(out, "delete %s (version %d)\n", c.Key, c.BaseVersion)
			continue
		}
		_, _ = fmt.Fprintf(out, "put %s (version %d): %s\n", c.Key, c.BaseVersion, c.Row)
	}
}

// StatusCmd shows the table in force.
type StatusCmd struct {
	Source
	Instances bool          `help:"Ask each instance for its offset and name those that are behind."`
	Timeout   time.Duration `default:"30s" help:"Time for the whole command."`
}

// Run implements the command.
func (c *StatusCmd) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	log, f, err := c.read(ctx)
	if err != nil {
		return err
	}
	digest, _ := f.Digest().MarshalText()
	if _, err = fmt.Fprintf(out, "offset %d digest %s rows %d\n", f.Offset(), digest, len(f.View().Entries())); err != nil || !c.Instances {
		return err
	}
	q := newSurvey(statusTimeout)
	defer q.close()
	return printInstances(ctx, log, q, f.Offset(), out)
}

// printInstances asks each instance once.
func printInstances(ctx context.Context, list infra.InstanceList, q *survey, offset infra.Offset, out io.Writer) error {
	instances, err := list.Instances(ctx)
	if err != nil {
		return err
	}
	late := q.late(ctx, instances, offset)
	if _, err = fmt.Fprintf(out, "in force on %d of %d instance(s)\n", len(instances)-len(late), len(instances)); err != nil || len(late) == 0 {
		return err
	}
	_, err = fmt.Fprintf(out, "not reported by: %s\n", nameSome(late))
	return err
}
