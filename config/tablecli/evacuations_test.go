package tablecli

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/table"
)

// Guards against commands that leave out the evacuations: an operator who publishes one
// must see it accepted and in the export, and must be able to take it back from there.
func TestEvacuationByCommands(t *testing.T) {
	server := httptest.NewServer(&testPlatform{})
	defer server.Close()
	source := Source{PlatformURL: server.URL}
	publish := func(dir string) string {
		var out bytes.Buffer
		c := PublishCmd{Source: source, Edit: Edit{Dir: dir, Office: "sibiu"}, Timeout: time.Minute}
		require.NoError(t, c.Run(t.Context(), &out))
		return out.String()
	}
	write := func(dir, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, table.FileName(table.KindEvacuation)), []byte(text), 0o600))
	}
	edited, exported := t.TempDir(), t.TempDir()
	write(edited, "failure_domain,office\nsibiu-a,sibiu\n")
	require.Contains(t, publish(edited), "put evacuation/sibiu-a (version 0): failure_domain=sibiu-a office=sibiu\naccepted")

	var out bytes.Buffer
	require.NoError(t, (&ExportCmd{Source: source, Dir: exported}).Run(t.Context(), &out))
	data, err := os.ReadFile(filepath.Join(exported, "evacuations.csv"))
	require.NoError(t, err)
	require.Equal(t, "failure_domain,office,version,delete\nsibiu-a,sibiu,1,\n", string(data))
	write(exported, "failure_domain,office,version,delete\nsibiu-a,sibiu,1,yes\n")
	require.Contains(t, publish(exported), "delete evacuation/sibiu-a (version 1)\naccepted")

	out.Reset()
	require.NoError(t, (&HistoryCmd{Source: source}).Run(t.Context(), &out))
	require.Regexp(t, "^1 accepted office sibiu id .*\n2 accepted office sibiu id .*\n$", out.String())
}
