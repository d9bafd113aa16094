package fleet

import "time"

// Freshness tracks when the current configuration was last known to be the newest
// one. The times must come from a clock that also advances while the instance is
// suspended. Otherwise keys that were revoked during the suspension would be
// accepted afterwards.
type Freshness struct {
	confirmedAt time.Time
	respondedAt time.Time
}

// RecordRead records a read of the store that returned all changes. sent is when
// the read was sent; changes that the store accepted later may be missing from the
// response. received is when the response arrived.
func (f *Freshness) RecordRead(sent, received time.Time) {
	if sent.After(f.confirmedAt) {
		f.confirmedAt = sent
	}
	if received.After(f.respondedAt) {
		f.respondedAt = received
	}
}

// Age returns the time since the configuration was last known to be the newest one.
// It bounds how long a revoked key may have been accepted.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.confirmedAt) }

// SinceResponse returns the time since the last response of the store. Unlike Age,
// it doesn't include the time for which that read waited for changes at the store.
func (f *Freshness) SinceResponse(now time.Time) time.Duration { return now.Sub(f.respondedAt) }

// Known reports whether any read was recorded.
func (f *Freshness) Known() bool { return !f.confirmedAt.IsZero() }
