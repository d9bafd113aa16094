package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against the events of another server within a large body that was cut: on a route
// whose streams can be resumed, a server sent a stream without events, and the next one a body
// that isn't a stream.
func TestCutBodyIsNotContinued(t *testing.T) {
	var servers []*platformtest.Server
	for _, id := range []string{"s1", "s2", "s3"} {
		s := platformtest.NewServer(id, platformtest.EmptyStream)
		defer s.Close()
		s.SetDelay(100 * time.Millisecond) // until the response, so that the others can be prepared
		servers = append(servers, s)
	}
	f := newFixture(t)
	version := f.deploy.PublishConfig([]string{platformtest.Key}, func(_ string, r map[string]any) { r["maxAttempts"] = 3 })
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	f.register(platformtest.ModelService, servers...)
	f.gateway.services.get(platformtest.ModelService, f.gateway.state).setRetryBurst(9)
	requests := func() (n int) {
		for _, s := range servers {
			n += s.RequestCount()
		}
		return n
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		require.False(t, f.send(http.MethodPost, streamPath, "a1").complete)
	}()
	for attempt, next := range []platformtest.Behaviour{platformtest.TruncatedLargeBody, platformtest.Complete} {
		f.eventually(func() bool { return requests() == attempt+1 })
		for _, s := range servers {
			if s.RequestCount() == 0 {
				s.SetBehaviours(next)
			}
		}
	}
	<-done
	require.Equal(t, 2, requests(), "the request isn't sent again after a part of the body")
}
