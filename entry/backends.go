package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/daemon"
	"github.com/filbertmux/filbertmux/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// leavingHold is the time for which a sidecar that announced its shutdown
	// is not used. The instance list has dropped it long before.
	leavingHold = 30 * time.Second
	// failureHold is the time for which a sidecar that could not be reached is
	// not used.
	failureHold = time.Second
)

// backends is the entry's view of the sidecars: the instance list, overridden
// by direct signals. It is safe for concurrent use.
type backends struct {
	instances     *daemon.Instances
	failureDomain string
	now           func() time.Time

	mu        sync.Mutex
	indexed   *[]platform.Instance // the list that byService was made from
	byService map[string][]platform.Instance
	held      map[string]time.Time // instance id -> not used before
	next      uint64
}

func newBackends(instances *daemon.Instances, failureDomain string) *backends {
	return &backends{
		instances: instances, failureDomain: failureDomain, now: time.Now, held: make(map[string]time.Time),
	}
}

func (b *backends) ready() bool { return b.instances.View() != nil }

// hold takes a sidecar out of use for a time.
func (b *backends) hold(id string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[id] = b.now().Add(d)
}

// pick returns the sidecar for the next attempt. A non-idempotent call goes to
// the sidecar that its key hashes to, so that two senders of a key meet there.
func (b *backends) pick(call *pb.CallRequest, tried []string) (platform.Instance, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(call.GetService(), tried)
	if len(candidates) == 0 {
		return platform.Instance{}, errkind.New(errkind.NoBackendServer, "no backend server of %s is available", call.GetService())
	}
	if !call.GetIdempotent() {
		return byKey(candidates, call.GetIdempotencyKey()), nil
	}
	local := slices.DeleteFunc(slices.Clone(candidates), func(i platform.Instance) bool {
		return i.FailureDomain != b.failureDomain
	})
	if len(local) > 0 {
		candidates = local
	}
	b.next++
	return candidates[b.next%uint64(len(candidates))], nil
}

func (b *backends) candidates(service string, tried []string) []platform.Instance {
	b.index()
	now := b.now()
	var usable []platform.Instance
	for _, i := range b.byService[service] {
		if until, ok := b.held[i.ID]; ok && now.Before(until) || slices.Contains(tried, i.ID) {
			continue
		}
		usable = append(usable, i)
	}
	return usable
}

// index follows the instance list. The caller holds mu.
func (b *backends) index() {
	view := b.instances.View()
	if view == nil || view == b.indexed {
		return
	}
	b.indexed = view
	b.byService = make(map[string][]platform.Instance)
	for _, i := range *view {
		if i.Role == platform.RoleBackend && i.State == platform.Live {
			b.byService[i.Service] = append(b.byService[i.Service], i)
		}
	}
	now := b.now()
	maps.DeleteFunc(b.held, func(_ string, until time.Time) bool { return !now.Before(until) })
}

func byKey(candidates []platform.Instance, key string) platform.Instance {
	ids := make([]string, len(candidates))
	for n, i := range candidates {
		ids[n] = i.ID
	}
	chosen := rendezvous.New(ids, xxh3.HashString).Lookup(key)
	return candidates[slices.Index(ids, chosen)]
}
