package tablesync

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// A snapshot is due when the oldest record that a new reader needs is older
// than a third of the retention time plus a jitter of up to a sixth. With the
// jitter, one of about 900 readers publishes first and the others see its
// snapshot. The remaining half of the retention time covers log outages.
const (
	dueDivisor    = 3
	jitterDivisor = 6
	// retryDivisor sets the time between the attempts of one reader, as a
	// fraction of the retention time.
	retryDivisor = 60
)

// snapshotSchedule decides when a snapshot is due. It tracks the age of the
// oldest record that a new reader needs in addition to the newest snapshot.
type snapshotSchedule struct {
	retention     time.Duration
	rng           *rand.Rand
	coveredOffset infra.Offset
	oldestNeeded  time.Time // zero before the first record
	jitter        time.Duration
	nextAttempt   time.Time
}

func newSnapshotSchedule(retention time.Duration, rng *rand.Rand) snapshotSchedule {
	s := snapshotSchedule{retention: retention, rng: rng}
	s.drawJitter()
	return s
}

func (s *snapshotSchedule) drawJitter() {
	s.jitter = time.Duration(s.rng.Int64N(int64(s.retention/jitterDivisor) + 1))
}

// start sets the time of the oldest needed record unless it is already known.
func (s *snapshotSchedule) start(at time.Time) {
	if s.oldestNeeded.IsZero() {
		s.oldestNeeded = at
	}
}

// advance records a newer snapshot and the time of the oldest record that is
// needed with it.
func (s *snapshotSchedule) advance(covered infra.Offset, oldest time.Time) {
	if covered < s.coveredOffset {
		return
	}
	s.coveredOffset = covered
	s.oldestNeeded = oldest
	s.drawJitter()
}

func (s *snapshotSchedule) due(now time.Time) bool {
	if s.oldestNeeded.IsZero() || now.Before(s.nextAttempt) {
		return false
	}
	return now.Sub(s.oldestNeeded) > s.retention/dueDivisor+s.jitter
}

// delayNextAttempt sets the earliest time of the next attempt, whether or not
// this one succeeds.
func (s *snapshotSchedule) delayNextAttempt(now time.Time) {
	s.nextAttempt = now.Add(s.retention / retryDivisor)
}
