package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a stream that waits until its deadline in the queue of a full
// server whose instance is frozen, and against aborting it while the server
// answers probes.
func TestWatchdogProbesFullServer(t *testing.T) {
	for name, frozen := range map[string]bool{"frozen": true, "alive": false} {
		t.Run(name, func(t *testing.T) {
			g := platformtest.NewGroup(1, 1, 4)
			g.SetUnreachable(0, frozen)
			address, stop := g.Serve(0, "127.0.0.1", 0)
			defer stop()
			s := platformtest.NewServer("s1")
			defer s.Close()
			f := newFixture(t, s)
			svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
			svc.setPeerLoad(clock.Now(), map[loadshare.ServerKey]int{loadshare.ServerKeyOf("s1"): 4}, 0)
			conn, err := upstream.NewPool(time.Now).Get(context.Background(), s.Address(), 0)
			require.NoError(t, err)
			defer conn.Close()
			w := newWatchdog(&exchange{
				g: f.gateway, svc: svc, conn: conn, server: fleet.Server{ID: "s1", Address: address},
				r: &request{route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}},
			})
			defer w.stop()
			aborted := func() bool {
				w.mu.Lock()
				w.lastProgressAt = clock.Now().Add(-time.Hour)
				w.mu.Unlock()
				svc.mu.Lock()
				svc.lastProgressAt = clock.Now()
				svc.mu.Unlock()
				w.check()
				return w.timedOut()
			}
			require.False(t, aborted(), "the first check starts a probe")
			require.Equal(t, frozen, waitFor(aborted))
		})
	}
}

// waitFor reports whether a condition becomes true within 50 checks, about half a
// second.
func waitFor(condition func() bool) bool {
	for range 50 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// Guards against aborting a stream that is only waiting in the queue of a full
// server, against leaving a stream at a silent server, and against aborting
// streams while their whole group has stalled.
func TestWatchdog(t *testing.T) {
	for name, c := range map[string]struct {
		kind         fleet.RouteKind
		load         int
		started      bool
		othersActive bool
		wantAborted  bool
	}{
		"silent server":           {fleet.Streaming, 1, false, true, true},
		"queue of a full server":  {fleet.Streaming, 4, false, true, false},
		"full server goes silent": {fleet.Streaming, 4, true, true, true},
		"the whole group stalls":  {fleet.Streaming, 1, true, false, false},
		"plain server is silent":  {fleet.Idempotent, 1, false, false, true},
		"non-idempotent request":  {fleet.NonIdempotent, 1, false, true, false},
		"full plain server waits": {fleet.Idempotent, 4, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := platformtest.NewServer("s1")
			defer s.Close()
			f := newFixture(t, s)
			svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
			svc.setPeerLoad(clock.Now(), map[loadshare.ServerKey]int{loadshare.ServerKeyOf("s1"): c.load}, 0)
			conn, err := upstream.NewPool(time.Now).Get(context.Background(), s.Address(), 0)
			require.NoError(t, err)
			defer conn.Close()
			x := &exchange{
				g: f.gateway, svc: svc, conn: conn, server: fleet.Server{ID: "s1"},
				r: &request{route: &fleet.Route{Kind: c.kind, Resumable: true, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond}},
			}
			w := newWatchdog(x)
			defer w.stop()
			if w.timer == nil {
				require.False(t, c.wantAborted)
				return
			}
			w.mu.Lock()
			w.started, w.lastProgressAt = c.started, clock.Now().Add(-time.Hour)
			w.mu.Unlock()
			svc.mu.Lock()
			svc.lastProgressAt = clock.Now().Add(-time.Hour)
			if c.othersActive {
				svc.lastProgressAt = clock.Now()
			}
			svc.mu.Unlock()
			w.check()
			require.Equal(t, c.wantAborted, w.timedOut())
			if c.wantAborted {
				require.ErrorIs(t, conn.Send(&upstream.Request{Method: "GET"}), net.ErrClosed)
			}
		})
	}
}
