package gateway

import (
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Guards against a gateway that stops serving, or serves with something else than the last
// good configuration, because the newest one can't be served or has a lower version.
func TestRefusedConfigurationsLeaveTheLastOneInForce(t *testing.T) {
	server := platformtest.NewServer("i-1")
	defer server.Close()
	f := newFixture(t, server)
	good := f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == good })
	f.deploy.MaxHeaderBytes = math.MaxInt
	f.deploy.PublishConfig([]string{"another key"}, nil)
	f.eventually(func() bool { return f.logs.contains("configuration can't be decoded or served; ignoring it") })
	restarted := &platformtest.Deployment{Store: f.store, Host: host}
	require.Less(t, restarted.PublishConfig(nil, nil), good)
	f.eventually(func() bool { return f.logs.contains("configuration with a lower version; ignoring it") })
	require.Equal(t, good, f.gateway.state.Index().Config.Version)
	require.Equal(t, http.StatusOK, f.send(http.MethodGet, platformtest.LookupPath, "a1").status)
	f.deploy.MaxHeaderBytes = 0
	last := f.deploy.PublishConfig([]string{platformtest.Key}, nil)
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == last })
}

// Guards against a refusal of limits that can be served, and against limits that aren't
// refused although the HTTP server then refuses each request.
func TestHeaderLimitsThatCanBeServed(t *testing.T) {
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	metrics := telemetry.NewMetrics(Role, "g1", zerolog.Nop())
	connections := New(settings(), NewClusterState(), metrics, zerolog.Nop()).connections
	for _, limit := range []int{math.MinInt, 0, 1, 16 << 10, math.MaxInt - 4097, math.MaxInt - 4096, math.MaxInt - 4095, math.MaxInt} {
		c := fleet.Config{Limits: fleet.Limits{MaxHeaderBytes: limit}}
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		front := newFrontend(listener, connections, handler, zerolog.Nop())
		go front.accept(func() fleet.Limits { return c.Limits })
		client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		// The server refuses before it has read the request, which the client may see as a fault
		// of the connection.
		response, err := client.Get("http://" + listener.Addr().String())
		served := err == nil && response.StatusCode == http.StatusOK
		require.Equal(t, c.Validate() == nil, served, "limit %d: %v", limit, err)
		if err == nil {
			_ = response.Body.Close()
		}
		_ = front.shutdown(t.Context())
	}
}
