package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dgryski/go-rendezvous"
	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/settings"
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
	list          platform.InstanceList
	interval      time.Duration
	timeout       time.Duration
	failureDomain string
	log           zerolog.Logger
	now           func() time.Time

	mu        sync.Mutex
	byService map[string][]platform.Instance
	held      map[string]time.Time // instance id -> not used before
	next      uint64
	loaded    bool
}

func newBackends(list platform.InstanceList, s settings.Entry, log zerolog.Logger) *backends {
	return &backends{
		list: list, interval: s.InstanceInterval, timeout: s.PlatformTimeout,
		failureDomain: s.FailureDomain, log: log, now: time.Now,
		byService: make(map[string][]platform.Instance), held: make(map[string]time.Time),
	}
}

// follow reads the instance list again and again until ctx ends. While the list
// can't be read, the last view stays.
func (b *backends) follow(ctx context.Context) error {
	ticker := time.NewTicker(b.interval)
	defer ticker.Stop()
	for {
		if err := b.refresh(ctx); err != nil && ctx.Err() == nil {
			b.log.Warn().Err(err).Msg("instance list")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *backends) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	instances, err := b.list.Instances(ctx)
	if err != nil {
		return err
	}
	byService := make(map[string][]platform.Instance)
	for _, i := range instances {
		if i.Role == platform.RoleBackend && i.State == platform.Live {
			byService[i.Service] = append(byService[i.Service], i)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byService = byService
	b.loaded = true
	now := b.now()
	for id, until := range b.held {
		if !now.Before(until) {
			delete(b.held, id)
		}
	}
	return nil
}

func (b *backends) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loaded
}

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

func byKey(candidates []platform.Instance, key string) platform.Instance {
	ids := make([]string, len(candidates))
	for n, i := range candidates {
		ids[n] = i.ID
	}
	chosen := rendezvous.New(ids, xxh3.HashString).Lookup(key)
	return candidates[slices.Index(ids, chosen)]
}
