package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against requests that reach a server after it has stated that it is leaving, and
// against the use of the last server of a service although it is leaving.
func TestLeavingServerGetsNoMoreRequests(t *testing.T) {
	leaving, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer leaving.Close()
	defer other.Close()
	leaving.SetLeaving()
	f := newFixture(t, leaving, other)
	for n := range 60 {
		require.Equal(t, 200, f.send(http.MethodGet, lookupPath, fmt.Sprintf("a%d", n)).status)
	}
	require.Equal(t, 1, leaving.RequestCount())
	require.Equal(t, 1, f.countLogs("states that it is leaving"))

	other.SetLeaving()
	require.Equal(t, 200, f.send(http.MethodGet, lookupPath, "c").status)
	seen := leaving.RequestCount() + other.RequestCount()
	require.Equal(t, 503, f.send(http.MethodGet, lookupPath, "d").status)
	require.Equal(t, seen, leaving.RequestCount()+other.RequestCount())
}

// Guards against a stream that goes on, after it broke off, on a server that has stated in
// the head of an earlier stream that it is leaving.
func TestStreamIsNotResumedOnLeavingServer(t *testing.T) {
	leaving, other, third := platformtest.NewServer("m-s1"), platformtest.NewServer("m-s2"), platformtest.NewServer("m-s3")
	servers := []*platformtest.Server{leaving, other, third}
	leaving.SetLeaving()
	f := newFixture(t)
	for _, s := range servers {
		defer s.Close()
		f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	}
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == len(servers) })
	f.eventually(func() bool {
		require.Equal(t, 200, f.send(http.MethodPost, streamPath, "a").status)
		return leaving.RequestCount() == 1
	})
	for range 10 {
		other.SetBehaviours(platformtest.TruncatedEvent)
		third.SetBehaviours(platformtest.Complete)
		resp := f.send(http.MethodPost, streamPath, "b")
		require.True(t, resp.complete)
		require.Equal(t, events(0), resp.body)
	}
	require.Equal(t, 1, leaving.RequestCount())
}

// Guards against requests to a server that has refused one and stated for how long it
// wants no others, and against callers that wait or get a useless time to retry if all
// servers do so.
func TestPausedServerGetsNoRequests(t *testing.T) {
	const pause = 1500 * time.Millisecond
	paused, other := platformtest.NewServer("s1", platformtest.AtCapacity), platformtest.NewServer("s2")
	defer paused.Close()
	defer other.Close()
	paused.SetPause(strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	f := newFixture(t, paused, other)
	f.eventually(func() bool {
		require.Equal(t, 200, f.send(http.MethodGet, lookupPath, "a").status)
		return paused.RequestCount() == 1
	})
	refusedAt := paused.Arrivals()[0]
	for time.Since(refusedAt) < pause-200*time.Millisecond {
		require.Equal(t, 200, f.send(http.MethodGet, lookupPath, "b").status)
	}
	require.Equal(t, 1, paused.RequestCount())

	other.SetBehaviours(platformtest.AtCapacity)
	other.SetPause("1")
	start := time.Now()
	resp := f.send(http.MethodGet, lookupPath, "c")
	if time.Since(refusedAt) < pause-100*time.Millisecond {
		require.Equal(t, 503, resp.status)
		require.Less(t, time.Since(start), 700*time.Millisecond)
		after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, after, 2*pause.Seconds())
	}
	f.eventually(func() bool { return f.send(http.MethodGet, lookupPath, "d").status == 200 })
	f.eventually(func() bool {
		f.send(http.MethodGet, lookupPath, "e")
		return paused.RequestCount() > 1
	})
}

// Guards against a server that is never used again, or a gateway that fails, because of a
// time that can't be read or has no end.
func TestUnreadablePauseIsIgnored(t *testing.T) {
	for _, value := range []string{"-1", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT", "0"} {
		s := platformtest.NewServer("s1", platformtest.AtCapacity)
		f := newFixture(t, s)
		s.SetPause(value)
		f.send(http.MethodGet, lookupPath, "a")
		f.eventually(func() bool { return f.send(http.MethodGet, lookupPath, "b").status == 200 })
		if value != "0" {
			require.Positive(t, f.countLogs("can't be read"), value)
		}
		s.Close()
	}
}
