// Package membership keeps one entry's view of the backend servers, built from
// the instance list, direct signals (answers, heartbeats, connection failures)
// and probes.
//
// The package is deterministic: it takes the current time and has no
// goroutines and no I/O. A View has one owner goroutine and isn't safe for
// concurrent use.
//
// Bound on new work, where tick is the longest time between two calls of Due
// and idle is the probe interval of idle servers, max(IdleInterval,
// servers / IdleProbesPerSecond):
//
//   - A leaving server gets no new work after the first answer, heartbeat or
//     probe answer that carries its leaving flag, at most idle + tick and one
//     round trip after it began to leave. A call in between is refused as
//     not_run, which is such an answer.
//   - A dead server whose connections fail gets no new work after the first
//     failed call or probe, at most idle + tick after its death.
//   - A silent dead server gets none later than SilentAfter + ProbeTimeout +
//     2*tick after the first unanswered call, and none later than
//     idle + ProbeTimeout + 2*tick after its death if nobody called it.
//   - Once DomainFailures servers of a failure domain have failed within
//     DomainWindow, the other servers of that domain get no new work until
//     they answer a probe.
//
// With the defaults and 12 servers these are 1.3 s, 1.3 s and 1.8 s. With 600
// servers idle is 60 s, and the first call to a server that this entry has not
// used for a while is what finds it.
//
// Suspect servers are still candidates of last resort; see Candidates.
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
	// Usable servers get new work.
	Usable State = iota
	// Suspect servers failed once or have not answered yet. They get new work
	// only if their service has no usable server.
	Suspect
	// Leaving servers finish the work that they have.
	Leaving
	// Dead servers failed DeadAfter times in a row.
	Dead
)

// String returns the name of s.
func (s State) String() string {
	return [...]string{"usable", "suspect", "leaving", "dead"}[s]
}

// Config holds the timing of a View.
type Config struct {
	// SilentAfter is the longest wait for a sign of life after work was sent.
	ResponseTimeout time.Duration
	// ProbeTimeout is the time after which an unanswered probe has failed.
	ProbeTimeout time.Duration
	// SuspectInterval is the probe interval of suspect servers.
	SuspectInterval time.Duration
	// DeadInterval is the probe interval of dead and leaving servers.
	DeadInterval time.Duration
	// IdleInterval is the least probe interval of usable servers that send no
	// other signal.
	IdleInterval time.Duration
	// IdleProbesPerSecond bounds the probes to idle usable servers. At 600
	// replicas and 200 bytes a probe, 10/s keep them below 2 KB/s.
	IdleProbesPerSecond float64
	// DeadAfter is the number of failures in a row that makes a server dead.
	DeadThreshold int
	// DomainFailures distinct failed servers within DomainWindow raise
	// suspicion against their whole failure domain. 0 turns the rule off.
	DomainFailureThreshold int
	DomainFailureWindow    time.Duration
	// ForgetAfter is the time for which an unlisted server is remembered.
	ForgetAfter time.Duration
}

// DefaultConfig returns the timing for which the bounds of the package comment
// are given, with a tick of 50 ms.
func DefaultConfig() Config {
	return Config{
		ResponseTimeout:        500 * time.Millisecond,
		ProbeTimeout:           500 * time.Millisecond,
		SuspectInterval:        200 * time.Millisecond,
		DeadInterval:           2 * time.Second,
		IdleInterval:           time.Second,
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

// server adds to Server what the rules need.
type server struct {
	Server
	listed   bool
	listedAt infra.InstanceState
	absentAt time.Time
	// withdrawnAt is when the list last withdrew the server. Only a success
	// that was sent later brings it back.
	withdrawnAt time.Time
	// past holds earlier incarnations, whose late signals are ignored.
	past []string
	// leaving says that the current incarnation reported that it is leaving.
	leaving  bool
	failures int
	// firstFailedAt and failedAt are the first and the last of failures.
	firstFailedAt time.Time
	failedAt      time.Time
	signalAt      time.Time
	// unansweredAt is when the first work after the last signal was sent.
	unansweredAt time.Time
	// probeAt is when the outstanding probe was sent; zero means none.
	probeAt     time.Time
	nextProbeAt time.Time
}

// pastIncarnations bounds server.past. A late signal outlives few restarts.
const pastIncarnations = 4

// View is the set of backend servers. Its methods are called by one goroutine.
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

// Candidates returns the servers of a service that may get new work, sorted by
// instance id: the usable ones or, if there is none, the suspect ones.
func (v *View) Candidates(service string) []Server {
	var usable, suspect []Server
	for _, s := range v.servers {
		if s.Service != service {
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

// Servers returns all known servers, sorted by instance id.
func (v *View) Servers() []Server {
	out := make([]Server, 0, len(v.servers))
	for _, s := range v.servers {
		out = append(out, s.Server)
	}
	sortByID(out)
	return out
}

// Get returns the server with an instance id.
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

// setState changes the state of s and notes that candidates changed.
func (v *View) setState(s *server, state State) {
	if s.State == state {
		return
	}
	s.State = state
	v.generation++
}
