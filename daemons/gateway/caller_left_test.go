package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a request that is sent to a server after its caller has disconnected: it
// waited there, was refused, and the gateway tried the next server.
func TestNoAttemptAfterCallerLeft(t *testing.T) {
	for _, path := range []string{bookingPath, lookupPath} {
		s := platformtest.NewServer("s1", platformtest.AtCapacity, platformtest.AtCapacity)
		other := platformtest.NewServer("s2", platformtest.AtCapacity, platformtest.AtCapacity)
		f := newFixture(t, s, other)
		version := f.deploy.PublishConfig([]string{platformtest.Key}, func(_ string, r map[string]any) { r["maxAttempts"] = 3 })
		f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
		const refusedAfter = 300 * time.Millisecond
		s.SetDelay(refusedAfter)
		other.SetDelay(refusedAfter)
		ctx, cancel := context.WithTimeout(context.Background(), refusedAfter/3)
		_, err := f.trySend(ctx, http.MethodPost, path, "a1")
		cancel()
		require.Error(t, err)
		time.Sleep(2 * refusedAfter)
		require.Equal(t, 1, s.RequestCount()+other.RequestCount(), path)
		s.Close()
		other.Close()
	}
}
