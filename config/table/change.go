package table

import (
	"encoding/json"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Record types. A change of meaning gets a new type, because readers of
// different versions must not judge the same record differently.
const (
	TypeChangeSet = "table.change.v1"
	TypeSnapshot  = "table.snapshot.v1"
)

// MaxChanges bounds one change set; 1,100 organisations have about 3,300 rows.
const MaxChanges = 5000

// Change puts or deletes one row.
type Change struct {
	Key Key `json:"key"`
	// Base is the version that the change replaces; 0 means a new row.
	BaseVersion Version `json:"base"`
	// Row is the new row; nil deletes the row.
	Row *Row `json:"row,omitempty"`
}

// ChangeSet is accepted or refused as a whole.
type ChangeSet struct {
	Type string `json:"type"`
	// ID makes publishing idempotent: records with the same ID count once.
	ID     string `json:"id"`
	Office string `json:"office"`
	// ReadOffset is the table offset of the publisher when it made the set.
	ReadOffset infra.Offset `json:"read_offset"`
	Comment    string       `json:"comment,omitempty"`
	Changes    []Change     `json:"changes"`
}

// Encode returns the log record of the change set.
func (s ChangeSet) Encode() ([]byte, error) {
	s.Type = TypeChangeSet
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode change set")
	}
	return data, nil
}

// RecordType returns the type of a log record, or "" if it has none.
func RecordType(data []byte) string {
	var head struct {
		Type string `json:"type"`
	}
	if json.Unmarshal(data, &head) != nil {
		return ""
	}
	return head.Type
}

// DecodeChangeSet decodes a record of type TypeChangeSet.
func DecodeChangeSet(data []byte) (ChangeSet, error) {
	var s ChangeSet
	if err := json.Unmarshal(data, &s); err != nil {
		return ChangeSet{}, errors.Wrap(err, "decode change set")
	}
	if s.Type != TypeChangeSet || s.ID == "" || len(s.ID) > maxNameLength {
		return ChangeSet{}, errors.Errorf("type %q id %q is not a change set", s.Type, s.ID)
	}
	return s, nil
}

// validate returns the faults of the set that need no other rows.
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
