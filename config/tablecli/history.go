package tablecli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
)

// HistoryCmd prints the retained verdicts, the oldest first.
type HistoryCmd struct{ Source }

// Run implements the command.
func (c *HistoryCmd) Run(ctx context.Context, out io.Writer) error {
	_, state, err := c.read(ctx)
	if err != nil {
		return err
	}
	for _, v := range state.Verdicts() {
		_, _ = fmt.Fprintf(out, "%d %s office %s id %s\n", v.Offset, v.Outcome, v.Office, v.ID)
		for _, fault := range v.Faults {
			_, _ = fmt.Fprintf(out, "  %s\n", fault)
		}
	}
	return nil
}

// ExportCmd writes the table in force as CSV files with versions, which can be
// edited and published.
type ExportCmd struct {
	Source
	Dir   string `arg:"" type:"path" help:"Directory for the CSV files; it is created if needed."`
	Force bool   `help:"Replace files that hold other rows, such as edits that were not published."`
}

// Run implements the command.
func (c *ExportCmd) Run(ctx context.Context, out io.Writer) error {
	_, state, err := c.read(ctx)
	if err != nil {
		return err
	}
	entries := state.View().Entries()
	files := make(map[string][]byte)
	for _, k := range table.Kinds() {
		data, err := table.FormatCSV(k, entries)
		if err != nil {
			return err
		}
		files[filepath.Join(c.Dir, table.FileName(k))] = data
	}
	if err := c.write(files); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d rows at table offset %d\n", len(entries), state.Offset())
	return err
}

// write writes all files. Without --force it writes none if one of them exists
// with other content.
func (c *ExportCmd) write(files map[string][]byte) error {
	var edited []string
	for _, path := range slices.Sorted(maps.Keys(files)) {
		old, err := os.ReadFile(path)
		if err == nil && !bytes.Equal(old, files[path]) {
			edited = append(edited, path)
		}
	}
	if len(edited) > 0 && !c.Force {
		return errkind.New(errkind.InvalidSettings, "these files hold other rows; export elsewhere or use --force: %s",
			strings.Join(edited, ", "))
	}
	if err := os.MkdirAll(c.Dir, 0o750); err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "create export directory")
	}
	for path, data := range files {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return errkind.Wrap(errkind.Internal, err, "write table file")
		}
	}
	return nil
}
