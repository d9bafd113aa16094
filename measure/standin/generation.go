package standin

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
)

// generation is one answer that the engine produces. It goes on when its
// connection breaks, so that a caller can resume it, until it is cancelled or
// the engine crashes.
type generation struct {
	prompt string
	tokens int
	cached int
	cancel context.CancelFunc

	mu      sync.Mutex
	made    int
	ended   bool
	failed  bool
	changed chan struct{}
}

func newGeneration(prompt string, tokens, cached int, cancel context.CancelFunc) *generation {
	return &generation{prompt: prompt, tokens: tokens, cached: cached, cancel: cancel, changed: make(chan struct{})}
}

// progress returns the number of tokens made, whether the generation ended,
// whether it failed, and a channel that is closed at the next change.
func (g *generation) progress() (made int, ended, failed bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.made, g.ended, g.failed, g.changed
}

func (g *generation) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	close(g.changed)
	g.changed = make(chan struct{})
}

// run makes all tokens, one an interval, and reports whether it finished.
func (g *generation) run(ctx context.Context, interval time.Duration) bool {
	for range g.tokens {
		if !clock.Sleep(ctx, interval) {
			g.update(func() { g.ended, g.failed = true, true })
			return false
		}
		g.update(func() { g.made++ })
	}
	g.update(func() { g.ended = true })
	return true
}
