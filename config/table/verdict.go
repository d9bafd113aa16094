package table

import "github.com/filbertmux/filbertmux/base/infra"

// Outcome is what a fold did with a record.
type Outcome string

// Outcomes. Only OutcomeAccepted and OutcomeRefused judge a change set.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	// OutcomeSnapshot is a snapshot that agrees with the fold or is too old
	// to be compared.
	OutcomeSnapshot Outcome = "snapshot"
	// OutcomeMismatch is a snapshot that disagrees with the fold.
	OutcomeSnapshotMismatch Outcome = "snapshot_mismatch"
	// OutcomeSkipped is a record of unknown type or that can't be decoded.
	OutcomeSkipped Outcome = "skipped"
	// OutcomeReread is a record at or below the offset of the fold; it has
	// no effect.
	OutcomeAlreadyApplied Outcome = "reread"
	// OutcomeGap is a record above the next offset; it has no effect.
	OutcomeGap Outcome = "gap"
)

// maxVerdictFaults bounds the memory of one remembered verdict.
const maxVerdictFaults = 16

// Verdict is the result of applying one record. For a duplicate change set it
// is the verdict of the first record with that ID.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	ID      string  `json:"id,omitempty"`
	Office  string  `json:"office,omitempty"`
	// Offset is the record that decided the verdict.
	Offset infra.Offset `json:"offset"`
	// Faults are the first reasons of a refusal and FaultCount is their
	// number before the list was cut.
	Faults     []Fault `json:"faults,omitempty"`
	FaultCount int     `json:"fault_count,omitempty"`
	// Duplicate marks a repeated ID. It is not part of the remembered verdict.
	Duplicate bool `json:"-"`
}

// Err returns nil for an accepted change set, otherwise ChangeConflict or
// InvalidTable with all remembered reasons.
func (v Verdict) Err() error { return FaultsError(v.Faults) }

func refusal(id, office string, offset infra.Offset, faults []Fault) Verdict {
	return Verdict{
		Outcome: OutcomeRefused, ID: id, Office: office, Offset: offset,
		Faults: faults[:min(len(faults), maxVerdictFaults)], FaultCount: len(faults),
	}
}

// Stats counts what a fold has seen since it started. They are not part of
// the folded state.
type Stats struct {
	Accepted           uint64
	Refused            uint64
	Duplicates         uint64
	Snapshots          uint64
	SnapshotMismatches uint64
	// UnknownTypes and Malformed are the skipped records.
	UnknownTypes   uint64
	Malformed      uint64
	AlreadyApplied uint64
	Gaps           uint64
}
