package table

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Horizon is the number of offsets for which verdicts, deletions and digests
// are remembered: almost two days at 2,200 changes a day. A change set that
// was made further back is refused, so a forgotten verdict is never decided a
// second time.
const HistoryWindow infra.Offset = 4096

// Fold is the state of the table after the records up to Offset. It is owned
// by one goroutine.
type State struct {
	offset   infra.Offset
	horizon  infra.Offset // Horizon, or less in tests
	entries  map[Key]Entry
	verdicts map[string]Verdict
	// deleted holds the offset of the deletion of rows that do not exist.
	deleted map[Key]infra.Offset
	// byOffset holds what was remembered at an offset and is forgotten when
	// the offset leaves the horizon.
	byOffset map[infra.Offset]remembered
	sum      digestSum
	digests  map[infra.Offset]Digest
	stats    Stats
	rules    ruleSwitches
}

// ruleSwitches turn a rule off, so that tests can show that they detect it.
type ruleSwitches struct {
	noBaseCheck  bool
	noDuplicates bool
	noOwnerCheck bool
}

type remembered struct {
	verdict string
	deleted []Key
}

// NewFold returns the empty table at offset 0.
func NewState() *State { return newFold(HistoryWindow) }

func newFold(horizon infra.Offset) *State {
	f := &State{
		horizon:  horizon,
		entries:  make(map[Key]Entry),
		verdicts: make(map[string]Verdict),
		deleted:  make(map[Key]infra.Offset),
		byOffset: make(map[infra.Offset]remembered),
		digests:  make(map[infra.Offset]Digest),
	}
	f.digests[0] = f.sum.digest(0)
	return f
}

// Offset returns the offset of the last applied record.
func (f *State) Offset() infra.Offset { return f.offset }

// Stats returns the counters.
func (f *State) Stats() Stats { return f.stats }

// Digest returns the digest of the state at Offset.
func (f *State) Digest() Digest { return f.sum.digest(f.offset) }

// VerdictOf returns the remembered verdict of a change set.
func (f *State) VerdictOf(id string) (Verdict, bool) {
	v, ok := f.verdicts[id]
	return v, ok
}

// Apply applies the next record. A record that is not the next one has no
// effect: the offset of a fold never decreases and never skips a record.
func (f *State) Apply(r infra.Record) Verdict {
	if r.Offset <= f.offset {
		f.stats.AlreadyApplied++
		return Verdict{Outcome: OutcomeAlreadyApplied, Offset: r.Offset}
	}
	if r.Offset != f.offset+1 {
		f.stats.Gaps++
		return Verdict{Outcome: OutcomeGap, Offset: r.Offset}
	}
	f.offset = r.Offset
	v := f.dispatch(r)
	f.forget()
	f.digests[f.offset] = f.sum.digest(f.offset)
	return v
}

func (f *State) dispatch(r infra.Record) Verdict {
	switch RecordType(r.Data) {
	case TypeChangeSet:
		s, err := DecodeChangeSet(r.Data)
		if err != nil {
			f.stats.Malformed++
			return Verdict{Outcome: OutcomeSkipped, Offset: r.Offset}
		}
		return f.judge(s)
	case TypeSnapshot:
		return f.compare(r)
	case "":
		f.stats.Malformed++
	default:
		f.stats.UnknownTypes++
	}
	return Verdict{Outcome: OutcomeSkipped, Offset: r.Offset}
}

// compare checks the digest of a snapshot record against the own digest at the
// offset that the snapshot covers.
func (f *State) compare(r infra.Record) Verdict {
	var head snapshotHead
	if err := json.Unmarshal(r.Data, &head); err != nil {
		f.stats.Malformed++
		return Verdict{Outcome: OutcomeSkipped, Offset: r.Offset}
	}
	f.stats.Snapshots++
	own, known := f.digests[head.Offset]
	if head.Offset >= r.Offset || known && own != head.Digest {
		f.stats.SnapshotMismatches++
		return Verdict{Outcome: OutcomeSnapshotMismatch, Offset: r.Offset}
	}
	return Verdict{Outcome: OutcomeSnapshot, Offset: r.Offset}
}

func (f *State) judge(s ChangeSet) Verdict {
	if first, ok := f.verdicts[s.ID]; ok && !f.rules.noDuplicates {
		f.stats.Duplicates++
		first.Duplicate = true
		return first
	}
	v := Verdict{Outcome: OutcomeAccepted, ID: s.ID, Office: s.Office, Offset: f.offset}
	if faults := f.tryApply(s); len(faults) > 0 {
		v = refusal(s.ID, s.Office, f.offset, faults)
		f.stats.Refused++
	} else {
		f.stats.Accepted++
	}
	f.rememberVerdict(v)
	return v
}

// Check returns the faults that the change set would have if it were the next
// record. The fold is unchanged afterwards.
func (f *State) Check(s ChangeSet) []Fault {
	faults, undo := f.tryPut(s, f.offset+1)
	undo()
	return faults
}

// tryPut writes the rows of s and returns all faults, so that an operator sees
// them at once. The caller calls undo unless there are none.
func (f *State) tryPut(s ChangeSet, version Version) (faults []Fault, undo func()) {
	faults = f.basicFaults(s)
	undo = f.put(s, version)
	faults = append(faults, checkRules(f.entries)...)
	sortFaults(faults)
	return slices.Compact(faults), undo
}

func (f *State) basicFaults(s ChangeSet) []Fault {
	faults := s.validate()
	if s.ReadOffset+f.horizon <= f.offset || s.ReadOffset > f.offset {
		faults = append(faults, Fault{
			Row: "change set " + s.ID, Column: "read_offset", Value: formatOffset(s.ReadOffset), Conflict: true,
			Reason: fmt.Sprintf("want a set made at most %d records before offset %d", f.horizon, f.offset),
		})
	}
	for _, c := range s.Changes {
		faults = append(faults, f.checkChange(s, c)...)
	}
	return faults
}

func (f *State) checkChange(s ChangeSet, c Change) []Fault {
	current, exists := f.entries[c.Key]
	var faults []Fault
	if exists && current.Row.Office != s.Office && !f.rules.noOwnerCheck {
		faults = append(faults, Fault{
			Row: c.Key.String(), Column: "office", Value: s.Office,
			Reason: "the row belongs to office " + current.Row.Office,
		})
	}
	if !exists && c.Row != nil && c.Row.Office != s.Office {
		faults = append(faults, Fault{
			Row: c.Key.String(), Column: "office", Value: c.Row.Office,
			Reason: "a new row belongs to the publishing office " + s.Office,
		})
	}
	if f.rules.noBaseCheck {
		return faults
	}
	if reason := f.staleBase(s, c, current); reason != "" {
		faults = append(faults, Fault{
			Row: c.Key.String(), Column: "version", Value: formatOffset(c.BaseVersion), Reason: reason, Conflict: true,
		})
	}
	return faults
}

// staleBase returns why the base of c is not the current version, or "".
func (f *State) staleBase(s ChangeSet, c Change, current Entry) string {
	if c.BaseVersion != current.Version {
		if current.Version == 0 {
			return "the row does not exist any more"
		}
		return fmt.Sprintf("the row is at version %d now: %s", current.Version, current.Row)
	}
	if c.Row == nil && current.Version == 0 {
		return "the row to delete does not exist"
	}
	// A new row has base 0 both before its creation and after its deletion.
	if at := f.deleted[c.Key]; current.Version == 0 && at > s.ReadOffset {
		return fmt.Sprintf("the row was deleted at offset %d", at)
	}
	return ""
}

func (f *State) tryApply(s ChangeSet) []Fault {
	faults, undo := f.tryPut(s, f.offset)
	if len(faults) > 0 {
		undo()
		return faults
	}
	f.commit(s)
	return nil
}

// put writes the rows of s and returns the function that restores the old ones.
// A row that does not belong under its key is a fault already and is left out.
func (f *State) put(s ChangeSet, version Version) (undo func()) {
	before := make(map[Key]Entry, len(s.Changes))
	for _, c := range s.Changes {
		if _, twice := before[c.Key]; twice {
			continue
		}
		before[c.Key] = f.entries[c.Key]
		if c.Row == nil {
			f.set(c.Key, Entry{})
			continue
		}
		if key, ok := c.Row.Key(); ok && key == c.Key {
			f.set(c.Key, Entry{Row: *c.Row, Version: version})
		}
	}
	return func() {
		for key, old := range before {
			f.set(key, old)
		}
	}
}

// set replaces an entry and keeps the digest; version 0 removes it.
func (f *State) set(key Key, e Entry) {
	f.sum.sub(key, f.entries[key])
	f.sum.add(key, e)
	if e.Version == 0 {
		delete(f.entries, key)
		return
	}
	f.entries[key] = e
}

// commit records the deletions of an accepted set.
func (f *State) commit(s ChangeSet) {
	for _, c := range s.Changes {
		if c.Row == nil {
			f.rememberDeletion(c.Key, f.offset)
			continue
		}
		if at, ok := f.deleted[c.Key]; ok {
			f.sum.subDeletion(c.Key, at)
			delete(f.deleted, c.Key)
		}
	}
}

func (f *State) rememberVerdict(v Verdict) {
	if old, ok := f.verdicts[v.ID]; ok {
		f.sum.subVerdict(old)
	}
	f.verdicts[v.ID] = v
	f.sum.addVerdict(v)
	m := f.byOffset[v.Offset]
	m.verdict = v.ID
	f.byOffset[v.Offset] = m
}

func (f *State) rememberDeletion(key Key, at infra.Offset) {
	f.deleted[key] = at
	f.sum.addDeletion(key, at)
	m := f.byOffset[at]
	m.deleted = append(m.deleted, key)
	f.byOffset[at] = m
}

// forget drops what was remembered at the offset that leaves the horizon.
func (f *State) forget() {
	if f.offset < f.horizon {
		return
	}
	leaving := f.offset - f.horizon
	delete(f.digests, leaving)
	m, ok := f.byOffset[leaving]
	if !ok {
		return
	}
	delete(f.byOffset, leaving)
	if v, ok := f.verdicts[m.verdict]; ok && v.Offset == leaving {
		f.sum.subVerdict(v)
		delete(f.verdicts, m.verdict)
	}
	for _, key := range m.deleted {
		if f.deleted[key] == leaving {
			f.sum.subDeletion(key, leaving)
			delete(f.deleted, key)
		}
	}
}

// View returns an immutable copy of the rows for lookups.
func (f *State) View() *View { return newView(f.offset, maps.Clone(f.entries)) }

func formatOffset(o infra.Offset) string { return strconv.FormatUint(uint64(o), 10) }
