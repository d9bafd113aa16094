package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
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
)

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
		u, ok := f.readUntilResponse(ctx)
		if !ok {
			return nil
		}
		changes := decodeServers(u.records, u.received, log)
		state.UpdateServers(func(s *fleet.Servers) {
			removals.apply(s, changes, u, bounds(), log)
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
			deleted := r.Err == nil && len(r.Value) == 0
			changes = append(changes, fleet.ServerChange{ID: r.Key, Server: server, Deleted: deleted, Offset: r.Offset, ReadAt: received})
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
