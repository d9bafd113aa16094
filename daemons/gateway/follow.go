package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// configWait is the long poll for a new configuration. The proof that the
	// configuration is the newest one is at most two polls old, which stays
	// below the 5 s of the revocation bound with a second to spare.
	configWait = 1700 * time.Millisecond
	// drainMargin is how long before the bound on draining the servers are read
	// again. It covers the read and the requests that are being sent.
	drainMargin = 650 * time.Millisecond
	// minServerInterval is the shortest time between two reads of the servers,
	// after a sign that the list is out of date.
	minServerInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed call. All
	// instances come at once when the store returns, so it is jittered.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// returnGrace is how long servers that vanished from the list while the
	// store was away count as alive. They are back within 2 s if they live.
	returnGrace = 2100 * time.Millisecond
)

// topicFollower reads a keyed topic: its newest records first, then what follows.
type topicFollower struct {
	store *platform.StoreClient
	topic string
	log   zerolog.Logger
	next  int64
	// whole says that the next read starts over with the newest records.
	whole    bool
	failures int
	// lostAt is when the first of the failures in a row was noticed.
	lostAt time.Time
}

func newTopicFollower(store *platform.StoreClient, topic string, log zerolog.Logger) *topicFollower {
	return &topicFollower{store: store, topic: topic, whole: true, log: log.With().Str("topic", topic).Logger()}
}

// update is the answer to one read.
type update struct {
	records []platform.KeyedRecord
	// whole says that records holds all keys and not just the changed ones.
	whole bool
	// sent and received are when the read was sent and answered.
	sent     time.Time
	received time.Time
	// returned says that the store answers again after a failure.
	returned bool
}

// read reads once. After an error the caller waits for backoff.
func (f *topicFollower) read(ctx context.Context, wait time.Duration) (update, error) {
	u := update{sent: clock.Now(), whole: f.whole}
	var next int64
	var err error
	if f.whole {
		u.records, next, err = f.store.ReadNewest(ctx, f.topic)
	} else {
		u.records, next, err = f.store.ReadKeyed(ctx, f.topic, f.next, wait)
	}
	u.received = clock.Now()
	if err != nil {
		f.failed(err)
		return update{}, err
	}
	u.returned = f.regained()
	f.next, f.whole = next, false
	return u, nil
}

func (f *topicFollower) failed(err error) {
	if errkind.Is(err, errkind.RecordsTrimmed) {
		f.whole = true
		f.log.Warn().Int64("offset", f.next).Msg("records are no longer kept; reading the newest of each key")
		return
	}
	f.store.CloseIdleConnections()
	f.failures++
	if f.failures == 1 {
		f.lostAt = clock.Now()
		f.log.Warn().Err(err).Int64("offset", f.next).Msg("store lost")
	}
}

func (f *topicFollower) regained() bool {
	if f.failures == 0 {
		return false
	}
	f.log.Info().Int("failures", f.failures).Dur("lost_ms", clock.Now().Sub(f.lostAt)).
		Int64("offset", f.next).Msg("store regained")
	f.failures = 0
	return true
}

// backoff is the wait after a failed read.
func (f *topicFollower) backoff() time.Duration {
	if f.failures == 0 {
		return 0
	}
	wait := minBackoff
	for range f.failures - 1 {
		if wait *= 2; wait >= maxBackoff {
			wait = maxBackoff
			break
		}
	}
	return time.Duration((0.5 + rand.Float64()) * float64(wait))
}

// FollowConfig keeps the configuration of view up to date until ctx ends.
func FollowConfig(ctx context.Context, store *platform.StoreClient, view *ClusterState, log zerolog.Logger) error {
	f := newTopicFollower(store, platform.ConfigTopic, log)
	for ctx.Err() == nil {
		u, err := f.read(ctx, configWait)
		if err != nil {
			clock.Sleep(ctx, f.backoff())
			continue
		}
		ok := true
		for _, r := range u.records {
			ok = installConfig(r, view, u, log) && ok
		}
		// A configuration that can't be decoded would otherwise count as proof
		// that the older one is still the newest.
		if ok {
			view.ConfirmConfig(u.sent, u.received)
		}
		if view.Index() == nil {
			clock.Sleep(ctx, minBackoff)
		}
	}
	return nil
}

func installConfig(r platform.KeyedRecord, view *ClusterState, u update, log zerolog.Logger) bool {
	if r.Key != platform.ConfigKey || len(r.Value) == 0 {
		return true
	}
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		log.Error().Err(err).Msg("configuration is not readable")
		return false
	}
	if view.InstallConfig(c) {
		log.Info().Int64("config_version", c.Version).Int("routes", len(c.Routes)).
			Int("services", len(c.Services)).Int("organisations", len(c.Organisations)).
			Dur("read_ms", u.received.Sub(u.sent)).Msg("configuration in force")
	}
	return true
}

// serverInterval is the time between reads of the servers. Reads are billed, so
// there are no more than the bound on draining asks for.
func serverInterval(b *platform.Bounds) time.Duration {
	return max(b.DrainTime-drainMargin, minServerInterval)
}

// FollowServers keeps the registered servers of view up to date until ctx ends.
// changed is called after each reading; kick asks for an early one.
func FollowServers(
	ctx context.Context, store *platform.StoreClient, view *ClusterState, log zerolog.Logger, bounds func() *platform.Bounds,
	kick <-chan struct{}, changed func(),
) error {
	f := newTopicFollower(store, platform.ServerTopic, log)
	var removals pendingRemovals
	for ctx.Err() == nil {
		u, err := f.read(ctx, 0)
		if err != nil {
			clock.Sleep(ctx, f.backoff())
			continue
		}
		if u.returned {
			removals.hold(u.received.Add(returnGrace))
		}
		changes := decodeServers(u.records, log)
		view.UpdateServers(func(s *fleet.Servers) {
			removals.apply(s, changes, u.whole, u.received, log)
		})
		changed()
		clock.Sleep(ctx, minServerInterval)
		select {
		case <-kick:
		case <-ctx.Done():
		case <-time.After(serverInterval(bounds()) - minServerInterval):
		}
	}
	return nil
}

func decodeServers(records []platform.KeyedRecord, log zerolog.Logger) []fleet.ServerChange {
	changes := make([]fleet.ServerChange, 0, len(records))
	for _, r := range records {
		change := fleet.ServerChange{ID: r.Key, Offset: r.Offset}
		if len(r.Value) > 0 {
			server, err := platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				log.Warn().Err(err).Str("server", r.Key).Msg("entry of a backend server is not usable")
			}
			change.Server = server
		}
		changes = append(changes, change)
	}
	return changes
}
