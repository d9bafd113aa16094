package gateway

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/ring"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const (
	// minRefusalDelay is the time before a refusal is stored in which reports on its crashes
	// may show that it is wrong. maxExtraDelay bounds a random delay after it: all gateways
	// decide at about the same time, and one of them has to store the refusal.
	minRefusalDelay = 500 * time.Millisecond
	maxExtraDelay   = time.Second
	// refusalQueueLength bounds the changes that wait to be stored.
	refusalQueueLength = 64
	// maxStoredRefusals bounds the keys of stored refusals that are held.
	maxStoredRefusals = 1024
)

// refusalChange is a refusal that this gateway has made or withdrawn.
type refusalChange struct {
	refusal   quarantine.Refusal
	withdrawn bool
}

// refusalKeeper keeps the refusals in the metadata store. A gateway that starts later
// has seen none of the crashes, and would let each of them happen again.
type refusalKeeper struct {
	store     *platform.StoreClient
	crashes   *crashTracker
	broadcast func(*pb.Datagram)
	changes   *ring.Queue[refusalChange]
	log       zerolog.Logger

	mu sync.Mutex
	// stored holds the keys of the refusals that are known to be in the store.
	stored map[string]bool
}

func newRefusalKeeper(
	store *platform.StoreClient, crashes *crashTracker, broadcast func(*pb.Datagram), log zerolog.Logger,
) *refusalKeeper {
	k := &refusalKeeper{
		store: store, crashes: crashes, broadcast: broadcast, log: log, stored: make(map[string]bool),
		changes: ring.New[refusalChange](ring.Config{
			Name: "refusals", Capacity: refusalQueueLength, Policy: ring.DropOldest,
		}),
	}
	crashes.keepRefusal = k.enqueue
	return k
}

func (k *refusalKeeper) enqueue(c refusalChange) {
	if err := k.changes.Push(context.Background(), c); err != nil {
		k.log.Warn().Err(err).Msg("refusal won't be stored")
	}
}

// run reads the stored refusals once and then stores the changes until ctx ends.
func (k *refusalKeeper) run(ctx context.Context) error {
	lost := k.store.EraChanges()
	go k.restore(ctx, lost)
	k.load(ctx)
	for {
		c, ok := k.changes.Pop(ctx)
		if !ok {
			return nil
		}
		if c.withdrawn {
			k.remove(ctx, c.refusal)
			continue
		}
		clock.Sleep(ctx, minRefusalDelay+rand.N(maxExtraDelay))
		k.add(ctx, c.refusal)
	}
}

// restore stores the refusals in force again whenever the store has come back from an older
// copy, until ctx ends. Whether it has lost them isn't known.
func (k *refusalKeeper) restore(ctx context.Context, lost <-chan platform.Era) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-lost:
		}
		k.mu.Lock()
		clear(k.stored)
		k.mu.Unlock()
		for _, r := range k.crashes.refusals() {
			k.enqueue(refusalChange{refusal: r})
		}
	}
}

func (k *refusalKeeper) load(ctx context.Context) {
	k.retry(ctx, "reading the stored refusals", func() error {
		records, _, err := k.store.ReadNewest(ctx, platform.RefusalTopic)
		for _, r := range records {
			if len(r.Value) > 0 {
				k.decode(r.Value)
			}
		}
		return err
	})
}

func (k *refusalKeeper) decode(data []byte) {
	var m pb.Refusal
	if err := proto.Unmarshal(data, &m); err != nil {
		k.log.Warn().Err(err).Msg("stored refusal can't be decoded")
		return
	}
	k.receive(&m)
}

// receive applies a refusal that is in the store.
func (k *refusalKeeper) receive(m *pb.Refusal) {
	r := quarantine.Refusal{Features: quarantine.FeaturesFromProto(m.GetFeatures())}
	age := max(time.Since(time.UnixMilli(m.GetLastCrashUnixMs())), 0)
	r.LastCrash = clock.Now().Add(-age)
	k.markStored(refusalKey(r))
	k.crashes.addRefusal(r)
}

func (k *refusalKeeper) add(ctx context.Context, r quarantine.Refusal) {
	key := refusalKey(r)
	if k.isStored(key) || k.crashes.check(r.Features) == nil {
		return
	}
	m := &pb.Refusal{
		Features:        quarantine.FeaturesToProto(r.Features),
		LastCrashUnixMs: time.Now().Add(-clock.Now().Sub(r.LastCrash)).UnixMilli(),
	}
	data, err := proto.Marshal(m)
	if err != nil {
		k.log.Error().Err(err).Msg("encoding a refusal failed")
		return
	}
	k.put(ctx, key, data)
	k.markStored(key)
	k.broadcast(&pb.Datagram{Kind: &pb.Datagram_Refusal{Refusal: m}})
}

func (k *refusalKeeper) remove(ctx context.Context, r quarantine.Refusal) {
	key := refusalKey(r)
	if !k.isStored(key) {
		return
	}
	k.put(ctx, key, nil)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.stored, key)
}

func (k *refusalKeeper) put(ctx context.Context, key string, value []byte) {
	k.retry(ctx, "storing a refusal", func() error {
		return k.store.AppendKeyed(ctx, platform.RefusalTopic, platform.KeyedRecord{Key: key, Value: value})
	})
}

// retry calls f until it succeeds or ctx ends.
func (k *refusalKeeper) retry(ctx context.Context, what string, f func() error) {
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		err := f()
		if err == nil {
			return
		}
		k.log.Debug().Err(err).Msg(what + " failed, retrying")
		clock.Sleep(ctx, backoff)
	}
}

func (k *refusalKeeper) isStored(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stored[key]
}

func (k *refusalKeeper) markStored(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.stored) >= maxStoredRefusals {
		clear(k.stored)
	}
	k.stored[key] = true
}

// refusalKey returns the key of a refusal in the store. All gateways list the features
// in the same order.
func refusalKey(r quarantine.Refusal) string {
	h := xxh3.New()
	for _, name := range quarantine.FeatureNames(r.Features) {
		_, _ = h.WriteString(r.Features[0].Service + "\x00" + name + "\x00")
	}
	sum := h.Sum128().Bytes()
	return hex.EncodeToString(sum[:])
}
