package table

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Record types of the log. A change in the meaning of a record needs a new
// type, because readers of different versions must reach the same verdict on
// the same record.
const (
	TypeChangeSet = "table.change.v1"
	// TypeChangeSetV2 is the type of a change set with evacuations. Readers of
	// earlier versions skip it, because they don't know the type. In a change set of
	// the first type they ignore the evacuation, find a row without a kind and
	// refuse the set; so do later readers.
	TypeChangeSetV2 = "table.change.v2"
	TypeSnapshot    = "table.snapshot.v1"
)

// MaxChanges is the maximum number of changes in a change set. A table of 1,100
// organisations has about 3,300 rows.
const MaxChanges = 5000

// Change creates, replaces or deletes one row.
type Change struct {
	Key Key `json:"key"`
	// BaseVersion is the version of the row that the change replaces; 0 means a
	// new row.
	BaseVersion Version `json:"base"`
	// Row is the new row; nil deletes the row.
	Row *Row `json:"row,omitempty"`
}

// ChangeSet is a list of changes that are accepted or refused atomically.
type ChangeSet struct {
	Type string `json:"type"`
	// ID makes publishing idempotent: of several records with the same ID, only
	// the first takes effect.
	ID     string `json:"id"`
	Office string `json:"office"`
	// ReadOffset is the table offset from which the publisher made the set.
	ReadOffset infra.Offset `json:"read_offset"`
	Comment    string       `json:"comment,omitempty"`
	Changes    []Change     `json:"changes"`
}

// Encode returns the log record of the change set.
func (s ChangeSet) Encode() ([]byte, error) {
	s.Type = s.recordType()
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode change set")
	}
	return data, nil
}

// recordType returns the first record type that has all row kinds of the set.
func (s ChangeSet) recordType() string {
	isNewer := func(c Change) bool {
		return !hasKind(TypeChangeSet, c.Key.Kind) || c.Row != nil && c.Row.Evacuation != nil
	}
	if slices.ContainsFunc(s.Changes, isNewer) {
		return TypeChangeSetV2
	}
	return TypeChangeSet
}

// hasKind reports whether change sets of a record type can change rows of kind k.
func hasKind(recordType string, k Kind) bool {
	return recordType != TypeChangeSet || k != KindEvacuation
}

// IsChangeSet reports whether records of a type are change sets.
func IsChangeSet(recordType string) bool {
	return recordType == TypeChangeSet || recordType == TypeChangeSetV2
}

// RecordType returns the type of a log record, or "" if the record has none or
// is not JSON.
func RecordType(data []byte) string {
	var head struct {
		Type string `json:"type"`
	}
	if json.Unmarshal(data, &head) != nil {
		return ""
	}
	return head.Type
}

// DecodeChangeSet decodes a record of type TypeChangeSet or TypeChangeSetV2.
func DecodeChangeSet(data []byte) (ChangeSet, error) {
	var s ChangeSet
	if err := json.Unmarshal(data, &s); err != nil {
		return ChangeSet{}, errors.Wrap(err, "decode change set")
	}
	if !IsChangeSet(s.Type) || s.ID == "" || len(s.ID) > maxNameLength {
		return ChangeSet{}, errors.Errorf("record with type %q and id %q is not a valid change set", s.Type, s.ID)
	}
	if s.Type == TypeChangeSet {
		s.dropEvacuations()
	}
	return s, nil
}

// dropEvacuations removes the evacuations from the rows, as readers do that don't
// know the kind.
func (s ChangeSet) dropEvacuations() {
	for _, c := range s.Changes {
		if c.Row != nil {
			c.Row.Evacuation = nil
		}
	}
}

// validate returns the faults that can be found without the other rows of the
// table.
func (s ChangeSet) validate() []Fault {
	row := "change set " + s.ID
	var faults []Fault
	if err := checkName(&s.Office); err != nil {
		faults = append(faults, Fault{Row: row, Column: "office", Value: s.Office, Reason: err.Error()})
	}
	if len(s.Changes) == 0 || len(s.Changes) > MaxChanges {
		return append(faults, Fault{
			Row: row, Column: "changes", Value: strconv.Itoa(len(s.Changes)),
			Reason: "want 1 to " + strconv.Itoa(MaxChanges) + " changes",
		})
	}
	seen := make(map[Key]bool, len(s.Changes))
	for _, c := range s.Changes {
		if seen[c.Key] {
			faults = append(faults, Fault{Row: c.Key.String(), Column: "key", Value: c.Key.ID, Reason: "the set changes this row twice"})
		}
		seen[c.Key] = true
		faults = append(faults, c.validate()...)
	}
	return faults
}

func (c Change) validate() []Fault {
	if c.Row == nil {
		return nil
	}
	if key, ok := c.Row.Key(); ok && key != c.Key {
		return []Fault{{Row: c.Key.String(), Column: "key", Value: key.String(), Reason: "the row has another key"}}
	}
	return c.Row.Validate()
}
