package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// In these tests, zone-1 and zone-2 are in region-1, and zone-3 is in region-2.

// bindRoutes binds all routes, and the organisation, to regions.
func (f *fixture) bindRoutes(path string, regions, ofOrganisation []string) {
	f.deploy.OrganisationRegions = ofOrganisation
	version := f.deploy.PublishConfig([]string{platformtest.Key}, platformtest.WithRegions(path, regions...))
	f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
}

// Guards against requests that run outside the regions of their route, although the servers
// in them have more load, and against servers that are left out although they are in one.
func TestRegionsOfRoute(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-2", "zone-3")
	f.setPeerLoad(map[string]int{
		"zone-1": halfLoad, "zone-2": halfLoad, "m-zone-1": halfLoad, "m-zone-2": halfLoad,
	})
	f.bindRoutes("", []string{"region-1", "region-7"}, nil)
	for n := range 10 {
		f.sendKinds(fmt.Sprintf("a%d", n))
	}
	require.Zero(t, servers["zone-3"].RequestCount()+servers["m-zone-3"].RequestCount())
	f.bindRoutes(platformtest.LookupPath, []string{"region-1"}, nil)
	f.sendKinds("b")
	require.Positive(t, servers["zone-3"].RequestCount(), "the other routes are free again")
}

// Guards against a retry, the rest of a stream, or a standby in another region because all
// servers in the own one have been tried or are silent.
func TestLaterAttemptsStayInRegions(t *testing.T) {
	const failing = platformtest.ResetBeforeResponse
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-3")
	f.bindRoutes("", []string{"region-1"}, nil)
	servers["zone-1"].SetBehaviours(failing, failing, failing)
	require.Equal(t, http.StatusBadGateway, f.send(http.MethodGet, lookupPath, "retry").status)

	servers["m-zone-1"].SetBehaviours(platformtest.TruncatedEvent, platformtest.TruncatedEvent)
	require.False(t, f.send(http.MethodPost, streamPath, "resumed").complete)

	f.keepActive(platformtest.ModelService)
	servers["m-zone-1"].SetBehaviours(platformtest.PausedStream)
	require.True(t, f.send(http.MethodPost, streamPath, "standby").complete)

	servers["zone-1"].SetBehaviours(platformtest.PausedBody)
	require.True(t, f.send(http.MethodGet, lookupPath, "plain standby").complete)

	require.Zero(t, servers["zone-3"].RequestCount()+servers["m-zone-3"].RequestCount())
}

// Guards against requests that only the regions of their route bind, or only those of their
// organisation, and against callers that wait although no server is allowed.
func TestRegionsOfOrganisation(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-3")
	f.setPeerLoad(map[string]int{"zone-3": halfLoad})
	f.bindRoutes("", nil, []string{"region-2"})
	for _, path := range []string{lookupPath, bookingPath} {
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, path, "a").status)
	}
	require.Equal(t, 2, servers["zone-3"].RequestCount())
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, openPath, "b").status, "without a key no organisation binds it")
	require.Equal(t, 1, servers["zone-1"].RequestCount())

	f.bindRoutes("", []string{"region-1"}, []string{"region-2"})
	resp := f.send(http.MethodPost, bookingPath, "c")
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.NotEmpty(t, resp.header.Get("Retry-After"))
	require.True(t, f.logs.contains(`"request_id":"c"`, "no backend server is in the allowed regions"))
	require.Equal(t, 3, servers["zone-1"].RequestCount()+servers["zone-3"].RequestCount())
}

// Guards against a request that leaves its regions because their last failure domain is
// evacuated.
func TestEvacuationOfTheOnlyRegion(t *testing.T) {
	f := newFixture(t)
	servers := f.zonedServers("zone-1", "zone-3")
	f.bindRoutes(platformtest.BookingPath, []string{"region-2"}, nil)
	f.evacuate("zone-3")
	require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodPost, bookingPath, "a").status)
	require.True(t, f.logs.contains(`"request_id":"a"`, "evacuated failure domains (zone-3)"))
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, lookupPath, "b").status)
	require.Zero(t, servers["zone-3"].RequestCount())
}
