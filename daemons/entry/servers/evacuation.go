package servers

import (
	"slices"
	"strings"
	"time"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// evacuationRetryAfter is the Retry-After value of requests that are refused because of
// an evacuation. It lasts until an operator takes it back, and that change of the table
// is in force at all entries within 7 s.
const evacuationRetryAfter = 7 * time.Second

// isEvacuated reports whether the server gets no new requests because its failure
// domain is evacuated by the table in force. The server goes on with the requests that
// it has.
func (s *Servers) isEvacuated(server membership.Server) bool {
	return s.config.View().Evacuated(server.FailureDomain)
}

// CheckSend returns an error if a request that was picked for a server must not be sent
// to it any more, because its failure domain has been evacuated since. It takes no lock.
func (s *Servers) CheckSend(server infra.Instance) error {
	if !s.config.View().Evacuated(server.FailureDomain) {
		return nil
	}
	return errkind.New(errkind.Leaving, "the failure domain %s was evacuated before the request was sent to its server", server.FailureDomain).
		WithRetryAfter(evacuationRetryAfter)
}

// ShouldMove reports whether a request whose connection to a server is lost should go on
// at another server although its own one may be reachable: the failure domain of its own
// server is evacuated, and there is another server on which r was not tried.
func (s *Servers) ShouldMove(server infra.Instance, r Request) bool {
	return s.config.View().Evacuated(server.FailureDomain) && s.HasCandidate(r)
}

// RefusalByEvacuation returns the error with which all new requests of a service are
// refused because its servers are in evacuated failure domains, or nil if there are
// others.
func (s *Servers) RefusalByEvacuation(service string) error {
	if len(s.config.View().EvacuatedDomains()) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	if len(s.candidates(Request{Service: service})) > 0 || len(s.evacuatedDomains(service)) == 0 {
		return nil
	}
	return s.noServerError(service)
}

// noServerError returns the error for a request for which there is no server. The
// caller holds mu.
func (s *Servers) noServerError(service string) error {
	domains := s.evacuatedDomains(service)
	if len(domains) == 0 {
		return errkind.New(errkind.NoBackendServer, "no backend server of %s is available", service)
	}
	return errkind.New(errkind.NoBackendServer, "no backend server of %s is available outside the evacuated failure domains: %s",
		service, strings.Join(domains, ", ")).WithRetryAfter(evacuationRetryAfter)
}

// evacuatedDomains returns the evacuated failure domains with servers that a service
// would use otherwise, ordered by name. The caller holds mu.
func (s *Servers) evacuatedDomains(service string) []string {
	var domains []string
	for _, server := range s.view.Candidates(service) {
		if s.isEvacuated(server) {
			domains = append(domains, server.FailureDomain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// CountInDomain returns the number of known servers in a failure domain.
func (s *Servers) CountInDomain(failureDomain string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	count := 0
	for _, server := range s.view.Servers() {
		if server.FailureDomain == failureDomain {
			count++
		}
	}
	return count
}
