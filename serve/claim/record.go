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

// ID identifies a claim by the incarnation of the sidecar that made it and the
// sequence number of the call within the incarnation.
type ID struct {
	Incarnation string
	Seq         uint64
}

// EntryType is the type field of one entry of a record.
type EntryType string

// Entry types. Readers skip entries of unknown types.
const (
	EntryClaim     EntryType = "claim"
	EntryDone      EntryType = "done"
	EntryAbandoned EntryType = "abandoned"
	// EntryLost records that the run ended without a known result. It only
	// changes the error that later requests get; the call never runs again.
	EntryLost EntryType = "lost"
)

// Entry is a claim or the outcome of a claim. Seq is the claim's sequence number
// within the incarnation of the record. ClaimOffset is the offset of the claim
// and set only on outcomes.
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

// Identity returns the identity to which e refers.
func (e *Entry) Identity() Identity {
	return Identity{Organisation: e.Organisation, Service: e.Service, Key: e.Key}
}

// Record is a log record: a group commit of entries of one incarnation. A record
// without entries is a marker, which carries only its time.
type Record struct {
	Type        string  `json:"type"`
	ID          string  `json:"id"`
	Incarnation string  `json:"incarnation"`
	Entries     []Entry `json:"entries,omitempty"`
}

// Encode returns an encoded Record.
func Encode(id, incarnation string, entries []Entry) ([]byte, error) {
	r := Record{Type: recordType, ID: id, Incarnation: incarnation, Entries: entries}
	data, err := json.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim record")
	}
	return data, nil
}

// Decode decodes a Record. It returns false for data that is not a claim record,
// which readers skip.
func Decode(data []byte) (Record, bool) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, false
	}
	return r, r.Type == recordType
}

// Answer is the backend server's answer to a call. Replayed is set if the answer
// was read from the log.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool
}

// StoredAnswer is an answer as stored in the log. Body is absent if it exceeds
// the bound; Size and Digest (SHA-256, hex) are always set.
type StoredAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Size        int    `json:"size"`
	Digest      string `json:"digest"`
}

// NewStoredAnswer returns a as stored in the log, without a body of more than
// maxBytes.
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

// hasFullBody reports whether the body was stored. An empty body counts as
// stored.
func (s *StoredAnswer) hasFullBody() bool { return len(s.Body) == s.Size }
