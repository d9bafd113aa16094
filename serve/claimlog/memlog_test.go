package claimlog_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// faults configures the faults of a memLog. The numbers are probabilities per
// append.
type faults struct {
	outage       bool
	responseLost float64 // the append takes effect, its response is lost
	appendLost   float64 // the append has no effect, its response is lost
	lateAppend   float64 // the response is lost, the append takes effect after lateDelay
	rateLimited  float64
	lateDelay    time.Duration
	appendDelay  time.Duration
	readDelay    time.Duration
}

// memLog is an in-memory log with one stream and injected faults.
type memLog struct {
	mu       sync.Mutex
	rng      *rand.Rand
	faults   faults
	records  []infra.Record
	trimmed  infra.Offset
	appended chan struct{}
}

func newMemLog(seed uint64) *memLog {
	return &memLog{rng: rand.New(rand.NewPCG(seed, 0)), appended: make(chan struct{})}
}

func (m *memLog) setFaults(f faults) {
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

func (m *memLog) appendRecord(data []byte) infra.Offset {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.trimmed + infra.Offset(len(m.records)) + 1
	m.records = append(m.records, infra.Record{Offset: end, Time: time.Now(), Data: data})
	close(m.appended)
	m.appended = make(chan struct{})
	return end
}

func unavailableError() error { return errkind.New(errkind.PlatformUnavailable, "fault") }

func (m *memLog) Append(_ context.Context, _ string, data []byte) (infra.Offset, error) {
	m.mu.Lock()
	f, x := m.faults, m.rng.Float64()
	m.mu.Unlock()
	time.Sleep(f.appendDelay)
	switch {
	case f.outage, x < f.appendLost:
		return 0, unavailableError()
	case x < f.appendLost+f.rateLimited:
		return 0, errkind.New(errkind.PlatformRateLimited, "fault")
	case x < f.appendLost+f.rateLimited+f.lateAppend:
		time.AfterFunc(f.lateDelay, func() { m.appendRecord(data) })
		return 0, unavailableError()
	}
	offset := m.appendRecord(data)
	if x < f.appendLost+f.rateLimited+f.lateAppend+f.responseLost {
		return 0, unavailableError()
	}
	return offset, nil
}

func (m *memLog) Read(ctx context.Context, _ string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		f, appended, trimmed := m.faults, m.appended, m.trimmed
		end := trimmed + infra.Offset(len(m.records))
		var found []infra.Record
		if after >= trimmed {
			found = m.records[min(int(after-trimmed), len(m.records)):]
		}
		found = append([]infra.Record(nil), found[:min(limit, len(found))]...)
		m.mu.Unlock()
		if f.outage {
			return infra.Batch{}, unavailableError()
		}
		if after < trimmed {
			return infra.Batch{}, &infra.TrimmedError{Oldest: trimmed + 1, End: end}
		}
		if len(found) > 0 {
			time.Sleep(f.readDelay)
			return infra.Batch{Records: found, Oldest: trimmed + 1, End: end}, nil
		}
		select {
		case <-appended:
		case <-timeout:
			return infra.Batch{Oldest: trimmed + 1, End: end}, nil
		case <-ctx.Done():
			return infra.Batch{}, unavailableError()
		}
	}
}
