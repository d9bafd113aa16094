package fleet

import (
	"cmp"
	"slices"
	"strings"
)

// Index looks up routes and organisations of one Config.
type Index struct {
	Config *Config
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost       map[string][]*Route
	organisationsByKey map[string]*Organisation
	urgencies          map[string][]Urgency
}

// NewIndex returns the index of c. The caller must not modify c afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config:             c,
		routesByHost:       make(map[string][]*Route),
		organisationsByKey: make(map[string]*Organisation),
		urgencies:          c.Urgencies(),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.routesByHost[host] = append(x.routesByHost[host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			x.organisationsByKey[key] = o
		}
	}
	return x
}

// Route returns the route of a host with the longest prefix of path. A port in host
// is ignored. The time is linear in the number of routes of the host.
func (x *Index) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range x.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Urgencies returns the urgencies that the requests of a service may have, the most urgent
// one first.
func (x *Index) Urgencies(service string) []Urgency { return x.urgencies[service] }

// RequiresKey reports whether requests of the route must carry a key.
func (x *Index) RequiresKey(r *Route) bool {
	return x.Config.Organisations != nil && !r.Public
}

// Organisation returns the organisation that a key belongs to.
func (x *Index) Organisation(key string) (*Organisation, bool) {
	o, ok := x.organisationsByKey[key]
	return o, ok
}
