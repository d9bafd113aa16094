// Package suspectlog shares suspect reports between sidecars through the log.
// It does the I/O for package quarantine: one goroutine appends the reports of
// this process, another one tails the stream. Appends are retried when their
// answer is lost, because a report that is read twice counts once.
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
	// MinAppendInterval is the minimum time between two appends of this process.
	MinAppendInterval time.Duration
	// MaxBatch bounds the reports in one record, QueueLength the waiting reports.
	// The oldest ones are dropped from a full queue; sidecars send the reports
	// with their answers as well.
	MaxBatch    int
	QueueLength int
	// AppendTimeout bounds one append, ReadWait one long poll.
	AppendTimeout time.Duration
	ReadWait      time.Duration
	ReadLimit     int
	// MaxBackoff bounds the delay before the next append or read after a failure.
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

// Log appends to and tails the stream of suspect reports. It is safe for
// concurrent use.
type Log struct {
	log      infra.Log
	settings Settings
	logger   zerolog.Logger
	queue    *ring.Queue[quarantine.Report]
	skipped  atomic.Int64
}

// New returns a Log. The caller runs RunAppender and Follow.
func New(log infra.Log, s Settings, logger zerolog.Logger) *Log {
	return &Log{
		log: log, settings: s, logger: logger,
		queue: ring.New[quarantine.Report](ring.Config{
			Name: "suspect reports", Capacity: s.QueueLength, Policy: ring.DropOldest,
		}),
	}
}

// Publish queues reports for RunAppender. It does not block.
func (l *Log) Publish(reports []quarantine.Report) {
	for _, r := range reports {
		_ = l.queue.Push(context.Background(), r)
	}
}

// Dropped returns the number of reports dropped from the full queue.
func (l *Log) Dropped() int64 { return l.queue.Dropped() }

// Skipped returns the number of skipped records of unknown type.
func (l *Log) Skipped() int64 { return l.skipped.Load() }

// RunAppender appends queued reports to the log until ctx ends.
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
		if !l.appendWithRetry(ctx, data) {
			return nil
		}
	}
}

// collect waits for a report and returns it with the reports queued behind it.
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

// appendWithRetry retries the append of a record until it is acknowledged. It
// returns false when ctx has ended.
func (l *Log) appendWithRetry(ctx context.Context, data []byte) bool {
	backoff := l.settings.MinAppendInterval
	for {
		err := l.append(ctx, data)
		if !clock.Sleep(ctx, backoff) {
			return false
		}
		if err == nil {
			return true
		}
		l.logger.Warn().Err(err).Msg("appending suspect reports failed, retrying")
		backoff = min(2*backoff, l.settings.MaxBackoff)
	}
}

func (l *Log) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.settings.AppendTimeout)
	defer cancel()
	_, err := l.log.Append(ctx, quarantine.StreamName, data)
	return err
}

// Follow passes the reports of all processes to apply until ctx ends. It skips
// trimmed records, because they are older than the retention of suspects.
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
			after = l.applyRecords(after, batch.Records, apply)
		}
	}
	return nil
}

func (l *Log) read(ctx context.Context, after infra.Offset) (infra.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.ReadWait+l.settings.AppendTimeout)
	defer cancel()
	return l.log.Read(ctx, quarantine.StreamName, after, l.settings.ReadLimit, l.settings.ReadWait)
}

// applyRecords decodes and applies records. It returns the offset of the last
// one.
func (l *Log) applyRecords(after infra.Offset, records []infra.Record, apply func([]quarantine.Report)) infra.Offset {
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
