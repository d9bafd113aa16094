package tablesync

import (
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// A snapshot is due when the oldest record that a new reader needs is older
// than a third of the retention plus a jitter of up to a sixth. The jitter
// lets one of about 900 readers publish first and the others see its snapshot;
// the remaining half of the retention covers log outages.
const (
	dueFraction    = 3
	jitterFraction = 6
	// retryFraction spaces the attempts of one reader.
	retryFraction = 60
)

// chain follows the records that a new reader needs: the newest snapshot and
// what follows the offset that it covers.
type chain struct {
	retention time.Duration
	rng       *rand.Rand
	covered   infra.Offset
	oldest    time.Time // zero before the first record
	jitter    time.Duration
	notBefore time.Time
}

func newChain(retention time.Duration, rng *rand.Rand) chain {
	c := chain{retention: retention, rng: rng}
	c.drawJitter()
	return c
}

func (c *chain) drawJitter() {
	c.jitter = time.Duration(c.rng.Int64N(int64(c.retention/jitterFraction) + 1))
}

// first notes the time of the first record of a chain without snapshot.
func (c *chain) first(at time.Time) {
	if c.oldest.IsZero() {
		c.oldest = at
	}
}

// restart notes a newer snapshot and the time of the oldest needed record.
func (c *chain) restart(covered infra.Offset, oldest time.Time) {
	if covered < c.covered {
		return
	}
	c.covered = covered
	c.oldest = oldest
	c.drawJitter()
}

func (c *chain) due(now time.Time) bool {
	if c.oldest.IsZero() || now.Before(c.notBefore) {
		return false
	}
	return now.Sub(c.oldest) > c.retention/dueFraction+c.jitter
}

// attempted spaces the next attempt, whether or not this one succeeded.
func (c *chain) attempted(now time.Time) {
	c.notBefore = now.Add(c.retention / retryFraction)
}
