package quarantine

import "time"

const (
	// maxCountedCrashes is the number of crashes after which a request is refused.
	maxCountedCrashes = 3
	// crashRetention is how long crashes count after the last one. A refused
	// request may run again afterwards, because the fault in the server may have
	// been fixed.
	crashRetention = time.Minute
	// maxCountedFingerprints bounds the fingerprints held. The one with the oldest
	// last crash is evicted first.
	maxCountedFingerprints = 4096
)

// CrashCounter counts the crashes of backend servers per request in flight, for a
// process that doesn't know which other requests ran on the server. A request
// that was in flight at three crashes without an answer in between is refused.
// Other requests are expected to be answered when they are retried.
type CrashCounter struct {
	byFingerprint map[Fingerprint]*crashCount
}

type crashCount struct {
	crashes   map[string]bool
	lastCrash time.Time
}

// NewCrashCounter returns an empty CrashCounter.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{byFingerprint: make(map[Fingerprint]*crashCount)}
}

// RecordCrash records a crash with a request in flight. crashID identifies the
// crash, so that reports from several processes count once. It reports whether the
// crash was counted.
func (cc *CrashCounter) RecordCrash(now time.Time, f Fingerprint, crashID string) bool {
	c := cc.byFingerprint[f]
	if c == nil || now.Sub(c.lastCrash) > crashRetention {
		cc.evictOldest()
		c = &crashCount{crashes: make(map[string]bool)}
		cc.byFingerprint[f] = c
	}
	if c.crashes[crashID] || len(c.crashes) >= maxCountedCrashes {
		return false
	}
	c.crashes[crashID], c.lastCrash = true, now
	return true
}

// RecordAnswer records that the request was answered in full and resets its count.
func (cc *CrashCounter) RecordResponse(f Fingerprint) { delete(cc.byFingerprint, f) }

// Refuses reports whether the request is refused at now.
func (cc *CrashCounter) Refuses(now time.Time, f Fingerprint) bool {
	c := cc.byFingerprint[f]
	return c != nil && len(c.crashes) >= maxCountedCrashes && now.Sub(c.lastCrash) <= crashRetention
}

// Len returns the number of fingerprints held.
func (cc *CrashCounter) Len() int { return len(cc.byFingerprint) }

func (cc *CrashCounter) evictOldest() {
	if len(cc.byFingerprint) < maxCountedFingerprints {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, c := range cc.byFingerprint {
		if at.IsZero() || c.lastCrash.Before(at) || c.lastCrash.Equal(at) && f.BodyHash < oldest.BodyHash {
			oldest, at = f, c.lastCrash
		}
	}
	delete(cc.byFingerprint, oldest)
}
