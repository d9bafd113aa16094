package entry

import (
	"context"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// copies keeps attempts with the same fingerprint together, so that a request
// that crashes its backend server does not crash one server for each copy that
// is in flight. Copies of a request go to the server that runs some of them, up
// to the part of its places that this entry may use, so that many innocent
// copies do not overload it. Of a suspect one attempt runs at a time, because
// each would run alone and crash a server of its own. It is safe for concurrent
// use.
//
// With k places, n simultaneous copies of a crashing request cost at most
// n/k (rounded up) servers and one more, plus one for each of these servers that
// stops to be a candidate while copies run there.
type copies struct {
	handling func(quarantine.Fingerprint) quarantine.Handling
	places   func() int // of this entry at each server

	mu     sync.Mutex
	groups map[quarantine.Fingerprint]*copyGroup
}

// copyGroup is the attempts with one fingerprint, in flight or about to be.
type copyGroup struct {
	attempts int
	servers  map[string]int // attempts in flight by instance id
	changed  chan struct{}  // closed and replaced when an attempt ends
}

func newCopies(handling func(quarantine.Fingerprint) quarantine.Handling, places func() int) *copies {
	return &copies{handling: handling, places: places, groups: make(map[quarantine.Fingerprint]*copyGroup)}
}

// enter waits until an attempt may run and picks its server. pick gets the
// server that runs a copy, or an empty string, and whether the request is a
// suspect. leave ends the attempt.
func (c *copies) enter(ctx context.Context, f quarantine.Fingerprint, pick func(running string, suspect bool) (string, error)) (leave func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[f]
	if g == nil {
		g = &copyGroup{servers: make(map[string]int), changed: make(chan struct{})}
		c.groups[f] = g
	}
	g.attempts++
	for c.handling(f) == quarantine.Alone && len(g.servers) > 0 {
		if err := c.await(ctx, g.changed); err != nil {
			c.drop(f, g)
			return nil, err
		}
	}
	server, err := pick(g.running(c.places()), c.handling(f) == quarantine.Alone)
	if err != nil {
		c.drop(f, g)
		return nil, err
	}
	g.servers[server]++
	return func() { c.leave(f, g, server) }, nil
}

// await waits without the mutex, which the caller holds.
func (c *copies) await(ctx context.Context, changed <-chan struct{}) error {
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		err := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the request waited for a copy of itself")
		err.Execution = errkind.NotRun
		return err
	}
}

func (c *copies) leave(f quarantine.Fingerprint, g *copyGroup, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.servers[server]--; g.servers[server] == 0 {
		delete(g.servers, server)
	}
	close(g.changed)
	g.changed = make(chan struct{})
	c.drop(f, g)
}

// drop is called with the mutex held.
func (c *copies) drop(f quarantine.Fingerprint, g *copyGroup) {
	if g.attempts--; g.attempts == 0 {
		delete(c.groups, f)
	}
}

// running returns a server that runs fewer than limit copies, the one with the
// most of them, or an empty string.
func (g *copyGroup) running(limit int) string {
	best := ""
	for id, n := range g.servers {
		if n >= limit {
			continue
		}
		if best == "" || n > g.servers[best] || n == g.servers[best] && id < best {
			best = id
		}
	}
	return best
}
