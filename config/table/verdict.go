package table

import "github.com/filbertmux/filbertmux/base/infra"

// Outcome is the result of applying a record to a State.
type Outcome string

// Outcomes. OutcomeAccepted and OutcomeRefused are those of a change set.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	// OutcomeSnapshot is a snapshot that agrees with the state or is too old to
	// be compared.
	OutcomeSnapshot Outcome = "snapshot"
	// OutcomeSnapshotMismatch is a snapshot that disagrees with the state.
	OutcomeSnapshotMismatch Outcome = "snapshot_mismatch"
	// OutcomeSkipped is a record that has an unknown type or can't be decoded.
	OutcomeSkipped Outcome = "skipped"
	// OutcomeAlreadyApplied is a record at or below the offset of the state; it
	// has no effect.
	OutcomeAlreadyApplied Outcome = "reread"
	// OutcomeGap is a record above the next expected offset; it has no effect.
	OutcomeGap Outcome = "gap"
)

// maxVerdictFaults is the maximum number of faults in a verdict. It limits the
// memory that a retained verdict takes.
const maxVerdictFaults = 16

// Verdict is the result of applying one record. For a duplicate change set it
// is the verdict on the first record with that ID.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	ID      string  `json:"id,omitempty"`
	Office  string  `json:"office,omitempty"`
	// Offset is the offset of the record on which the verdict was reached.
	Offset infra.Offset `json:"offset"`
	// Faults are the reasons for a refusal, at most maxVerdictFaults of them.
	// FaultCount is their full number.
	Faults     []Fault `json:"faults,omitempty"`
	FaultCount int     `json:"fault_count,omitempty"`
	// Duplicate marks a change set whose ID has been used before. It is not part
	// of the retained verdict.
	Duplicate bool `json:"-"`
}

// Err returns nil for an accepted change set, otherwise an error of kind
// ChangeConflict or InvalidTable that lists the retained faults.
func (v Verdict) Err() error { return FaultsError(v.Faults) }

func refusedVerdict(id, office string, offset infra.Offset, faults []Fault) Verdict {
	return Verdict{
		Outcome: OutcomeRefused, ID: id, Office: office, Offset: offset,
		Faults: faults[:min(len(faults), maxVerdictFaults)], FaultCount: len(faults),
	}
}

// Stats counts the records that a State has processed since it was created. The
// counters are not part of the digest or the snapshot.
type Stats struct {
	Accepted           uint64
	Refused            uint64
	Duplicates         uint64
	Snapshots          uint64
	SnapshotMismatches uint64
	// UnknownTypes and Malformed count the skipped records.
	UnknownTypes   uint64
	Malformed      uint64
	AlreadyApplied uint64
	Gaps           uint64
}
