package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a response with an invalid status that reaches a caller, as it is or as what
// its body looks like, also on a kept connection; against a failure that isn't retried because
// of it, and against waiting for more bytes until the deadline.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	const soon = time.Second
	for name, c := range map[string]struct {
		behaviour platformtest.Behaviour
		path      string
		service   string
	}{
		"response":         {platformtest.InvalidStatus, lookupPath, platformtest.PlainService},
		"stream":           {platformtest.InvalidStatusStream, streamPath, platformtest.ModelService},
		"interim response": {platformtest.InvalidInterim, lookupPath, platformtest.PlainService},
	} {
		for _, status := range []string{"000", "099", "1000", "600", "abc", "-20"} {
			t.Run(name+" "+status, func(t *testing.T) {
				t.Parallel()
				s, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
				defer s.Close()
				defer other.Close()
				s.SetStatus(status)
				f := newFixture(t)
				f.register(c.service, s)
				require.Equal(t, http.StatusOK, f.send(http.MethodPost, c.path, "a1").status, "the connection is kept")

				s.SetBehaviours(c.behaviour)
				sent := clock.Now()
				require.GreaterOrEqual(t, f.send(http.MethodPost, c.path, "a2").status, http.StatusInternalServerError)
				require.Less(t, clock.Now().Sub(sent), soon)

				f.register(c.service, s, other)
				s.SetBehaviours(c.behaviour, c.behaviour, c.behaviour)
				for n := 0; s.RequestCount() == 2; n++ {
					require.Less(t, n, 100)
					resp := f.send(http.MethodPost, c.path, "a3")
					require.Equal(t, http.StatusOK, resp.status)
					require.True(t, resp.complete)
					require.NotContains(t, resp.body, "bad")
				}
			})
		}
	}
}

// Guards against a booking with such a response that runs once more, or that counts as answered.
func TestInvalidStatusOfBooking(t *testing.T) {
	s, other := platformtest.NewServer("s1", platformtest.InvalidStatus), platformtest.NewServer("s2", platformtest.InvalidStatus)
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	require.Equal(t, http.StatusBadGateway, f.send(http.MethodPost, bookingPath, "a1").status, "it may have run")
	require.Equal(t, 1, s.RequestCount()+other.RequestCount())
}
