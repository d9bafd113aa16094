package cli_test

import (
	"encoding/json"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/check"
	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

func writeFile(t *testing.T, path string, data []byte) string {
	t.Helper()
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// Guards against exit codes on which scripts can't rely, findings that are lost between the
// check and the command, and a check that doesn't say what it left out.
func TestConfigCheck(t *testing.T) {
	t.Setenv(platformtest.SettingsVariable, "")
	dir := t.TempDir()
	d := &platformtest.Deployment{Host: "h.example"}
	old := writeFile(t, filepath.Join(dir, "old"), d.NextConfig([]string{platformtest.Key}, nil))
	edited := writeFile(t, filepath.Join(dir, "new"),
		d.NextConfig([]string{platformtest.Key, "key-2"}, platformtest.WithTimeout(3*time.Second, 300*time.Millisecond)))

	code, out, errs := run("config", "check", edited)
	require.Zero(t, code, errs)
	require.Contains(t, out, "0 errors")
	require.Contains(t, out, "not checked without the settings of the platform")

	code, out, errs = run("config", "check", edited, "--against="+old)
	require.Zero(t, code, errs)
	require.Contains(t, out, "route r-lookup: the timeout is 3s instead of 2s [changed]")
	require.Contains(t, out, "1 key added and 0 removed, which makes 2 keys")
	require.NotContains(t, out, platformtest.Key)

	code, out, errs = run("config", "check", old, "--against="+edited)
	require.Equal(t, 1, code)
	require.Contains(t, out, "[version_not_higher]")
	require.Equal(t, "filbertmux: check_failed: 1 error in "+old+"\n", errs)

	d.MaxHeaderBytes = math.MaxInt
	refused := writeFile(t, filepath.Join(dir, "refused"), d.NextConfig(nil, nil))
	code, out, _ = run("config", "check", refused, "--json")
	require.Equal(t, 1, code)
	var report check.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Equal(t, 1, report.Errors)
	require.Equal(t, check.Unservable, report.Findings[0].Code)

	for name, args := range map[string][]string{
		"no file":           {filepath.Join(dir, "missing")},
		"no former version": {edited, "--against=" + filepath.Join(dir, "missing")},
		"refused one":       {edited, "--against=" + refused},
		"no store":          {edited, "--against=version"},
		"store is gone":     {edited, "--against=version", "--store=127.0.0.1:1"},
		"no settings":       {edited, "--settings-file=" + filepath.Join(dir, "missing")},
		"invalid settings":  {edited, "--settings-file=" + edited},
		"unknown flag":      {edited, "--loud"},
	} {
		code, out, errs = run(append([]string{"config", "check"}, args...)...)
		require.Equal(t, 2, code, name)
		require.Empty(t, out, name)
		require.NotEmpty(t, errs, name)
	}
}

// Guards against a documented command that doesn't print what the page says.
func TestDocumentedConfigCheck(t *testing.T) {
	t.Setenv(platformtest.SettingsVariable, "")
	t.Chdir(filepath.Join("..", ".."))
	page, err := os.ReadFile(filepath.Join("docs", "OPERATIONS.md"))
	require.NoError(t, err)
	const file, old = "platform/testdata/config-9.json", "platform/testdata/config-7.json"
	require.Contains(t, string(page), "    filbertmux config check "+file+" --against="+old+"\n")
	code, out, errs := run("config", "check", file, "--against="+old)
	require.Zero(t, code, errs)
	for line := range strings.Lines(strings.ReplaceAll(out, file, "FILE")) {
		require.Contains(t, string(page), "    "+line)
	}
}

// Guards against a comparison with another version than the newest one of the store, against
// settings that aren't used, and against calls of the store that nobody asked for.
func TestConfigCheckAgainstVersionInForce(t *testing.T) {
	dir := t.TempDir()
	store := platformtest.NewStore()
	defer store.Close()
	d := &platformtest.Deployment{Store: store, Host: "h.example"}
	d.PublishConfig([]string{"key-0"}, nil)
	d.PublishConfig([]string{platformtest.Key}, nil)
	edited := writeFile(t, filepath.Join(dir, "new"),
		d.NextConfig([]string{platformtest.Key}, platformtest.WithRegions(platformtest.LookupPath, "region-1", "region-2")))
	settings := filepath.Join(dir, "settings")
	require.NoError(t, platformtest.GatewaySettings{
		Name: "g", IP: "127.0.0.1", StoreAddress: store.Address(), MemoryMB: 100, MaxDescriptors: 1000,
	}.WriteFile(settings))
	t.Setenv(platformtest.SettingsVariable, settings)

	code, out, errs := run("config", "check", edited, "--against=version")
	require.Zero(t, code, errs)
	require.Contains(t, out, "no failure domain is in region region-2, which route r-lookup allows [unknown_region]")
	require.Contains(t, out, "route r-lookup: the list of allowed regions is region-1 and region-2 instead of all [changed]")
	require.Contains(t, out, "(version 9): 0 errors, 1 warning, 1 difference to version 6, which is in force\n")
	require.NotContains(t, out, "not checked")

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	called := make(chan struct{}, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			called <- struct{}{}
			_ = conn.Close()
		}
	}()
	code, _, _ = run("config", "check", edited, "--against="+edited, "--store="+listener.Addr().String())
	require.Zero(t, code, "a version is compared with itself")
	require.Empty(t, called)
	code, _, _ = run("config", "check", edited, "--against=version", "--store="+listener.Addr().String())
	require.Equal(t, 2, code)
	require.Len(t, called, 1)
}

// Guards against exit codes of the check of the table that differ from those of the check of
// a configuration, and against a misspelt directory that passes for an empty table.
func TestTableCheck(t *testing.T) {
	dir, old := t.TempDir(), t.TempDir()
	for _, to := range []string{dir, old} {
		require.NoError(t, os.CopyFS(to, examples.Demo()))
	}
	code, out, errs := run("table", "check", dir, "--against="+old)
	require.Zero(t, code, errs)
	require.Equal(t, dir+": 0 errors, 0 warnings, 0 differences to "+old+"\n", out)

	edit := func(text string) { writeFile(t, filepath.Join(dir, "classes.csv"), []byte(text)) }
	edit("name,priority,reserve,office\ndesk,0,0.25,sibiu\naccounts,10,0.1,sibiu\nadmin,20,0.05,sibiu\n")
	code, out, errs = run("table", "check", dir, "--against="+old, "--json")
	require.Zero(t, code, errs)
	var report check.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Len(t, report.Findings, 1)
	require.Equal(t, "class desk: reserve is 0.25 instead of 0.3", report.Findings[0].Message)

	edit("name,priority,reserve,office\ndesk,100,0.3,sibiu\n")
	code, out, errs = run("table", "check", dir)
	require.Equal(t, 1, code)
	require.Contains(t, out, filepath.Join(dir, "classes.csv")+`:2:6: class.priority: error: priority "100": want a whole number from 0 to 99 [invalid_row]`)
	require.Contains(t, errs, "check_failed")

	for _, args := range [][]string{{dir + "x"}, {old, "--against=" + dir + "x"}, {old, "--against=" + dir}, {filepath.Join(dir, "classes.csv")}} {
		code, out, errs = run(append([]string{"table", "check"}, args...)...)
		require.Equal(t, 2, code, args)
		require.Empty(t, out)
		require.Contains(t, errs, "check_not_run")
	}
}
