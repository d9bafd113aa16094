package claims

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// delayedLog is an in-memory log with one stream. An append takes effect after
// half of the latency and returns after the other half. A read returns records
// half of the latency after they are available.
type delayedLog struct {
	latency time.Duration

	mu       sync.Mutex
	down     bool
	records  []infra.Record
	appended chan struct{}
	bytes    int
}

func newDelayedLog(latency time.Duration) *delayedLog {
	return &delayedLog{latency: latency, appended: make(chan struct{})}
}

func (l *delayedLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *delayedLog) size() (records, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.bytes
}

func newUnavailableError() error { return errkind.New(errkind.PlatformUnavailable, "log is down") }

// Append implements infra.Log.
func (l *delayedLog) Append(_ context.Context, _ string, data []byte) (infra.Offset, error) {
	time.Sleep(l.latency / 2)
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return 0, newUnavailableError()
	}
	end := infra.Offset(len(l.records) + 1)
	l.records = append(l.records, infra.Record{Offset: end, Time: time.Now(), Data: data})
	l.bytes += len(data)
	close(l.appended)
	l.appended = make(chan struct{})
	l.mu.Unlock()
	time.Sleep(l.latency / 2)
	return end, nil
}

// Read implements infra.Log.
func (l *delayedLog) Read(ctx context.Context, _ string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		down, appended, end := l.down, l.appended, len(l.records)
		rest := l.records[min(int(after), end):]
		rest = rest[:min(limit, len(rest))]
		l.mu.Unlock()
		batch := infra.Batch{Records: rest, Oldest: 1, End: infra.Offset(end)}
		switch {
		case down:
			time.Sleep(l.latency)
			return infra.Batch{}, newUnavailableError()
		case len(rest) > 0:
			time.Sleep(l.latency / 2)
			return batch, nil
		}
		select {
		case <-appended:
		case <-timeout:
			return batch, nil
		case <-ctx.Done():
			return infra.Batch{}, newUnavailableError()
		}
	}
}
