package fleet

import "slices"

// Regions maps the failure domains of a deployment to their regions.
type Regions map[string]string

// Of returns the region of a failure domain, or an empty string if it isn't known.
func (r Regions) Of(domain string) string { return r[domain] }

// Has reports whether a failure domain belongs to the deployment.
func (r Regions) Has(domain string) bool {
	_, ok := r[domain]
	return ok
}

// AllowedRegions returns the regions in which a request may run that is bound by both
// lists. nil means all regions; an empty list that isn't nil means none.
func AllowedRegions(route, organisation []string) []string {
	if route == nil {
		return organisation
	}
	if organisation == nil {
		return route
	}
	both := make([]string, 0, len(route))
	for _, region := range route {
		if slices.Contains(organisation, region) {
			both = append(both, region)
		}
	}
	return both
}

// HasRegion reports whether a failure domain of the deployment is in a region.
func (r Regions) HasRegion(region string) bool {
	for _, of := range r {
		if of == region && region != "" {
			return true
		}
	}
	return false
}
