package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// Urgency orders the requests of a service: by the priority of their organisation, and
// among those of equal organisations by that of their route. In both, 0 is the most urgent
// one. An organisation without a priority counts as one with that of the route.
type Urgency struct {
	Organisation int
	Route        int
}

// UrgencyOf returns the urgency of the requests of an organisation on a route.
// organisation is nil for routes without keys.
func UrgencyOf(route *Route, organisation *Organisation) Urgency {
	u := Urgency{Organisation: route.Priority, Route: route.Priority}
	if organisation != nil && organisation.HasPriority {
		u.Organisation = organisation.Priority
	}
	return u
}

// Compare returns a negative number if u is more urgent than v, and 0 if they are equal.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Organisation, v.Organisation), cmp.Compare(u.Route, v.Route))
}

// String returns the name of the class in queues, logs and metrics.
func (u Urgency) String() string { return fmt.Sprintf("p%d.%d", u.Organisation, u.Route) }

// Urgencies returns the urgencies that the requests of each service may have, the most
// urgent one first.
func (c *Config) Urgencies() map[string][]Urgency {
	organisations := make(map[int]*Organisation)
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.HasPriority {
			organisations[o.Priority] = o
		}
	}
	byService := make(map[string][]Urgency)
	for i := range c.Routes {
		route := &c.Routes[i]
		list := []Urgency{UrgencyOf(route, nil)}
		for _, o := range organisations {
			list = append(list, UrgencyOf(route, o))
		}
		for _, t := range route.Targets {
			byService[t.Service] = append(byService[t.Service], list...)
		}
	}
	for name, list := range byService {
		slices.SortFunc(list, Urgency.Compare)
		byService[name] = slices.Compact(list)
	}
	return byService
}
