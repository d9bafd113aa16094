package sidecar

import (
	"sync"
	"time"
)

// latencySampleWeight is the weight of a new sample in the moving average.
const latencySampleWeight = 0.1

// movingAverage is an exponential moving average of the time to the head of a
// response. It is safe for concurrent use.
type movingAverage struct {
	mu    sync.Mutex
	value time.Duration
}

func (l *movingAverage) add(sample time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == 0 {
		l.value = sample
		return
	}
	l.value += time.Duration(latencySampleWeight * float64(sample-l.value))
}

func (l *movingAverage) get() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value
}
