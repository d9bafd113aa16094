package table

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/filbertmux/filbertmux/base/infra"
)

// HistoryWindow is the number of offsets for which verdicts, deletions and
// digests are retained: almost two days at 2,200 changes a day. A change set
// with an older read offset is refused, so a change set whose verdict has
// expired cannot be accepted a second time.
const HistoryWindow infra.Offset = 4096

// State is the table after all records up to Offset have been applied. It is
// not safe for concurrent use.
type State struct {
	offset        infra.Offset
	historyWindow infra.Offset // HistoryWindow; shorter in tests
	entries       map[Key]Entry
	verdicts      map[string]Verdict
	// deletedAt holds the offsets at which deleted rows were deleted. A row that
	// is created again is removed from it.
	deletedAt map[Key]infra.Offset
	// historyByOffset holds what was recorded at each offset, to be dropped when
	// the offset leaves the history window.
	historyByOffset map[infra.Offset]historyRecord
	digestSum       digestSum
	digests         map[infra.Offset]Digest
	stats           Stats
	disabled        disabledRules
}

// disabledRules turns checks off, so that the tests can show that they detect a
// missing check.
type disabledRules struct {
	baseCheck      bool
	duplicateCheck bool
	ownerCheck     bool
}

// historyRecord lists the verdict and the deletions recorded at one offset.
type historyRecord struct {
	verdictID   string
	deletedKeys []Key
}

// NewState returns the empty table at offset 0.
func NewState() *State { return newState(HistoryWindow) }

func newState(historyWindow infra.Offset) *State {
	s := &State{
		historyWindow:   historyWindow,
		entries:         make(map[Key]Entry),
		verdicts:        make(map[string]Verdict),
		deletedAt:       make(map[Key]infra.Offset),
		historyByOffset: make(map[infra.Offset]historyRecord),
		digests:         make(map[infra.Offset]Digest),
	}
	s.digests[0] = s.digestSum.digest(0)
	return s
}

// Offset returns the offset of the last applied record.
func (s *State) Offset() infra.Offset { return s.offset }

// Stats returns the counters of the state.
func (s *State) Stats() Stats { return s.stats }

// Digest returns the digest of the state at the current offset.
func (s *State) Digest() Digest { return s.digestSum.digest(s.offset) }

// VerdictOf returns the verdict on a change set if it is still retained.
func (s *State) VerdictOf(id string) (Verdict, bool) {
	v, ok := s.verdicts[id]
	return v, ok
}

// Apply applies the next record. A record that is not the next one has no
// effect: the offset of a State never decreases and never skips a record.
func (s *State) Apply(r infra.Record) Verdict {
	if r.Offset <= s.offset {
		s.stats.AlreadyApplied++
		return Verdict{Outcome: OutcomeAlreadyApplied, Offset: r.Offset}
	}
	if r.Offset != s.offset+1 {
		s.stats.Gaps++
		return Verdict{Outcome: OutcomeGap, Offset: r.Offset}
	}
	s.offset = r.Offset
	v := s.applyRecord(r)
	s.expireHistory()
	s.digests[s.offset] = s.digestSum.digest(s.offset)
	return v
}

func (s *State) applyRecord(r infra.Record) Verdict {
	switch RecordType(r.Data) {
	case TypeChangeSet, TypeChangeSetV2:
		set, err := DecodeChangeSet(r.Data)
		if err != nil {
			s.stats.Malformed++
			return Verdict{Outcome: OutcomeSkipped, Offset: r.Offset}
		}
		return s.applyChangeSet(set)
	case TypeSnapshot:
		return s.compareSnapshot(r)
	case "":
		s.stats.Malformed++
	default:
		s.stats.UnknownTypes++
	}
	return Verdict{Outcome: OutcomeSkipped, Offset: r.Offset}
}

// compareSnapshot compares the digest in a snapshot record with the digest that
// this state had at the offset that the snapshot covers.
func (s *State) compareSnapshot(r infra.Record) Verdict {
	var header snapshotHeader
	if err := json.Unmarshal(r.Data, &header); err != nil {
		s.stats.Malformed++
		return Verdict{Outcome: OutcomeSkipped, Offset: r.Offset}
	}
	s.stats.Snapshots++
	digest, known := s.digests[header.Offset]
	if header.Offset >= r.Offset || known && digest != header.Digest {
		s.stats.SnapshotMismatches++
		return Verdict{Outcome: OutcomeSnapshotMismatch, Offset: r.Offset}
	}
	return Verdict{Outcome: OutcomeSnapshot, Offset: r.Offset}
}

func (s *State) applyChangeSet(set ChangeSet) Verdict {
	if first, ok := s.verdicts[set.ID]; ok && !s.disabled.duplicateCheck {
		s.stats.Duplicates++
		first.Duplicate = true
		return first
	}
	v := Verdict{Outcome: OutcomeAccepted, ID: set.ID, Office: set.Office, Offset: s.offset}
	if faults := s.writeIfValid(set); len(faults) > 0 {
		v = refusedVerdict(set.ID, set.Office, s.offset, faults)
		s.stats.Refused++
	} else {
		s.stats.Accepted++
	}
	s.recordVerdict(v)
	return v
}

// Check returns the faults that the change set would have if it were the next
// record. It leaves the state unchanged.
func (s *State) Check(set ChangeSet) []Fault {
	set.Type = set.recordType()
	faults, undo := s.stageChanges(set, s.offset+1)
	undo()
	return faults
}

// stageChanges writes the rows of the set and returns all its faults, so that
// an operator sees them at once. The caller must call undo if there are faults
// or if the changes are not to be kept.
func (s *State) stageChanges(set ChangeSet, version Version) (faults []Fault, undo func()) {
	faults = s.checkChangeSet(set)
	undo = s.writeRows(set, version)
	faults = append(faults, checkRules(s.entries)...)
	sortFaults(faults)
	return slices.Compact(faults), undo
}

func (s *State) checkChangeSet(set ChangeSet) []Fault {
	faults := set.validate()
	if set.ReadOffset+s.historyWindow <= s.offset || set.ReadOffset > s.offset {
		faults = append(faults, Fault{
			Row: "change set " + set.ID, Column: "read_offset", Value: formatOffset(set.ReadOffset), Conflict: true,
			Reason: fmt.Sprintf("want a set made at most %d records before offset %d", s.historyWindow, s.offset),
		})
	}
	for _, c := range set.Changes {
		faults = append(faults, s.checkChange(set, c)...)
	}
	return faults
}

// rowHistory is what a state holds about one row.
type rowHistory struct {
	current Entry
	// deletedAt is the offset at which the row was deleted; 0 if it was not.
	deletedAt infra.Offset
}

// rowHistory returns what the state holds about a row that the set changes. A set
// whose type does not have the kind of the row finds nothing, as in the state of a
// reader that does not know the kind.
func (s *State) rowHistory(set ChangeSet, key Key) rowHistory {
	if !hasKind(set.Type, key.Kind) {
		return rowHistory{}
	}
	return rowHistory{current: s.entries[key], deletedAt: s.deletedAt[key]}
}

func (s *State) checkChange(set ChangeSet, c Change) []Fault {
	history := s.rowHistory(set, c.Key)
	current, exists := history.current, history.current.Version != 0
	var faults []Fault
	if exists && current.Row.Office != set.Office && !s.disabled.ownerCheck {
		faults = append(faults, Fault{
			Row: c.Key.String(), Column: "office", Value: set.Office,
			Reason: "the row belongs to office " + current.Row.Office,
		})
	}
	if !exists && c.Row != nil && c.Row.Office != set.Office {
		faults = append(faults, Fault{
			Row: c.Key.String(), Column: "office", Value: c.Row.Office,
			Reason: "a new row belongs to the publishing office " + set.Office,
		})
	}
	if s.disabled.baseCheck {
		return faults
	}
	if reason := staleBaseReason(set, c, history); reason != "" {
		faults = append(faults, Fault{
			Row: c.Key.String(), Column: "version", Value: formatOffset(c.BaseVersion), Reason: reason, Conflict: true,
		})
	}
	return faults
}

// staleBaseReason returns why the base version of c is outdated, or "" if it is
// the current version.
func staleBaseReason(set ChangeSet, c Change, history rowHistory) string {
	current := history.current
	if c.BaseVersion != current.Version {
		if current.Version == 0 {
			return "the row does not exist any more"
		}
		return fmt.Sprintf("the row is at version %d now: %s", current.Version, current.Row)
	}
	if c.Row == nil && current.Version == 0 {
		return "the row to delete does not exist"
	}
	// A new row has base version 0, and so does a deleted row. Only the read offset
	// shows whether the publisher had seen the deletion.
	if at := history.deletedAt; current.Version == 0 && at > set.ReadOffset {
		return fmt.Sprintf("the row was deleted at offset %d", at)
	}
	return ""
}

func (s *State) writeIfValid(set ChangeSet) []Fault {
	faults, undo := s.stageChanges(set, s.offset)
	if len(faults) > 0 {
		undo()
		return faults
	}
	s.updateDeletions(set)
	return nil
}

// writeRows writes the rows of the set and returns a function that restores the
// previous ones. A row that does not match its key has been reported as a fault
// and is left out.
func (s *State) writeRows(set ChangeSet, version Version) (undo func()) {
	before := make(map[Key]Entry, len(set.Changes))
	for _, c := range set.Changes {
		if _, twice := before[c.Key]; twice {
			continue
		}
		before[c.Key] = s.entries[c.Key]
		if c.Row == nil {
			s.setEntry(c.Key, Entry{})
			continue
		}
		if key, ok := c.Row.Key(); ok && key == c.Key {
			s.setEntry(c.Key, Entry{Row: *c.Row, Version: version})
		}
	}
	return func() {
		for key, old := range before {
			s.setEntry(key, old)
		}
	}
}

// setEntry replaces an entry and updates the digest. Version 0 removes the
// entry.
func (s *State) setEntry(key Key, e Entry) {
	s.digestSum.sub(key, s.entries[key])
	s.digestSum.add(key, e)
	if e.Version == 0 {
		delete(s.entries, key)
		return
	}
	s.entries[key] = e
}

// updateDeletions records the rows that an accepted set deletes, and drops the
// deletions of rows that it creates again.
func (s *State) updateDeletions(set ChangeSet) {
	for _, c := range set.Changes {
		if c.Row == nil {
			s.recordDeletion(c.Key, s.offset)
			continue
		}
		if at, ok := s.deletedAt[c.Key]; ok {
			s.digestSum.subDeletion(c.Key, at)
			delete(s.deletedAt, c.Key)
		}
	}
}

func (s *State) recordVerdict(v Verdict) {
	if old, ok := s.verdicts[v.ID]; ok {
		s.digestSum.subVerdict(old)
	}
	s.verdicts[v.ID] = v
	s.digestSum.addVerdict(v)
	h := s.historyByOffset[v.Offset]
	h.verdictID = v.ID
	s.historyByOffset[v.Offset] = h
}

func (s *State) recordDeletion(key Key, at infra.Offset) {
	s.deletedAt[key] = at
	s.digestSum.addDeletion(key, at)
	h := s.historyByOffset[at]
	h.deletedKeys = append(h.deletedKeys, key)
	s.historyByOffset[at] = h
}

// expireHistory drops what was recorded at the offset that leaves the history
// window.
func (s *State) expireHistory() {
	if s.offset < s.historyWindow {
		return
	}
	expired := s.offset - s.historyWindow
	delete(s.digests, expired)
	h, ok := s.historyByOffset[expired]
	if !ok {
		return
	}
	delete(s.historyByOffset, expired)
	if v, ok := s.verdicts[h.verdictID]; ok && v.Offset == expired {
		s.digestSum.subVerdict(v)
		delete(s.verdicts, h.verdictID)
	}
	for _, key := range h.deletedKeys {
		if s.deletedAt[key] == expired {
			s.digestSum.subDeletion(key, expired)
			delete(s.deletedAt, key)
		}
	}
}

// View returns an immutable view of the current rows.
func (s *State) View() *View { return newView(s.offset, maps.Clone(s.entries)) }

func formatOffset(o infra.Offset) string { return strconv.FormatUint(uint64(o), 10) }
