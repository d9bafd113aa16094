package claim

import (
	"container/heap"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Status is what a Book knows about an identity.
type Status uint8

// Statuses. Free is the only one under which a claim may win.
const (
	// Free: no claim was made, or each one was abandoned.
	Free Status = iota
	// Open: a claim holds the identity and has no outcome.
	Open
	// Lost: the run ended without a known result.
	Lost
	// Done: the run is complete and its answer known.
	Done
	// Reused: the identity belongs to a request with another body.
	Reused
	// Expired: the key is older than the claims that the Book holds.
	Expired
	// Gap: records that could hold a claim for the key are missing.
	Gap
)

// View is the state of one identity as of the Book's last record.
type View struct {
	Status Status
	// Claim, Offset and Time belong to the claim that holds the identity.
	Claim  ID
	Offset infra.Offset
	Time   time.Time
	Answer *StoredAnswer
}

// Decision is the result of folding one claim. Won is final: it says that the
// claim holds the identity from Offset on. Before is the state ahead of it.
type Decision struct {
	Claim    ID
	Identity Identity
	Offset   infra.Offset
	Won      bool
	Repeat   bool // a further copy of the claim that holds the identity
	Before   View
}

// ApplyResult is the result of folding one record.
type ApplyResult struct {
	RecordID    string
	Incarnation string
	Decisions   []Decision
}

// holding is the state of one identity in the Book.
type holding struct {
	identity  Identity
	bodyHash  string
	status    Status
	claim     ID
	offset    infra.Offset
	time      time.Time
	abandoned ID
	answer    *StoredAnswer
}

// Index folds one partition of the claim stream. Every Book that has read the
// same records from the first one on has the same state.
type Index struct {
	settings Settings
	applied  infra.Offset
	logTime  time.Time
	// floor: identities with an older key were dropped.
	floor time.Time
	// covered: a claim made after this log time is known. The zero time
	// means that the Book has read the stream from its first record.
	covered    time.Time
	gapPending bool
	holdings   map[Identity]*holding
	byAge      ageHeap
	skipped    int64
	// answered holds the identities with a stored body, oldest outcome first.
	answered    []*holding
	answerBytes int
}

// NewIndex returns a Book that has read nothing.
func NewIndex(s Settings) *Index {
	return &Index{settings: s, holdings: make(map[Identity]*holding)}
}

// Offset returns the offset of the last record that was folded.
func (b *Index) Offset() infra.Offset { return b.applied }

// LogTime returns the time of the last record that was folded.
func (b *Index) LogTime() time.Time { return b.logTime }

// Len returns the number of identities held.
func (b *Index) Len() int { return len(b.holdings) }

// Skipped returns the number of records and entries of unknown type.
func (b *Index) Skipped() int64 { return b.skipped }

// MarkTrimmed records that the log no longer holds offsets below oldest. If the
// Book has not read them all, coverage starts at its next record.
func (b *Index) MarkTrimmed(oldest infra.Offset) {
	if oldest <= b.applied+1 {
		return
	}
	b.applied = oldest - 1
	b.gapPending = true
}

// NeedsMarker reports whether a record without entries has to be appended: the
// coverage of the stream is unproved, or its newest record is older than every.
func (b *Index) NeedsMarker(now time.Time, every time.Duration) bool {
	if b.gapPending {
		return true
	}
	return b.applied > 0 && now.Sub(b.logTime) > every
}

// View returns the state of id for a request with the given body hash.
func (b *Index) View(id Identity, bodyHash string) View {
	created := KeyTime(id.Key)
	if created.Before(b.floor) {
		return View{Status: Expired}
	}
	h := b.holdings[id]
	if h != nil && h.bodyHash != bodyHash {
		return View{Status: Reused}
	}
	if h != nil && h.status != Free {
		return View{Status: h.status, Claim: h.claim, Offset: h.offset, Time: h.time, Answer: h.answer}
	}
	if !b.covers(created) {
		return View{Status: Gap}
	}
	return View{Status: Free}
}

// covers reports whether the Book knows each claim for a key created at the
// given time. A sidecar accepts a key at most Skew before its creation time,
// and its clock differs from that of the log by at most Skew.
func (b *Index) covers(created time.Time) bool {
	if b.gapPending {
		return false
	}
	return b.covered.IsZero() || created.Add(-2*b.settings.MaxClockSkew).After(b.covered)
}

// Apply folds the next record and returns the verdict on each claim in it.
// A record at or below the applied offset is ignored.
func (b *Index) Apply(r infra.Record) ApplyResult {
	if r.Offset <= b.applied {
		return ApplyResult{}
	}
	if r.Offset != b.applied+1 {
		b.MarkTrimmed(r.Offset)
	}
	b.applied = r.Offset
	if r.Time.After(b.logTime) {
		b.logTime = r.Time
	}
	if b.gapPending {
		b.gapPending = false
		b.covered = b.logTime
	}
	b.evict()
	record, ok := Decode(r.Data)
	if !ok {
		b.skipped++
		return ApplyResult{}
	}
	return ApplyResult{RecordID: record.ID, Incarnation: record.Incarnation, Decisions: b.applyEntries(r, record)}
}

func (b *Index) applyEntries(r infra.Record, record Record) []Decision {
	var verdicts []Decision
	for i := range record.Entries {
		e := &record.Entries[i]
		id := ID{Incarnation: record.Incarnation, Seq: e.Seq}
		switch e.Type {
		case EntryClaim:
			verdicts = append(verdicts, b.applyClaim(r, e, id))
		case EntryDone, EntryAbandoned, EntryLost:
			b.applyOutcome(e, id)
		default:
			b.skipped++
		}
	}
	return verdicts
}

// applyClaim decides a claim at its own position. A claim that doesn't win
// there never wins, so its sender can answer at once and needs no record to
// withdraw it.
func (b *Index) applyClaim(r infra.Record, e *Entry, claim ID) Decision {
	id := e.Identity()
	v := Decision{Claim: claim, Identity: id, Offset: r.Offset, Before: b.View(id, e.BodyHash)}
	h := b.holdings[id]
	if h != nil && h.claim == claim && h.status != Free {
		v.Repeat = true
		return v
	}
	// A copy of an abandoned claim arrives when an append took effect late.
	if h != nil && h.abandoned == claim {
		v.Repeat = true
		return v
	}
	// Under Gap the claim holds the identity too, so that later claims see it
	// as open. Its owner sees Before and doesn't run it.
	if v.Before.Status != Free && v.Before.Status != Gap {
		return v
	}
	if h == nil {
		h = &holding{identity: id, bodyHash: e.BodyHash}
		b.holdings[id] = h
		heap.Push(&b.byAge, h)
	}
	h.status, h.claim, h.offset, h.time = Open, claim, r.Offset, r.Time
	v.Won = true
	b.evict()
	return v
}

// applyOutcome accepts an outcome only from the incarnation that made the
// claim and only for the claim that holds the identity.
func (b *Index) applyOutcome(e *Entry, claim ID) {
	h := b.holdings[e.Identity()]
	if h == nil || h.claim != claim || h.offset != e.ClaimOffset || h.status == Free {
		return
	}
	if h.status == Done {
		invariant.Check(e.Type != EntryAbandoned, "claim at offset %d: abandoned after done", h.offset)
		return
	}
	switch e.Type {
	case EntryDone:
		h.status, h.answer = Done, e.Answer
		b.keepAnswer(h)
	case EntryAbandoned:
		if invariant.Check(h.status == Open, "claim at offset %d: abandoned after a run", h.offset) {
			h.status, h.abandoned = Free, claim
		}
	case EntryLost:
		h.status = Lost
	}
}

// keepAnswer bounds the stored bodies. Above the bound the oldest one goes; its
// identity stays done with size and digest.
func (b *Index) keepAnswer(h *holding) {
	if h.answer == nil || len(h.answer.Body) == 0 {
		return
	}
	b.answered = append(b.answered, h)
	b.answerBytes += len(h.answer.Body)
	for len(b.answered) > 0 {
		first := b.answered[0]
		if b.answerBytes <= b.settings.MaxTotalAnswerBytes && len(first.answer.Body) > 0 {
			return
		}
		b.dropAnswer(first)
		b.answered = b.answered[1:]
	}
}

// dropAnswer replaces the stored answer, because a View may still hold it.
func (b *Index) dropAnswer(h *holding) {
	if h.answer == nil {
		return
	}
	b.answerBytes -= len(h.answer.Body)
	short := *h.answer
	short.Body = nil
	h.answer = &short
}

// evict drops identities by age and above the size bound. It raises the floor
// so that a dropped identity is answered as expired and never runs.
func (b *Index) evict() {
	if floor := b.logTime.Add(-b.settings.KeyWindow); floor.After(b.floor) {
		b.floor = floor
	}
	for len(b.byAge) > 0 {
		created := KeyTime(b.byAge[0].identity.Key)
		if len(b.byAge) > b.settings.MaxIdentities && !created.Before(b.floor) {
			b.floor = created.Add(time.Millisecond)
		}
		if !created.Before(b.floor) {
			return
		}
		h := heap.Pop(&b.byAge).(*holding)
		delete(b.holdings, h.identity)
		b.dropAnswer(h)
	}
}

// ageHeap orders holdings by the creation time of their keys.
type ageHeap []*holding

func (h ageHeap) Len() int { return len(h) }

func (h ageHeap) Less(i, j int) bool {
	return KeyTime(h[i].identity.Key).Before(KeyTime(h[j].identity.Key))
}

func (h ageHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(*holding)) }

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
