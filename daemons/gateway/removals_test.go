package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against requests to a server that has left beyond the bounds, because the
// store was out of reach for this gateway before, and against removing the servers at
// once whose registrations expired during an outage.
func TestRemovalsAfterOutage(t *testing.T) {
	const (
		interval = 1350 * time.Millisecond
		readTime = 5 * time.Millisecond
		// heartbeat is the interval at which live servers register again.
		heartbeat = 1200 * time.Millisecond
		// soon is the time from a call without a response to the next one.
		soon = 400 * time.Millisecond
	)
	b := bounds()
	b.HeartbeatInterval = heartbeat
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// lastRead and lastFailure are the times before the first read at which the last
		// successful call and the last failed one were sent.
		lastRead, lastFailure time.Duration
		// goneAt is the read without the server, where 0 is the first one after the
		// outage.
		goneAt int
		// keptUntil and removedBy are times after the first read.
		keptUntil, removedBy time.Duration
	}{
		{
			name: "expired during the outage", lastRead: 9 * time.Second, lastFailure: soon,
			goneAt: 0, keptUntil: 2 * time.Second, removedBy: 3 * time.Second,
		},
		{
			name: "left during the outage, which was noticed to be over late", lastRead: 9 * time.Second, lastFailure: 1800 * time.Millisecond,
			goneAt: 0, keptUntil: 0, removedBy: b.StablePeriod - 1800*time.Millisecond,
		},
		{
			name: "left beside a call that was refused", lastRead: interval, lastFailure: 60 * time.Millisecond,
			goneAt: 0, keptUntil: 0, removedBy: b.DrainTime - interval,
		},
		{
			name: "left after the outage", lastRead: 9 * time.Second, lastFailure: soon,
			goneAt: 1, keptUntil: interval, removedBy: b.DrainTime,
		},
		{
			name: "left later", lastRead: 9 * time.Second, lastFailure: soon,
			goneAt: 2, keptUntil: interval, removedBy: interval + b.DrainTime,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var servers fleet.Servers
			removals := pendingRemovals{lastRead: start.Add(-test.lastRead)}
			servers.Apply([]fleet.ServerChange{{ID: "s", Server: &fleet.Server{ID: "s"}}})
			reads := 0
			at := time.Duration(0)
			for ; servers.Len() > 0; reads++ {
				sent := start.Add(at)
				u := topicUpdate{sent: sent, received: sent.Add(readTime)}
				if reads == 0 {
					u.recovered, u.lastFailure = true, start.Add(-test.lastFailure)
				}
				var changes []fleet.ServerChange
				if reads == test.goneAt {
					changes = []fleet.ServerChange{{ID: "s"}}
				}
				removals.apply(&servers, changes, u, &b, zerolog.Nop())
				if servers.Len() > 0 {
					require.Less(t, at, 10*time.Second)
					at += minServerInterval + removals.untilNext(sent.Add(minServerInterval), interval-minServerInterval)
				}
			}
			require.GreaterOrEqual(t, at, test.keptUntil)
			require.LessOrEqual(t, at, test.removedBy)
		})
	}
}

// Guards against removing all live servers at once after the store has come back from an
// older copy, in which they aren't registered yet, without a call that has failed.
func TestRemovalsAfterStoreStartedOver(t *testing.T) {
	b := bounds()
	b.HeartbeatInterval = 1200 * time.Millisecond
	start := time.Unix(1000, 0)
	var servers fleet.Servers
	servers.Apply([]fleet.ServerChange{{ID: "s", Server: &fleet.Server{ID: "s"}}})
	removals := pendingRemovals{lastRead: start}
	received := start.Add(1350 * time.Millisecond)
	u := topicUpdate{sent: received, received: received, recovered: true, startedOver: true, snapshot: true}
	removals.apply(&servers, nil, u, &b, zerolog.Nop())
	require.Equal(t, 1, servers.Len())
	kept := removals.untilNext(received, time.Hour)
	require.GreaterOrEqual(t, kept, b.HeartbeatInterval, "a live server registers again with its next heartbeat")
	require.LessOrEqual(t, kept, b.StablePeriod)
}

// Guards against noticing only seconds later that a silent store responds again: a server
// that left meanwhile gets requests until then.
func TestSilentStoreIsCalledOften(t *testing.T) {
	const (
		// maxGap is the longest time between two calls. With the servers' drain bound it
		// leaves live servers time to register again.
		maxGap = 900 * time.Millisecond
		watch  = 5 * time.Second
	)
	store := platformtest.NewStore()
	defer store.Close()
	f := newTopicFollower(platform.NewStoreClient(store.Address()), platform.ServerTopic, zerolog.Nop())
	_, ok := f.readUntilResponse(t.Context())
	require.True(t, ok)
	store.SetFault(platformtest.Unresponsive)
	returned := make(chan topicUpdate)
	go func() {
		u, _ := f.readUntilResponse(t.Context())
		returned <- u
	}()
	calls, since := store.CallCount(), time.Now()
	longest := time.Duration(0)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n := store.CallCount(); n != calls {
			calls, since = n, time.Now()
		}
		// The first call has its whole timeout: a store that is only slow isn't called twice.
		if time.Until(end) < watch-2*time.Second {
			longest = max(longest, time.Since(since))
		}
	}
	require.LessOrEqual(t, longest, maxGap)
	store.SetFault(platformtest.NoFault)
	u := <-returned
	require.True(t, u.recovered)
	require.LessOrEqual(t, u.received.Sub(u.lastFailure), maxGap)
}
