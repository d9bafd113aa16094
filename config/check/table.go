package check

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/filbertmux/filbertmux/config/table"
)

// keyColumn is the column with the hashes of the keys, which appear in no finding.
const keyColumn = "key_sha256"

// TableCheck is a check of the CSV files of the table.
type TableCheck struct {
	// Dir is the name of the directory with the files.
	Dir string
	// Edited holds the rows of the files, and Faults those that were found while they were
	// read.
	Edited *table.CSVTable
	Faults []table.Fault
	// Against is the table that is edited, or nil. Rows that the files don't have are taken
	// from it.
	Against *table.View
	// AgainstSource names the source of Against.
	AgainstSource string
}

// Run returns the findings. The errors are those for which the files are refused.
func (c TableCheck) Run() Report {
	r := Report{Checked: Version{Source: c.Dir}}
	base := table.NewState().View()
	if c.Against != nil {
		base = c.Against
		r.Against = &Version{Source: c.AgainstSource}
	}
	f := &tableFindings{TableCheck: c, rows: make(map[table.Key]table.CSVRow), base: base}
	f.addFaults(c.Faults)
	if len(c.Faults) == 0 {
		f.addAll()
	}
	r.finish(f.list)
	return r
}

// tableFindings collects the findings of a check.
type tableFindings struct {
	TableCheck
	base *table.View
	// rows holds the rows of the files by their keys.
	rows map[table.Key]table.CSVRow
	list []Finding
}

func (f *tableFindings) addAll() {
	for _, r := range f.Edited.Rows {
		if key, ok := r.Row.Key(); ok {
			f.rows[key] = r
		}
	}
	merged, faults := table.Merge(f.base, f.Edited)
	f.addFaults(faults)
	if len(faults) == 0 {
		f.checkEffects(merged)
	}
	if f.Against != nil {
		f.compare()
	}
}

// addFaults adds the reasons for which the files are refused.
func (f *tableFindings) addFaults(faults []table.Fault) {
	for _, fault := range faults {
		place := Place{File: f.Dir, Path: fault.Row + "." + fault.Column}
		source := fault.Source
		if source == (table.Source{}) {
			source = f.sourceOf(fault.Row, fault.Column)
		}
		if source != (table.Source{}) {
			place.File, place.Line, place.Column = path.Join(f.Dir, source.File), source.Line, source.Column
		}
		message := fmt.Sprintf("%s %q: %s", fault.Column, fault.Value, fault.Reason)
		if fault.Value == "" || mayHoldKey(fault) {
			message = fault.Column + ": " + fault.Reason
		}
		if mayHoldKey(fault) && !slices.Contains(table.Columns(table.KindOrganisation), fault.Column) {
			// The header line may be missing, so that the first row is taken for it.
			place.Path, message = fault.Row, fault.Reason
		}
		f.list = append(f.list, newFinding(InvalidRow, place, "%s", message))
	}
}

// mayHoldKey reports whether the value of a fault, or its column, may be a key or its hash:
// cells may stand in the wrong column.
func mayHoldKey(fault table.Fault) bool {
	return fault.Column == keyColumn || fault.Row == string(table.KindOrganisation)
}

// sourceOf returns the place of a cell of a row that is named by its key. It is the zero
// value if the files don't have the row.
func (f *tableFindings) sourceOf(key, column string) table.Source {
	kind, id, _ := strings.Cut(key, "/")
	r, ok := f.rows[table.Key{Kind: table.Kind(kind), ID: id}]
	if !ok {
		return table.Source{}
	}
	return r.SourceOf(column)
}

// add adds a finding about a row, or one of its cells.
func (f *tableFindings) add(code Code, key table.Key, column, format string, args ...any) {
	place := Place{File: f.Dir, Path: key.String()}
	if column != "" {
		place.Path += "." + column
	}
	if source := f.sourceOf(key.String(), column); source != (table.Source{}) {
		place.File, place.Line, place.Column = path.Join(f.Dir, source.File), source.Line, source.Column
	}
	f.list = append(f.list, newFinding(code, place, format, args...))
}

// rowName returns how a row is called in messages.
func rowName(key table.Key) string { return string(key.Kind) + " " + key.ID }

// checkEffects reports rows that are accepted but have no effect.
func (f *tableFindings) checkEffects(view *table.View) {
	classes, services := make(map[string]bool), make(map[string]bool)
	for _, e := range view.Entries() {
		switch r := e.Row; {
		case r.Organisation != nil:
			classes[r.Organisation.Class] = true
		case r.Service != nil:
			classes[r.Service.DefaultClass] = true
		case r.Route != nil:
			services[r.Route.Service] = true
		}
	}
	for _, e := range view.Entries() {
		key, _ := e.Row.Key()
		switch r := e.Row; {
		case r.Class != nil && !classes[r.Class.Name]:
			f.add(UnusedClass, key, "", "no organisation or service has %s", rowName(key))
		case r.Service != nil && r.Service.Kind == table.PlainService && !services[r.Service.Name]:
			f.add(ServiceWithoutRoutes, key, "", "%s has no route, so each request to it is refused", rowName(key))
		case r.Limit != nil && withoutEffect(r.Limit):
			f.add(LimitWithoutEffect, key, "", "the limit of organisation %s has no effect: 0 means not limited", r.Limit.Organisation)
		}
	}
}

func withoutEffect(l *table.Limit) bool {
	return l.RequestsPerSecond == 0 && l.TokensPerSecond == 0 && l.InFlight == 0
}

// compare adds the differences that publishing the files would make, office by office.
func (f *tableFindings) compare() {
	seen := make(map[table.Key]bool)
	for _, office := range f.offices() {
		for _, change := range table.Diff(f.base, f.Edited, office, "").Changes {
			// A row that moves to another office is a change of both.
			if !seen[change.Key] {
				f.addChange(change)
			}
			seen[change.Key] = true
		}
	}
}

// offices returns the offices that own rows before or after the edit.
func (f *tableFindings) offices() []string {
	offices := f.Edited.Offices()
	for _, e := range f.base.Entries() {
		offices = append(offices, e.Row.Office)
	}
	slices.Sort(offices)
	return slices.Compact(offices)
}

func (f *tableFindings) addChange(change table.Change) {
	before, exists := f.base.Get(change.Key)
	switch {
	case change.Row == nil:
		f.add(Removed, change.Key, "", "%s is removed", rowName(change.Key))
	case !exists:
		f.add(Added, change.Key, "", "%s is new: %s", rowName(change.Key), cellsText(change.Row.Cells()))
	default:
		old := before.Row.Cells()
		for i, cell := range change.Row.Cells() {
			f.addCell(change.Key, cell, old[i].Value)
		}
	}
}

func (f *tableFindings) addCell(key table.Key, cell table.Cell, before string) {
	switch {
	case cell.Value == before:
	case cell.Column == keyColumn:
		f.add(Changed, key, cell.Column, "%s has another key", rowName(key))
	default:
		f.add(Changed, key, cell.Column, "%s: %s is %s instead of %s", rowName(key), cell.Column, word(cell.Value), word(before))
	}
}

// cellsText returns the cells of a row but the hash of its key.
func cellsText(cells []table.Cell) string {
	var list []string
	for _, c := range cells {
		if c.Column != keyColumn {
			list = append(list, c.Column+" "+word(c.Value))
		}
	}
	return strings.Join(list, ", ")
}
