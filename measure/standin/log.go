package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// logStream is one stream of the log. records holds those that are not trimmed;
// next is the offset of the next append.
type logStream struct {
	records []infra.Record
	next    infra.Offset
	changed chan struct{}
}

func newLogStream() *logStream {
	return &logStream{next: 1, changed: make(chan struct{})}
}

func (s *logStream) append(now time.Time, data []byte) infra.Offset {
	offset := s.next
	s.next++
	s.records = append(s.records, infra.Record{Offset: offset, Time: now, Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *logStream) trim(before time.Time) {
	keep := 0
	for keep < len(s.records) && s.records[keep].Time.Before(before) {
		keep++
	}
	s.records = s.records[keep:]
}

func (s *logStream) oldest() infra.Offset {
	if len(s.records) == 0 {
		return s.next
	}
	return s.records[0].Offset
}

func (s *logStream) read(after infra.Offset, limit int) (infra.Batch, error) {
	oldest := s.oldest()
	end := s.next - 1
	if after+1 < oldest {
		return infra.Batch{}, &infra.TrimmedError{Oldest: oldest, End: end}
	}
	batch := infra.Batch{Oldest: oldest, End: end}
	if after >= end {
		return batch, nil
	}
	from := int(after + 1 - oldest)
	to := min(from+limit, len(s.records))
	batch.Records = append([]infra.Record(nil), s.records[from:to]...)
	return batch, nil
}

// logService simulates the log service in memory.
type logService struct {
	mu        sync.Mutex
	streams   map[string]*logStream
	retention time.Duration
	limiter   *rate.Limiter
	faults    *faultState
	now       func() time.Time
	appends   int64
}

var _ infra.Log = (*logService)(nil)

func newLogService(cfg PlatformConfig, faults *faultState) *logService {
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	burst := max(1, int(cfg.AppendsPerSecond))
	return &logService{
		streams:   make(map[string]*logStream),
		retention: cfg.Retention,
		limiter:   rate.NewLimiter(limit, burst),
		faults:    faults,
		now:       cfg.Now,
	}
}

// Append implements infra.Log.
func (l *logService) Append(ctx context.Context, stream string, data []byte) (infra.Offset, error) {
	if err := l.faults.applyLogFaults(ctx, stream); err != nil {
		return 0, err
	}
	l.mu.Lock()
	now := l.now()
	if !l.limiter.AllowN(now, 1) {
		l.mu.Unlock()
		return 0, errkind.New(errkind.PlatformRateLimited, "append rate of the log exceeded").WithRetryAfter(time.Second)
	}
	offset := l.stream(stream).append(now, append([]byte(nil), data...))
	l.appends++
	l.mu.Unlock()
	if l.faults.consumeLostAppend(stream) {
		return 0, errkind.New(errkind.PlatformUnavailable, "injected fault: response lost after the append took effect")
	}
	return offset, nil
}

// Read implements infra.Log.
func (l *logService) Read(ctx context.Context, stream string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	if err := l.faults.applyLogFaults(ctx, stream); err != nil {
		return infra.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.readNow(stream, after, limit)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return infra.Batch{}, errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "log read")
		}
		if err := l.faults.applyLogFaults(ctx, stream); err != nil {
			return infra.Batch{}, err
		}
	}
}

func (l *logService) readNow(stream string, after infra.Offset, limit int) (infra.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	if l.retention > 0 {
		s.trim(l.now().Add(-l.retention))
	}
	batch, err := s.read(after, limit)
	return batch, s.changed, err
}

func (l *logService) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = newLogStream()
		l.streams[name] = s
	}
	return s
}

func (l *logService) appendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
