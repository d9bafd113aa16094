// Package servers manages the backend servers of an entry: their membership view,
// the routing policy of each service, and the probes that both need.
//
// Servers is safe for concurrent use: one mutex guards the view, the policies and
// the random number generator. It is held for one decision at a time and never
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
	"github.com/filbertmux/filbertmux/config/table"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// backendUnavailableTimeout is the time for which a server is avoided after its
// sidecar refused a call because the backend server is unreachable. The sidecar
// still responds to probes, so without this timeout it would get requests again at
// once.
const backendUnavailableTimeout = time.Second

// Config configures Servers.
type Config struct {
	// Policy is the name of the routing policy, as in the setting routing-policy. An
	// empty name means DefaultPolicy.
	Policy string
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	Membership    membership.Config
	Rand          *rand.Rand
	Now           func() time.Time
	// View returns the table in force.
	View func() *table.View
	// InstanceList returns the last instance list, or nil if none was read yet. A
	// new list has a new address.
	InstanceList func() *[]infra.Instance
}

// Servers picks the backend server of each attempt.
type Servers struct {
	config Config

	mu           sync.Mutex
	view         *membership.View
	list         *[]infra.Instance // the last list that was applied
	services     map[string]*serviceState
	avoidedUntil map[string]time.Time // by instance id
	outliers     *membership.OutlierDetector
}

// serviceState is the routing state of one service.
type serviceState struct {
	policy     routing.Policy
	generation uint64          // of the membership view that known was taken from
	known      map[string]bool // instance ids of the service that are not removed
}

// Request contains the parameters of a request for routing.
type Request struct {
	Service string
	// IdempotencyKey is the key of a non-idempotent request, empty otherwise.
	IdempotencyKey string
	// Prefix is the hash of the prompt prefix, 0 if there is none.
	Prefix uint64
	// DuplicateServer is the instance id of a server that runs a duplicate of this
	// request, or empty. It is picked if it is a candidate.
	DuplicateServer string
	// SuspectHash is the hash of a request that may have crashed a server, empty
	// otherwise. All entries pick the same server for it, so that it does not crash
	// one server for each entry. If it crashes that server too, the server's sidecar
	// refuses it afterwards.
	SuspectHash string
	// Tried contains the instance ids of the servers that failed this request.
	Tried []string
}

// New returns Servers without any server.
func New(config Config) *Servers {
	return &Servers{
		config:       config,
		view:         membership.New(config.Membership),
		services:     make(map[string]*serviceState),
		avoidedUntil: make(map[string]time.Time),
		outliers:     membership.NewOutlierDetector(membership.DefaultOutlierConfig()),
	}
}

// Ready reports whether an instance list was read.
func (s *Servers) Ready() bool { return s.config.InstanceList() != nil }

// UsableCount returns the number of servers of a service that get new requests.
func (s *Servers) UsableCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	return len(s.view.CandidatesExcept(name, s.isEvacuated))
}

// HasCandidate reports whether there is a server on which r was not tried.
func (s *Servers) HasCandidate(r Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	return len(s.candidates(r)) > 0
}

// Pick picks the server for an attempt and counts the attempt as sent. The caller
// calls EndAttempt when the attempt has ended.
func (s *Servers) Pick(r Request) (infra.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	candidates := s.candidates(r)
	if len(candidates) == 0 {
		return infra.Instance{}, s.noServerError(r.Service)
	}
	now := s.config.Now()
	chosen := candidates[s.choose(now, r, candidates)].Instance
	s.serviceState(r.Service).policy.Observe(now, routing.Event{Kind: routing.Sent, Server: chosen.ID})
	s.view.RecordSent(now, chosen.ID)
	return chosen, nil
}

// choose returns the index of the picked candidate. Non-idempotent requests follow
// the rendezvous hash of their key, so that a request that the caller sends again
// goes to the sidecar that has the outcome of its key, as long as that sidecar is a
// candidate.
func (s *Servers) choose(now time.Time, r Request, servers []membership.Server) int {
	candidates := routingCandidates(servers)
	if r.IdempotencyKey != "" {
		return routing.PreferredOrder(r.IdempotencyKey, candidates)[0]
	}
	isDuplicate := func(c routing.Candidate) bool { return c.ID == r.DuplicateServer }
	if i := slices.IndexFunc(candidates, isDuplicate); i >= 0 {
		return i
	}
	if r.SuspectHash != "" {
		return routing.PreferredOrder(r.SuspectHash, candidates)[0]
	}
	picked := s.serviceState(r.Service).policy.Pick(s.routingRequest(now, r, candidates))
	return max(picked, 0)
}

func (s *Servers) routingRequest(now time.Time, r Request, candidates []routing.Candidate) routing.Request {
	return routing.Request{Now: now, Rand: s.config.Rand, Prefix: r.Prefix, Candidates: candidates}
}

// candidates returns the servers from which an attempt may pick, without those that
// were tried or whose failure domain is evacuated: the usable ones, or the suspect
// ones if no usable one is left. Servers whose backend server is unavailable are
// omitted unless no other is left. Outliers are omitted as long as enough other
// servers remain.
func (s *Servers) candidates(r Request) []membership.Server {
	servers := s.view.CandidatesExcept(r.Service, func(server membership.Server) bool {
		return slices.Contains(r.Tried, server.ID) || s.isEvacuated(server)
	})
	available := slices.DeleteFunc(slices.Clone(servers), s.isAvoided)
	if len(available) == 0 {
		available = servers
	}
	return s.outliers.Filter(s.config.Now(), available)
}

func (s *Servers) isAvoided(server membership.Server) bool {
	until, ok := s.avoidedUntil[server.ID]
	return ok && s.config.Now().Before(until)
}

func routingCandidates(servers []membership.Server) []routing.Candidate {
	candidates := make([]routing.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = routing.Candidate{ID: server.ID, FailureDomain: server.FailureDomain}
	}
	return candidates
}

// EndAttempt records the end of an attempt that Pick counted as sent.
func (s *Servers) EndAttempt(server infra.Instance) {
	s.observe(server, routing.Event{Kind: routing.Finished, Server: server.ID})
}

// RecordResponse records the load from a chunk or a probe response. sent is the time
// at which the call was sent; for a heartbeat, the time of its arrival.
func (s *Servers) RecordResponse(server infra.Instance, sent time.Time, load *pb.Load, kind routing.EventKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	s.view.ApplySuccess(now, membership.Success{
		ID: server.ID, Incarnation: load.GetIncarnation(), SentAt: sent, Leaving: load.GetLeaving(),
	})
	if s.config.View().Evacuated(server.FailureDomain) {
		// The policies compare loads with their mean over all servers. Evacuated
		// servers would lower it, because their load falls to zero.
		return
	}
	s.serviceState(server.Service).policy.Observe(now, routing.Event{Kind: kind, Server: server.ID, Load: routing.Load{
		InFlight: int(load.GetInFlight()),
		Queued:   int(load.GetQueued()),
		Latency:  time.Duration(load.GetLatencyUs()) * time.Microsecond,
	}})
}

// RecordConnectionFailure records a lost connection or, if timeout is set, a missing
// response.
func (s *Servers) RecordConnectionFailure(server infra.Instance, sent time.Time, timeout bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ApplyFailure(s.config.Now(), membership.Failure{ID: server.ID, SentAt: sent, Timeout: timeout})
}

// MarkBackendUnavailable records that a sidecar can't reach its backend server.
func (s *Servers) MarkBackendUnavailable(server infra.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidedUntil[server.ID] = s.config.Now().Add(backendUnavailableTimeout)
}

// RecordRequestSuccess records a complete response of the server.
func (s *Servers) RecordRequestSuccess(server infra.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.RecordSuccess(server.ID)
}

// RecordRequestFailure records the error with which an attempt at the server ended.
func (s *Servers) RecordRequestFailure(server infra.Instance, kind errkind.Kind) {
	if !isServerFault(kind) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.RecordFailure(s.config.Now(), server.ID)
}

// isServerFault reports whether an error is a fault of the server. Other errors are
// caused by the request, its caller or the log, or come from a server that is busy
// or draining.
func isServerFault(kind errkind.Kind) bool {
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
	s.serviceState(server.Service).policy.Observe(s.config.Now(), e)
}

// applyList applies a new instance list. The caller holds mu.
func (s *Servers) applyList() {
	list := s.config.InstanceList()
	if list == nil || list == s.list {
		return
	}
	s.list = list
	s.view.ApplyList(s.config.Now(), *list)
	s.deleteRemoved()
}

// deleteRemoved deletes the state of servers that are no longer in the view. The
// caller holds mu.
func (s *Servers) deleteRemoved() {
	for id := range s.avoidedUntil {
		if _, ok := s.view.Get(id); !ok {
			delete(s.avoidedUntil, id)
		}
	}
	s.outliers.Retain(func(id string) bool {
		_, ok := s.view.Get(id)
		return ok
	})
}

// serviceState returns the routing state of a service, after reporting removed
// servers to its policy. The caller holds mu.
func (s *Servers) serviceState(name string) *serviceState {
	state, ok := s.services[name]
	if !ok {
		state = &serviceState{policy: newPolicy(s.config.Policy, s.config.FailureDomain)}
		s.services[name] = state
	}
	if state.known == nil || state.generation != s.view.Generation() {
		s.updateKnown(name, state)
	}
	return state
}

func (s *Servers) updateKnown(name string, state *serviceState) {
	known := make(map[string]bool)
	for _, server := range s.view.Servers() {
		if server.Service == name && (server.State == membership.Usable || server.State == membership.Suspect) {
			known[server.ID] = true
		}
	}
	for id := range state.known {
		if !known[id] {
			state.policy.Observe(s.config.Now(), routing.Event{Kind: routing.Removed, Server: id})
		}
	}
	state.known = known
	state.generation = s.view.Generation()
}
