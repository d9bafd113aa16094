package quarantine

import "time"

const (
	// tallyLimit is the number of crashes after which a request is refused.
	tallyLimit = 3
	// tallyKeep is how long a crash counts. A refused request may run again
	// afterwards, because what made it crash its server may have been mended.
	tallyKeep = time.Minute
	// tallyCapacity bounds the fingerprints held; the oldest one goes first.
	tallyCapacity = 4096
)

// CrashCounter counts the crashes of backend servers with a request in flight, for a
// process that doesn't see what else ran on the server. A request that has been in
// flight at three of them without an answer in between is refused: an innocent one
// is answered when it is sent again.
type CrashCounter struct {
	byFingerprint map[Fingerprint]*tallied
}

type tallied struct {
	crashes map[string]bool
	last    time.Time
}

// NewCrashCounter returns an empty Tally.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{byFingerprint: make(map[Fingerprint]*tallied)}
}

// RecordCrash notes a crash with a request in flight. crash names the crash, so that
// the reports of several processes count once. It reports whether that is news.
func (t *CrashCounter) RecordCrash(now time.Time, f Fingerprint, crash string) bool {
	c := t.byFingerprint[f]
	if c == nil || now.Sub(c.last) > tallyKeep {
		t.makeRoom()
		c = &tallied{crashes: make(map[string]bool)}
		t.byFingerprint[f] = c
	}
	if c.crashes[crash] || len(c.crashes) >= tallyLimit {
		return false
	}
	c.crashes[crash], c.last = true, now
	return true
}

// RecordAnswer notes a whole answer: the request doesn't crash each server.
func (t *CrashCounter) RecordAnswer(f Fingerprint) { delete(t.byFingerprint, f) }

// Refuses reports whether a request is refused at now.
func (t *CrashCounter) Refuses(now time.Time, f Fingerprint) bool {
	c := t.byFingerprint[f]
	return c != nil && len(c.crashes) >= tallyLimit && now.Sub(c.last) <= tallyKeep
}

// Len returns the number of fingerprints.
func (t *CrashCounter) Len() int { return len(t.byFingerprint) }

func (t *CrashCounter) makeRoom() {
	if len(t.byFingerprint) < tallyCapacity {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, c := range t.byFingerprint {
		if at.IsZero() || c.last.Before(at) || c.last.Equal(at) && f.BodyHash < oldest.BodyHash {
			oldest, at = f, c.last
		}
	}
	delete(t.byFingerprint, oldest)
}
