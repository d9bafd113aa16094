package tablecli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// testPlatform serves a log whose first append takes effect but returns status
// 503, and the list and status of one instance.
type testPlatform struct {
	mu      sync.Mutex
	lost    bool
	records []infra.Record
	address string
}

func (p *testPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := infra.Offset(len(p.records))
	switch {
	case r.URL.Path == "/statusz":
		_ = json.NewEncoder(w).Encode(map[string]infra.Offset{"table_offset": end})
	case r.URL.Path == infra.InstancePath:
		_ = json.NewEncoder(w).Encode([]infra.Instance{{ID: "i", Address: p.address}})
	case r.Method == http.MethodPost:
		data, _ := io.ReadAll(r.Body)
		p.records = append(p.records, infra.Record{Offset: end + 1, Data: data})
		if !p.lost {
			p.lost = true
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(infra.AppendResponse{Offset: end + 1})
	default:
		var after infra.Offset
		_ = json.Unmarshal([]byte(r.URL.Query().Get("after")), &after)
		_ = json.NewEncoder(w).Encode(infra.Batch{Records: p.records[min(after, end):], Oldest: 1, End: end})
	}
}

// Guards against a lost append response that is reported as a failure or leads to
// a second change, and against an edit of an old export that overwrites a newer
// row.
func TestPublish(t *testing.T) {
	p := &testPlatform{}
	server := httptest.NewServer(p)
	defer server.Close()
	p.address = strings.TrimPrefix(server.URL, "http://")
	dir := t.TempDir()
	write := func(priority, version string) {
		text := "name,priority,reserve,office,version\ndesk," + priority + ",0.3,sibiu," + version + "\n"
		require.NoError(t, os.WriteFile(dir+"/classes.csv", []byte(text), 0o600))
	}
	run := func(args ...string) (string, error) {
		var c Commands
		parser, err := kong.New(&c)
		require.NoError(t, err)
		parsed, err := parser.Parse(args)
		require.NoError(t, err)
		var out bytes.Buffer
		parsed.BindTo(t.Context(), (*context.Context)(nil))
		parsed.BindTo(&out, (*io.Writer)(nil))
		err = parsed.Run()
		return out.String(), err
	}
	common := []string{dir, "--office=sibiu", "--platform=" + server.URL}
	write("0", "")
	_, err := run("validate", dir)
	require.NoError(t, err)
	out, err := run(append([]string{"publish", "--wait"}, common...)...)
	require.NoError(t, err)
	require.Contains(t, out, "accepted: change set")
	require.Contains(t, out, "in force on 1 instance(s)")
	require.Len(t, p.records, 1)
	write("1", "1")
	_, err = run(append([]string{"publish"}, common...)...)
	require.NoError(t, err)
	write("2", "1")
	_, err = run(append([]string{"publish"}, common...)...)
	require.True(t, errkind.Is(err, errkind.ChangeConflict), "%v", err)
	require.ErrorContains(t, err, "priority=1")
	out, err = run("history", "--platform="+server.URL)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(out, "accepted"))
	_, err = run("export", dir, "--platform="+server.URL)
	require.ErrorContains(t, err, "--force", "edited files must not be overwritten")
	_, err = run("export", filepath.Join(dir, "new", "copy"), "--platform="+server.URL)
	require.NoError(t, err, "the directory is created")
	_, err = run("export", dir, "--force", "--platform="+server.URL)
	require.NoError(t, err)
	out, err = run(append([]string{"diff"}, common...)...)
	require.NoError(t, err)
	require.Contains(t, out, "0 change(s)", "an unedited export contains no changes")
	write("100", "2")
	_, err = run("validate", dir)
	require.True(t, errkind.Is(err, errkind.InvalidTable), "%v", err)
}
