package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

const (
	routeHost = "h.example"
	findPath  = platformtest.BookingPath + "find/"
)

// routeIndex has routes with nested prefixes of different kinds.
var routeIndex = fleet.NewIndex(&fleet.Config{Routes: []fleet.Route{
	{Name: "root", Host: routeHost, PathPrefix: "/", Kind: fleet.NonIdempotent, Targets: []fleet.Target{{Service: "s"}}},
	{Name: "booking", Host: routeHost, PathPrefix: "/booking/", Kind: fleet.NonIdempotent, Targets: []fleet.Target{{Service: "s"}}},
	{Name: "find", Host: routeHost, PathPrefix: "/booking/find/", Kind: fleet.Idempotent, Targets: []fleet.Target{{Service: "s"}}},
}})

// routeOf returns the name of the longest prefix that begins the path of a request target,
// or an empty string.
func routeOf(target string) string {
	path := target
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range []struct{ prefix, name string }{{"/booking/find/", "find"}, {"/booking/", "booking"}, {"/", "root"}} {
		if strings.HasPrefix(path, r.prefix) {
			return r.name
		}
	}
	return ""
}

// checkRoute requires that the route of a request is the one that the forwarded bytes
// select, and that a backend server that parses these gets the same target.
func checkRoute(t require.TestingT, hr *http.Request) {
	r := &request{http: hr, index: routeIndex}
	err := r.resolve(0, &platform.Bounds{})
	name := ""
	if err == nil {
		name = r.route.Name
	}
	require.Equal(t, routeOf(r.target()), name, "%q", r.target())
	require.NotContains(t, r.target(), " ")
	if err != nil {
		return
	}
	forwarded, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + r.target() + " HTTP/1.1\r\nHost: h\r\n\r\n")))
	require.NoError(t, err, "%q", r.target())
	require.Equal(t, r.target(), forwarded.RequestURI)
}

// readRequest parses a request as the HTTP server does.
func readRequest(target string) (*http.Request, error) {
	text := "POST " + target + " HTTP/1.1\r\nHost: " + routeHost + "\r\n\r\n"
	return http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
}

// Guards against a route that is selected by another path than the one that backend servers
// get, for example with its escapes resolved.
func TestRouteOfForwardedPath(t *testing.T) {
	part := rapid.SampledFrom([]string{
		"/", "/booking/", "/booking/find/", "booking", "find", "%2F", "%2f", "%2e%2E", "..", ".", "//", ";a=b", ":", "%62", "%25", "%252F", "a", "\\", "?", "#", "@",
	})
	prefix := rapid.SampledFrom([]string{"/", "/booking/", "http://" + routeHost, "http://" + routeHost + "/booking/", "//", ""})
	rapid.Check(t, func(t *rapid.T) {
		target := prefix.Draw(t, "prefix") + strings.Join(rapid.SliceOfN(part, 0, 6).Draw(t, "parts"), "")
		hr, err := readRequest(target)
		if err != nil || hr.Host != routeHost {
			return // the HTTP server refuses it with 400, or it has another host
		}
		checkRoute(t, hr)
	})
}

// FuzzRoute guards against the same with arbitrary targets.
func FuzzRoute(f *testing.F) {
	for _, target := range []string{
		"/booking/find/7", "/booking/find%2F7", "/booking%2Ffind/7", "/booking/./find/7", "/booking/x/../find/7", "//booking/find/7",
		"http://h.example/booking/find%2f7?q=/../", "http://h.example", "*", "/booking/find;v=1/7", "/%62ooking/find/7", "/booking/find%252F7",
	} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if hr, err := readRequest(target); err == nil && hr.Host == routeHost {
			checkRoute(t, hr)
		}
	})
}

// Guards against a booking with an escaped slash that takes the route of the lookups and
// runs twice after a lost response.
func TestEscapedSlashKeepsRoute(t *testing.T) {
	for _, path := range []string{"find%2F7", "find%2f7", "find%2F7?x=/booking/find/"} {
		s := platformtest.NewServer("s1", platformtest.ResetBeforeResponse)
		other := platformtest.NewServer("s2", platformtest.ResetBeforeResponse)
		f := newFixture(t, s, other)
		version := f.deploy.PublishConfig([]string{platformtest.Key}, func(path string, r map[string]any) {
			if path == platformtest.LookupPath {
				r["pathPrefix"] = findPath
			}
		})
		f.eventually(func() bool { return f.gateway.state.Index().Config.Version == version })
		require.Equal(t, http.StatusBadGateway, f.send(http.MethodPost, platformtest.BookingPath+path, "a1").status)
		require.Equal(t, 1, s.RequestCount()+other.RequestCount())
		// A lookup may run again.
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, findPath+"7", "a2").status)
		for _, r := range append(s.ExecutedRequests(), other.ExecutedRequests()...) {
			if r.ID == "a1" {
				require.Equal(t, platformtest.BookingPath+path, r.Target)
			}
		}
		s.Close()
		other.Close()
	}
}

// Guards against "OPTIONS *" being answered by the HTTP library instead of as a request
// without a route.
func TestOptionsOfServerHasNoRoute(t *testing.T) {
	f := newFixture(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	front := newFrontend(listener, f.gateway.connections, f.gateway, zerolog.Nop())
	go front.accept(func() fleet.Limits { return fleet.Limits{} })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("OPTIONS * HTTP/1.1\r\nHost: " + host + "\r\n\r\n"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	require.NoError(t, front.shutdown(t.Context()))
}
