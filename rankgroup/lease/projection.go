// Package lease implements named leases with fencing tokens on top of a shared
// log. A lease has at most one holder at a time. The time during which one
// process holds it is a term; the offset of the log record that started the term
// is its fencing token. The package is deterministic and does no I/O.
//
// Nothing in this package is safe for concurrent use.
package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Stream is the log stream of the leases, maps and epochs of rank groups.
const Stream = "groups"

// recordType is the type field of a lease record.
const recordType = "lease"

// Op is the operation of a lease record.
type Op string

// Operations of a lease record. Readers skip other ones.
const (
	OpClaim   Op = "claim"
	OpRenew   Op = "renew"
	OpRelease Op = "release"
)

// Record is a lease record. Token is set on renewals and releases.
type Record struct {
	Type      string       `json:"type"`
	Op        Op           `json:"op"`
	LeaseName string       `json:"duty"`
	Holder    string       `json:"holder"`
	Nonce     uint64       `json:"nonce"` // unique within the holder
	Token     infra.Offset `json:"token,omitempty"`
}

// Encode returns the JSON encoding of r.
func Encode(r Record) ([]byte, error) {
	r.Type = recordType
	data, err := json.Marshal(&r)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease record")
	}
	return data, nil
}

// Settings must be equal in all processes that share a stream.
type Settings struct {
	// TTL is the time from a record that starts or renews a term to the expiry
	// of the term, on the clock of the log.
	TTL time.Duration
	// RenewInterval is the interval of renewals.
	RenewInterval time.Duration
	// SafetyMargin is how long before expiry a holder stops by its own clock.
	// It covers clock drift within TTL and the duration of one action.
	SafetyMargin time.Duration
	// MaxViewAge is how old a TokenChecker's view of the log may be. The
	// checker refuses all commands while its view is older.
	MaxViewAge time.Duration
	// MaxLeases bounds the number of leases in a Projection.
	MaxLeases int
}

// DefaultSettings returns the settings used by the daemons. With them, 150 groups
// append 15 renewals per second.
func DefaultSettings() Settings {
	return Settings{
		TTL: 30 * time.Second, RenewInterval: 10 * time.Second, SafetyMargin: 3 * time.Second,
		MaxViewAge: 30 * time.Second, MaxLeases: 10_000,
	}
}

// Term is the time during which one process holds a lease.
type Term struct {
	LeaseName string
	Holder    string
	Token     infra.Offset
	RenewedAt time.Time // log time of the last record that renewed the term
	Nonce     uint64    // of that record
	Released  bool
}

// Projection is the state of all leases after the last applied record of the
// log.
type Projection struct {
	settings Settings
	offset   infra.Offset
	logTime  time.Time
	// uncertainUntil is the log time until which a term may exist whose start
	// is among the missing records. By then such a term has been renewed or
	// has expired. Claims before then are not granted.
	uncertainUntil       time.Time
	awaitsRecordAfterGap bool
	gapEnd               infra.Offset // last offset that was missing
	terms                map[string]Term
	skipped              int64
}

// NewProjection returns a Projection without any applied record.
func NewProjection(s Settings) *Projection {
	return &Projection{settings: s, terms: make(map[string]Term)}
}

// Offset returns the offset of the last applied record.
func (p *Projection) Offset() infra.Offset { return p.offset }

// Skipped returns the number of lease records with an unknown operation.
func (p *Projection) Skipped() int64 { return p.skipped }

// Term returns the newest term of a lease. It may have been released or expired.
func (p *Projection) Term(leaseName string) (Term, bool) {
	t, ok := p.terms[leaseName]
	return t, ok
}

// Uncertain reports whether a term may exist that this projection does not know,
// because the term started in missing records and has not been renewed since.
func (p *Projection) Uncertain() bool {
	return p.awaitsRecordAfterGap || p.logTime.Before(p.uncertainUntil)
}

// MarkTrimmed tells the projection that the log no longer holds offsets below
// oldest.
func (p *Projection) MarkTrimmed(oldest infra.Offset) {
	if oldest > p.offset+1 {
		p.offset, p.gapEnd = oldest-1, oldest-1
		p.awaitsRecordAfterGap = true
	}
}

// Apply applies the next record. Records of other types on the stream only
// advance the offset and the time. It returns the term that the record started,
// renewed or released, if any.
func (p *Projection) Apply(r infra.Record) (Term, bool) {
	if r.Offset <= p.offset {
		return Term{}, false
	}
	p.MarkTrimmed(r.Offset)
	p.offset = r.Offset
	if r.Time.After(p.logTime) {
		p.logTime = r.Time
	}
	if p.awaitsRecordAfterGap {
		p.awaitsRecordAfterGap = false
		p.uncertainUntil = p.logTime.Add(p.settings.TTL)
	}
	var rec Record
	if json.Unmarshal(r.Data, &rec) != nil || rec.Type != recordType {
		return Term{}, false
	}
	switch rec.Op {
	case OpClaim:
		return p.applyClaim(r.Offset, rec)
	case OpRenew, OpRelease:
		return p.applyExtension(rec)
	default:
		p.skipped++
		return Term{}, false
	}
}

func (p *Projection) applyClaim(offset infra.Offset, rec Record) (Term, bool) {
	t, known := p.terms[rec.LeaseName]
	if known && p.isActive(t) || p.Uncertain() {
		return Term{}, false
	}
	if !known && len(p.terms) >= p.settings.MaxLeases {
		return Term{}, false
	}
	t = Term{LeaseName: rec.LeaseName, Holder: rec.Holder, Token: offset, RenewedAt: p.logTime, Nonce: rec.Nonce}
	p.terms[rec.LeaseName] = t
	return t, true
}

// applyExtension applies a renewal or a release. Only the holder of a term writes
// these records, so a token above the known one proves that this projection has
// missed the start of a term. It adopts that term, so that projections with and
// without the missing records agree again.
func (p *Projection) applyExtension(rec Record) (Term, bool) {
	t := p.terms[rec.LeaseName]
	if rec.Token > t.Token {
		t = Term{LeaseName: rec.LeaseName, Holder: rec.Holder, Token: rec.Token, RenewedAt: p.logTime}
	}
	if t.Token != rec.Token || t.Holder != rec.Holder || !p.isActive(t) {
		return Term{}, false
	}
	t.RenewedAt, t.Nonce = p.logTime, rec.Nonce
	t.Released = rec.Op == OpRelease
	p.terms[rec.LeaseName] = t
	return t, true
}

// isActive reports whether t has neither been released nor expired by log time.
func (p *Projection) isActive(t Term) bool {
	return !t.Released && !p.logTime.After(t.RenewedAt.Add(p.settings.TTL))
}
