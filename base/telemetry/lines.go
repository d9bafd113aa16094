package telemetry

import (
	"sync"
	"time"
)

// LineLimiter bounds the log lines of one kind per second.
type LineLimiter struct {
	perSecond int

	mu      sync.Mutex
	second  time.Time
	written int
}

// NewLineLimiter returns a limiter.
func NewLineLimiter(perSecond int) *LineLimiter { return &LineLimiter{perSecond: perSecond} }

// Allow reports whether a line may be written.
func (l *LineLimiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.written = now, 0
	}
	l.written++
	return l.written <= l.perSecond
}
