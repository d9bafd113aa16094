package claims

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// slowLog is an in-memory log of one stream. Half of the latency passes ahead
// of the effect of an append; a read answers half of it after the effect.
type slowLog struct {
	latency time.Duration

	mu      sync.Mutex
	down    bool
	records []infra.Record
	grown   chan struct{}
	bytes   int
}

func newSlowLog(latency time.Duration) *slowLog {
	return &slowLog{latency: latency, grown: make(chan struct{})}
}

func (l *slowLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *slowLog) size() (records, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.bytes
}

func errDown() error { return errkind.New(errkind.PlatformUnavailable, "log is down") }

// Append implements infra.Log.
func (l *slowLog) Append(_ context.Context, _ string, data []byte) (infra.Offset, error) {
	time.Sleep(l.latency / 2)
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return 0, errDown()
	}
	end := infra.Offset(len(l.records) + 1)
	l.records = append(l.records, infra.Record{Offset: end, Time: time.Now(), Data: data})
	l.bytes += len(data)
	close(l.grown)
	l.grown = make(chan struct{})
	l.mu.Unlock()
	time.Sleep(l.latency / 2)
	return end, nil
}

// Read implements infra.Log.
func (l *slowLog) Read(ctx context.Context, _ string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		down, grown, end := l.down, l.grown, len(l.records)
		rest := l.records[min(int(after), end):]
		rest = rest[:min(limit, len(rest))]
		l.mu.Unlock()
		batch := infra.Batch{Records: rest, Oldest: 1, End: infra.Offset(end)}
		switch {
		case down:
			time.Sleep(l.latency)
			return infra.Batch{}, errDown()
		case len(rest) > 0:
			time.Sleep(l.latency / 2)
			return batch, nil
		}
		select {
		case <-grown:
		case <-timeout:
			return batch, nil
		case <-ctx.Done():
			return infra.Batch{}, errDown()
		}
	}
}
