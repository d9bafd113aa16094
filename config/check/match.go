package check

import (
	"strings"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// checkRoutes reports routes that get no requests, or others than they seem to.
func (f *configFindings) checkRoutes() {
	routes := f.config().Routes
	if len(routes) == 0 {
		f.add(NoRoutes, fleet.Ref{Entry: fleet.EntryRoutes}, "there is no route, so each request gets 404")
	}
	selected := firstRoutes(routes)
	names := make(map[string]bool)
	for i := range routes {
		r := &routes[i]
		if r.Name != "" && names[r.Name] {
			f.add(DuplicateName, routeRef(i, fleet.FieldName), "another route is also called %s; log lines don't tell them apart", word(r.Name))
		}
		names[r.Name] = true
		if field, reason := unreachable(r); reason != "" {
			f.add(UnreachableRoute, routeRef(i, field), "%s gets no requests: %s", routeName(r), reason)
			continue
		}
		f.checkHidden(i, r, selected)
	}
}

// selector is what selects a route.
type selector struct{ host, prefix string }

func selectorOf(r *fleet.Route) selector { return selector{strings.ToLower(r.Host), r.PathPrefix} }

// firstRoutes returns the first route of each host and prefix, which hides the others.
func firstRoutes(routes []fleet.Route) map[selector]*fleet.Route {
	first := make(map[selector]*fleet.Route)
	for i := range routes {
		s := selectorOf(&routes[i])
		if _, ok := first[s]; !ok {
			first[s] = &routes[i]
		}
	}
	return first
}

// checkHidden reports a route that another one hides, and one that gets more requests than
// it seems to.
func (f *configFindings) checkHidden(i int, r *fleet.Route, selected map[selector]*fleet.Route) {
	ref := routeRef(i, fleet.FieldPathPrefix)
	s := selectorOf(r)
	root := selected[selector{s.host, "/"}]
	switch {
	case selected[s] != r:
		f.add(HiddenRoute, ref, "%s gets no requests: %s has the same host and prefix and comes before it", routeName(r), routeName(selected[s]))
	case s.prefix == "" && root != nil:
		f.add(HiddenRoute, ref, "%s gets no requests: %s has the longer prefix /, with which all paths begin", routeName(r), routeName(root))
	case !strings.HasSuffix(s.prefix, "/"):
		f.add(OpenPrefix, ref, "the prefix %s of %s doesn't end with a slash, so it also matches longer names", word(s.prefix), routeName(r))
	}
}

// unreachable returns why no request can match a route whatever the others are, and the
// field that causes it. The reason is empty if some can.
func unreachable(r *fleet.Route) (field fleet.Field, reason string) {
	switch {
	case r.Host == "":
		return fleet.FieldHost, "it has no host"
	case strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]"):
		return fleet.FieldHost, "the host of a request is compared without its port"
	case r.PathPrefix != "" && r.PathPrefix[0] != '/':
		return fleet.FieldPathPrefix, "paths begin with a slash"
	case strings.ContainsFunc(r.PathPrefix, notInPath):
		return fleet.FieldPathPrefix, "no path contains a space, a question mark or a control character"
	default:
		return fleet.FieldNone, ""
	}
}

func notInPath(c rune) bool { return c <= ' ' || c == '?' || c == '\x7f' }

// checkTargets reports targets that get no requests, or whose service isn't defined.
func (f *configFindings) checkTargets() {
	for i := range f.config().Routes {
		r := &f.config().Routes[i]
		total := 0
		for _, t := range r.Targets {
			total += t.Weight
		}
		if total == 0 && len(r.Targets) > 1 {
			f.add(TargetWithoutWeight, routeRef(i, fleet.FieldTargets),
				"no target of %s has a weight of 1 or more, so %s gets all requests", routeName(r), word(r.Targets[0].Service))
		}
		for n, t := range r.Targets {
			if t.Weight == 0 && total > 0 {
				f.add(TargetWithoutWeight, item(routeRef(i, fleet.FieldTargetWeight), n),
					"service %s gets no requests of %s: its weight is below 1", word(t.Service), routeName(r))
			}
			f.checkTargetService(i, n)
		}
	}
}

func (f *configFindings) checkTargetService(route, target int) {
	r := &f.config().Routes[route]
	name := r.Targets[target].Service
	ref := item(routeRef(route, fleet.FieldTargetService), target)
	if name == "" {
		f.add(UndefinedService, ref, "%s names no service", routeName(r))
		return
	}
	if _, ok := f.config().Services[name]; !ok {
		f.add(UndefinedService, ref, "%s goes to service %s, which isn't defined", routeName(r), word(name))
	}
}

// checkServices reports services that no route names, and definitions that a later one
// replaces.
func (f *configFindings) checkServices() {
	used := make(map[string]bool)
	for _, r := range f.config().Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i, name := range f.Document.ServiceNames {
		switch {
		case f.lastService[name] != i:
			f.add(DuplicateName, serviceRef(i, fleet.FieldName), "service %s is defined again below, and only the last definition counts", word(name))
		case !used[name]:
			f.add(UnusedService, serviceRef(i, fleet.FieldName), "no route goes to service %s", word(name))
		}
	}
}

// checkOrganisations reports organisations and keys that never match a request.
func (f *configFindings) checkOrganisations() {
	list := f.config().Organisations
	if list != nil && len(list) == 0 {
		f.add(NoOrganisations, fleet.Ref{Entry: fleet.EntryOrganisations}, "there is no organisation, so only public routes serve requests")
	}
	names := make(map[string]bool)
	for i, o := range list {
		if names[o.Name] {
			f.add(DuplicateName, organisationRef(i, fleet.FieldName), "another organisation is also called %s; they count as one", word(o.Name))
		}
		names[o.Name] = true
		if len(o.Keys) == 0 {
			f.add(OrganisationWithoutKeys, organisationRef(i, fleet.FieldKeys), "organisation %s has no key, so no request counts as its own", word(o.Name))
		}
	}
	f.checkKeys()
}

// checkKeys reports keys that admit nobody, or requests of others. Messages name a key by
// its number.
func (f *configFindings) checkKeys() {
	holders := make(map[string]int)
	for i, o := range f.config().Organisations {
		for _, key := range o.Keys {
			holders[key] = i // as in fleet.NewIndex
		}
	}
	for i, o := range f.config().Organisations {
		seen := make(map[string]bool, len(o.Keys))
		for n, key := range o.Keys {
			repeated := seen[key]
			seen[key] = true
			ref := item(organisationRef(i, fleet.FieldKey), n)
			holder := f.config().Organisations[holders[key]].Name
			switch {
			case holders[key] != i:
				f.add(DuplicateKey, ref, "organisation %[2]s also has key %[3]d of organisation %[1]s, so requests with it count as those of %[2]s",
					word(o.Name), word(holder), n+1)
			case repeated:
				f.add(DuplicateKey, ref, "organisation %s has its key %d twice", word(o.Name), n+1)
			case key == "":
				f.add(EmptyKey, ref, "key %d of organisation %s is empty, so requests without a key count as its own", n+1, word(o.Name))
			case strings.Trim(key, " \t") != key || strings.ContainsFunc(key, notInHeader):
				f.add(UnusableKey, ref, "no request can carry key %d of organisation %s: it has a control character, or a space at an end", n+1, word(o.Name))
			}
		}
	}
}

func notInHeader(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }

// checkRegions reports regions that don't exist, and organisations that a route can't serve
// because no region is allowed for both.
func (f *configFindings) checkRegions() {
	for i := range f.config().Routes {
		r := &f.config().Routes[i]
		f.checkRegionNames(routeRef(i, fleet.FieldRegion), routeName(r), r.Regions)
		if r.Public || r.Regions == nil {
			continue
		}
		var excluded []string
		for _, o := range f.config().Organisations {
			if allowed := fleet.AllowedRegions(r.Regions, o.Regions); len(allowed) == 0 {
				excluded = append(excluded, o.Name)
			}
		}
		if len(excluded) > 0 {
			f.add(DisjointRegions, routeRef(i, fleet.FieldRegions),
				"%s can't serve %s: no region is allowed for both", routeName(r), words(excluded))
		}
	}
	for i, o := range f.config().Organisations {
		f.checkRegionNames(organisationRef(i, fleet.FieldRegion), "organisation "+word(o.Name), o.Regions)
	}
}

func (f *configFindings) checkRegionNames(ref fleet.Ref, owner string, regions []string) {
	if f.Deployment == nil {
		return
	}
	for n, region := range regions {
		if !f.Deployment.Regions.HasRegion(region) {
			f.add(UnknownRegion, item(ref, n), "no failure domain is in region %s, which %s allows", word(region), owner)
		}
	}
}
