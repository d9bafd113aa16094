package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a request that runs although its caller is told that it did not: a
// server repeats an earlier refusal on a kept connection.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.Complete, platformtest.RepeatedRefusal)
	defer s.Close()
	f := newFixture(t, s)
	require.Equal(t, 200, f.send(http.MethodPost, bookingPath, "a1").status)
	resp := f.send(http.MethodPost, bookingPath, "a2")
	require.Len(t, s.ExecutedRequests(), 2)
	require.Equal(t, 200, resp.status)
	require.Equal(t, "answer to a2", resp.body)
}

// Guards against the same if the refusal is that of an earlier attempt of the same
// request.
func TestRepeatedRefusalOfSameRequest(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.AtCapacity, platformtest.RepeatedRefusalWithID)
	defer s.Close()
	f := newFixture(t, s)
	version := f.deploy.PublishConfig([]string{platformtest.Key}, func(_ string, r map[string]any) { r["maxAttempts"] = 3 })
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
	resp := f.send(http.MethodPost, bookingPath, "a1")
	require.Equal(t, 503, resp.status)
	for _, r := range s.ExecutedRequests() {
		require.NotEqual(t, "a1", r.ID, "the caller was told that the request did not run")
	}
}

// Guards against a refusal without an attempt ID that is not recognised on a new
// connection, so that the request counts as possibly run.
func TestRefusalWithoutID(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.AtCapacityWithoutID)
	other := platformtest.NewServer("s2", platformtest.AtCapacityWithoutID)
	defer s.Close()
	defer other.Close()
	f := newFixture(t, s, other)
	require.Equal(t, 503, f.send(http.MethodPost, bookingPath, "a1").status)
}
