package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a server that gets more tokens than its memory holds, against memory that
// stays taken after a request, and against requests that can never fit and wait.
func TestMemoryOfEngine(t *testing.T) {
	s := platformtest.NewServer("m-s1")
	defer s.Close()
	f := newFixture(t)
	f.deploy.Register(s.ID, platformtest.ModelService, s.Address())
	f.deploy.MemoryTokens = 2000
	version := f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	f.eventually(func() bool { return len(f.gateway.state.UsableServers(platformtest.ModelService)) == 1 })
	send := func(id, usage string) int {
		return f.send(http.MethodPost, streamPath, id, platformtest.WithTokenUsage(usage)).status
	}
	require.Equal(t, http.StatusOK, send("small", "100,30"))
	require.Equal(t, http.StatusServiceUnavailable, send("early", "500,100"), "the other gateways aren't known")
	f.gateway.services.setGateways(gatewayList{self: "10.1.0.1:7340", listed: true})
	s.SetBehaviours(platformtest.NoResponse)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen := s.RequestCount()
	go func() {
		_, _ = f.trySend(ctx, http.MethodPost, streamPath, "pending", platformtest.WithTokenUsage("100,30"))
	}()
	f.eventually(func() bool { return s.RequestCount() > seen })
	for n := range 10 {
		require.Equal(t, http.StatusOK, send("large"+strconv.Itoa(n), "500,100"))
	}
	require.Equal(t, http.StatusServiceUnavailable, send("huge", "1500,100"))
	require.True(t, f.logs.contains(`"request_id":"huge"`, "may need 1600 tokens", `"execution":"not_run"`, `"waited_ms":0.`))
	var others []string
	for n := range 300 {
		others = append(others, "10.1.1."+strconv.Itoa(n))
	}
	f.gateway.services.setGateways(gatewayList{self: "10.1.0.1:7340", known: others, listed: true})
	require.Equal(t, http.StatusServiceUnavailable, send("late", "500,100"), "other gateways use the memory")
	require.True(t, f.logs.contains(`"request_id":"late"`, "had memory for 600 tokens"))
	require.Equal(t, http.StatusOK, send("small2", "100,30"))
}
