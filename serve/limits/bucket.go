package limits

import "time"

// bucket is a token bucket that may go into debt: a request is admitted while
// the level is positive and then takes its whole cost, so that a request whose
// cost exceeds the depth isn't refused for ever. golang.org/x/time/rate refuses
// such a request, which is why it isn't used here.
type bucket struct {
	level float64
	rate  float64
	depth float64
	at    time.Time
	// starting says that the rate is not known yet.
	starting bool
}

// startFor is the time whose rate a bucket holds at its start.
const startFor = 100 * time.Millisecond

// startLevel lets one request pass at the start, whatever the rate.
const startLevel = 1e-9

// start begins with a nearly empty bucket, so that an entry that has just
// started adds little to the burst of the entries that were there before. An
// empty one would refuse the first requests after a start.
func (b *bucket) start(now time.Time) {
	b.at = now
	b.starting = true
}

// setRate sets the rate. The level falls to the new depth.
func (b *bucket) setRate(rate float64, burstFor time.Duration) {
	b.rate = rate
	b.depth = rate * burstFor.Seconds()
	b.level = min(b.level, b.depth)
}

// advance fills the bucket up to now with the lower of the rate so far and the
// rate now, because the rate may have changed at any time in between.
func (b *bucket) advance(now time.Time, rate float64, burstFor time.Duration) {
	if b.starting {
		b.starting = false
		b.level = max(startLevel, rate*startFor.Seconds())
	}
	elapsed := now.Sub(b.at).Seconds()
	if elapsed > 0 {
		b.level = min(b.depth, b.level+elapsed*min(b.rate, rate))
		b.at = now
	}
	b.setRate(rate, burstFor)
}

// wait returns the time until the level is positive; 0 if it is, or if there
// is no limit.
func (b *bucket) wait(limit float64) time.Duration {
	if limit <= 0 || b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return time.Second
	}
	return max(time.Millisecond, time.Duration(-b.level/b.rate*float64(time.Second)))
}

func (b *bucket) take(cost float64) { b.level -= cost }
