package check

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// compare adds the differences to the version that the document replaces.
func (f *configFindings) compare() {
	f.compareRoutes()
	f.compareServices()
	f.compareOrganisations()
	compareProperties(f, limitsRef(fleet.FieldNone), "limits of callers", limitProperties, f.Against.Config.Limits, f.config().Limits)
}

// property is what operators may change of an entry.
type property[T any] struct {
	field fleet.Field
	name  string
	text  func(T) string
}

// compareProperties adds a finding for each property in which an entry differs.
func compareProperties[T any](f *configFindings, ref fleet.Ref, owner string, properties []property[T], before, after T) {
	for _, p := range properties {
		if old, now := p.text(before), p.text(after); old != now {
			ref.Field = p.field
			f.add(Changed, ref, "%s: %s is %s instead of %s", owner, p.name, now, old)
		}
	}
}

// identity identifies an entry of a list: by its name, and by which of the entries with that
// name it is.
type identity struct {
	name string
	nth  int
}

func identities(names []string) []identity {
	seen := make(map[string]int)
	list := make([]identity, 0, len(names))
	for _, name := range names {
		list = append(list, identity{name, seen[name]})
		seen[name]++
	}
	return list
}

// matches calls added with the index of each new entry, kept with the indices of each entry
// that both lists have, and removed with the index of each former entry that is gone.
func matches(before, after []string, added func(int), kept func(before, after int), removed func(int)) {
	old := make(map[identity]int)
	for i, id := range identities(before) {
		old[id] = i
	}
	for i, id := range identities(after) {
		if n, ok := old[id]; ok {
			kept(n, i)
			delete(old, id)
			continue
		}
		added(i)
	}
	for i, id := range identities(before) {
		if _, gone := old[id]; gone {
			removed(i)
		}
	}
}

func (f *configFindings) compareRoutes() {
	before, after := f.Against.Config.Routes, f.config().Routes
	matches(routeNames(before), routeNames(after),
		func(i int) {
			r := &after[i]
			f.add(Added, routeRef(i, fleet.FieldNone), "%s is new: %s %s goes to service %s", routeName(r), word(r.Host), word(r.PathPrefix), targetsText(*r))
		},
		func(n, i int) { f.compareRoute(&before[n], &after[i], i) },
		func(n int) {
			f.add(Removed, fleet.Ref{Entry: fleet.EntryRoutes}, "%s is removed", routeName(&before[n]))
		})
}

func (f *configFindings) compareRoute(before, after *fleet.Route, i int) {
	if old, now := targetsText(*before), targetsText(*after); old != now {
		f.add(Changed, routeRef(i, fleet.FieldTargets), "%s goes to service %s instead of %s", routeName(after), now, old)
	}
	compareProperties(f, routeRef(i, fleet.FieldNone), routeName(after), routeProperties, *before, *after)
}

func routeNames(routes []fleet.Route) []string {
	names := make([]string, 0, len(routes))
	for i := range routes {
		names = append(names, routeName(&routes[i]))
	}
	return names
}

var routeProperties = []property[fleet.Route]{
	{fleet.FieldHost, "the host", func(r fleet.Route) string { return word(strings.ToLower(r.Host)) }},
	{fleet.FieldPathPrefix, "the path prefix", func(r fleet.Route) string { return word(r.PathPrefix) }},
	{fleet.FieldKind, "the kind", func(r fleet.Route) string { return r.Kind.String() }},
	{fleet.FieldTimeout, "the timeout", func(r fleet.Route) string { return durationText(r.Timeout) }},
	{fleet.FieldLatencyObjective, "the objective", func(r fleet.Route) string { return durationText(r.LatencyObjective) }},
	{fleet.FieldEventGapObjective, "the event gap objective", func(r fleet.Route) string { return durationText(r.EventGapObjective) }},
	{fleet.FieldPriority, "the priority", func(r fleet.Route) string { return strconv.Itoa(r.Priority) }},
	{fleet.FieldMaxAttempts, "the number of attempts", func(r fleet.Route) string { return strconv.Itoa(r.MaxAttempts) }},
	{fleet.FieldPublic, "public", func(r fleet.Route) string { return yesNo(r.Public) }},
	{fleet.FieldResumable, "resumable", func(r fleet.Route) string { return yesNo(r.Resumable) }},
	{fleet.FieldRegions, "the list of allowed regions", func(r fleet.Route) string { return regionsText(r.Regions) }},
}

// targetsText returns where the requests of a route go.
func targetsText(r fleet.Route) string {
	if len(r.Targets) == 1 {
		return word(r.Targets[0].Service)
	}
	list := make([]string, 0, len(r.Targets))
	for _, t := range r.Targets {
		list = append(list, fmt.Sprintf("%s (weight %d)", word(t.Service), t.Weight))
	}
	return enumerate(list)
}

func (f *configFindings) compareServices() {
	before, after := distinct(f.Against.ServiceNames), distinct(f.Document.ServiceNames)
	place := func(name string) fleet.Ref { return serviceRef(f.lastService[name], fleet.FieldNone) }
	matches(before, after,
		func(i int) { f.add(Added, place(after[i]), "service %s is new", word(after[i])) },
		func(_, i int) {
			name := after[i]
			old, now := f.Against.Config.Services[name], f.config().Services[name]
			compareProperties(f, place(name), "service "+word(name), serviceProperties, old, now)
			f.compareEngine(place(name), "service "+word(name), old.Engine, now.Engine)
		},
		func(n int) {
			f.add(Removed, fleet.Ref{Entry: fleet.EntryServices}, "service %s is removed", word(before[n]))
		})
}

// distinct returns the names without repetitions, in the order of their first occurrence.
func distinct(names []string) []string {
	seen := make(map[string]bool)
	var list []string
	for _, name := range names {
		if !seen[name] {
			list = append(list, name)
		}
		seen[name] = true
	}
	return list
}

var serviceProperties = []property[fleet.Service]{
	{fleet.FieldHealthPath, "the path of the health check", func(s fleet.Service) string { return word(s.HealthPath) }},
	{fleet.FieldMaxConnections, "the number of connections to a server", func(s fleet.Service) string { return strconv.Itoa(s.MaxConnections) }},
	{fleet.FieldColdDuration, "the time for which a server is cold", func(s fleet.Service) string { return durationText(s.Cold.Duration) }},
	{fleet.FieldColdRate, "the rate of a cold server", func(s fleet.Service) string { return rateText(s.Cold.RequestsPerSecond) }},
}

func (f *configFindings) compareEngine(ref fleet.Ref, owner string, before, after *fleet.Engine) {
	ref.Field = fleet.FieldEngine
	switch {
	case before == nil && after == nil:
	case before == nil:
		f.add(Changed, ref, "%s has model engines now", owner)
	case after == nil:
		f.add(Changed, ref, "%s has no model engines any more", owner)
	default:
		compareProperties(f, ref, owner, engineProperties, *before, *after)
		f.compareExperts(ref, owner, before.Experts, after.Experts)
	}
}

var engineProperties = []property[fleet.Engine]{
	{fleet.FieldEngine, "the number of requests in a batch", func(e fleet.Engine) string { return strconv.Itoa(e.Slots) }},
	{fleet.FieldEngine, "the number of steps in a pass", func(e fleet.Engine) string { return strconv.Itoa(e.StepsPerPass) }},
	{fleet.FieldStepTime, "the time of a step", func(e fleet.Engine) string { return e.StepTime.String() }},
	{fleet.FieldEngine, "the time of a step for each request", func(e fleet.Engine) string { return e.StepTimePerRequest.String() }},
	{fleet.FieldEngine, "the time of a step for 1,000 tokens of context", func(e fleet.Engine) string { return e.StepTimePer1KContext.String() }},
	{fleet.FieldEngine, "the number of prompt tokens read in a second", func(e fleet.Engine) string { return number(e.PrefillTokensPerSecond) }},
	{fleet.FieldEngine, "the number of prompt tokens read in a step", func(e fleet.Engine) string { return strconv.Itoa(e.PrefillChunk) }},
	{fleet.FieldEngine, "the mean number of tokens of a prompt", func(e fleet.Engine) string { return strconv.Itoa(e.MeanPromptTokens) }},
	{fleet.FieldEngine, "the mean number of tokens of a response", func(e fleet.Engine) string { return strconv.Itoa(e.MeanOutputTokens) }},
	{fleet.FieldEngine, "the memory of an engine in tokens", func(e fleet.Engine) string { return strconv.Itoa(e.MemoryTokens) }},
}

func (f *configFindings) compareExperts(ref fleet.Ref, owner string, before, after *fleet.Experts) {
	switch {
	case before == nil && after == nil:
	case before == nil:
		f.add(Changed, ref, "%s has expert maps now", owner)
	case after == nil:
		f.add(Changed, ref, "%s has no expert maps any more", owner)
	default:
		compareProperties(f, ref, owner, expertProperties, *before, *after)
	}
}

var expertProperties = []property[fleet.Experts]{
	{fleet.FieldEngine, "the number of sets of layers", func(e fleet.Experts) string { return strconv.Itoa(e.LayerSets) }},
	{fleet.FieldEngine, "the number of experts in a layer", func(e fleet.Experts) string { return strconv.Itoa(e.ExpertsPerLayer) }},
	{fleet.FieldEngine, "the number of experts on a rank", func(e fleet.Experts) string { return strconv.Itoa(e.SlotsPerRank) }},
	{fleet.FieldEngine, "the number of new experts on a rank", func(e fleet.Experts) string { return strconv.Itoa(e.MaxNewPerLayer) }},
	{fleet.FieldEngine, "the size of an expert in MB", func(e fleet.Experts) string { return number(e.ExpertMegabytes) }},
	{fleet.FieldEngine, "the rate of a rank's link in Mbit/s", func(e fleet.Experts) string { return number(e.LinkMbps) }},
	{fleet.FieldEngine, "the share of the work in experts", func(e fleet.Experts) string { return number(e.WorkShare) }},
	{fleet.FieldEngine, "the time until a broken group serves again", func(e fleet.Experts) string { return durationText(e.FormationTime) }},
}

func (f *configFindings) compareOrganisations() {
	before, after := f.Against.Config.Organisations, f.config().Organisations
	list := fleet.Ref{Entry: fleet.EntryOrganisations}
	if (before == nil) != (after == nil) {
		needed := "need a key now"
		if after == nil {
			needed = "need no key any more"
		}
		f.add(Changed, list, "requests of routes that aren't public %s", needed)
	}
	matches(organisationNames(before), organisationNames(after),
		func(i int) {
			f.add(Added, organisationRef(i, fleet.FieldNone), "organisation %s is new, with %s", word(after[i].Name), plural(len(after[i].Keys), "key"))
		},
		func(n, i int) { f.compareOrganisation(before[n], after[i], i) },
		func(n int) {
			f.add(Removed, list, "organisation %s is removed, with %s", word(before[n].Name), plural(len(before[n].Keys), "key"))
		})
}

func (f *configFindings) compareOrganisation(before, after fleet.Organisation, i int) {
	owner := "organisation " + word(after.Name)
	added, removed := without(after.Keys, before.Keys), without(before.Keys, after.Keys)
	if added+removed > 0 {
		f.add(Changed, organisationRef(i, fleet.FieldKeys), "%s: %s added and %d removed, which makes %s",
			owner, plural(added, "key"), removed, plural(len(after.Keys), "key"))
	}
	compareProperties(f, organisationRef(i, fleet.FieldNone), owner, organisationProperties, before, after)
}

// without returns how many of the keys aren't among others.
func without(keys, others []string) int {
	known := make(map[string]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	return len(slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return known[key] }))
}

func organisationNames(list []fleet.Organisation) []string {
	names := make([]string, 0, len(list))
	for _, o := range list {
		names = append(names, o.Name)
	}
	return names
}

var organisationProperties = []property[fleet.Organisation]{
	{fleet.FieldPriority, "the priority", priorityText},
	{fleet.FieldRegions, "the list of allowed regions", func(o fleet.Organisation) string { return regionsText(o.Regions) }},
}

func priorityText(o fleet.Organisation) string {
	if !o.HasPriority {
		return "that of the route"
	}
	return strconv.Itoa(o.Priority)
}

var limitProperties = []property[fleet.Limits]{
	{fleet.FieldMaxHeaderBytes, "the limit for headers in bytes", func(l fleet.Limits) string { return limitText(l.MaxHeaderBytes) }},
	{fleet.FieldMaxBodyBytes, "the limit for bodies in bytes", func(l fleet.Limits) string { return limitText(l.MaxBodyBytes) }},
	{fleet.FieldHeaderTimeout, "the header timeout", func(l fleet.Limits) string { return durationText(l.HeaderTimeout) }},
	{fleet.FieldIdleTimeout, "the idle timeout", func(l fleet.Limits) string { return durationText(l.IdleTimeout) }},
}

// notStated stands for a value that the processes replace by their default.
const notStated = "not stated"

func durationText(d time.Duration) string {
	if d <= 0 {
		return notStated
	}
	return d.String()
}

func limitText(n int) string {
	if n <= 0 {
		return notStated
	}
	return strconv.Itoa(n)
}

func rateText(perSecond float64) string {
	if perSecond <= 0 {
		return "that of a warm one"
	}
	return number(perSecond) + " requests a second"
}

func regionsText(regions []string) string {
	if regions == nil {
		return "all"
	}
	list := make([]string, 0, len(regions))
	for _, r := range regions {
		list = append(list, word(r))
	}
	return enumerate(list)
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
