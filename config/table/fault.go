package table

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Source is a place in a CSV file. Line and Column count from 1; a column is a byte of the
// line.
type Source struct {
	File   string
	Line   int
	Column int
}

// String returns the file name and the line number.
func (s Source) String() string { return s.File + ":" + strconv.Itoa(s.Line) }

// Fault is one reason why a row or a change is refused. Verdicts with their faults
// are part of the digest, so readers of different versions disagree if the text of a
// fault differs between them.
type Fault struct {
	// Source is the place of the cell if the row was read from CSV.
	Source Source `json:"-"`
	Row    string `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
	// Conflict marks a change that is based on an outdated version of the
	// table. The same change may be accepted on the current version.
	Conflict bool `json:"conflict,omitempty"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	s := fmt.Sprintf("%s: column %s: value %q: %s", f.Row, f.Column, f.Value, f.Reason)
	if f.Source == (Source{}) {
		return s
	}
	return f.Source.String() + ": " + s
}

// sortFaults sorts faults so that their order does not depend on map iteration:
// faults are part of the digest, so all readers need the same order.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Row, b.Row), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Value, b.Value), cmp.Compare(a.Reason, b.Reason))
	})
}

// FaultsError returns nil if there are no faults, otherwise one error that lists
// all of them. Its kind is ChangeConflict if every fault is a conflict, and
// InvalidTable otherwise.
func FaultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	kind := errkind.ChangeConflict
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		if !f.Conflict {
			kind = errkind.InvalidTable
		}
		lines = append(lines, f.String())
	}
	return errkind.New(kind, "%d fault(s):\n%s", len(faults), strings.Join(lines, "\n"))
}
