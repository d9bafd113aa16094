package tablesync

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// DefaultStream is the log stream of the table.
const DefaultStream = "table"

// Defaults of Options. A change has to be in force within 7 s: peers are asked
// when a poll has no answer after ReadWait+ReadSlack, so a poll that began just
// before the change costs 4 s, the pause before it 1 s and the question 1 s. A
// longer poll would exceed the bound, a shorter one costs the log more reads.
// The time-out of a poll grows with each time-out up to ReadWait+MaxReadSlack,
// because a log that is slow for hours still has to be read.
const (
	DefaultReadWait       = 3 * time.Second
	DefaultRequestTimeout = time.Second
	MaxRequestTimeout     = 32 * time.Second
	DefaultReadPause      = time.Second
	DefaultPeerTimeout    = time.Second
	DefaultMinBackoff     = 100 * time.Millisecond
	DefaultMaxBackoff     = time.Second
	DefaultReadLimit      = 512
)

// Options are the settings of a Syncer. Zero durations and limits take the
// defaults; Retention has none, because it is a property of the log service.
type Options struct {
	Stream string
	// Retention is how long the log service keeps a record.
	Retention time.Duration
	// ReadWait is how long a read waits for a new record, ReadSlack how much
	// longer it may take before the log counts as slow.
	ReadWait       time.Duration
	RequestTimeout time.Duration
	// ReadPause is the longest pause after a read that returned the newest
	// records. Without it each change costs the log one read of each reader.
	ReadPause   time.Duration
	PeerTimeout time.Duration
	// MinBackoff and MaxBackoff space failed rounds. MaxBackoff also spaces the
	// questions to peers while an answer of the log is overdue.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ReadLimit is the number of records per read.
	ReadLimit int
	Logger    zerolog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Retention <= 0 {
		return o, errkind.New(errkind.InvalidSettings, "table log retention %s: want a duration above 0 s", o.Retention)
	}
	if o.Stream == "" {
		o.Stream = DefaultStream
	}
	setDefault(&o.ReadWait, DefaultReadWait)
	setDefault(&o.RequestTimeout, DefaultRequestTimeout)
	setDefault(&o.ReadPause, DefaultReadPause)
	setDefault(&o.PeerTimeout, DefaultPeerTimeout)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	if o.ReadLimit <= 0 {
		o.ReadLimit = DefaultReadLimit
	}
	return o, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Clock is the source of time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
