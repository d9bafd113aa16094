// Package servers keeps an entry's backend servers: their membership view, the
// routing policy of each service, and the probes that both ask for.
//
// Servers is safe for concurrent use: one mutex guards the view, the policies
// and the random source. It is held for one decision at a time and never
// during I/O.
package servers

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// unavailableHold is the time for which a server is avoided after its sidecar
// refused a call because the backend server can't be reached. The sidecar still
// answers probes, so membership alone would send it work again at once.
const unavailableHold = time.Second

// Config sets up Servers.
type Config struct {
	// Policy is a name from Policies; an empty name means DefaultPolicy.
	Policy string
	// FailureDomain is that of the entry.
	FailureDomain string
	Membership    membership.Config
	Rand          *rand.Rand
	Now           func() time.Time
	// List returns the last instance list, or nil before the first one. A new
	// list has a new address.
	InstanceList func() *[]infra.Instance
}

// Servers picks the backend server of each attempt.
type Servers struct {
	config Config

	mu       sync.Mutex
	view     *membership.View
	list     *[]infra.Instance // the list that was applied last
	services map[string]*service
	held     map[string]time.Time // instance id -> avoided before
	outliers *membership.OutlierDetector
}

// service is the routing state of one service.
type service struct {
	policy     routing.Policy
	generation uint64 // of the view that known was made from
	known      map[string]bool
}

// Request is what routing needs to know about a request.
type Request struct {
	Service string
	// Key is the idempotency key of a booking, empty otherwise.
	IdempotencyKey string
	// Prefix is the hash of the prompt prefix, 0 without one.
	Prefix uint64
	// Copy is the id of the server that runs a copy of this request, empty
	// without one. It is chosen if possible.
	DuplicateServer string
	// Suspect is the hash of a request that may have crashed a server, empty
	// otherwise. All entries choose the same server for it, which then refuses
	// it when it has crashed that one too.
	SuspectHash string
	// Tried holds the ids of servers that failed this request.
	Tried []string
}

// New returns an empty set.
func New(config Config) *Servers {
	return &Servers{
		config:   config,
		view:     membership.New(config.Membership),
		services: make(map[string]*service),
		held:     make(map[string]time.Time),
		outliers: membership.NewOutlierDetector(membership.DefaultOutlierConfig()),
	}
}

// Ready reports whether an instance list was read.
func (s *Servers) Ready() bool { return s.config.InstanceList() != nil }

// Usable returns the number of servers of a service that get new work.
func (s *Servers) UsableCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	return len(s.view.Candidates(name))
}

// Available reports whether a server is left that r was not tried on.
func (s *Servers) HasCandidate(r Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	return len(s.candidates(r)) > 0
}

// Pick returns the server for one attempt and counts the attempt as sent. The
// caller calls Finished when the attempt has ended.
func (s *Servers) Pick(r Request) (infra.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	found := s.candidates(r)
	if len(found) == 0 {
		return infra.Instance{}, errkind.New(errkind.NoBackendServer, "no backend server of %s is available", r.Service)
	}
	now := s.config.Now()
	chosen := found[s.choose(now, r, found)].Instance
	s.service(r.Service).policy.Observe(now, routing.Event{Kind: routing.Sent, Server: chosen.ID})
	s.view.RecordSent(now, chosen.ID)
	return chosen, nil
}

// choose returns the index of the chosen candidate. Bookings follow the
// rendezvous order of their key, so that a key that is sent again meets the
// sidecar that knows its outcome, unless that one has gone.
func (s *Servers) choose(now time.Time, r Request, found []membership.Server) int {
	candidates := routingCandidates(found)
	if r.IdempotencyKey != "" {
		return routing.PreferredOrder(r.IdempotencyKey, candidates)[0]
	}
	isCopy := func(c routing.Candidate) bool { return c.ID == r.DuplicateServer }
	if at := slices.IndexFunc(candidates, isCopy); at >= 0 {
		return at
	}
	if r.SuspectHash != "" {
		return routing.PreferredOrder(r.SuspectHash, candidates)[0]
	}
	picked := s.service(r.Service).policy.Pick(s.routingRequest(now, r, candidates))
	return max(picked, 0)
}

func (s *Servers) routingRequest(now time.Time, r Request, candidates []routing.Candidate) routing.Request {
	return routing.Request{Now: now, Rand: s.config.Rand, Prefix: r.Prefix, Candidates: candidates}
}

// candidates returns the best servers that were not tried: usable ones, then
// suspect ones, then those that are avoided for a while. Servers that fail the
// requests they get are left out as long as enough others remain.
func (s *Servers) candidates(r Request) []membership.Server {
	tried := func(m membership.Server) bool { return slices.Contains(r.Tried, m.ID) }
	found := slices.DeleteFunc(s.view.Candidates(r.Service), tried)
	if len(found) == 0 && len(r.Tried) > 0 {
		found = slices.DeleteFunc(s.view.Servers(), func(m membership.Server) bool {
			return m.Service != r.Service || m.State != membership.Suspect || tried(m)
		})
	}
	free := slices.DeleteFunc(slices.Clone(found), s.isHeld)
	if len(free) == 0 {
		free = found
	}
	return s.outliers.Filter(s.config.Now(), free)
}

func (s *Servers) isHeld(m membership.Server) bool {
	until, ok := s.held[m.ID]
	return ok && s.config.Now().Before(until)
}

func routingCandidates(found []membership.Server) []routing.Candidate {
	candidates := make([]routing.Candidate, len(found))
	for i, m := range found {
		candidates[i] = routing.Candidate{ID: m.ID, FailureDomain: m.FailureDomain}
	}
	return candidates
}

// Finished ends an attempt that Pick counted.
func (s *Servers) EndAttempt(server infra.Instance) {
	s.observe(server, routing.Event{Kind: routing.Finished, Server: server.ID})
}

// Answered takes the load that came with a chunk or an answer to a probe. sent
// is when the call was sent; for a heartbeat, when it arrived.
func (s *Servers) RecordResponse(server infra.Instance, sent time.Time, load *pb.Load, kind routing.EventKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	s.view.ApplySuccess(now, membership.Success{
		ID: server.ID, Incarnation: load.GetIncarnation(), SentAt: sent, Leaving: load.GetLeaving(),
	})
	s.service(server.Service).policy.Observe(now, routing.Event{Kind: kind, Server: server.ID, Load: routing.Load{
		InFlight: int(load.GetInFlight()),
		Queued:   int(load.GetQueued()),
		Latency:  time.Duration(load.GetLatencyUs()) * time.Microsecond,
	}})
}

// Failed takes a broken connection, or with timeout an answer that did not
// come in time.
func (s *Servers) RecordConnectionFailure(server infra.Instance, sent time.Time, timeout bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ApplyFailure(s.config.Now(), membership.Failure{ID: server.ID, SentAt: sent, Timeout: timeout})
}

// Unavailable notes that a sidecar can't reach its backend server.
func (s *Servers) MarkBackendUnavailable(server infra.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[server.ID] = s.config.Now().Add(unavailableHold)
}

// Succeeded notes that the server gave a whole answer to a request.
func (s *Servers) RecordRequestSuccess(server infra.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.RecordSuccess(server.ID)
}

// FailedRequest notes the error with which an attempt ended at the server.
func (s *Servers) RecordRequestFailure(server infra.Instance, kind errkind.Kind) {
	if !isFaultOfServer(kind) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.RecordFailure(s.config.Now(), server.ID)
}

// isFaultOfServer lists the kinds that say something about the server. Others
// are about the request, its caller, the log, or a server that is busy or
// leaving.
func isFaultOfServer(kind errkind.Kind) bool {
	switch kind {
	case errkind.BackendFailed, errkind.BackendUnavailable, errkind.StreamIncomplete:
		return true
	default:
		return false
	}
}

func (s *Servers) observe(server infra.Instance, e routing.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(server.Service).policy.Observe(s.config.Now(), e)
}

// applyList takes a new instance list. The caller holds mu.
func (s *Servers) applyList() {
	list := s.config.InstanceList()
	if list == nil || list == s.list {
		return
	}
	s.list = list
	s.view.ApplyList(s.config.Now(), *list)
	s.forgetRemoved()
}

// forgetRemoved drops what is kept about servers that the view no longer has.
// The caller holds mu.
func (s *Servers) forgetRemoved() {
	for id := range s.held {
		if _, ok := s.view.Get(id); !ok {
			delete(s.held, id)
		}
	}
	s.outliers.Retain(func(id string) bool {
		_, ok := s.view.Get(id)
		return ok
	})
}

// service returns the routing state of a service and drops what it knows about
// servers that are gone. The caller holds mu.
func (s *Servers) service(name string) *service {
	found, ok := s.services[name]
	if !ok {
		found = &service{policy: newPolicy(s.config.Policy, s.config.FailureDomain)}
		s.services[name] = found
	}
	if found.known == nil || found.generation != s.view.Generation() {
		s.dropRemoved(name, found)
	}
	return found
}

func (s *Servers) dropRemoved(name string, of *service) {
	known := make(map[string]bool)
	for _, m := range s.view.Servers() {
		if m.Service == name && (m.State == membership.Usable || m.State == membership.Suspect) {
			known[m.ID] = true
		}
	}
	for id := range of.known {
		if !known[id] {
			of.policy.Observe(s.config.Now(), routing.Event{Kind: routing.Removed, Server: id})
		}
	}
	of.known = known
	of.generation = s.view.Generation()
}
