package tablesync

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
)

// testLog is an in-memory log of one stream with a retention time, outages and
// slow responses.
type testLog struct {
	retention time.Duration

	mu      sync.Mutex
	records []infra.Record
	oldest  infra.Offset
	down    bool
	delay   time.Duration
	changed chan struct{}
}

func newTestLog(retention time.Duration) *testLog {
	return &testLog{retention: retention, oldest: 1, changed: make(chan struct{})}
}

func (l *testLog) setFaults(down bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.delay = down, delay
}

// delayAndLock waits for the configured delay and returns with l.mu locked, or
// with an error if the log is down.
func (l *testLog) delayAndLock(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "log")
	}
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return errkind.New(errkind.PlatformUnavailable, "log is down")
	}
	return nil
}

func (l *testLog) Append(ctx context.Context, _ string, data []byte) (infra.Offset, error) {
	if err := l.delayAndLock(ctx); err != nil {
		return 0, err
	}
	defer l.mu.Unlock()
	offset := l.oldest + infra.Offset(len(l.records))
	l.records = append(l.records, infra.Record{Offset: offset, Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

// canRestore reports whether a new reader could load the table from the log
// alone.
func (l *testLog) canRestore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	for _, r := range l.records {
		if covered, ok := table.SnapshotOffset(r.Data); ok && covered+1 >= l.oldest {
			return true
		}
	}
	return l.oldest == 1
}

// expire drops the records that are older than the retention time.
func (l *testLog) expire() {
	for len(l.records) > 0 && time.Since(l.records[0].Time) > l.retention {
		l.records = l.records[1:]
		l.oldest++
	}
}

func (l *testLog) Read(ctx context.Context, _ string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	deadline := time.After(wait)
	for {
		if err := l.delayAndLock(ctx); err != nil {
			return infra.Batch{}, err
		}
		l.expire()
		end := l.oldest + infra.Offset(len(l.records)) - 1
		changed := l.changed
		if after+1 < l.oldest {
			defer l.mu.Unlock()
			return infra.Batch{}, &infra.TrimmedError{Oldest: l.oldest, End: end}
		}
		if after < end || wait == 0 {
			defer l.mu.Unlock()
			from := min(int(after+1-l.oldest), len(l.records))
			to := min(from+limit, len(l.records))
			return infra.Batch{Records: l.records[from:to:to], Oldest: l.oldest, End: end}, nil
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-ctx.Done():
			return infra.Batch{}, errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "log")
		}
	}
}
