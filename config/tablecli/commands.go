// Package tablecli implements the commands with which operators read and change
// the table.
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

// Commands are the subcommands for the table, to be embedded in a kong command
// line. Each Run method takes bindings of a context.Context and an io.Writer.
type Commands struct {
	Validate ValidateCmd `cmd:"" help:"Check the CSV files of a directory."`
	Check    CheckCmd    `cmd:"" help:"Check the CSV files of a directory, with warnings and the differences to another one."`
	Diff     DiffCmd     `cmd:"" help:"Show what publish would change."`
	Publish  PublishCmd  `cmd:"" help:"Publish the rows of one office."`
	History  HistoryCmd  `cmd:"" help:"List the remembered verdicts."`
	Export   ExportCmd   `cmd:"" help:"Write the table in force as CSV files with versions."`
	Status   StatusCmd   `cmd:"" help:"Show the table in force."`
}

// Source selects the platform from which the table is read.
type Source struct {
	// The flag has the same name as the setting of the daemons. --platform is
	// its former name.
	PlatformURL string `name:"platform-url" aliases:"platform" required:"" env:"FILBERTMUX_PLATFORM_URL,FILBERTMUX_PLATFORM" help:"URL of the platform services."`
}

func (s Source) client() (*infra.HTTPClient, error) {
	return infra.NewHTTPClient(s.PlatformURL, &http.Client{Timeout: time.Minute})
}

// read returns a client of the platform and the table state at the end of the
// log.
func (s Source) read(ctx context.Context) (*infra.HTTPClient, *table.State, error) {
	client, err := s.client()
	if err != nil {
		return nil, nil, err
	}
	state, err := tablesync.ReadOnce(ctx, client)
	return client, state, err
}

// Edit selects the edited rows.
type Edit struct {
	Dir    string `arg:"" type:"existingdir" help:"Directory of the CSV files."`
	Office string `required:"" help:"Office that owns the rows."`
}

// changeSet returns the change set that turns the state into the edited rows, or
// an error that lists the faults of the CSV files.
func (e Edit) changeSet(state *table.State) (table.ChangeSet, error) {
	csvTable, err := table.LoadDir(os.DirFS(e.Dir))
	if err != nil {
		return table.ChangeSet{}, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return table.ChangeSet{}, errkind.Wrap(errkind.Internal, err, "generate change set id")
	}
	return table.Diff(state.View(), csvTable, e.Office, id.String()), nil
}

// ValidateCmd checks the CSV files of a directory without access to the platform.
type ValidateCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of the CSV files."`
}

// Run implements the command.
func (c *ValidateCmd) Run(_ context.Context, out io.Writer) error {
	csvTable, err := table.LoadDir(os.DirFS(c.Dir))
	if err != nil {
		return err
	}
	if _, err := table.ViewFromCSV(csvTable); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d rows are valid\n", len(csvTable.Rows))
	return err
}

// DiffCmd prints the change set that PublishCmd would publish, and returns its
// faults as an error.
type DiffCmd struct {
	Source
	Edit
}

// Run implements the command.
func (c *DiffCmd) Run(ctx context.Context, out io.Writer) error {
	_, state, err := c.read(ctx)
	if err != nil {
		return err
	}
	set, err := c.changeSet(state)
	if err != nil {
		return err
	}
	printChanges(out, set)
	if len(set.Changes) == 0 {
		return nil
	}
	return table.FaultsError(state.Check(set))
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

// StatusCmd prints the offset, digest and size of the table in force.
type StatusCmd struct {
	Source
	Instances bool          `help:"Ask each instance for its offset and name those that are behind."`
	Timeout   time.Duration `default:"30s" help:"Time for the whole command."`
}

// Run implements the command.
func (c *StatusCmd) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	log, state, err := c.read(ctx)
	if err != nil {
		return err
	}
	digest, _ := state.Digest().MarshalText()
	if _, err = fmt.Fprintf(out, "offset %d digest %s rows %d\n", state.Offset(), digest, len(state.View().Entries())); err != nil || !c.Instances {
		return err
	}
	poller := newOffsetPoller(statusRequestTimeout)
	defer poller.close()
	return printInstances(ctx, log, poller, state.Offset(), out)
}

// printInstances requests the table offset of each instance once and prints which
// instances have not reported the given offset.
func printInstances(ctx context.Context, list infra.InstanceList, poller *offsetPoller, offset infra.Offset, out io.Writer) error {
	instances, invalid, err := infra.ValidInstances(ctx, list)
	if err != nil {
		return err
	}
	if invalid != nil {
		if _, err := fmt.Fprintf(out, "ignored: %v\n", invalid); err != nil {
			return err
		}
	}
	late := poller.pollLate(ctx, instances, offset)
	if _, err = fmt.Fprintf(out, "in force on %d of %d instance(s)\n", len(instances)-len(late), len(instances)); err != nil || len(late) == 0 {
		return err
	}
	_, err = fmt.Fprintf(out, "not reported by: %s\n", formatIDs(late))
	return err
}
