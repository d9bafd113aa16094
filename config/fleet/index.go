package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// Index answers questions about one Config without searching it.
type Index struct {
	Config *Config
	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]*Route
	keys   map[string]*Organisation
}

// NewIndex returns the index of c. The caller doesn't change c afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config: c,
		routes: make(map[string][]*Route),
		keys:   make(map[string]*Organisation),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.routes[host] = append(x.routes[host], r)
	}
	for _, routes := range x.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			x.keys[key] = o
		}
	}
	return x
}

// Route returns the route with the longest prefix of path at a host. A port in
// host is ignored. Complexity: linear in the routes of the host.
func (x *Index) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests of the route carry a key.
func (x *Index) RequiresKey(r *Route) bool {
	return x.Config.Organisations != nil && !r.Public
}

// Organisation returns the holder of a key.
func (x *Index) Organisation(key string) (*Organisation, bool) {
	o, ok := x.keys[key]
	return o, ok
}
