package demo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/demo"
)

// Guards against a path from caller to backend server that is broken anywhere:
// table, instance list, entry, sidecar, claims or stream.
func TestDemo(t *testing.T) {
	var logs bytes.Buffer
	report, err := demo.Run(context.Background(), &logs)
	require.NoError(t, err)
	require.True(t, report.OK, "%+v", report)
	require.Len(t, report.Calls, 4)
	require.Equal(t, 1, report.RunCounts[0].Runs)
	for line := range strings.Lines(logs.String()) {
		require.Contains(t, line, `"instance":`)
	}
	var text strings.Builder
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "ok: each answer was whole")
}
