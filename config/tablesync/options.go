package tablesync

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// DefaultStream is the log stream of the table.
const DefaultStream = "table"

// Defaults of Options. A change must be in force within 7 s. A reader requests
// the records from peers when a poll has no response after ReadWait+RequestTimeout,
// so a poll that started just before the change takes 4 s, the pause before the
// poll 1 s and the request to the peers 1 s. A longer poll would exceed the 7 s, a
// shorter one would cost the log more reads. The timeout of a poll grows with each
// expiry, up to ReadWait+MaxRequestTimeout, because a log that is slow for hours
// must still be read.
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

// Options configure a Syncer. Zero values are replaced by the defaults, except
// for Retention, which has none because it is a property of the log service.
type Options struct {
	Stream string
	// Retention is how long the log service keeps a record.
	Retention time.Duration
	// ReadWait is how long a read waits for new records (long poll).
	// RequestTimeout is how much longer it may take before the log counts as
	// slow.
	ReadWait       time.Duration
	RequestTimeout time.Duration
	// ReadPause is the longest pause after a read that returned the newest
	// records; the actual pause is randomised. Without the pause, every change
	// would cost the log one read per reader.
	ReadPause   time.Duration
	PeerTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed read.
	// MaxBackoff is also the longest delay between requests to peers while a
	// response of the log is overdue.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ReadLimit is the maximum number of records per read.
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

// Clock is the time source of a Syncer.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
