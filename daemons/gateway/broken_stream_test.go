package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
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
