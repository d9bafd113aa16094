package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// register registers the servers of a service and waits until the gateway uses them.
func (f *fixture) register(service string, servers ...*platformtest.Server) {
	for _, s := range servers {
		f.deploy.Register(s.ID, service, s.Address())
	}
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(service)) == len(servers) })
}

// keepActive makes another server of a service send something again and again until the
// end of the test.
func (f *fixture) keepActive(service string) {
	svc := f.gateway.services.get(service, f.gateway.state)
	ctx := f.t.Context()
	go func() {
		for ctx.Err() == nil {
			svc.recordProgress(clock.Now(), "another")
			clock.Sleep(ctx, otherActivityWindow/3)
		}
	}()
}

// Guards against a response that is cut, or requested a second time, because its server
// pauses in the middle while no retry is left, and against a slow body that counts as
// silence.
func TestPausedResponsesAreComplete(t *testing.T) {
	large := func(string) int { return platformtest.LargeBodyBytes }
	small := func(id string) int { return len("answer to " + id) }
	stream := func(string) int { return len(events(0)) }
	for name, c := range map[string]struct {
		path      string
		behaviour platformtest.Behaviour
		length    func(id string) int
		burst     float64
	}{
		"stream":        {streamPath, platformtest.PausedStream, stream, 0},
		"plain":         {lookupPath, platformtest.PausedBody, small, 0},
		"large":         {lookupPath, platformtest.PausedLargeBody, large, 0},
		"large, retry":  {lookupPath, platformtest.PausedLargeBody, large, 9},
		"trickle":       {lookupPath, platformtest.TrickledBody, small, 0},
		"trickle,retry": {lookupPath, platformtest.TrickledBody, small, 9},
	} {
		t.Run(name, func(t *testing.T) {
			b := c.behaviour
			s := platformtest.NewServer("s1", b, b, b)
			other := platformtest.NewServer("s2", b, b, b)
			defer s.Close()
			defer other.Close()
			f := newFixture(t)
			service := platformtest.PlainService
			if c.path == streamPath {
				service = platformtest.ModelService
			}
			f.register(service, s, other)
			if b == platformtest.TrickledBody {
				s.SetDelay(70 * time.Millisecond)
				other.SetDelay(70 * time.Millisecond)
			}
			f.gateway.services.get(service, f.gateway.state).setRetryBurst(c.burst)
			f.keepActive(service)
			resp := f.send(http.MethodPost, c.path, "a1")
			require.Equal(t, http.StatusOK, resp.status)
			require.True(t, resp.complete)
			require.Len(t, resp.body, c.length("a1"))
			require.Equal(t, 1, s.RequestCount()+other.RequestCount())
		})
	}
}

// Guards against a stream that stays at a silent server although another one can continue
// it, and against events that the caller gets twice or never when it moves.
func TestPausedStreamMovesToAnotherServer(t *testing.T) {
	s := platformtest.NewServer("m-s1", platformtest.PausedStream)
	other := platformtest.NewServer("m-s2", platformtest.PausedStream)
	defer s.Close()
	defer other.Close()
	f := newFixture(t)
	f.register(platformtest.ModelService, s, other)
	f.keepActive(platformtest.ModelService)
	time.AfterFunc(200*time.Millisecond, func() {
		s.SetBehaviours()
		other.SetBehaviours()
	})
	started := time.Now()
	resp := f.send(http.MethodPost, streamPath, "a1")
	require.Less(t, time.Since(started), platformtest.PauseTime)
	require.True(t, resp.complete)
	require.Equal(t, events(0), resp.body)
	require.Equal(t, 1, s.RequestCount())
	require.Equal(t, 1, other.RequestCount())
	require.True(t, f.logs.contains("continuing on the standby server", `"sent":2`))
	f.eventually(func() bool { return s.CancelledCount()+other.CancelledCount() == 1 })
}
