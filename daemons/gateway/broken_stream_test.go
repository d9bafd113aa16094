package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/serve/eventstream"
)

// Guards against an error response that is written into the middle of a stream, and
// against a stream that ends as if it were complete after that.
func TestErrorInsteadOfRestOfStream(t *testing.T) {
	for _, second := range []platformtest.Behaviour{platformtest.JSONError, platformtest.ServerError, platformtest.Unsigned} {
		servers := []*platformtest.Server{
			platformtest.NewServer("m-s1", platformtest.TruncatedEvent), platformtest.NewServer("m-s2", platformtest.TruncatedEvent),
		}
		f := newFixture(t)
		for _, s := range servers {
			s.SetDelay(100 * time.Millisecond)
			f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
		}
		f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == 2 })
		responses := make(chan response, 1)
		go func() {
			defer close(responses)
			if r, err := f.trySend(context.Background(), http.MethodPost, streamPath, "a1"); r.status != 0 || err == nil {
				responses <- r
			}
		}()
		f.eventually(func() bool { return servers[0].RequestCount()+servers[1].RequestCount() == 1 })
		next := servers[servers[0].RequestCount()]
		next.SetBehaviours(second, second, second)
		r := <-responses
		require.Positive(t, next.RequestCount(), second)
		require.False(t, r.complete, second)
		require.Equal(t, events(0)[:len(events(0))-len(events(2))], r.body, second)
		servers[0].Close()
		servers[1].Close()
	}
}

// Guards against events that are dropped when the rest of the same read is malformed,
// although a resumed stream goes on after them.
func TestEventsBeforeMalformedRestAreForwarded(t *testing.T) {
	s := platformtest.NewServer("s1")
	defer s.Close()
	f := newFixture(t, s)
	recorder := httptest.NewRecorder()
	x := &exchange{
		g: f.gateway, svc: f.gateway.services.get(platformtest.ModelService, f.gateway.state),
		r:   &request{route: &fleet.Route{Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2}},
		out: newResponseWriter(recorder, ""),
	}
	x.watch = newWatchdog(x)
	var read eventstream.Splitter
	read.Write([]byte(events(4) + "data: " + strings.Repeat("x", eventstream.MaxEventBytes)))
	require.Error(t, x.forwardEvents(&http.Response{StatusCode: http.StatusOK}, &read))
	require.Equal(t, events(4), recorder.Body.String())
	require.Equal(t, "6", x.out.progress.LastID())
}

// pieces returns the pieces of a stream in the order in which they were received.
func pieces(body string) []string {
	var list []string
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(line, "data: piece "); ok {
			list = append(list, strings.Fields(data)...)
		}
	}
	return list
}

// Guards against a stream that lacks events, is sent to a second server or is cut,
// because the event IDs of its servers aren't consecutive.
func TestStreamWithMultiTokenEvents(t *testing.T) {
	s := platformtest.NewServer("m-s1")
	other := platformtest.NewServer("m-s2")
	defer s.Close()
	defer other.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.deploy.Register(other.ID, platformtest.ModelService, other.Address())
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == 2 })
	var want []string
	for id := range platformtest.StreamEvents {
		want = append(want, strconv.Itoa(id+1))
	}
	const multi, single = platformtest.MultiTokenEvents, platformtest.Complete
	s.SetBehaviours(multi, multi, multi, multi)
	other.SetBehaviours(single, multi, single, multi)
	for n := range 4 {
		resp := f.send(http.MethodPost, streamPath, "a"+strconv.Itoa(n))
		require.True(t, resp.complete)
		require.Equal(t, want, pieces(resp.body))
	}
	require.Equal(t, 4, s.RequestCount()+other.RequestCount())
}
