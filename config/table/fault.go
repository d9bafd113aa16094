package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Fault is one reason why a row or a change is refused.
type Fault struct {
	// Source is the file and line, when the row was read from CSV.
	Source string `json:"-"`
	Row    string `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
	// Conflict marks a change that lost against another one; the same change
	// on the current version may be accepted.
	Conflict bool `json:"conflict,omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	s := fmt.Sprintf("%s: column %s: value %q: %s", f.Row, f.Column, f.Value, f.Reason)
	if f.Source == "" {
		return s
	}
	return f.Source + ": " + s
}

// sortFaults makes the order of faults independent of map iteration.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Row, b.Row), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Value, b.Value), cmp.Compare(a.Reason, b.Reason))
	})
}

// FaultsError returns nil for no faults, otherwise one error that lists all of
// them: ChangeConflict if every fault is a conflict, InvalidTable if not.
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
