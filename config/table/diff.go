package table

import (
	"slices"
)

// Diff returns the change set that brings the rows of one office from the view
// to the sheet. Rows of other offices and rows that are absent from the sheet
// are left as they are. A changed row keeps the version of its cell as base,
// so an edit of an old export is refused instead of undoing a newer change.
// The set has no changes if the sheet agrees with the view.
func Diff(view *View, sheet *CSVTable, office, id string) ChangeSet {
	set := ChangeSet{Type: TypeChangeSet, ID: id, Office: office, ReadOffset: view.offset}
	for _, r := range sheet.Rows {
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
			// Deleted already.
		case !exists || !equalRows(current.Row, r.Row):
			row := r.Row
			set.Changes = append(set.Changes, Change{Key: key, BaseVersion: r.Version, Row: &row})
		}
	}
	slices.SortFunc(set.Changes, func(a, b Change) int { return compareKeys(a.Key, b.Key) })
	return set
}

// belongsTo reports whether an edit is a change by office. A row may move to
// another office, so both the old and the new owner count.
func belongsTo(office string, edited, current Row) bool {
	return edited.Office == office || current.Office == office
}

func equalRows(a, b Row) bool { return slices.Equal(a.cells(), b.cells()) }

// ViewOf returns a view of the rows of a sheet as if they had been published
// at offset 1, or all faults. It is for validation and tests.
func ViewFromCSV(sheet *CSVTable) (*View, error) {
	entries := make(map[Key]Entry, len(sheet.Rows))
	for _, r := range sheet.Rows {
		key, ok := r.Row.Key()
		if ok && !r.Delete {
			entries[key] = Entry{Row: r.Row, Version: 1}
		}
	}
	if err := FaultsError(checkRules(entries)); err != nil {
		return nil, err
	}
	return newView(1, entries), nil
}
