package tablesync

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
)

// restoreFromLog restores the newest usable snapshot of a log that no longer
// holds the next record. It returns false if there is none.
func (s *Syncer) restoreFromLog(ctx context.Context, oldest infra.Offset) bool {
	found, err := s.findSnapshot(ctx, oldest)
	if err != nil {
		s.recordLogError(ctx, err)
		return false
	}
	if found.state == nil || !s.replaceState(found.state) {
		s.opts.Logger.Error().Uint64("oldest_offset", uint64(oldest)).Uint64("table_offset", uint64(s.Offset())).
			Msg("log holds neither the next table record nor a usable snapshot")
		return false
	}
	s.schedule.advance(found.state.Offset(), found.oldestNeeded)
	s.updateStats(func(stats *Stats) { stats.SnapshotRestores++ })
	return true
}

type usableSnapshot struct {
	state        *table.State
	oldestNeeded time.Time // time of the first record after the covered offset
}

// findSnapshot reads all retained records and returns the newest snapshot that
// can be continued, which means that the log still holds the record after the
// offset that the snapshot covers.
func (s *Syncer) findSnapshot(ctx context.Context, oldest infra.Offset) (usableSnapshot, error) {
	var newest usableSnapshot
	var times []time.Time // times of the records, starting with that at oldest
	after := max(oldest, 1) - 1
	for {
		batch, err := s.read(ctx, after)
		if err != nil {
			return usableSnapshot{}, err
		}
		for _, r := range batch.Records {
			if r.Offset != after+1 {
				return usableSnapshot{}, errkind.New(errkind.PlatformUnavailable, "log has a gap between offsets %d and %d", after, r.Offset)
			}
			times = append(times, r.Time)
			after = r.Offset
			covered, ok := table.SnapshotOffset(r.Data)
			if !ok || covered+1 < oldest || covered+1 > r.Offset {
				continue
			}
			state, err := table.Restore(r.Data)
			if err != nil {
				s.opts.Logger.Error().Err(err).Uint64("offset", uint64(r.Offset)).Msg("skipping a table snapshot that cannot be restored")
				continue
			}
			newest = usableSnapshot{state: state, oldestNeeded: times[covered+1-oldest]}
		}
		if len(batch.Records) == 0 || after >= batch.End {
			return newest, nil
		}
	}
}

// publishSnapshot appends a snapshot to the log if one is due. Identical
// snapshots of two readers are harmless, and so is a lost response. The append
// runs in its own goroutine, because on an unresponsive connection it lasts until
// the request timeout, which is long if the log is slow.
func (s *Syncer) publishSnapshot(ctx context.Context) {
	now := s.clock.Now()
	if s.Offset() == 0 || !s.schedule.due(now) || !s.appending.CompareAndSwap(false, true) {
		return
	}
	s.schedule.delayNextAttempt(now)
	s.mu.Lock()
	data, err := s.state.Snapshot()
	s.mu.Unlock()
	timeout := s.requestTimeout
	go func() {
		defer s.appending.Store(false)
		if err == nil {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			_, err = s.log.Append(ctx, s.opts.Stream, data)
		}
		s.recordAppendResult(err)
	}()
}

func (s *Syncer) recordAppendResult(err error) {
	if err != nil {
		s.updateStats(func(stats *Stats) { stats.SnapshotErrors++ })
		s.opts.Logger.Warn().Err(err).Msg("publishing a table snapshot failed")
		return
	}
	s.updateStats(func(stats *Stats) { stats.SnapshotsPublished++ })
}
