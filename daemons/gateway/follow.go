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
	// configPollTimeout is the duration of a long poll for a new configuration.
	// The configuration was confirmed as the newest one at most two polls ago, so
	// a gateway that loses the store serves requests with keys for three more
	// seconds of the usual revocation bound of 5 s.
	configPollTimeout = 800 * time.Millisecond
	// drainMargin is how long before the drain bound the servers are read again.
	// It covers the read itself and the requests that are just being sent.
	drainMargin = 650 * time.Millisecond
	// minServerInterval is the shortest time between two reads of the servers. It
	// applies when a refresh is requested.
	minServerInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff limit the exponential backoff after a failed
	// call. It is jittered, because all instances call the store as soon as it is
	// available again.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// topicFollower reads a keyed topic: first the newest record of each key, then
// the records that follow.
type topicFollower struct {
	store *platform.StoreClient
	topic string
	log   zerolog.Logger
	next  int64
	// snapshot makes the next read start over with the newest record of each key.
	snapshot bool
	failures int
	// failingSince is the time of the first of the consecutive failures.
	failingSince time.Time
}

func newTopicFollower(store *platform.StoreClient, topic string, log zerolog.Logger) *topicFollower {
	return &topicFollower{store: store, topic: topic, snapshot: true, log: log.With().Str("topic", topic).Logger()}
}

// topicUpdate is the result of one read.
type topicUpdate struct {
	records []platform.KeyedRecord
	// snapshot means that records holds all keys, not only the changed ones.
	snapshot bool
	// next is the offset at which the next read begins.
	next int64
	// sent and received are the times of the request and of the response.
	sent     time.Time
	received time.Time
	// recovered means that this is the first successful read after a failure.
	recovered bool
}

// read performs one read, which waits up to pollTimeout for new records. After an
// error the caller must wait for the duration that backoff returns.
func (f *topicFollower) read(ctx context.Context, pollTimeout time.Duration) (topicUpdate, error) {
	u := topicUpdate{sent: clock.Now(), snapshot: f.snapshot}
	var next int64
	var err error
	if f.snapshot {
		u.records, next, err = f.store.ReadNewest(ctx, f.topic)
	} else {
		u.records, next, err = f.store.ReadKeyed(ctx, f.topic, f.next, pollTimeout)
	}
	u.received = clock.Now()
	if err != nil {
		f.recordFailure(err)
		return topicUpdate{}, err
	}
	u.recovered = f.recordRecovery()
	f.next, f.snapshot = next, false
	u.next = next
	return u, nil
}

func (f *topicFollower) recordFailure(err error) {
	if errkind.Is(err, errkind.RecordsTrimmed) {
		f.snapshot = true
		f.log.Warn().Int64("offset", f.next).Msg("records were trimmed; reading the newest record of each key")
		return
	}
	f.store.CloseIdleConnections()
	f.failures++
	if f.failures == 1 {
		f.failingSince = clock.Now()
		f.log.Warn().Err(err).Int64("offset", f.next).Msg("store lost")
	}
}

func (f *topicFollower) recordRecovery() bool {
	if f.failures == 0 {
		return false
	}
	f.log.Info().Int("failures", f.failures).Dur("lost_ms", clock.Now().Sub(f.failingSince)).
		Int64("offset", f.next).Msg("store regained")
	f.failures = 0
	return true
}

// backoff returns how long to wait after a failed read.
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

// FollowConfig keeps the configuration in state up to date until ctx ends. It calls
// applyEvacuations with each read of the topic, which holds the evacuations as well.
func FollowConfig(
	ctx context.Context, store *platform.StoreClient, state *ClusterState, log zerolog.Logger,
	applyEvacuations func(topicUpdate),
) error {
	f := newTopicFollower(store, platform.ConfigTopic, log)
	for ctx.Err() == nil {
		u, err := f.read(ctx, configPollTimeout)
		if err != nil {
			clock.Sleep(ctx, f.backoff())
			continue
		}
		// No request is served before the first configuration is installed, so none is sent
		// to a failure domain that was evacuated before.
		applyEvacuations(u)
		ok := true
		for _, r := range u.records {
			ok = installConfig(r, state, u, log) && ok
		}
		// If a new configuration can't be decoded, the installed one must not be
		// confirmed as the newest one.
		if ok {
			state.ConfirmConfig(u.sent, u.received)
		}
		if state.Index() == nil {
			clock.Sleep(ctx, minBackoff)
		}
	}
	return nil
}

func installConfig(r platform.KeyedRecord, state *ClusterState, u topicUpdate, log zerolog.Logger) bool {
	if r.Err != nil {
		log.Error().Err(r.Err).Str("key", r.Key).Msg("record of the configuration can't be read; ignoring it")
		return false
	}
	if r.Key != platform.ConfigKey || len(r.Value) == 0 {
		return true
	}
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		log.Error().Err(err).Int64("offset", r.Offset).Msg("configuration can't be decoded or served; ignoring it")
		return false
	}
	if state.InstallConfig(c) {
		log.Info().Int64("config_version", c.Version).Int("routes", len(c.Routes)).
			Int("services", len(c.Services)).Int("organisations", len(c.Organisations)).
			Dur("read_ms", u.received.Sub(u.sent)).Msg("configuration in force")
		return true
	}
	if current := state.currentConfig(); c.Version < current.Version {
		log.Warn().Int64("config_version", c.Version).Int64("in_force", current.Version).Int64("offset", r.Offset).
			Msg("configuration with a lower version; ignoring it")
	}
	return true
}

// serverInterval returns the time between reads of the servers. Reads are
// billed, so they are only as frequent as the drain bound requires.
func serverInterval(b *platform.Bounds) time.Duration {
	return max(b.DrainTime-drainMargin, minServerInterval)
}

// FollowServers keeps the registered servers in state up to date until ctx ends.
// It calls changed after each read. A value on refresh triggers an early read.
func FollowServers(
	ctx context.Context, store *platform.StoreClient, state *ClusterState, log zerolog.Logger,
	bounds func() *platform.Bounds, refresh <-chan struct{}, changed func(),
) error {
	f := newTopicFollower(store, platform.ServerTopic, log)
	var removals pendingRemovals
	for ctx.Err() == nil {
		u, err := f.read(ctx, 0)
		if err != nil {
			clock.Sleep(ctx, f.backoff())
			continue
		}
		changes := decodeServers(u.records, u.received, log)
		state.UpdateServers(func(s *fleet.Servers) {
			removals.apply(s, changes, u, bounds().DrainTime, log)
		})
		changed()
		clock.Sleep(ctx, minServerInterval)
		next := removals.untilNext(clock.Now(), serverInterval(bounds())-minServerInterval)
		select {
		case <-refresh:
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
	return nil
}

// decodeServers returns the changes of the registrations. A record that can't be read names
// no server to use: the server under its key counts as removed, and without a key it is
// ignored. received is when the records were read.
func decodeServers(records []platform.KeyedRecord, received time.Time, log zerolog.Logger) []fleet.ServerChange {
	changes := make([]fleet.ServerChange, 0, len(records))
	for _, r := range records {
		server, err := decodeServer(r)
		if err != nil {
			log.Warn().Err(err).Str("server", r.Key).Msg("registration of a backend server can't be decoded; treating the server as removed")
		}
		if server != nil && server.ColdRemaining > 0 {
			server.ColdUntil = received.Add(server.ColdRemaining)
		}
		if r.Key != "" {
			changes = append(changes, fleet.ServerChange{ID: r.Key, Offset: r.Offset, Server: server})
		}
	}
	return changes
}

// decodeServer returns the registered server, or nil if it was removed.
func decodeServer(r platform.KeyedRecord) (*fleet.Server, error) {
	if r.Err != nil || len(r.Value) == 0 {
		return nil, r.Err
	}
	return platform.DecodeServer(r.Key, r.Value)
}
