package gateway

import (
	"reflect"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/config/check"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a check that calls an error what a gateway installs, or doesn't call an
// error what it refuses, and against keys in the report. Each pair of configurations goes
// through the check and to a gateway that has the first one.
func TestCheckRefusesWhatGatewaysRefuse(t *testing.T) {
	d := &platformtest.Deployment{Host: host}
	outcomes := make(map[bool]int)
	rapid.Check(t, func(t *rapid.T) {
		state := NewClusterState()
		first, second := d.RandomConfig(t), d.RandomConfig(t)
		installConfig(platformtest.ConfigRecord(first), state, topicUpdate{}, zerolog.Nop())
		before := state.currentConfig()
		decoded := installConfig(platformtest.ConfigRecord(second), state, topicUpdate{}, zerolog.Nop())
		after := state.currentConfig()
		_, err := platform.DecodeConfig(second)
		require.Equal(t, err == nil, decoded)
		require.True(t, decoded || before == after, "the last good configuration stays")

		c := check.ConfigCheck{File: "f", Document: platform.ParseConfig(second)}
		if before != nil {
			against := platform.ParseConfig(first)
			c.Against = &against
		}
		report := c.Run()
		inForceBefore := decoded && reflect.DeepEqual(before, c.Document.Config)
		refused := before == after && !inForceBefore
		require.Equal(t, refused, report.Errors > 0, "%s\n%s\n%s", first, second, report.Text())
		outcomes[refused]++

		json, err := report.JSON()
		require.NoError(t, err)
		require.NotContains(t, report.Text()+string(json), platformtest.RandomKeyPrefix)
		require.Equal(t, report, c.Run(), "the report depends on something else than its input")
	})
	require.Positive(t, outcomes[true])
	require.Positive(t, outcomes[false])
	t.Logf("%d refused, %d not", outcomes[true], outcomes[false])
}
