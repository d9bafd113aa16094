// Package suspectlog shares suspect reports between sidecars through the log.
// It does the I/O around package quarantine: one goroutine appends the reports
// of this process, one tails the stream. A lost append answer is harmless,
// because a report that is read twice counts once.
package suspectlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/ring"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// Settings configure a Log.
type Settings struct {
	// AppendEvery is the shortest time between two appends of this process.
	MinAppendInterval time.Duration
	// MaxBatch bounds the reports in one record, QueueLength those that wait.
	// Above it, the oldest ones go: the reports also travel on answers.
	MaxBatch    int
	QueueLength int
	// AppendTimeout bounds one append, ReadWait one long poll.
	AppendTimeout time.Duration
	ReadWait      time.Duration
	ReadLimit     int
	// MaxBackoff bounds the pause after a failure.
	MaxBackoff time.Duration
}

// DefaultSettings returns the settings used by the daemons.
func DefaultSettings() Settings {
	return Settings{
		MinAppendInterval: 200 * time.Millisecond,
		MaxBatch:          64,
		QueueLength:       1024,
		AppendTimeout:     2 * time.Second,
		ReadWait:          5 * time.Second,
		ReadLimit:         256,
		MaxBackoff:        5 * time.Second,
	}
}

// Log appends and tails the stream of suspects. It is safe for concurrent use.
type Log struct {
	log      infra.Log
	settings Settings
	logger   zerolog.Logger
	queue    *ring.Queue[quarantine.Report]
	skipped  atomic.Int64
}

// New returns a Log. Append and Follow do its I/O.
func New(log infra.Log, s Settings, logger zerolog.Logger) *Log {
	return &Log{
		log: log, settings: s, logger: logger,
		queue: ring.New[quarantine.Report](ring.Config{
			Name: "suspect reports", Capacity: s.QueueLength, Policy: ring.DropOldest,
		}),
	}
}

// Publish queues reports for the log. It does not wait.
func (l *Log) Publish(reports []quarantine.Report) {
	for _, r := range reports {
		_ = l.queue.Push(context.Background(), r)
	}
}

// Dropped returns the number of reports that did not fit the queue.
func (l *Log) Dropped() int64 { return l.queue.Dropped() }

// Skipped returns the number of records of unknown type.
func (l *Log) Skipped() int64 { return l.skipped.Load() }

// Append writes queued reports until ctx ends.
func (l *Log) RunAppender(ctx context.Context) error {
	for {
		batch := l.collect(ctx)
		if len(batch) == 0 {
			return nil
		}
		data, err := quarantine.Encode(batch)
		if err != nil {
			return err
		}
		if !l.write(ctx, data) {
			return nil
		}
	}
}

// collect waits for a report and takes those that are queued behind it.
func (l *Log) collect(ctx context.Context) []quarantine.Report {
	first, ok := l.queue.Pop(ctx)
	if !ok {
		return nil
	}
	batch := []quarantine.Report{first}
	for len(batch) < l.settings.MaxBatch {
		r, ok := l.queue.TryPop()
		if !ok {
			break
		}
		batch = append(batch, r)
	}
	return batch
}

// write appends a record until the append is acknowledged. It reports false
// when ctx ended.
func (l *Log) write(ctx context.Context, data []byte) bool {
	backoff := l.settings.MinAppendInterval
	for {
		err := l.append(ctx, data)
		if !clock.Sleep(ctx, backoff) {
			return false
		}
		if err == nil {
			return true
		}
		l.logger.Warn().Err(err).Msg("append suspect reports")
		backoff = min(2*backoff, l.settings.MaxBackoff)
	}
}

func (l *Log) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.settings.AppendTimeout)
	defer cancel()
	_, err := l.log.Append(ctx, quarantine.StreamName, data)
	return err
}

// Follow passes the reports of all processes to apply until ctx ends. Records
// that the log no longer holds are older than any suspect that is kept.
func (l *Log) Follow(ctx context.Context, apply func([]quarantine.Report)) error {
	var after infra.Offset
	backoff := l.settings.MinAppendInterval
	for ctx.Err() == nil {
		batch, err := l.read(ctx, after)
		var trimmed *infra.TrimmedError
		switch {
		case errors.As(err, &trimmed) && trimmed.Oldest > after+1:
			after = trimmed.Oldest - 1
		case err != nil:
			clock.Sleep(ctx, backoff)
			backoff = min(2*backoff, l.settings.MaxBackoff)
		default:
			backoff = l.settings.MinAppendInterval
			after = l.take(after, batch.Records, apply)
		}
	}
	return nil
}

func (l *Log) read(ctx context.Context, after infra.Offset) (infra.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ReadWait+l.settings.AppendTimeout)
	defer cancel()
	return l.log.Read(ctx, quarantine.StreamName, after, l.settings.ReadLimit, l.settings.ReadWait)
}

// take returns the offset of the last record.
func (l *Log) take(after infra.Offset, records []infra.Record, apply func([]quarantine.Report)) infra.Offset {
	for _, r := range records {
		after = r.Offset
		reports, ok := quarantine.Decode(r.Data)
		if !ok {
			l.skipped.Add(1)
			continue
		}
		apply(reports)
	}
	return after
}
