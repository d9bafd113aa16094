package table

import (
	"maps"
	"slices"
)

// Diff returns the change set that turns the rows of one office in the view
// into the edited rows. Rows of other offices and rows that are absent from the
// edited files are left unchanged. The base version of a change is the one in
// the edited file, so an edit of an old export is refused instead of
// overwriting a newer change. The set has no changes if the files agree with
// the view.
func Diff(view *View, edited *CSVTable, office, id string) ChangeSet {
	set := ChangeSet{ID: id, Office: office, ReadOffset: view.offset}
	for _, r := range edited.Rows {
		key, ok := r.Row.Key()
		if !ok {
			continue
		}
		current, exists := view.entries[key]
		if !belongsTo(office, r.Row, current.Row) {
			continue
		}
		switch {
		case r.Delete && exists:
			set.Changes = append(set.Changes, Change{Key: key, BaseVersion: r.Version})
		case r.Delete:
			// The row is already deleted.
		case !exists || !equalRows(current.Row, r.Row):
			row := r.Row
			set.Changes = append(set.Changes, Change{Key: key, BaseVersion: r.Version, Row: &row})
		}
	}
	slices.SortFunc(set.Changes, func(a, b Change) int { return compareKeys(a.Key, b.Key) })
	set.Type = set.recordType()
	return set
}

// belongsTo reports whether an office owns the row before or after the edit. A
// row can be moved to another office.
func belongsTo(office string, edited, current Row) bool {
	return edited.Office == office || current.Office == office
}

func equalRows(a, b Row) bool { return slices.Equal(a.Cells(), b.Cells()) }

// ViewFromCSV returns a view of the rows of CSV files as if they had been
// published at offset 1, or an error that lists all faults. It is used for
// validation and in tests.
func ViewFromCSV(csvTable *CSVTable) (*View, error) {
	view, faults := Merge(newView(0, nil), csvTable)
	if err := FaultsError(faults); err != nil {
		return nil, err
	}
	return view, nil
}

// Merge returns a view of the table after the edited rows have been published at
// the next offset, with the faults that involve more than one row.
func Merge(base *View, edited *CSVTable) (*View, []Fault) {
	entries := make(map[Key]Entry, len(base.entries)+len(edited.Rows))
	maps.Copy(entries, base.entries)
	for _, r := range edited.Rows {
		key, ok := r.Row.Key()
		if !ok {
			continue
		}
		if r.Delete {
			delete(entries, key)
			continue
		}
		entries[key] = Entry{Row: r.Row, Version: base.offset + 1}
	}
	return newView(base.offset+1, entries), checkRules(entries)
}
