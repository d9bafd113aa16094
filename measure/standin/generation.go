package standin

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
)

// generation is one completion that the engine generates. It continues when its
// connection is lost, so that a client can resume it, until it is cancelled or
// the engine crashes.
type generation struct {
	prompt      string
	tokenCount  int
	cachedBytes int
	cancel      context.CancelFunc

	mu        sync.Mutex
	generated int
	ended     bool
	aborted   bool
	changed   chan struct{}
}

func newGeneration(prompt string, tokens, cached int, cancel context.CancelFunc) *generation {
	return &generation{prompt: prompt, tokenCount: tokens, cachedBytes: cached, cancel: cancel, changed: make(chan struct{})}
}

// progress returns the number of generated tokens, whether the generation ended,
// whether it was aborted, and a channel that is closed at the next change.
func (g *generation) progress() (generated int, ended, aborted bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generated, g.ended, g.aborted, g.changed
}

func (g *generation) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	close(g.changed)
	g.changed = make(chan struct{})
}

// run generates all tokens, one per interval, and reports whether it finished
// before ctx was cancelled.
func (g *generation) run(ctx context.Context, interval time.Duration) bool {
	for range g.tokenCount {
		if !clock.Sleep(ctx, interval) {
			g.update(func() { g.ended, g.aborted = true, true })
			return false
		}
		g.update(func() { g.generated++ })
	}
	g.update(func() { g.ended = true })
	return true
}
