package limits

import "time"

// bucket is a token bucket whose level may become negative: a request is admitted
// while the level is positive and is then charged its whole cost. Otherwise a
// request whose cost exceeds the depth could never be admitted;
// golang.org/x/time/rate refuses such requests and therefore isn't used here.
type bucket struct {
	level     float64
	rate      float64
	depth     float64
	updatedAt time.Time
	// starting is set until the first refill, when the rate becomes known.
	starting bool
}

// initialFillDuration determines the initial level: the rate times this duration.
const initialFillDuration = 100 * time.Millisecond

// minInitialLevel is positive, so that one request is admitted at the start even
// if the rate is 0.
const minInitialLevel = 1e-9

// start starts with a nearly empty bucket, so that an entry that has just started
// adds little to the burst of the other entries. An empty bucket would refuse the
// first requests after a start.
func (b *bucket) start(now time.Time) {
	b.updatedAt = now
	b.starting = true
}

// setRate sets the rate and limits the level to the new depth.
func (b *bucket) setRate(rate float64, burstDuration time.Duration) {
	b.rate = rate
	b.depth = rate * burstDuration.Seconds()
	b.level = min(b.level, b.depth)
}

// refill fills the bucket up to now, at the lower of the previous and the new
// rate, because the rate may have changed at any time in between.
func (b *bucket) refill(now time.Time, rate float64, burstDuration time.Duration) {
	if b.starting {
		b.starting = false
		b.level = max(minInitialLevel, rate*initialFillDuration.Seconds())
	}
	elapsed := now.Sub(b.updatedAt).Seconds()
	if elapsed > 0 {
		b.level = min(b.depth, b.level+elapsed*min(b.rate, rate))
		b.updatedAt = now
	}
	b.setRate(rate, burstDuration)
}

// wait returns the time until the level is positive. It returns 0 if the level is
// positive or there is no limit.
func (b *bucket) wait(limit float64) time.Duration {
	if limit <= 0 || b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return time.Second
	}
	return max(time.Millisecond, time.Duration(-b.level/b.rate*float64(time.Second)))
}

func (b *bucket) charge(cost float64) { b.level -= cost }
