package sidecar

import (
	"sync"
	"time"
)

// latencyWeight is the weight of a new sample in the moving average.
const latencyWeight = 0.1

// latencyEstimate is a moving average of the time to the head of an answer. It
// is safe for concurrent use.
type latencyEstimate struct {
	mu    sync.Mutex
	value time.Duration
}

func (l *latencyEstimate) add(sample time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == 0 {
		l.value = sample
		return
	}
	l.value += time.Duration(latencyWeight * float64(sample-l.value))
}

func (l *latencyEstimate) get() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value
}
