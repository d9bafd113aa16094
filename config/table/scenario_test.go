package table

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
)

// TestScenarios runs the files in testdata/scenarios. It guards against verdicts
// that differ from the documented ones. The commands are:
//
//	publish office=a id=x [read=N]   lines: put KIND BASE column=value... | delete KIND/ID BASE
//	raw                              appends the input as a record
//	snapshot [forge]                 appends a snapshot of the state; forge falsifies its digest
//	restore                          continues from the last snapshot
//	reread offset=N                  applies an old record again
//	rows                             prints the rows
//	digest                           prints the digest
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := &scenario{t: t, state: NewState()}
		datadriven.RunTest(t, path, s.run)
	})
}

type scenario struct {
	t       *testing.T
	state   *State
	records []infra.Record
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "publish":
		return s.publish(d)
	case "raw":
		return s.apply([]byte(d.Input))
	case "snapshot":
		data, err := s.state.Snapshot()
		require.NoError(t, err)
		if d.HasArg("forge") {
			data = []byte(strings.Replace(string(data), `"digest":"`, `"digest":"0`, 1))
			data = []byte(strings.Replace(string(data), s.digestText(), s.digestText()[:15], 1))
		}
		return s.apply(data)
	case "restore":
		return s.restore()
	case "reread":
		var offset int
		d.ScanArgs(t, "offset", &offset)
		return printVerdict(s.state.Apply(s.records[offset-1]))
	case "digest":
		return s.digestText() + "\n"
	case "rows":
		var b strings.Builder
		for _, e := range s.state.View().Entries() {
			key, _ := e.Row.Key()
			fmt.Fprintf(&b, "%s@%d %s\n", key, e.Version, e.Row)
		}
		return b.String()
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	}
}

func (s *scenario) digestText() string {
	b, _ := s.state.Digest().MarshalText()
	return string(b)
}

func (s *scenario) publish(d *datadriven.TestData) string {
	set := ChangeSet{ReadOffset: s.state.Offset()}
	d.ScanArgs(s.t, "office", &set.Office)
	d.ScanArgs(s.t, "id", &set.ID)
	if d.HasArg("read") {
		var read int
		d.ScanArgs(s.t, "read", &read)
		set.ReadOffset = infra.Offset(read)
	}
	for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
		set.Changes = append(set.Changes, s.change(strings.Fields(line)))
	}
	data, err := set.Encode()
	require.NoError(s.t, err)
	return s.apply(data)
}

func (s *scenario) change(words []string) Change {
	var c Change
	_, err := fmt.Sscan(words[2], &c.BaseVersion)
	require.NoError(s.t, err)
	if words[0] == "delete" {
		kind, id, _ := strings.Cut(words[1], "/")
		c.Key = Key{Kind(kind), id}
		return c
	}
	row, ok := newRow(Kind(words[1]))
	require.True(s.t, ok, words[1])
	for _, word := range words[3:] {
		name, value, _ := strings.Cut(word, "=")
		columns := columnsByKind[Kind(words[1])]
		i := slices.IndexFunc(columns, func(c column) bool { return c.name == name })
		require.GreaterOrEqual(s.t, i, 0, name)
		require.NoError(s.t, parseCell(columns[i].cell(&row), value, false))
	}
	c.Row = &row
	c.Key, _ = row.Key()
	return c
}

func (s *scenario) apply(data []byte) string {
	r := infra.Record{Offset: infra.Offset(len(s.records) + 1), Data: data}
	s.records = append(s.records, r)
	return printVerdict(s.state.Apply(r))
}

func (s *scenario) restore() string {
	for _, r := range slices.Backward(s.records) {
		covered, ok := SnapshotOffset(r.Data)
		if !ok {
			continue
		}
		restored, err := Restore(r.Data)
		if err != nil {
			return err.Error() + "\n"
		}
		for _, later := range s.records[covered:] {
			restored.Apply(later)
		}
		agrees := restored.Digest() == s.state.Digest()
		s.state = restored
		return fmt.Sprintf("covered %d, offset %d, agrees %v\n", covered, restored.Offset(), agrees)
	}
	return "no snapshot\n"
}

func printVerdict(v Verdict) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s", v.Offset, v.Outcome)
	if v.Duplicate {
		b.WriteString(" (duplicate)")
	}
	b.WriteByte('\n')
	for _, f := range v.Faults {
		data, _ := json.Marshal(f.Conflict)
		fmt.Fprintf(&b, "  %s conflict=%s\n", f, data)
	}
	return b.String()
}
