// Package lease assigns a named duty to one holder through records in the log.
// The offset of the record that started a tenure is its fencing token. The
// package is deterministic and does no I/O.
//
// Nothing in this package is safe for concurrent use.
package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Stream is the log stream of leases, maps and epochs of rank groups.
const Stream = "groups"

// recordType is the type field of a lease record.
const recordType = "lease"

// Op is what a record does to a tenure.
type Op string

// Operations of a lease record. Readers skip others.
const (
	OpClaim   Op = "claim"
	OpRenew   Op = "renew"
	OpRelease Op = "release"
)

// Record is one lease record. Token is set on renewals and releases.
type Record struct {
	Type      string       `json:"type"`
	Op        Op           `json:"op"`
	LeaseName string       `json:"duty"`
	Holder    string       `json:"holder"`
	Nonce     uint64       `json:"nonce"` // unique within the holder
	Token     infra.Offset `json:"token,omitempty"`
}

// Encode returns the bytes of r.
func Encode(r Record) ([]byte, error) {
	r.Type = recordType
	data, err := json.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease record")
	}
	return data, nil
}

// Settings are equal in all processes that share a stream.
type Settings struct {
	// TTL is the time from a record that starts or renews a tenure to its
	// expiry, on the clock of the log.
	TTL time.Duration
	// RenewEvery is the interval of renewals.
	RenewInterval time.Duration
	// Margin is how long before expiry a holder stops by its own clock. It
	// covers clock drift within TTL and the time of one step.
	SafetyMargin time.Duration
	// GuardStale is how old a guard's view of the log may be.
	MaxViewAge time.Duration
	// MaxDuties bounds the duties that a Fold holds.
	MaxLeases int
}

// DefaultSettings returns the settings used by the daemons. 150 groups renew
// with 15 records a second.
func DefaultSettings() Settings {
	return Settings{
		TTL: 30 * time.Second, RenewInterval: 10 * time.Second, SafetyMargin: 3 * time.Second,
		MaxViewAge: 30 * time.Second, MaxLeases: 10_000,
	}
}

// Tenure is the time during which one holder has a duty.
type Term struct {
	LeaseName string
	Holder    string
	Token     infra.Offset
	RenewedAt time.Time // log time of the last record that extended it
	Nonce     uint64    // of that record
	Released  bool
}

// Fold is the state of all duties as of its last record.
type Projection struct {
	settings Settings
	applied  infra.Offset
	logTime  time.Time
	// uncertainUntil: a tenure from missing records would have been renewed
	// by then. Claims until then are not granted.
	uncertainUntil time.Time
	gapPending     bool
	gapEnd         infra.Offset // last offset that was missing
	tenures        map[string]Term
	skipped        int64
}

// NewFold returns a Fold that has read nothing.
func NewProjection(s Settings) *Projection {
	return &Projection{settings: s, tenures: make(map[string]Term)}
}

// Offset returns the offset of the last record that was folded.
func (f *Projection) Offset() infra.Offset { return f.applied }

// Skipped returns the number of lease records of unknown operation.
func (f *Projection) Skipped() int64 { return f.skipped }

// Tenure returns the newest tenure of duty. It may be released or expired.
func (f *Projection) Term(duty string) (Term, bool) {
	t, ok := f.tenures[duty]
	return t, ok
}

// Uncertain reports whether a tenure that started in missing records may not
// have shown itself by a renewal yet.
func (f *Projection) Uncertain() bool {
	return f.gapPending || f.logTime.Before(f.uncertainUntil)
}

// Missing records that the log no longer holds offsets below oldest.
func (f *Projection) MarkTrimmed(oldest infra.Offset) {
	if oldest > f.applied+1 {
		f.applied, f.gapEnd = oldest-1, oldest-1
		f.gapPending = true
	}
}

// Apply folds the next record. Records of other types on the stream only
// advance offset and time. It returns the tenure that the record started,
// renewed or released, if any.
func (f *Projection) Apply(r infra.Record) (Term, bool) {
	if r.Offset <= f.applied {
		return Term{}, false
	}
	f.MarkTrimmed(r.Offset)
	f.applied = r.Offset
	if r.Time.After(f.logTime) {
		f.logTime = r.Time
	}
	if f.gapPending {
		f.gapPending = false
		f.uncertainUntil = f.logTime.Add(f.settings.TTL)
	}
	var rec Record
	if json.Unmarshal(r.Data, &rec) != nil || rec.Type != recordType {
		return Term{}, false
	}
	switch rec.Op {
	case OpClaim:
		return f.claim(r.Offset, rec)
	case OpRenew, OpRelease:
		return f.extend(rec)
	default:
		f.skipped++
		return Term{}, false
	}
}

func (f *Projection) claim(offset infra.Offset, rec Record) (Term, bool) {
	t, known := f.tenures[rec.LeaseName]
	if known && f.active(t) || f.Uncertain() {
		return Term{}, false
	}
	if !known && len(f.tenures) >= f.settings.MaxLeases {
		return Term{}, false
	}
	t = Term{LeaseName: rec.LeaseName, Holder: rec.Holder, Token: offset, RenewedAt: f.logTime, Nonce: rec.Nonce}
	f.tenures[rec.LeaseName] = t
	return t, true
}

// extend renews or releases. A token above the known one proves a tenure that
// this fold did not see start, because only its holder writes such a record.
// Adopting it lets folds that missed records agree again with the others.
func (f *Projection) extend(rec Record) (Term, bool) {
	t := f.tenures[rec.LeaseName]
	if rec.Token > t.Token {
		t = Term{LeaseName: rec.LeaseName, Holder: rec.Holder, Token: rec.Token, RenewedAt: f.logTime}
	}
	if t.Token != rec.Token || t.Holder != rec.Holder || !f.active(t) {
		return Term{}, false
	}
	t.RenewedAt, t.Nonce = f.logTime, rec.Nonce
	t.Released = rec.Op == OpRelease
	f.tenures[rec.LeaseName] = t
	return t, true
}

// active reports whether t has neither been released nor expired by log time.
func (f *Projection) active(t Term) bool {
	return !t.Released && !f.logTime.After(t.RenewedAt.Add(f.settings.TTL))
}
