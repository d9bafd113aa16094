package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/infra"
)

// recordType is the type field of a log record of the claim stream.
const recordType = "claims"

// ID names one claim: the call with this sequence number of one incarnation.
type ID struct {
	Incarnation string
	Seq         uint64
}

// EntryType is the type field of one entry of a record.
type EntryType string

// Entry types. Readers skip entries of other types.
const (
	EntryClaim     EntryType = "claim"
	EntryDone      EntryType = "done"
	EntryAbandoned EntryType = "abandoned"
	// EntryLost says that the run ended without a known result. It changes
	// only the kind of the unknown answer; the identity never runs again.
	EntryLost EntryType = "lost"
)

// Entry is one claim or outcome. Seq is the claim's sequence number within the
// incarnation of the record. ClaimOffset is set on outcomes.
type Entry struct {
	Type         EntryType     `json:"type"`
	Seq          uint64        `json:"seq"`
	Organisation string        `json:"org"`
	Service      string        `json:"service"`
	Key          uuid.UUID     `json:"key"`
	BodyHash     string        `json:"body_hash,omitempty"`
	ClaimOffset  infra.Offset  `json:"claim_offset,omitempty"`
	Answer       *StoredAnswer `json:"answer,omitempty"`
}

// Identity returns the identity that e refers to.
func (e *Entry) Identity() Identity {
	return Identity{Organisation: e.Organisation, Service: e.Service, Key: e.Key}
}

// Record is one log record: a group commit of entries of one incarnation. A
// record without entries only marks the time in an idle partition.
type Record struct {
	Type        string  `json:"type"`
	ID          string  `json:"id"`
	Incarnation string  `json:"incarnation"`
	Entries     []Entry `json:"entries,omitempty"`
}

// Encode returns the bytes of a claim record.
func Encode(id, incarnation string, entries []Entry) ([]byte, error) {
	r := Record{Type: recordType, ID: id, Incarnation: incarnation, Entries: entries}
	data, err := json.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim record")
	}
	return data, nil
}

// Decode returns the record in data. It returns false for bytes that are not a
// claim record, which readers skip.
func Decode(data []byte) (Record, bool) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, false
	}
	return r, r.Type == recordType
}

// Answer is the backend server's answer to a call. Replayed says that it comes
// from the log.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool
}

// StoredAnswer is an answer in the log. Body is absent above the bound; Size
// and Digest (SHA-256, hex) are always set.
type StoredAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Size        int    `json:"size"`
	Digest      string `json:"digest"`
}

// NewStoredAnswer returns the form of a that the log holds.
func NewStoredAnswer(a *Answer, maxBytes int) *StoredAnswer {
	sum := sha256.Sum256(a.Body)
	s := &StoredAnswer{
		Status: a.Status, ContentType: a.ContentType,
		Size: len(a.Body), Digest: hex.EncodeToString(sum[:]),
	}
	if len(a.Body) <= maxBytes {
		s.Body = a.Body
	}
	return s
}

// complete reports whether the stored body is the whole body.
func (s *StoredAnswer) complete() bool { return len(s.Body) == s.Size }
