package tablesync

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
)

// startFromLog adopts the newest usable snapshot of a log that no longer holds
// the next record. It reports false if there is none.
func (s *Syncer) startFromLog(ctx context.Context, oldest infra.Offset) bool {
	found, err := s.scan(ctx, oldest)
	if err != nil {
		s.countLogError(ctx, err)
		return false
	}
	if found.fold == nil || !s.adopt(found.fold) {
		s.opts.Logger.Error().Uint64("oldest_offset", uint64(oldest)).Uint64("table_offset", uint64(s.Offset())).
			Msg("the log has neither the next table record nor a usable snapshot")
		return false
	}
	s.chain.restart(found.fold.Offset(), found.oldest)
	s.count(func(stats *Stats) { stats.SnapshotRestores++ })
	return true
}

type usableSnapshot struct {
	fold   *table.State
	oldest time.Time // time of the oldest record that the start needs
}

// scan reads all retained records and returns the newest snapshot that can be
// continued: the record after the offset that it covers is still there.
func (s *Syncer) scan(ctx context.Context, oldest infra.Offset) (usableSnapshot, error) {
	var newest usableSnapshot
	var times []time.Time // of the records from oldest on
	after := max(oldest, 1) - 1
	for {
		batch, err := s.read(ctx, after)
		if err != nil {
			return usableSnapshot{}, err
		}
		for _, r := range batch.Records {
			if r.Offset != after+1 {
				return usableSnapshot{}, errkind.New(errkind.PlatformUnavailable, "log skips from offset %d to %d", after, r.Offset)
			}
			times = append(times, r.Time)
			after = r.Offset
			covered, ok := table.SnapshotOffset(r.Data)
			if !ok || covered+1 < oldest || covered+1 > r.Offset {
				continue
			}
			f, err := table.Restore(r.Data)
			if err != nil {
				s.opts.Logger.Error().Err(err).Uint64("offset", uint64(r.Offset)).Msg("snapshot is not usable")
				continue
			}
			newest = usableSnapshot{fold: f, oldest: times[covered+1-oldest]}
		}
		if len(batch.Records) == 0 || after >= batch.End {
			return newest, nil
		}
	}
}

// publishSnapshot appends a snapshot when the chain is old. Identical
// snapshots of two readers are harmless, and so is a lost answer. The append
// runs beside the reader's loop: on a silent connection it lasts until the
// time-out of a slow log.
func (s *Syncer) publishSnapshot(ctx context.Context) {
	now := s.clock.Now()
	if s.Offset() == 0 || !s.chain.due(now) || !s.appending.CompareAndSwap(false, true) {
		return
	}
	s.chain.attempted(now)
	s.mu.Lock()
	data, err := s.fold.Snapshot()
	s.mu.Unlock()
	timeout := s.slack
	go func() {
		defer s.appending.Store(false)
		if err == nil {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			_, err = s.log.Append(ctx, s.opts.Stream, data)
		}
		s.noteSnapshot(err)
	}()
}

func (s *Syncer) noteSnapshot(err error) {
	if err != nil {
		s.count(func(stats *Stats) { stats.SnapshotErrors++ })
		s.opts.Logger.Warn().Err(err).Msg("table snapshot was not published")
		return
	}
	s.count(func(stats *Stats) { stats.SnapshotsPublished++ })
}
