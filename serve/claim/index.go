package claim

import (
	"container/heap"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Status is the state of an identity in an Index.
type Status uint8

// Statuses. A claim can win an identity only while it is Free.
const (
	// Free means that no claim was made, or that every claim was abandoned.
	Free Status = iota
	// Open means that a claim holds the identity and has no outcome yet.
	Open
	// Lost means that the call ran, but its result is unknown.
	Lost
	// Done means that the call ran to completion and its answer is known.
	Done
	// Reused means that the key was used before for a request with another body.
	Reused
	// Expired means that the key is older than the claims kept in the Index.
	Expired
	// Gap means that records which may contain a claim for the key are missing.
	RecordsMissing
)

// View is the state of one identity as of the last record in the Index.
type View struct {
	Status Status
	// Claim, Offset and Time describe the claim that holds the identity.
	Claim  ID
	Offset infra.Offset
	Time   time.Time
	Answer *StoredAnswer
}

// Decision is the result of applying one claim. Won is final: the claim holds
// the identity from Offset on. Before is the state ahead of the claim.
type Decision struct {
	Claim     ID
	Identity  Identity
	Offset    infra.Offset
	Won       bool
	Duplicate bool // a duplicate of a claim that was applied before
	Before    View
}

// ApplyResult is the result of applying one record.
type ApplyResult struct {
	RecordID    string
	Incarnation string
	Decisions   []Decision
}

// identityState is the state of one identity in the Index.
type identityState struct {
	identity       Identity
	bodyHash       string
	status         Status
	claim          ID
	offset         infra.Offset
	time           time.Time
	abandonedClaim ID
	answer         *StoredAnswer
}

// Index holds the state that results from the records of one partition of the
// claim stream. Two Indexes that applied the same records from the first one on
// have the same state.
type Index struct {
	settings   Settings
	lastOffset infra.Offset
	logTime    time.Time
	// minKeyTime is the creation time below which identities were evicted.
	minKeyTime time.Time
	// coveredSince is the log time after which every claim is known. The zero
	// time means that the stream was read from its first record.
	coveredSince time.Time
	gapPending   bool
	identities   map[Identity]*identityState
	byAge        ageHeap
	skipped      int64
	// withBody holds the identities with a stored body, oldest outcome first.
	withBody    []*identityState
	answerBytes int
}

// NewIndex returns an empty Index.
func NewIndex(s Settings) *Index {
	return &Index{settings: s, identities: make(map[Identity]*identityState)}
}

// Offset returns the offset of the last applied record.
func (x *Index) Offset() infra.Offset { return x.lastOffset }

// LogTime returns the newest time of an applied record.
func (x *Index) LogTime() time.Time { return x.logTime }

// Len returns the number of identities held.
func (x *Index) Len() int { return len(x.identities) }

// Skipped returns the number of skipped records and entries of unknown type.
func (x *Index) Skipped() int64 { return x.skipped }

// MarkTrimmed records that the log was trimmed below oldest. If some of the
// trimmed records were not applied, coverage restarts at the next record.
func (x *Index) MarkTrimmed(oldest infra.Offset) {
	if oldest <= x.lastOffset+1 {
		return
	}
	x.lastOffset = oldest - 1
	x.gapPending = true
}

// NeedsMarker reports whether a record without entries has to be appended,
// because coverage restarts at the next record or because the newest record is
// older than maxAge.
func (x *Index) NeedsMarker(now time.Time, maxAge time.Duration) bool {
	if x.gapPending {
		return true
	}
	return x.lastOffset > 0 && now.Sub(x.logTime) > maxAge
}

// View returns the state of id for a request with the given body hash.
func (x *Index) View(id Identity, bodyHash string) View {
	created := KeyTime(id.Key)
	if created.Before(x.minKeyTime) {
		return View{Status: Expired}
	}
	s := x.identities[id]
	if s != nil && s.bodyHash != bodyHash {
		return View{Status: Reused}
	}
	if s != nil && s.status != Free {
		return View{Status: s.status, Claim: s.claim, Offset: s.offset, Time: s.time, Answer: s.answer}
	}
	if !x.covers(created) {
		return View{Status: RecordsMissing}
	}
	return View{Status: Free}
}

// covers reports whether the Index knows every claim for a key created at the
// given time. A sidecar accepts a key at most MaxClockSkew before its creation
// time, and its clock differs from that of the log by at most MaxClockSkew.
func (x *Index) covers(created time.Time) bool {
	if x.gapPending {
		return false
	}
	return x.coveredSince.IsZero() || created.Add(-2*x.settings.MaxClockSkew).After(x.coveredSince)
}

// Apply applies the next record and returns the decision on each claim in it.
// A record at or below the last applied offset is ignored.
func (x *Index) Apply(r infra.Record) ApplyResult {
	if r.Offset <= x.lastOffset {
		return ApplyResult{}
	}
	if r.Offset != x.lastOffset+1 {
		x.MarkTrimmed(r.Offset)
	}
	x.lastOffset = r.Offset
	if r.Time.After(x.logTime) {
		x.logTime = r.Time
	}
	if x.gapPending {
		x.gapPending = false
		x.coveredSince = x.logTime
	}
	x.evict()
	record, ok := Decode(r.Data)
	if !ok {
		x.skipped++
		return ApplyResult{}
	}
	return ApplyResult{RecordID: record.ID, Incarnation: record.Incarnation, Decisions: x.applyEntries(r, record)}
}

func (x *Index) applyEntries(r infra.Record, record Record) []Decision {
	var decisions []Decision
	for i := range record.Entries {
		e := &record.Entries[i]
		id := ID{Incarnation: record.Incarnation, Seq: e.Seq}
		switch e.Type {
		case EntryClaim:
			decisions = append(decisions, x.applyClaim(r, e, id))
		case EntryDone, EntryAbandoned, EntryLost:
			x.applyOutcome(e, id)
		default:
			x.skipped++
		}
	}
	return decisions
}

// applyClaim decides a claim at its position in the log. A claim that doesn't
// win there never wins, so its sender can reply at once and needs no record to
// withdraw it.
func (x *Index) applyClaim(r infra.Record, e *Entry, claim ID) Decision {
	id := e.Identity()
	d := Decision{Claim: claim, Identity: id, Offset: r.Offset, Before: x.View(id, e.BodyHash)}
	s := x.identities[id]
	if s != nil && s.claim == claim && s.status != Free {
		d.Duplicate = true
		return d
	}
	// A duplicate of an abandoned claim appears when an append that was assumed
	// lost took effect late.
	if s != nil && s.abandonedClaim == claim {
		d.Duplicate = true
		return d
	}
	// Under Gap the claim takes the identity as well, so that later claims find
	// it open. Its owner sees Gap in Before and doesn't run the call.
	if d.Before.Status != Free && d.Before.Status != RecordsMissing {
		return d
	}
	if s == nil {
		s = &identityState{identity: id, bodyHash: e.BodyHash}
		x.identities[id] = s
		heap.Push(&x.byAge, s)
	}
	s.status, s.claim, s.offset, s.time = Open, claim, r.Offset, r.Time
	d.Won = true
	x.evict()
	return d
}

// applyOutcome applies an outcome if it comes from the incarnation that made the
// claim and refers to the claim that holds the identity. Others are ignored.
func (x *Index) applyOutcome(e *Entry, claim ID) {
	s := x.identities[e.Identity()]
	if s == nil || s.claim != claim || s.offset != e.ClaimOffset || s.status == Free {
		return
	}
	if s.status == Done {
		invariant.Check(e.Type != EntryAbandoned, "claim at offset %d: abandoned entry after a done entry", s.offset)
		return
	}
	switch e.Type {
	case EntryDone:
		s.status, s.answer = Done, e.Answer
		x.retainAnswer(s)
	case EntryAbandoned:
		if invariant.Check(s.status == Open, "claim at offset %d: abandoned entry for a call that ran", s.offset) {
			s.status, s.abandonedClaim = Free, claim
		}
	case EntryLost:
		s.status = Lost
	}
}

// retainAnswer keeps the body of a stored answer. Beyond MaxTotalAnswerBytes the
// oldest bodies are dropped; their identities stay Done with size and digest.
func (x *Index) retainAnswer(s *identityState) {
	if s.answer == nil || len(s.answer.Body) == 0 {
		return
	}
	x.withBody = append(x.withBody, s)
	x.answerBytes += len(s.answer.Body)
	for len(x.withBody) > 0 {
		first := x.withBody[0]
		if x.answerBytes <= x.settings.MaxTotalAnswerBytes && len(first.answer.Body) > 0 {
			return
		}
		x.dropBody(first)
		x.withBody = x.withBody[1:]
	}
}

// dropBody removes the body from a stored answer. It replaces the StoredAnswer
// instead of changing it, because a View may still refer to it.
func (x *Index) dropBody(s *identityState) {
	if s.answer == nil {
		return
	}
	x.answerBytes -= len(s.answer.Body)
	withoutBody := *s.answer
	withoutBody.Body = nil
	s.answer = &withoutBody
}

// evict removes identities older than KeyWindow and the oldest ones beyond
// MaxIdentities. It raises minKeyTime, so that a request for an evicted identity
// is refused as Expired and never runs.
func (x *Index) evict() {
	if floor := x.logTime.Add(-x.settings.KeyWindow); floor.After(x.minKeyTime) {
		x.minKeyTime = floor
	}
	for len(x.byAge) > 0 {
		created := KeyTime(x.byAge[0].identity.Key)
		if len(x.byAge) > x.settings.MaxIdentities && !created.Before(x.minKeyTime) {
			x.minKeyTime = created.Add(time.Millisecond)
		}
		if !created.Before(x.minKeyTime) {
			return
		}
		s := heap.Pop(&x.byAge).(*identityState)
		delete(x.identities, s.identity)
		x.dropBody(s)
	}
}

// ageHeap orders identities by the creation time of their keys.
type ageHeap []*identityState

func (h ageHeap) Len() int { return len(h) }

func (h ageHeap) Less(i, j int) bool {
	return KeyTime(h[i].identity.Key).Before(KeyTime(h[j].identity.Key))
}

func (h ageHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(*identityState)) }

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
