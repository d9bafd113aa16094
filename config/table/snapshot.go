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

// snapshotHeader is the part of a snapshot that readers compare with their state.
type snapshotHeader struct {
	Type   string       `json:"type"`
	Offset infra.Offset `json:"offset"`
	Digest Digest       `json:"digest"`
}

// deletion is a deleted row with the offset at which it was deleted.
type deletion struct {
	Key    Key          `json:"key"`
	Offset infra.Offset `json:"offset"`
}

// snapshot is the content of a record of type TypeSnapshot. All lists are sorted,
// so that equal states have the same encoding.
type snapshot struct {
	snapshotHeader
	Entries   []Entry    `json:"entries"`
	Verdicts  []Verdict  `json:"verdicts"`
	Deletions []deletion `json:"deletions"`
}

// Snapshot encodes the state as a log record of type TypeSnapshot.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{snapshotHeader: snapshotHeader{Type: TypeSnapshot, Offset: s.offset, Digest: s.Digest()}}
	for _, key := range sortedKeys(s.entries) {
		snap.Entries = append(snap.Entries, s.entries[key])
	}
	snap.Verdicts = s.Verdicts()
	for _, key := range slices.SortedFunc(maps.Keys(s.deletedAt), compareKeys) {
		snap.Deletions = append(snap.Deletions, deletion{key, s.deletedAt[key]})
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return data, nil
}

// Verdicts returns the retained verdicts, ordered by offset.
func (s *State) Verdicts() []Verdict {
	return slices.SortedFunc(maps.Values(s.verdicts), func(a, b Verdict) int { return cmp.Compare(a.Offset, b.Offset) })
}

// SnapshotOffset returns the offset that a snapshot record covers. The second
// result is false if the record is not a snapshot.
func SnapshotOffset(data []byte) (infra.Offset, bool) {
	if RecordType(data) != TypeSnapshot {
		return 0, false
	}
	var header snapshotHeader
	if json.Unmarshal(data, &header) != nil {
		return 0, false
	}
	return header.Offset, true
}

// Restore returns the state that a snapshot describes. It fails if the digest
// does not match the content.
func Restore(data []byte) (*State, error) { return restore(data, HistoryWindow) }

func restore(data []byte, historyWindow infra.Offset) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, errkind.Wrap(errkind.InvalidTable, err, "decode snapshot")
	}
	if snap.Type != TypeSnapshot {
		return nil, errkind.New(errkind.InvalidTable, "record type %q is not a snapshot", snap.Type)
	}
	state := newState(historyWindow)
	delete(state.digests, 0)
	state.offset = snap.Offset
	for _, e := range snap.Entries {
		key, ok := e.Row.Key()
		if !ok || e.Version == 0 || e.Version > snap.Offset || len(e.Row.Validate()) > 0 {
			return nil, errkind.New(errkind.InvalidTable, "snapshot at offset %d has an invalid row at version %d", snap.Offset, e.Version)
		}
		state.digestSum.sub(key, state.entries[key])
		state.entries[key] = e
		state.digestSum.add(key, e)
	}
	for _, v := range snap.Verdicts {
		state.recordVerdict(v)
	}
	for _, d := range snap.Deletions {
		state.recordDeletion(d.Key, d.Offset)
	}
	if state.Digest() != snap.Digest {
		return nil, errkind.New(errkind.InvalidTable, "snapshot at offset %d: digest %016x does not match content %016x", snap.Offset, uint64(snap.Digest), uint64(state.Digest()))
	}
	state.digests[state.offset] = state.Digest()
	return state, nil
}
