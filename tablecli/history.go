package tablecli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/filbertmux/filbertmux/errkind"
	"github.com/filbertmux/filbertmux/table"
	"github.com/filbertmux/filbertmux/tablesync"
)

// HistoryCmd lists the remembered verdicts, the oldest first.
type HistoryCmd struct{ Source }

// Run implements the command.
func (c *HistoryCmd) Run(ctx context.Context, out io.Writer) error {
	log, err := c.client()
	if err != nil {
		return err
	}
	f, err := tablesync.ReadOnce(ctx, log)
	if err != nil {
		return err
	}
	for _, v := range f.Verdicts() {
		_, _ = fmt.Fprintf(out, "%d %s office %s id %s\n", v.Offset, v.Outcome, v.Office, v.ID)
		for _, fault := range v.Faults {
			_, _ = fmt.Fprintf(out, "  %s\n", fault)
		}
	}
	return nil
}

// ExportCmd writes the table in force with its versions, ready to be edited.
type ExportCmd struct {
	Source
	Dir string `arg:"" type:"existingdir" help:"Directory for the CSV files; existing files are replaced."`
}

// Run implements the command.
func (c *ExportCmd) Run(ctx context.Context, out io.Writer) error {
	log, err := c.client()
	if err != nil {
		return err
	}
	f, err := tablesync.ReadOnce(ctx, log)
	if err != nil {
		return err
	}
	entries := f.View().Entries()
	for _, k := range table.Kinds() {
		data, err := table.FormatCSV(k, entries)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(c.Dir, table.FileName(k)), data, 0o600); err != nil {
			return errkind.Wrap(errkind.Internal, err, "write table file")
		}
	}
	_, err = fmt.Fprintf(out, "%d rows at table offset %d\n", len(entries), f.Offset())
	return err
}
