package soak

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/measure/scenarios"
)

// Guards against a run with violations that ends without an error or without the command
// that replays it, and against one without violations that ends with an error.
func TestVerdict(t *testing.T) {
	c := Cmd{Seed: 7, Minutes: 1.5, Report: t.TempDir()}
	var out bytes.Buffer
	require.NoError(t, c.verdict(&out, scenarios.SoakReport{}))
	err := c.verdict(&out, scenarios.SoakReport{Violations: []string{"a booking ran twice"}})
	require.ErrorContains(t, err, "filbertmux-bench soak --seed 7 --minutes 1.5")
	require.Contains(t, out.String(), "violation: a booking ran twice")
}

// Guards against a report that can't be written, for example without any fault.
func TestReportIsWritten(t *testing.T) {
	for _, faults := range [][]scenarios.Fault{nil, {{After: time.Second, Text: "KILL entry1"}, {After: 2 * time.Second, Text: "end of all faults"}}} {
		c := Cmd{Report: t.TempDir()}
		require.NoError(t, c.write(scenarios.SoakReport{Seconds: 3, Faults: faults, Served: map[string][]int{"lookup": {1, 0, 2}}}))
		require.FileExists(t, filepath.Join(c.Report, reportFile))
		file, err := os.Open(filepath.Join(c.Report, plotFile))
		require.NoError(t, err)
		_, err = png.Decode(file)
		require.NoError(t, err)
		require.NoError(t, file.Close())
	}
}
