package table

import (
	"io/fs"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
)

func evacuationFile(text string) fs.FS {
	return fstest.MapFS{FileName(KindEvacuation): {Data: []byte(text)}}
}

// Guards against a file of evacuations that is accepted although a line of it can't be
// what its author meant, and against a table without the file that is refused.
func TestEvacuationFile(t *testing.T) {
	for name, c := range map[string]struct{ text, reason string }{
		"unknown column":    {"failure_domain,office,until\nsibiu-a,sibiu,noon\n", "unknown column"},
		"missing column":    {"office\nsibiu\n", "column failure_domain: value \"\": the column is missing"},
		"two rows":          {"failure_domain,office\nsibiu-a,sibiu\nsibiu-a,kandy\n", "the row is also at evacuations.csv:2"},
		"no domain":         {"failure_domain,office\n,sibiu\n", "want 1 to 64 printable characters"},
		"control character": {"failure_domain,office\n\"a\tb\",sibiu\n", "want 1 to 64 printable characters"},
		"no office":         {"failure_domain,office\nsibiu-a,\n", "column office"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := LoadDir(evacuationFile(c.text))
			require.True(t, errkind.Is(err, errkind.InvalidTable), "%v", err)
			require.ErrorContains(t, err, c.reason)
		})
	}
	none, err := LoadDir(fstest.MapFS{})
	require.NoError(t, err)
	require.Empty(t, none.Rows)
}

// Guards against a failure domain that instances may have by their settings and that no
// row can name, and against a row that another office can change, end or repeat.
func TestEvacuationsFromPublishToView(t *testing.T) {
	state := publishOffices(t, examples.Demo())
	publish := func(office, id, text string) Verdict {
		csvTable, err := LoadDir(evacuationFile(text))
		require.NoError(t, err)
		set := Diff(state.View(), csvTable, office, id)
		require.Equal(t, TypeChangeSetV2, set.Type)
		faults := state.Check(set)
		v := state.Apply(changeSetRecord(t, state.Offset()+1, set))
		require.Equal(t, v.Outcome == OutcomeAccepted, len(faults) == 0, "%v", faults)
		return v
	}
	require.Empty(t, state.View().EvacuatedDomains())
	began := publish("sibiu", "begin", "failure_domain,office\nsibiu-b,sibiu\n\"Zone A, 1\",sibiu\n")
	require.Equal(t, OutcomeAccepted, began.Outcome, "%v", began.Faults)
	view := state.View()
	require.Equal(t, []string{"Zone A, 1", "sibiu-b"}, view.EvacuatedDomains())
	require.True(t, view.Evacuated("sibiu-b"))
	require.True(t, view.Evacuated("Zone A, 1"))
	require.False(t, view.Evacuated("sibiu-a"))
	require.False(t, view.Evacuated("sibiu-"))

	exported, err := FormatCSV(KindEvacuation, view.Entries())
	require.NoError(t, err)
	csvTable, err := LoadDir(evacuationFile(string(exported)))
	require.NoError(t, err)
	require.Empty(t, Diff(view, csvTable, "sibiu", "same").Changes, "an unedited export contains no changes")

	version := formatOffset(began.Offset)
	repeated := publish("kandy", "repeat", "failure_domain,office\nsibiu-b,kandy\n")
	require.Equal(t, OutcomeRefused, repeated.Outcome)
	require.ErrorContains(t, repeated.Err(), "the row belongs to office sibiu")
	ended := publish("sibiu", "end", "failure_domain,office,version,delete\nsibiu-b,sibiu,"+version+",yes\n")
	require.Equal(t, OutcomeAccepted, ended.Outcome, "%v", ended.Faults)
	require.Equal(t, []string{"Zone A, 1"}, state.View().EvacuatedDomains())
	require.True(t, view.Evacuated("sibiu-b"), "a view does not change")
}

// Guards against a snapshot that loses an evacuation or its end, so that a process that
// starts from it sends calls to the domain, or sends none after the end.
func TestEvacuationsSurviveSnapshot(t *testing.T) {
	state := publishOffices(t, examples.Demo())
	change := func(id string, version Version, domain string, row bool) {
		r := Row{Office: "sibiu", Evacuation: &Evacuation{FailureDomain: domain}}
		c := Change{Key: Key{KindEvacuation, domain}, BaseVersion: version}
		if row {
			c.Row = &r
		}
		set := ChangeSet{ID: id, Office: "sibiu", ReadOffset: state.Offset(), Changes: []Change{c}}
		v := state.Apply(changeSetRecord(t, state.Offset()+1, set))
		require.Equal(t, OutcomeAccepted, v.Outcome, "%v", v.Faults)
	}
	change("begin-a", 0, "sibiu-a", true)
	change("begin-b", 0, "sibiu-b", true)
	change("end-b", state.Offset(), "sibiu-b", false)
	data, err := state.Snapshot()
	require.NoError(t, err)
	restored, err := Restore(data)
	require.NoError(t, err)
	require.Equal(t, []string{"sibiu-a"}, restored.View().EvacuatedDomains())
	require.Equal(t, state.Digest(), restored.Digest())
	late := ChangeSet{ID: "late", Office: "sibiu", ReadOffset: state.Offset() - 1, Changes: []Change{{
		Key: Key{KindEvacuation, "sibiu-b"}, Row: &Row{Office: "sibiu", Evacuation: &Evacuation{FailureDomain: "sibiu-b"}},
	}}}
	require.Equal(t, OutcomeRefused, restored.Apply(changeSetRecord(t, restored.Offset()+1, late)).Outcome)
}

// Guards against readers of different versions that reach different verdicts on one
// record: an evacuation is only in records of the type that earlier readers skip, and
// other change sets keep the type that they know.
func TestRecordTypeOfEvacuations(t *testing.T) {
	class := Change{Key: Key{KindClass, "desk"}, Row: &Row{Office: "a", Class: &Class{Name: "desk"}}}
	begin := Change{Key: Key{KindEvacuation, "x"}, Row: &Row{Office: "a", Evacuation: &Evacuation{FailureDomain: "x"}}}
	end := Change{Key: Key{KindEvacuation, "x"}, BaseVersion: 1}
	for _, c := range []struct {
		changes []Change
		want    string
	}{
		{[]Change{class}, TypeChangeSet},
		{[]Change{begin}, TypeChangeSetV2},
		{[]Change{end}, TypeChangeSetV2},
		{[]Change{class, begin}, TypeChangeSetV2},
	} {
		data, err := ChangeSet{ID: "x", Office: "a", Changes: c.changes}.Encode()
		require.NoError(t, err)
		require.Equal(t, c.want, RecordType(data))
	}
	state := NewState()
	v := state.Apply(infra.Record{Offset: 1, Data: []byte(`{"type":"table.change.v1","id":"x","office":"a",` +
		`"changes":[{"key":{"kind":"evacuation","id":"x"},"row":{"office":"a","evacuation":{"failure_domain":"x"}}}]}`)})
	require.Equal(t, OutcomeRefused, v.Outcome)
	require.Empty(t, state.View().EvacuatedDomains())
	begun := ChangeSet{ID: "y", Office: "a", ReadOffset: 1, Changes: []Change{begin}}
	require.Equal(t, OutcomeAccepted, state.Apply(changeSetRecord(t, 2, begun)).Outcome)
	end.BaseVersion = 2
	checked := ChangeSet{Type: TypeChangeSet, ID: "z", Office: "a", ReadOffset: 2, Changes: []Change{end}}
	require.Empty(t, state.Check(checked), "the set is checked as it would be published")
}
