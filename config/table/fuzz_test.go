package table

import (
	"io/fs"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
)

// Guards against a CSV file that makes the parser panic, and against valid rows
// that change when they are written and parsed again.
func FuzzParseCSV(f *testing.F) {
	for i, k := range kinds {
		data, err := fs.ReadFile(examples.Demo(), FileName(k))
		require.NoError(f, err)
		f.Add(uint8(i), data)
	}
	f.Add(uint8(0), []byte("\xef\xbb\xbfname;priority;reserve;office\r\ndesk;0;0,25;a\r\n"))
	f.Add(uint8(len(kinds)-1), []byte("failure_domain,office,version,delete\n\"Zone A, \"\"1\"\"\",a,4,yes\n"))
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		k := kinds[int(kind)%len(kinds)]
		rows, _ := ParseCSV(k, FileName(k), data)
		var entries []Entry
		for _, r := range rows {
			require.Empty(t, r.Row.Validate())
			entries = append(entries, Entry{Row: r.Row, Version: r.Version})
		}
		written, err := FormatCSV(k, entries)
		require.NoError(t, err)
		again, faults := ParseCSV(k, FileName(k), written)
		require.Empty(t, faults)
		require.Len(t, again, len(rows))
		for i := range rows {
			require.Equal(t, rows[i].Row, again[i].Row)
			require.Equal(t, rows[i].Version, again[i].Version)
		}
	})
}

// Guards against a record that makes a reader panic, and against a state whose
// snapshot can't be restored.
func FuzzRecords(f *testing.F) {
	csvTable, err := LoadDir(examples.Demo())
	require.NoError(f, err)
	base := publishOffices(f, examples.Demo())
	set := Diff(NewState().View(), csvTable, "sibiu", "x")
	f.Add(changeSetRecord(f, 0, set).Data, []byte(`{"type":"table.change.v1","id":"y","office":"a","changes":[{"key":{"kind":"class","id":"k"},"row":{"office":"a","class":{"name":"k"}}},{"key":{"kind":"limit","id":"k"},"row":{"office":"a"}}]}`))
	evacuate := func(domain, id string) []byte {
		row := Row{Office: "sibiu", Evacuation: &Evacuation{FailureDomain: domain}}
		key, _ := row.Key()
		return changeSetRecord(f, 0, ChangeSet{ID: id, Office: "sibiu", Changes: []Change{{Key: key, Row: &row}}}).Data
	}
	f.Add(evacuate("medias", "x"), evacuate("Zone A", "y"))
	f.Add(evacuate("medias", "x"), []byte(`{"type":"table.change.v1","id":"y","office":"sibiu","read_offset":1,"changes":[{"key":{"kind":"evacuation","id":"medias"},"base":1}]}`))
	data, err := base.Snapshot()
	require.NoError(f, err)
	f.Add(data, []byte(`{"type":"table.snapshot.v1","offset":0,"digest":"0"}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		state := NewState()
		state.Apply(infra.Record{Offset: 1, Data: first})
		state.Apply(infra.Record{Offset: 2, Data: second})
		require.Equal(t, infra.Offset(2), state.Offset())
		snapshot, err := state.Snapshot()
		require.NoError(t, err)
		restored, err := Restore(snapshot)
		require.NoError(t, err)
		require.Equal(t, state.Digest(), restored.Digest())
		_, _ = Restore(first)
	})
}
