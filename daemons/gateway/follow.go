package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
)

const (
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
	// startedOver means that the store has started over since the last successful read.
	startedOver bool
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
	// complete means that the topic had no further records when the read was sent.
	complete bool
	// sent and received are the times of the request and of the response.
	sent     time.Time
	received time.Time
	// recovered means that this is the first successful read after a failure, or after the
	// store has started over.
	recovered bool
}

// read performs one read, which waits up to pollTimeout for new records. After an
// error the caller must wait for the duration that backoff returns.
func (f *topicFollower) read(ctx context.Context, pollTimeout time.Duration) (topicUpdate, error) {
	u := topicUpdate{sent: clock.Now(), snapshot: f.snapshot}
	var err error
	if f.snapshot {
		u.complete = true
		u.records, u.next, err = f.store.ReadNewest(ctx, f.topic)
	} else {
		var b platform.KeyedBatch
		b, err = f.store.ReadKeyedBatch(ctx, f.topic, f.next, pollTimeout)
		u.records, u.next, u.complete = b.Records, b.Next, len(b.Records) == 0 || b.Next >= b.EndOffset
	}
	u.received = clock.Now()
	if err != nil {
		f.recordFailure(err)
		return topicUpdate{}, err
	}
	u.recovered = f.recordRecovery()
	f.next, f.snapshot = u.next, false
	return u, nil
}

func (f *topicFollower) recordFailure(err error) {
	if errkind.Is(err, errkind.RecordsTrimmed) {
		f.snapshot = true
		f.startedOver = f.startedOver || errors.Is(err, platform.ErrStartedOver)
		f.log.Warn().Int64("offset", f.next).Bool("started_over", f.startedOver).
			Msg("records were trimmed; reading the newest record of each key")
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
	startedOver := f.startedOver
	f.startedOver = false
	if f.failures == 0 {
		return startedOver
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
