package claimlog_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// faults are probabilities per append, except outage.
type faults struct {
	outage      bool
	lostAfter   float64 // takes effect, answer lost
	lostBefore  float64 // no effect, answer lost
	late        float64 // answer lost, takes effect after lateBy
	rateLimited float64
	lateBy      time.Duration
	appendDelay time.Duration
	readDelay   time.Duration
}

// memLog is a log with one stream and faults.
type memLog struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  faults
	records []infra.Record
	trimmed infra.Offset
	grown   chan struct{}
}

func newMemLog(seed uint64) *memLog {
	return &memLog{rng: rand.New(rand.NewPCG(seed, 0)), grown: make(chan struct{})}
}

func (m *memLog) set(f faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// trim drops all records.
func (m *memLog) trim() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trimmed += infra.Offset(len(m.records))
	m.records = nil
}

func (m *memLog) put(data []byte) infra.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.trimmed + infra.Offset(len(m.records)) + 1
	m.records = append(m.records, infra.Record{Offset: end, Time: time.Now(), Data: data})
	close(m.grown)
	m.grown = make(chan struct{})
	return end
}

func unavailable() error { return errkind.New(errkind.PlatformUnavailable, "fault") }

func (m *memLog) Append(_ context.Context, _ string, data []byte) (infra.Offset, error) {
	m.mu.Lock()
	f, x := m.faults, m.rng.Float64()
	m.mu.Unlock()
	time.Sleep(f.appendDelay)
	switch {
	case f.outage, x < f.lostBefore:
		return 0, unavailable()
	case x < f.lostBefore+f.rateLimited:
		return 0, errkind.New(errkind.PlatformRateLimited, "fault")
	case x < f.lostBefore+f.rateLimited+f.late:
		time.AfterFunc(f.lateBy, func() { m.put(data) })
		return 0, unavailable()
	}
	offset := m.put(data)
	if x < f.lostBefore+f.rateLimited+f.late+f.lostAfter {
		return 0, unavailable()
	}
	return offset, nil
}

func (m *memLog) Read(ctx context.Context, _ string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		f, grown, trimmed := m.faults, m.grown, m.trimmed
		end := trimmed + infra.Offset(len(m.records))
		var found []infra.Record
		if after >= trimmed {
			found = m.records[min(int(after-trimmed), len(m.records)):]
		}
		found = append([]infra.Record(nil), found[:min(limit, len(found))]...)
		m.mu.Unlock()
		if f.outage {
			return infra.Batch{}, unavailable()
		}
		if after < trimmed {
			return infra.Batch{}, &infra.TrimmedError{Oldest: trimmed + 1, End: end}
		}
		if len(found) > 0 {
			time.Sleep(f.readDelay)
			return infra.Batch{Records: found, Oldest: trimmed + 1, End: end}, nil
		}
		select {
		case <-grown:
		case <-timeout:
			return infra.Batch{Oldest: trimmed + 1, End: end}, nil
		case <-ctx.Done():
			return infra.Batch{}, unavailable()
		}
	}
}
