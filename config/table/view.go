package table

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/filbertmux/filbertmux/base/infra"
)

// DefaultWeight is the weight of an organisation without a weight row.
const DefaultWeight = 1.0

// View is the table at one offset. It is immutable and safe for concurrent use.
type View struct {
	offset    infra.Offset
	entries   map[Key]Entry
	byKeyHash map[string]*Organisation
	classes   []Class
	routes    map[string][]routeEntry // by routesKey, the most specific first
	evacuated []string                // failure domains, sorted
}

type routeEntry struct {
	pattern pattern
	route   *Route
}

func newView(offset infra.Offset, entries map[Key]Entry) *View {
	v := &View{
		offset:    offset,
		entries:   entries,
		byKeyHash: make(map[string]*Organisation),
		routes:    make(map[string][]routeEntry),
	}
	for _, e := range entries {
		v.addRow(e.Row)
	}
	slices.SortFunc(v.classes, func(a, b Class) int { return cmp.Compare(a.Priority, b.Priority) })
	slices.Sort(v.evacuated)
	for _, list := range v.routes {
		slices.SortFunc(list, func(a, b routeEntry) int { return compareSpecificity(a.pattern, b.pattern) })
	}
	return v
}

func (v *View) addRow(r Row) {
	switch {
	case r.Organisation != nil:
		v.byKeyHash[r.Organisation.KeySHA256] = r.Organisation
	case r.Class != nil:
		v.classes = append(v.classes, *r.Class)
	case r.Evacuation != nil:
		v.evacuated = append(v.evacuated, r.Evacuation.FailureDomain)
	case r.Route != nil:
		p, err := parsePattern(r.Route.Path)
		if err != nil {
			return // unreachable: rows with an invalid path are refused
		}
		id := routesKey(r.Route.Service, r.Route.Method)
		v.routes[id] = append(v.routes[id], routeEntry{p, r.Route})
	}
}

func routesKey(service, method string) string { return service + " " + method }

// Offset returns the table offset of the view.
func (v *View) Offset() infra.Offset { return v.offset }

// Get returns a row and its version.
func (v *View) Get(key Key) (Entry, bool) {
	e, ok := v.entries[key]
	return e, ok
}

// Entries returns all rows, ordered as in Kinds and then by ID.
func (v *View) Entries() []Entry {
	entries := make([]Entry, 0, len(v.entries))
	for _, key := range sortedKeys(v.entries) {
		entries = append(entries, v.entries[key])
	}
	return entries
}

// HashAPIKey returns the hash of an API key in the form that the table stores.
func HashAPIKey(apiKey string) string {
	sum := sha256.Sum256([]byte(apiKey))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKeyHash returns the organisation whose API key has the given
// hash.
func (v *View) OrganisationByKeyHash(hash string) (Organisation, bool) {
	o, ok := v.byKeyHash[hash]
	if !ok {
		return Organisation{}, false
	}
	return *o, true
}

// Organisation returns the organisation with the given name.
func (v *View) Organisation(name string) (Organisation, bool) {
	e, ok := v.entries[Key{KindOrganisation, name}]
	if !ok {
		return Organisation{}, false
	}
	return *e.Row.Organisation, true
}

// Organisations returns all organisations, ordered by name.
func (v *View) Organisations() []Organisation {
	organisations := make([]Organisation, 0, len(v.byKeyHash))
	for _, o := range v.byKeyHash {
		organisations = append(organisations, *o)
	}
	slices.SortFunc(organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return organisations
}

// Service returns the service with the given name.
func (v *View) Service(name string) (Service, bool) {
	e, ok := v.entries[Key{KindService, name}]
	if !ok {
		return Service{}, false
	}
	return *e.Row.Service, true
}

// Services returns all services, ordered by name.
func (v *View) Services() []Service {
	var services []Service
	for _, e := range v.entries {
		if e.Row.Service != nil {
			services = append(services, *e.Row.Service)
		}
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// Classes returns all classes, those of the highest priority first.
func (v *View) Classes() []Class { return slices.Clone(v.classes) }

// Class returns the class with the given name.
func (v *View) Class(name string) (Class, bool) {
	e, ok := v.entries[Key{KindClass, name}]
	if !ok {
		return Class{}, false
	}
	return *e.Row.Class, true
}

// ClassOf returns the class of an organisation's requests to a service: the
// class of the organisation, or the default class of the service if it is empty.
func (v *View) ClassOf(organisation, service string) (Class, bool) {
	o, ok := v.Organisation(organisation)
	if !ok {
		return Class{}, false
	}
	if o.Class != "" {
		return v.Class(o.Class)
	}
	s, ok := v.Service(service)
	if !ok {
		return Class{}, false
	}
	return v.Class(s.DefaultClass)
}

// WeightOf returns the weight of an organisation, or DefaultWeight if it has no
// weight row.
func (v *View) WeightOf(organisation string) float64 {
	e, ok := v.entries[Key{KindWeight, organisation}]
	if !ok {
		return DefaultWeight
	}
	return e.Row.Weight.Weight
}

// LimitOf returns the limit of an organisation. Without a limit row the
// organisation is not limited and the second result is false.
func (v *View) LimitOf(organisation string) (Limit, bool) {
	e, ok := v.entries[Key{KindLimit, organisation}]
	if !ok {
		return Limit{}, false
	}
	return *e.Row.Limit, true
}

// MatchRoute returns the most specific route of a plain service for a request
// path such as /orders/7, without the service name in front.
func (v *View) MatchRoute(service, method, path string) (Route, bool) {
	if len(path) == 0 || path[0] != '/' {
		return Route{}, false
	}
	segments := splitPath(path)
	for _, e := range v.routes[routesKey(service, method)] {
		if e.pattern.matches(segments) {
			return *e.route, true
		}
	}
	return Route{}, false
}

// ChecksFencingTokens reports whether the backend servers of a service reject
// stale fencing tokens. Without a capability row it returns false, which is
// the safe assumption.
func (v *View) ChecksFencingTokens(service string) bool {
	e, ok := v.entries[Key{KindCapability, service}]
	return ok && e.Row.Capability.ChecksFencingTokens
}

// Evacuated reports whether the entries send no new calls to the sidecars of a
// failure domain.
func (v *View) Evacuated(failureDomain string) bool {
	_, found := slices.BinarySearch(v.evacuated, failureDomain)
	return found
}

// EvacuatedDomains returns the evacuated failure domains, ordered by name.
func (v *View) EvacuatedDomains() []string { return slices.Clone(v.evacuated) }
