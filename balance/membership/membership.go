// Package membership keeps one entry's view of the backend servers. It is built
// from the instance list, direct signals (responses, heartbeats, connection
// failures) and probes.
//
// The package is deterministic: it takes the current time and has no
// goroutines and no I/O. A View isn't safe for concurrent use.
//
// The following bounds hold for new requests. tick is the longest time between
// two calls of DueProbes, and idle is the probe interval of idle servers,
// max(IdleProbeInterval, servers / IdleProbesPerSecond):
//
//   - A leaving server gets no new requests after the first response, heartbeat
//     or probe response that carries its leaving flag, at most idle + tick and
//     one round trip after it started to drain. It refuses calls in between as
//     not_run, and such a refusal carries the flag as well.
//   - A crashed server whose connections fail gets no new requests after the
//     first failed call or probe, at most idle + tick after the crash.
//   - A failed server that doesn't respond gets no new requests later than
//     ResponseTimeout + ProbeTimeout + 2*tick after the first unanswered call.
//     If it was not called, it gets none later than idle + ProbeTimeout + 2*tick
//     after the failure.
//   - Once DomainFailureThreshold servers of a failure domain have failed within
//     DomainFailureWindow, the other servers of that domain get no new requests
//     until they answer a probe.
//
// With the default configuration and 12 servers, the first three bounds are
// 1.3 s, 1.3 s and 1.8 s. With 600 servers, idle is 60 s, so the failure of a
// server that this entry hasn't used for a while is detected by the first call to
// it.
//
// Suspect servers are still used as a last resort; see Candidates.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// State is the state of a backend server in this view.
type State uint8

// States of a backend server, best first.
const (
	// Usable servers get new requests.
	Usable State = iota
	// Suspect servers have failed recently or have not responded yet. They get new
	// requests only if their service has no usable server.
	Suspect
	// Leaving servers only finish their current requests.
	Leaving
	// Dead servers have failed DeadThreshold times in a row, or are no longer
	// listed.
	Dead
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"usable", "suspect", "leaving", "dead"}[s]
}

// Config holds the timing of a View.
type Config struct {
	// ResponseTimeout is how long after a request was sent the server is probed if
	// it has sent no signal since.
	ResponseTimeout time.Duration
	// ProbeTimeout is the time after which an unanswered probe counts as failed.
	ProbeTimeout time.Duration
	// SuspectProbeInterval is the probe interval of suspect servers.
	SuspectProbeInterval time.Duration
	// DeadProbeInterval is the probe interval of dead and leaving servers.
	DeadProbeInterval time.Duration
	// IdleProbeInterval is the minimum probe interval of usable servers that send no
	// other signal.
	IdleProbeInterval time.Duration
	// IdleProbesPerSecond bounds the rate of probes to idle usable servers. With
	// 600 backend servers and 200 bytes per probe, 10/s keep the probe traffic
	// below 2 KB/s.
	IdleProbesPerSecond float64
	// DeadThreshold is the number of consecutive failures after which a server
	// counts as dead.
	DeadThreshold int
	// DomainFailureThreshold is the number of distinct servers of a failure domain
	// that must fail within DomainFailureWindow for all usable servers of the domain
	// to become suspect. 0 disables this rule.
	DomainFailureThreshold int
	DomainFailureWindow    time.Duration
	// ForgetAfter is the time for which a server that is no longer listed is kept.
	ForgetAfter time.Duration
}

// DefaultConfig returns the configuration for which the package comment states
// the bounds in seconds, with a tick of 50 ms.
func DefaultConfig() Config {
	return Config{
		ResponseTimeout:        500 * time.Millisecond,
		ProbeTimeout:           500 * time.Millisecond,
		SuspectProbeInterval:   200 * time.Millisecond,
		DeadProbeInterval:      2 * time.Second,
		IdleProbeInterval:      time.Second,
		IdleProbesPerSecond:    10,
		DeadThreshold:          3,
		DomainFailureThreshold: 2,
		DomainFailureWindow:    2 * time.Second,
		ForgetAfter:            time.Minute,
	}
}

// Server is a backend server as seen by this entry.
type Server struct {
	infra.Instance
	Incarnation string
	State       State
}

// server adds the state of failure detection to a Server.
type server struct {
	Server
	listed       bool
	listedState  infra.InstanceState
	missingSince time.Time
	// withdrawnAt is when the instance list last showed the server as leaving or no
	// longer showed it. Only the success of a call or probe that was sent later
	// makes the server usable again.
	withdrawnAt time.Time
	// pastIncarnations holds earlier incarnations, whose late signals are ignored.
	pastIncarnations []string
	// leaving means that the current incarnation has reported that it is leaving.
	leaving             bool
	consecutiveFailures int
	// firstFailureAt and lastFailureAt are the times of the first and the last of
	// the consecutive failures.
	firstFailureAt time.Time
	lastFailureAt  time.Time
	lastSuccessAt  time.Time
	// unansweredAt is when the first request after the last signal was sent.
	unansweredAt time.Time
	// probeSentAt is when the outstanding probe was sent; zero means none.
	probeSentAt time.Time
	nextProbeAt time.Time
}

// maxPastIncarnations bounds server.pastIncarnations. A signal rarely arrives later
// than a few restarts after it was sent.
const maxPastIncarnations = 4

// View is the set of known backend servers.
type View struct {
	config     Config
	servers    map[string]*server
	generation uint64
}

// New returns an empty view.
func New(config Config) *View {
	return &View{config: config, servers: make(map[string]*server)}
}

// Generation changes whenever the result of Candidates may have changed.
func (v *View) Generation() uint64 { return v.generation }

// Candidates returns the servers of a service that may get new requests, sorted by
// instance ID: the usable ones or, if there are none, the suspect ones.
func (v *View) Candidates(service string) []Server {
	return v.CandidatesExcept(service, func(Server) bool { return false })
}

// CandidatesExcept is like Candidates, as if the servers for which excluded returns
// true did not exist.
func (v *View) CandidatesExcept(service string, excluded func(Server) bool) []Server {
	var usable, suspect []Server
	for _, s := range v.servers {
		if s.Service != service || excluded(s.Server) {
			continue
		}
		switch s.State {
		case Usable:
			usable = append(usable, s.Server)
		case Suspect:
			suspect = append(suspect, s.Server)
		case Leaving, Dead:
		}
	}
	if len(usable) == 0 {
		usable = suspect
	}
	sortByID(usable)
	return usable
}

// Servers returns all known servers, sorted by instance ID.
func (v *View) Servers() []Server {
	out := make([]Server, 0, len(v.servers))
	for _, s := range v.servers {
		out = append(out, s.Server)
	}
	sortByID(out)
	return out
}

// Get returns the server with an instance ID.
func (v *View) Get(id string) (Server, bool) {
	s, ok := v.servers[id]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}

func sortByID(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// setState changes the state of s and increments the generation.
func (v *View) setState(s *server, state State) {
	if s.State == state {
		return
	}
	s.State = state
	v.generation++
}
