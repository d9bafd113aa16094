package entry

import (
	"context"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// duplicateTracker routes concurrent attempts with the same fingerprint to the
// same server, so that a request that crashes its backend server does not crash
// one server for each duplicate in flight. Duplicates go to the server that
// already runs some of them, up to this entry's share of the slots of that server,
// so that many harmless duplicates do not overload it. Attempts of a suspect
// request run one at a time: a suspect runs alone on its server, so concurrent
// attempts would each crash another server. It is safe for concurrent use.
//
// With k slots per server, n simultaneous duplicates of a crashing request crash
// at most ceil(n/k)+1 servers, plus one for each of these servers that stops being
// a candidate while duplicates run on it.
type duplicateTracker struct {
	handling       func(quarantine.Fingerprint) quarantine.Handling
	slotsPerServer func() int // this entry's share of the slots of a server

	mu     sync.Mutex
	groups map[quarantine.Fingerprint]*duplicateGroup
}

// duplicateGroup contains the attempts with one fingerprint that are in flight or
// wait to run.
type duplicateGroup struct {
	attempts int
	servers  map[string]int // attempts in flight by instance id
	changed  chan struct{}  // closed and replaced when an attempt in flight ends
}

func newDuplicateTracker(handling func(quarantine.Fingerprint) quarantine.Handling, slotsPerServer func() int) *duplicateTracker {
	return &duplicateTracker{handling: handling, slotsPerServer: slotsPerServer, groups: make(map[quarantine.Fingerprint]*duplicateGroup)}
}

// acquire waits until an attempt may run and picks its server. pick receives the
// server that already runs a duplicate, or an empty string, and whether the
// request is a suspect. The caller calls release when the attempt has ended.
func (t *duplicateTracker) acquire(ctx context.Context, f quarantine.Fingerprint,
	pick func(preferred string, suspect bool) (string, error),
) (release func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[f]
	if g == nil {
		g = &duplicateGroup{servers: make(map[string]int), changed: make(chan struct{})}
		t.groups[f] = g
	}
	g.attempts++
	for t.handling(f) == quarantine.Alone && len(g.servers) > 0 {
		if err := t.await(ctx, g.changed); err != nil {
			t.unref(f, g)
			return nil, err
		}
	}
	server, err := pick(g.preferredServer(t.slotsPerServer()), t.handling(f) == quarantine.Alone)
	if err != nil {
		t.unref(f, g)
		return nil, err
	}
	g.servers[server]++
	return func() { t.release(f, g, server) }, nil
}

// await waits for a change. The caller holds mu, which is released meanwhile.
func (t *duplicateTracker) await(ctx context.Context, changed <-chan struct{}) error {
	t.mu.Unlock()
	defer t.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		err := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the request was canceled while it waited for a duplicate of itself to finish")
		err.Execution = errkind.NotRun
		return err
	}
}

func (t *duplicateTracker) release(f quarantine.Fingerprint, g *duplicateGroup, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.servers[server]--; g.servers[server] == 0 {
		delete(g.servers, server)
	}
	close(g.changed)
	g.changed = make(chan struct{})
	t.unref(f, g)
}

// unref removes one attempt from the group, and the group with its last attempt.
// The caller holds mu.
func (t *duplicateTracker) unref(f quarantine.Fingerprint, g *duplicateGroup) {
	if g.attempts--; g.attempts == 0 {
		delete(t.groups, f)
	}
}

// preferredServer returns the server that runs the most attempts of the group
// among those that run fewer than limit, or an empty string if there is none.
func (g *duplicateGroup) preferredServer(limit int) string {
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
