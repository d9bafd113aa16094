package table

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

type snapshotHead struct {
	Type   string       `json:"type"`
	Offset infra.Offset `json:"offset"`
	Digest Digest       `json:"digest"`
}

type deletion struct {
	Key    Key          `json:"key"`
	Offset infra.Offset `json:"offset"`
}

// snapshot is the record of type TypeSnapshot. All lists are sorted, so the
// same state always has the same bytes.
type snapshot struct {
	snapshotHead
	Entries   []Entry    `json:"entries"`
	Verdicts  []Verdict  `json:"verdicts"`
	Deletions []deletion `json:"deletions"`
}

// Snapshot returns the state as a log record of type TypeSnapshot.
func (f *State) Snapshot() ([]byte, error) {
	s := snapshot{snapshotHead: snapshotHead{Type: TypeSnapshot, Offset: f.offset, Digest: f.Digest()}}
	for _, key := range sortedKeys(f.entries) {
		s.Entries = append(s.Entries, f.entries[key])
	}
	s.Verdicts = f.Verdicts()
	for _, key := range slices.SortedFunc(maps.Keys(f.deleted), compareKeys) {
		s.Deletions = append(s.Deletions, deletion{key, f.deleted[key]})
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return data, nil
}

// Verdicts returns the remembered verdicts by offset.
func (f *State) Verdicts() []Verdict {
	return slices.SortedFunc(maps.Values(f.verdicts), func(a, b Verdict) int { return cmp.Compare(a.Offset, b.Offset) })
}

// SnapshotOffset returns the offset that a record covers if it is a snapshot.
func SnapshotOffset(data []byte) (infra.Offset, bool) {
	if RecordType(data) != TypeSnapshot {
		return 0, false
	}
	var head snapshotHead
	if json.Unmarshal(data, &head) != nil {
		return 0, false
	}
	return head.Offset, true
}

// Restore returns the fold that a snapshot describes. It fails if the digest
// does not match the content.
func Restore(data []byte) (*State, error) { return restore(data, HistoryWindow) }

func restore(data []byte, horizon infra.Offset) (*State, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errkind.Wrap(errkind.InvalidTable, err, "decode snapshot")
	}
	if s.Type != TypeSnapshot {
		return nil, errkind.New(errkind.InvalidTable, "record type %q is not a snapshot", s.Type)
	}
	f := newFold(horizon)
	delete(f.digests, 0)
	f.offset = s.Offset
	for _, e := range s.Entries {
		key, ok := e.Row.Key()
		if !ok || e.Version == 0 || e.Version > s.Offset || len(e.Row.Validate()) > 0 {
			return nil, errkind.New(errkind.InvalidTable, "snapshot at offset %d has an invalid row at version %d", s.Offset, e.Version)
		}
		f.sum.sub(key, f.entries[key])
		f.entries[key] = e
		f.sum.add(key, e)
	}
	for _, v := range s.Verdicts {
		f.rememberVerdict(v)
	}
	for _, d := range s.Deletions {
		f.rememberDeletion(d.Key, d.Offset)
	}
	if f.Digest() != s.Digest {
		return nil, errkind.New(errkind.InvalidTable, "snapshot at offset %d: digest %016x does not match content %016x", s.Offset, uint64(s.Digest), uint64(f.Digest()))
	}
	f.digests[f.offset] = f.Digest()
	return f, nil
}
