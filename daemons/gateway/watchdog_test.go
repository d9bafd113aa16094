package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// watchedExchange is an exchange with a silent server, s1, and another server, s2.
type watchedExchange struct {
	*exchange
	other *platformtest.Server
}

// watchedKind is the kind of a watched request. address is that of its server, and events
// is the number of events that the caller has.
type watchedKind struct {
	kind    fleet.RouteKind
	address string
	load    int
	events  int
}

func newWatchedExchange(t *testing.T, k watchedKind, behaviours ...platformtest.Behaviour) *watchedExchange {
	s, other := platformtest.NewServer("s1"), platformtest.NewServer("s2", behaviours...)
	t.Cleanup(s.Close)
	t.Cleanup(other.Close)
	f := newFixture(t, s, other)
	svc := f.gateway.services.get(platformtest.PlainService, f.gateway.state)
	svc.setPeerLoad(clock.Now(), map[loadshare.ServerKey]int{loadshare.ServerKeyOf("s1"): k.load}, 0)
	conn, err := upstream.NewPool(time.Now).Get(context.Background(), s.Address(), 0)
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	hr := httptest.NewRequest(http.MethodPost, lookupPath, http.NoBody)
	platformtest.WithAttempt("a1")(hr.Header)
	if k.kind == fleet.Streaming {
		platformtest.WithTokenUsage("100,30")(hr.Header)
	}
	now := clock.Now()
	r := &request{
		http: hr, index: f.gateway.state.Index(), service: platformtest.PlainService, arrived: now, deadline: now.Add(5 * time.Second),
		route: &fleet.Route{Kind: k.kind, Resumable: true, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond},
	}
	r.memory, err = f.gateway.memory.Read(httptest.NewRecorder(), hr, inbound.ReadOptions{})
	require.NoError(t, err)
	t.Cleanup(r.memory.Close)
	r.call.AttemptID = "a1"
	r.trace.attempts, r.trace.sent, r.trace.servers = 1, 1, []string{"s1"}
	x := newExchange(exchange{
		g: f.gateway, r: r, svc: svc, out: newResponseWriter(httptest.NewRecorder(), ""), conn: conn,
		server: fleet.Server{ID: "s1", Address: k.address}, startedAt: now, eventsBefore: k.events,
	})
	x.watch.start(context.Background())
	t.Cleanup(func() {
		x.watch.stop()
		x.takeStandby(context.Background(), context.Canceled)
	})
	return &watchedExchange{exchange: x, other: other}
}

// check runs a check after a long silence of the server. othersActive means that another
// server has sent something meanwhile.
func (x *watchedExchange) check(started, othersActive bool) {
	longAgo := clock.Now().Add(-time.Hour)
	x.watch.mu.Lock()
	x.watch.started, x.watch.lastProgressAt = started, longAgo
	x.watch.mu.Unlock()
	x.svc.mu.Lock()
	x.svc.lastProgressAt = longAgo
	if othersActive {
		x.svc.lastProgressAt = clock.Now()
	}
	x.svc.mu.Unlock()
	x.watch.check()
}

func (x *watchedExchange) hasStandby() bool {
	newest, earlier := x.watch.standbys()
	return newest != nil || len(earlier) > 0
}

// Guards against a stream that waits until its deadline in the queue of a full
// server whose instance is frozen, and against moving it while the server
// answers probes.
func TestWatchdogProbesFullServer(t *testing.T) {
	for name, frozen := range map[string]bool{"frozen": true, "alive": false} {
		t.Run(name, func(t *testing.T) {
			g := platformtest.NewGroup(1, 1, 4)
			g.SetUnreachable(0, frozen)
			address, stop := g.Serve(0, "127.0.0.1", 0)
			defer stop()
			x := newWatchedExchange(t, watchedKind{kind: fleet.Streaming, address: address, load: 4})
			if !frozen {
				// A live server answers, however busy the machine of the test is.
				x.g.probeTimeout = time.Minute
			}
			moved := func() bool {
				x.check(false, true)
				return x.watch.hasMoved()
			}
			require.False(t, moved(), "the first check starts a probe")
			if frozen {
				require.Eventually(t, moved, 8*time.Second, 10*time.Millisecond)
				return
			}
			require.False(t, waitFor(moved))
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

// Guards against moving a stream that is only waiting in the queue of a full
// server, against leaving a stream at a silent server, and against moving
// streams while their whole group has stalled.
func TestWatchdog(t *testing.T) {
	for name, c := range map[string]struct {
		kind         fleet.RouteKind
		load         int
		started      bool
		othersActive bool
		wantMoved    bool
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
			events := 0
			if c.started {
				events = 2
			}
			x := newWatchedExchange(t, watchedKind{kind: c.kind, load: c.load, events: events})
			if x.watch.timer == nil {
				require.False(t, c.wantMoved)
				return
			}
			x.check(c.started, c.othersActive)
			require.Equal(t, c.wantMoved, x.hasStandby())
			if c.wantMoved {
				require.Eventually(t, x.watch.hasMoved, 8*time.Second, 10*time.Millisecond)
				require.ErrorIs(t, x.conn.Send(&upstream.Request{Method: "GET"}), net.ErrClosed)
			}
		})
	}
}

// Guards against ending a response for the silence of its server although no other server
// continues it.
func TestWatchdogLeavesResponseThatCannotMove(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour platformtest.Behaviour
		prepare   func(x *watchedExchange)
	}{
		"no retry left": {platformtest.Complete, func(x *watchedExchange) { x.svc.setRetryBurst(0) }},
		"no free slot": {platformtest.Complete, func(x *watchedExchange) {
			x.svc.setPeerLoad(clock.Now(), map[loadshare.ServerKey]int{loadshare.ServerKeyOf("s2"): 5}, 0)
		}},
		"no attempt left":       {platformtest.Complete, func(x *watchedExchange) { x.r.trace.sent = 2 }},
		"other server refuses":  {platformtest.AtCapacity, nil},
		"other server fails":    {platformtest.ServerError, nil},
		"other server closes":   {platformtest.ResetBeforeResponse, nil},
		"response isn't signed": {platformtest.Unsigned, nil},
		"response isn't a rest": {platformtest.JSONError, nil},
		"server goes on": {platformtest.Complete, func(x *watchedExchange) {
			x.other.SetDelay(100 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, func() { x.watch.progress() })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newWatchedExchange(t, watchedKind{kind: fleet.Streaming, load: 1, events: 2}, c.behaviour)
			if c.prepare != nil {
				c.prepare(x)
			}
			x.check(true, true)
			require.False(t, waitFor(x.watch.hasMoved))
			require.NoError(t, x.conn.Send(&upstream.Request{Method: "GET"}))
			require.Eventually(t, func() bool {
				x.svc.mu.Lock()
				defer x.svc.mu.Unlock()
				inFlight, _ := x.svc.scheduler.ServerLoad("s2")
				return inFlight == 0 || name == "no free slot"
			}, 8*time.Second, time.Millisecond, "the slot is given back")
		})
	}
}
