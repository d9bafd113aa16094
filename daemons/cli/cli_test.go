package cli_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/cli"
)

func run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = cli.Main(context.Background(), args, cli.Streams{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

// Guards against a daemon that starts with invalid settings, reports only the
// first fault, or exits with a code that scripts cannot tell from a crash.
func TestInvalidSettingsPreventStart(t *testing.T) {
	code, _, errs := run("sidecar", "--max-in-flight=x", "--platform-url=nowhere")
	require.Equal(t, 2, code)
	require.Equal(t, 1, strings.Count(errs, "\n"), errs)
	for _, flag := range []string{"--max-in-flight", "--platform-url", "--advertise", "--backend-url", "--service"} {
		require.Contains(t, errs, flag)
	}
	code, _, errs = run("entry", "--no-such-flag")
	require.Equal(t, 2, code)
	require.Contains(t, errs, "unknown flag --no-such-flag")
}

// Guards against printed settings that are incomplete or expose a secret.
func TestPrintSettings(t *testing.T) {
	t.Setenv("FILBERTMUX_PEER_TOKEN", "hunter2")
	code, out, errs := run("entry", "--print-settings", "--advertise=127.0.0.1:8081", "--region=r",
		"--failure-domain=d", "--instance=e1", "--platform-url=http://127.0.0.1:9000")
	require.Zero(t, code, errs)
	require.Contains(t, out, `"peer-token": "********"`)
	require.Contains(t, out, `"silence-timeout": "3s"`)
	require.NotContains(t, out, "hunter2")
}

// Guards against a gateway that starts with a share of extra work or a quantile that makes no
// sense, and against an error that doesn't say which setting is wrong.
func TestInvalidHedgeSettings(t *testing.T) {
	t.Setenv("FILBERTMUX_BOOT", writePlatformSettings(t))
	for args, want := range map[string][]string{
		"--hedge-share=0.3":                     {"--hedge-share: must be at most 0.2"},
		"--hedge-share=-0.1":                    {"--hedge-share: must be at least 0"},
		"--hedge-share=NaN":                     {`--hedge-share "NaN": want a number`},
		"--hedge-quantile=1":                    {"--hedge-quantile: must be at most 0.999"},
		"--hedge-quantile=0":                    {"--hedge-quantile: must be at least 0.5"},
		"--hedge-share=few --hedge-quantile=95": {`--hedge-share "few": want a number`, "--hedge-quantile: must be at most 0.999"},
	} {
		code, _, errs := run(append([]string{"gateway", "--check-settings"}, strings.Fields(args)...)...)
		require.Equal(t, 2, code, args)
		require.Equal(t, 1, strings.Count(errs, "\n"), errs)
		for _, text := range want {
			require.Contains(t, errs, text)
		}
	}
	code, _, errs := run("gateway", "--check-settings", "--hedge-share=0.2", "--hedge-quantile=0.999")
	require.Zero(t, code, errs)
	t.Setenv("FILBERTMUX_HEDGE_SHARE", "0.5")
	code, _, errs = run("gateway", "--check-settings")
	require.Equal(t, 2, code)
	require.Contains(t, errs, "--hedge-share")
}
