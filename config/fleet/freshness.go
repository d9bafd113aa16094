package fleet

import "time"

// Freshness tracks up to which moment the configuration in force is known to
// be the newest one. The times come from a clock that also counts while the
// machine is suspended, because keys that were withdrawn meanwhile must not
// pass after it.
type Freshness struct {
	asOf   time.Time
	seenAt time.Time
}

// RecordRead notes a read of the store that showed all changes. sent is when
// the read was sent: a change that was accepted later may be missing from its
// answer. received is when the answer arrived.
func (f *Freshness) RecordRead(sent, received time.Time) {
	if sent.After(f.asOf) {
		f.asOf = sent
	}
	if received.After(f.seenAt) {
		f.seenAt = received
	}
}

// Age returns how far the proof lies back at now. It is the bound that counts
// for withdrawn keys.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.asOf) }

// SinceResponse returns the time since the last answer of the store. The age also
// grows while a read waits for changes at the store; the silence doesn't.
func (f *Freshness) SinceResponse(now time.Time) time.Duration { return now.Sub(f.seenAt) }

// Known reports whether any read was confirmed.
func (f *Freshness) Known() bool { return !f.asOf.IsZero() }
