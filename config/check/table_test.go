package check_test

import (
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/check"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/examples"
)

var update = flag.Bool("update", false, "write the golden files")

// Names of the files in a golden file; the other ones are CSV files. Those in oldDir are of
// the former table.
const (
	oldDir     = "old"
	goldenText = "report.txt"
	goldenJSON = "report.json"
)

// checkDirs checks a directory, against another one unless that is nil.
func checkDirs(t *testing.T, edited, old fs.FS) check.Report {
	t.Helper()
	c := check.TableCheck{Dir: "new", AgainstSource: oldDir}
	var err error
	c.Edited, c.Faults, err = table.ReadDir(edited)
	require.NoError(t, err)
	if old != nil {
		former, err := table.LoadDir(old)
		require.NoError(t, err)
		c.Against, err = table.ViewFromCSV(former)
		require.NoError(t, err)
	}
	return c.Run()
}

// Guards against a finding that is lost or has another place, and against changed sentences
// and JSON fields, on which scripts rely. Each file is an example of the code in its name.
func TestTableFindings(t *testing.T) {
	for _, code := range []check.Code{
		check.InvalidRow, check.UnusedClass, check.ServiceWithoutRoutes, check.LimitWithoutEffect,
		check.Added, check.Changed, check.Removed,
	} {
		t.Run(string(code), func(t *testing.T) {
			path := filepath.Join("testdata", "table", string(code)+".txtar")
			archive, err := txtar.ParseFile(path)
			require.NoError(t, err)
			edited, old, golden := fstest.MapFS{}, fstest.MapFS{}, make(map[string]string)
			for _, f := range archive.Files {
				golden[f.Name] = string(f.Data)
				if name, ok := strings.CutPrefix(f.Name, oldDir+"/"); ok {
					old[name] = &fstest.MapFile{Data: f.Data}
				} else {
					edited[f.Name] = &fstest.MapFile{Data: f.Data}
				}
			}
			var former fs.FS
			if len(old) > 0 {
				former = old
			}
			report := checkDirs(t, edited, former)
			require.True(t, slices.ContainsFunc(report.Findings, func(f check.Finding) bool { return f.Code == code }), report.Text())
			json, err := report.JSON()
			require.NoError(t, err)
			require.NotContains(t, string(json), "5e5e", "a hash of a key")
			if *update {
				archive.Files = slices.DeleteFunc(archive.Files, func(f txtar.File) bool { return strings.HasPrefix(f.Name, "report") })
				archive.Files = append(archive.Files, txtar.File{Name: goldenText, Data: []byte(report.Text())}, txtar.File{Name: goldenJSON, Data: json})
				require.NoError(t, os.WriteFile(path, txtar.Format(archive), 0o600))
				return
			}
			require.Equal(t, golden[goldenText], report.Text())
			require.Equal(t, golden[goldenJSON], string(json))
		})
	}
}

// Guards against findings about tables in order, and against differences of a table to itself.
func TestExamplesHaveNoFindings(t *testing.T) {
	for name, dir := range map[string]fs.FS{"demo": examples.Demo(), "tesatoria": examples.Tesatoria(), "kandy": examples.Kandy()} {
		require.Empty(t, checkDirs(t, dir, dir).Findings, name)
		require.Empty(t, checkDirs(t, dir, nil).Findings, name)
	}
}

// Guards against a check that calls an error what validate accepts, or the reverse, and
// against a key or its hash in the output. Each cell of the example is changed in turn.
func TestErrorsAreWhatValidateRefuses(t *testing.T) {
	const secret = "D9e1_c4b7" // an API key in place of its hash, or in the wrong column
	for _, kind := range table.Kinds() {
		name := table.FileName(kind)
		data, err := fs.ReadFile(examples.Demo(), name)
		require.NoError(t, err)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		for i := range lines {
			for j := range strings.Split(lines[i], ",") {
				for _, value := range []string{"", "0", "-1", "nobody", secret, strings.Repeat("0", 64), "a,b", `"`, "plain", "kandy"} {
					edited := demoWith(t, name, editCell(lines, i, j, value))
					report := checkDirs(t, edited, nil)
					require.Equal(t, validate(edited) != nil, report.Errors > 0, "%s line %d cell %d %q:\n%s", name, i, j, value, report.Text())
					if kind == table.KindOrganisation {
						require.NotContains(t, report.Text(), secret)
						require.NotContains(t, report.Text(), "bbbce4a8db5cb394")
					}
				}
			}
		}
	}
}

// validate is what the command validate does.
func validate(dir fs.FS) error {
	csvTable, err := table.LoadDir(dir)
	if err != nil {
		return err
	}
	_, err = table.ViewFromCSV(csvTable)
	return err
}

func editCell(lines []string, line, cell int, value string) string {
	edited := slices.Clone(lines)
	cells := strings.Split(edited[line], ",")
	cells[cell] = value
	edited[line] = strings.Join(cells, ",")
	return strings.Join(edited, "\n") + "\n"
}

// demoWith returns the demo table with one file replaced.
func demoWith(t *testing.T, name, content string) fs.FS {
	t.Helper()
	dir := fstest.MapFS{name: &fstest.MapFile{Data: []byte(content)}}
	for _, kind := range table.Kinds() {
		if other := table.FileName(kind); other != name {
			data, err := fs.ReadFile(examples.Demo(), other)
			require.NoError(t, err)
			dir[other] = &fstest.MapFile{Data: data}
		}
	}
	return dir
}
