package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/settings"
)

func parse(t *testing.T, target any, args ...string) error {
	t.Helper()
	var faults settings.ParseErrors
	parser, err := kong.New(target, faults.KongOptions()...)
	require.NoError(t, err)
	_, err = parser.Parse(args)
	require.NoError(t, err)
	return settings.Validate(target, &faults)
}

var valid = []string{
	"--advertise=127.0.0.1:8082", "--region=ro-centru", "--failure-domain=medias",
	"--instance=od-1", "--platform-url=http://127.0.0.1:9000",
	"--backend-url=http://127.0.0.1:9100", "--service=order-book",
}

// Guards against an operator who repairs one setting after another because each
// start shows only the first fault.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	t.Setenv("FILBERTMUX_PLATFORM_TIMEOUT", "soon")
	var s settings.Sidecar
	err := parse(t, &s, "--max-in-flight=many", "--replay-bytes=1", "--backend-url=ftp://x", "--log-level=loud", "--ranks=1,-1")
	require.True(t, errkind.Is(err, errkind.InvalidSettings))
	require.Equal(t, 2, errkind.Of(err).Kind.Attributes().ExitCode)
	require.NotContains(t, err.Error(), "\n")
	for _, want := range []string{
		`--platform-timeout "soon": want a duration`, `--max-in-flight "many": want a whole number`,
		"--replay-bytes: must be at least 1024", `--backend-url "ftp://x": want http`,
		`--log-level "loud": want one of`, "--instance is required", "--advertise is required",
	} {
		require.Contains(t, err.Error(), want)
	}
	require.Equal(t, 1, strings.Count(err.Error(), "--max-in-flight"))
}

// Guards against an unknown policy that silently becomes the default one, and
// against a default that the check refuses.
func TestRoutingPolicyIsChecked(t *testing.T) {
	common := valid[:5]
	var s settings.Entry
	require.NoError(t, parse(t, &s, common...))
	require.NotEmpty(t, s.RoutingPolicy)
	err := parse(t, &settings.Entry{}, append(common[:5:5], "--routing-policy=best", "--queue-size=0", "--max-concurrent=-1")...)
	require.True(t, errkind.Is(err, errkind.InvalidSettings))
	for _, want := range []string{
		`--routing-policy "best": want one of`, "--queue-size: must be at least 1", "--max-concurrent: must be at least 0",
	} {
		require.Contains(t, err.Error(), want)
	}
}

// Guards against a sidecar of a group that cannot reach its ranks.
func TestGroupSettingsBelongTogether(t *testing.T) {
	var s settings.Sidecar
	err := parse(t, &s, append(valid, "--group=g")...)
	for _, flag := range []string{"--ranks", "--group-ranks", "--rank-url"} {
		require.ErrorContains(t, err, flag+" is required with --group")
	}
	require.NoError(t, parse(t, &settings.Sidecar{}, append(valid,
		"--group=g", "--ranks=0,1", "--group-ranks=4", "--rank-url=http://127.0.0.1:9300")...))
}

// Guards against a group that runs with an interval that no one meant.
func TestGroupTimingIsChecked(t *testing.T) {
	var s settings.Sidecar
	require.NoError(t, parse(t, &s, valid...))
	require.Zero(t, s.GroupTiming)
	require.NoError(t, parse(t, &s, append(valid[:7:7], "--lease-ttl=2s", "--store-rate=0.5")...))
	require.Equal(t, settings.GroupTiming{LeaseTTL: 2 * time.Second, StoreRate: 0.5}, s.GroupTiming)
	t.Setenv("FILBERTMUX_VOTE_TIMEOUT", "-1s")
	err := parse(t, &settings.Sidecar{}, append(valid[:7:7], "--lease-ttl=1ms", "--store-rate=-1", "--plan-interval=1ms")...)
	for _, flag := range []string{"--lease-ttl", "--store-rate", "--plan-interval", "--vote-timeout"} {
		require.ErrorContains(t, err, flag+": must")
	}
}

// Guards against environment variables that are ignored, and against a flag
// that loses against one.
func TestFlagsOverrideTheEnvironment(t *testing.T) {
	t.Setenv("FILBERTMUX_HEARTBEAT_INTERVAL", "250ms")
	t.Setenv("FILBERTMUX_MAX_BODY_BYTES", "100")
	var s settings.Sidecar
	require.NoError(t, parse(t, &s, append(valid, "--max-body-bytes=200")...))
	require.Equal(t, 250*time.Millisecond, s.HeartbeatInterval)
	require.Equal(t, 200, s.MaxBodyBytes)
	require.Equal(t, 262144, s.ReplayBytes)
}

// Guards against a secret in the printed settings.
func TestPrintMasksSecrets(t *testing.T) {
	var s settings.Sidecar
	require.NoError(t, parse(t, &s, append(valid, "--peer-token=hunter2")...))
	require.Equal(t, "hunter2", s.PeerToken.Reveal())
	var out strings.Builder
	require.NoError(t, settings.Print(&out, &s))
	require.NotContains(t, out.String(), "hunter2")
	require.Contains(t, out.String(), `"peer-token": "********"`)
	require.Contains(t, out.String(), `"heartbeat-interval": "1s"`)
}
