package placement

import "slices"

// Constraint limits the servers that may run a request.
type Constraint struct {
	// Exclude lists the servers on which the request was already tried.
	Exclude []string
	// Regions lists the regions in which the request may run; nil means all. A server
	// whose region isn't known is in none of them.
	Regions []string
	// Tokens is the memory that the request may need at its server, for its prompt and the
	// longest response.
	Tokens int
}

// allows reports whether a server may run the request.
func (c Constraint) allows(s *server) bool {
	if slices.Contains(c.Exclude, s.ID) {
		return false
	}
	return c.Regions == nil || s.Region != "" && slices.Contains(c.Regions, s.Region)
}

// withoutExclusions returns the constraint of a request that may be tried on a server again.
func (c Constraint) withoutExclusions() Constraint {
	c.Exclude = nil
	return c
}
