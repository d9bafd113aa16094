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

// Guards against a stream that waits to the end in the queue of a full server
// whose machine is frozen, and against moving it while the server answers.
func TestWatchdogAsksFullServer(t *testing.T) {
	for name, frozen := range map[string]bool{"frozen": true, "alive": false} {
		t.Run(name, func(t *testing.T) {
			g := platformtest.NewGroup(1, 1, 4)
			g.SetUnreachable(0, frozen)
			address, stop := g.Serve(0, "127.0.0.1", 0)
			defer stop()
			s := platformtest.NewServer("s1")
			defer s.Close()
			f := newFixture(t, s)
			svc := f.gateway.services.get(platformtest.PlainService, f.gateway.view)
			svc.setOthers(clock.Now(), map[loadshare.ServerKey]int{loadshare.ServerKeyOf("s1"): 4}, 0)
			conn, err := upstream.NewPool(time.Now).Get(context.Background(), s.Address(), 0)
			require.NoError(t, err)
			defer conn.Close()
			w := newWatchdog(&exchange{
				g: f.gateway, svc: svc, conn: conn, server: fleet.Server{ID: "s1", Address: address},
				r: &request{route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}},
			})
			defer w.stop()
			moved := func() bool {
				w.mu.Lock()
				w.last = clock.Now().Add(-time.Hour)
				w.mu.Unlock()
				svc.mu.Lock()
				svc.progressed = clock.Now()
				svc.mu.Unlock()
				w.check()
				return w.silent()
			}
			require.False(t, moved(), "the first look asks the server")
			require.Equal(t, frozen, waitFor(moved))
		})
	}
}

// waitFor reports whether a condition becomes true within half a second.
func waitFor(condition func() bool) bool {
	for range 50 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// Guards against a stream that is sent elsewhere although it only waits in the
// queue of a full server, against one that stays at a silent server, and against
// moving streams while their whole group stalls.
func TestWatchdog(t *testing.T) {
	for name, c := range map[string]struct {
		kind     fleet.RouteKind
		load     int
		began    bool
		others   bool
		wantGone bool
	}{
		"silent server":           {fleet.Streaming, 1, false, true, true},
		"queue of a full server":  {fleet.Streaming, 4, false, true, false},
		"full server falls mute":  {fleet.Streaming, 4, true, true, true},
		"the whole group stalls":  {fleet.Streaming, 1, true, false, false},
		"plain server is silent":  {fleet.Idempotent, 1, false, false, true},
		"booking is never moved":  {fleet.NonIdempotent, 1, false, true, false},
		"full plain server waits": {fleet.Idempotent, 4, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := platformtest.NewServer("s1")
			defer s.Close()
			f := newFixture(t, s)
			svc := f.gateway.services.get(platformtest.PlainService, f.gateway.view)
			svc.setOthers(clock.Now(), map[loadshare.ServerKey]int{loadshare.ServerKeyOf("s1"): c.load}, 0)
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
				require.False(t, c.wantGone)
				return
			}
			w.mu.Lock()
			w.began, w.last = c.began, clock.Now().Add(-time.Hour)
			w.mu.Unlock()
			svc.mu.Lock()
			svc.progressed = clock.Now().Add(-time.Hour)
			if c.others {
				svc.progressed = clock.Now()
			}
			svc.mu.Unlock()
			w.check()
			require.Equal(t, c.wantGone, w.silent())
			if c.wantGone {
				require.ErrorIs(t, conn.Send(&upstream.Request{Method: "GET"}), net.ErrClosed)
			}
		})
	}
}
