// Package topicproof decides how the gateways of a deployment share the reads by which they
// know that what they have read of a topic is current. A few of them, the pollers, poll the
// store. The others ask the pollers for a proof, and read the store themselves if they get
// none or if a proof names records that they haven't read. Records are never passed on.
//
// The invariant is that a gateway never counts its knowledge as current at a time, on its own
// clock, if the store had accepted a record with an offset at or after its next offset before
// that time. It rests on three rules:
//
//   - Knowledge counts from the time at which the read was sent, and not from the response: a
//     record that the store accepts in between may be missing in the response.
//   - The asker counts the age in a proof from the time at which it sent the request. The
//     responder computes the age after it received the request, so the real age at that
//     moment is no higher. Delays, suspended processes and clocks with different readings can
//     only make a proof look older than it is. A derived proof thus includes all delays.
//   - A proof counts only if it names the own next offset and the digest of the own records.
//     The digest tells the histories of a store apart that has started over: the same offset
//     stands for other records there.
//
// The package is deterministic and does no I/O; times are passed in. Its types aren't safe for
// concurrent use.
package topicproof

import "time"

const (
	// MaxProofAge is the age of a proof from which a gateway reads the store itself. It is
	// the age that the configuration reaches in a gateway that polls for itself: two long
	// polls of 0.8 s. So an outage of the store finds all gateways with knowledge that is no
	// older than without proofs.
	MaxProofAge = 1600 * time.Millisecond
	// AskInterval is the time between two requests for a proof. It bounds how much later
	// than a poller the others learn of new records.
	AskInterval = 300 * time.Millisecond
	// AnswerTimeout is the time without a response after which the next poller is asked.
	AnswerTimeout = 100 * time.Millisecond
	// pollerAskAge is the age from which a poller asks others as well. A poller that can
	// read the store confirms its knowledge each two polls, of 0.55 s at most.
	pollerAskAge = 1300 * time.Millisecond
)

// Proof states that the store had accepted no record at Next or later before a moment that is
// Age in the past.
type Proof struct {
	// Next is the offset that follows the last record read.
	Next int64
	// Digest is that of the newest record of each key.
	Digest uint64
	Age    time.Duration
	// ResponseAge is the time since the last response of the store that was taken into
	// account.
	ResponseAge time.Duration
}

// Read is a successful read of the store. The records are already installed.
type Read struct {
	// Next is the offset at which the next read begins, and Digest that of the newest
	// record of each key before it.
	Next   int64
	Digest uint64
	// Complete means that the read returned all records up to the end of the topic.
	Complete bool
	// Snapshot means that the read returned the newest record of each key.
	Snapshot bool
	// Sent and Received are the times of the request and of the response.
	Sent     time.Time
	Received time.Time
}

// ReadReason says why a gateway reads the store.
type ReadReason string

// Reasons. Idle means that the gateway needn't read.
const (
	Idle ReadReason = ""
	// Start is that the topic hasn't been read yet.
	Start ReadReason = "start"
	// Poll is that the gateway is a poller.
	Poll ReadReason = "poller"
	// NoProof is that no proof is young enough.
	NoProof ReadReason = "no_proof"
	// NewRecords is that a proof names records that haven't been read.
	NewRecords ReadReason = "new_records"
	// OtherHistory is that a proof contradicts what has been read: the store has started
	// over. The newest record of each key has to be read.
	OtherHistory ReadReason = "other_history"
)

// Outcome is what a proof did.
type Outcome uint8

// Outcomes.
const (
	// Ignored means that the proof says nothing new.
	Ignored Outcome = iota
	// Confirmed means that the knowledge is current up to a later time than before.
	Confirmed
	// Contradicted means that the proof requires a read of the store.
	Contradicted
)

// Knowledge is what one gateway has read of one topic, and up to which time that was all. The
// zero value has read nothing.
type Knowledge struct {
	next   int64
	digest uint64
	// receivedAt is when the response arrived that brought the knowledge to next. It is zero
	// if nothing was read.
	receivedAt time.Time
	// currentAt is the latest time at which the knowledge is known to have been current, and
	// provenAt the latest one of a proof that was used.
	currentAt time.Time
	provenAt  time.Time
	// respondedAt is when the store last responded to a read that is taken into account.
	respondedAt time.Time
	// required is the reason for a read that a proof requires, requiredAt when it arrived,
	// and requiredNext the offset that it names.
	required     ReadReason
	requiredAt   time.Time
	requiredNext int64
}

// CurrentAt returns the latest time at which the knowledge is known to have been current, and
// the time of the last response of the store that is taken into account. Both are zero if
// there is none.
func (k *Knowledge) CurrentAt() (current, responded time.Time) { return k.currentAt, k.respondedAt }

// RecordRead records a read of the store.
func (k *Knowledge) RecordRead(r Read) {
	changed := k.receivedAt.IsZero() || r.Next != k.next || r.Digest != k.digest
	if changed || r.Snapshot {
		k.receivedAt = r.Received
	}
	if changed && (r.Snapshot || k.currentAt.After(r.Sent)) {
		// What was proven before, or while the read was under way, was proven for what the
		// gateway knew then. If the store has started over, it says nothing about this.
		k.currentAt, k.provenAt = earlier(k.currentAt, r.Sent), earlier(k.provenAt, r.Sent)
	}
	k.next, k.digest = r.Next, r.Digest
	if r.Complete {
		k.currentAt = later(k.currentAt, r.Sent)
		k.respondedAt = later(k.respondedAt, r.Received)
	}
	if k.satisfies(r) {
		k.required = Idle
	}
}

// satisfies reports whether a read is the one that a proof required. A complete read that was
// sent later counts whatever it returned: the store decides.
func (k *Knowledge) satisfies(r Read) bool {
	if k.required == OtherHistory && !r.Snapshot {
		return false
	}
	if k.required == NewRecords && r.Next >= k.requiredNext {
		return true
	}
	return r.Complete && !r.Sent.Before(k.requiredAt)
}

// Proof returns the proof for another gateway at a time after its request arrived. It returns
// false if nothing is known to be current.
func (k *Knowledge) Proof(now time.Time) (Proof, bool) {
	if k.currentAt.IsZero() || now.Before(k.currentAt) {
		return Proof{}, false
	}
	return Proof{
		Next: k.next, Digest: k.digest, Age: now.Sub(k.currentAt), ResponseAge: max(now.Sub(k.respondedAt), 0),
	}, true
}

// Apply applies the proof in a response that arrived now. asked is when the request was sent.
func (k *Knowledge) Apply(now, asked time.Time, p Proof) Outcome {
	if k.receivedAt.IsZero() || p.Age < 0 || p.ResponseAge < 0 {
		return Ignored
	}
	at := asked.Add(-p.Age)
	if p.Next == k.next && p.Digest == k.digest {
		return k.confirm(at, asked.Add(-p.ResponseAge))
	}
	switch {
	case now.Sub(at) > MaxProofAge:
		// The responder may be cut off from the store, and has no say in what it holds.
		return Ignored
	case p.Next > k.next:
		k.require(now, NewRecords, p.Next)
	case at.After(k.receivedAt):
		// The topic ended earlier, or with other records, after this one was read.
		k.require(now, OtherHistory, p.Next)
	default:
		// The responder hasn't read the newest records yet.
		return Ignored
	}
	return Contradicted
}

func (k *Knowledge) confirm(at, responded time.Time) Outcome {
	k.provenAt = later(k.provenAt, at)
	if !at.After(k.currentAt) {
		return Ignored
	}
	k.currentAt = at
	k.respondedAt = later(k.respondedAt, responded)
	return Confirmed
}

func (k *Knowledge) require(now time.Time, reason ReadReason, next int64) {
	if k.required == OtherHistory && reason == NewRecords {
		return
	}
	k.required, k.requiredAt, k.requiredNext = reason, now, next
}

// ReadReason returns why the store has to be read now, or Idle.
func (k *Knowledge) ReadReason(now time.Time, poller bool) ReadReason {
	switch {
	case k.receivedAt.IsZero():
		return Start
	case k.required != Idle:
		return k.required
	case poller:
		return Poll
	case now.Sub(k.provenAt) > MaxProofAge:
		return NoProof
	default:
		return Idle
	}
}

// IdleUntil returns until when ReadReason returns Idle if no proof arrives.
func (k *Knowledge) IdleUntil() time.Time { return k.provenAt.Add(MaxProofAge) }

// WantsProof reports whether other gateways are to be asked for a proof. A poller asks only
// while it can't read the store.
func (k *Knowledge) WantsProof(now time.Time, poller bool) bool {
	return !k.receivedAt.IsZero() && (!poller || now.Sub(k.currentAt) > pollerAskAge)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
