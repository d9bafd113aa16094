package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// Guards against requests to a server that has left beyond the drain bound, because the
// store was out of reach for this gateway before, and against removing the servers at
// once whose registrations expired during an outage.
func TestRemovalsAfterOutage(t *testing.T) {
	const (
		drainTime = 2 * time.Second
		interval  = 1350 * time.Millisecond
		readTime  = 5 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// goneAt is the read without the server, where 0 is the first one after the
		// outage.
		goneAt int
		// keptUntil and removedBy are times after the first read.
		keptUntil, removedBy time.Duration
	}{
		{name: "expired during the outage", goneAt: 0, keptUntil: 2 * time.Second, removedBy: 3 * time.Second},
		{name: "left after the outage", goneAt: 1, keptUntil: interval, removedBy: drainTime},
		{name: "left later", goneAt: 2, keptUntil: interval, removedBy: interval + drainTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			var servers fleet.Servers
			var removals pendingRemovals
			servers.Apply([]fleet.ServerChange{{ID: "s", Server: &fleet.Server{ID: "s"}}})
			reads := 0
			at := time.Duration(0)
			for ; servers.Len() > 0; reads++ {
				sent := start.Add(at)
				u := topicUpdate{sent: sent, received: sent.Add(readTime), recovered: reads == 0}
				var changes []fleet.ServerChange
				if reads == test.goneAt {
					changes = []fleet.ServerChange{{ID: "s"}}
				}
				removals.apply(&servers, changes, u, drainTime, zerolog.Nop())
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
