// Package quarantine keeps a request that crashes its backend server from
// taking down one server after another. It is deterministic and does no I/O.
//
// The requests in flight at a crash become suspects. A suspect runs only as the
// sole request on its server, so that a further crash can be attributed to it.
// After that it is refused; an answer instead clears it.
//
// Nothing in this package is safe for concurrent use.
package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// StreamName is the log stream of suspects.
const StreamName = "suspects"

// recordType is the type field of a log record.
const recordType = "suspects"

// Fingerprint identifies requests that act alike on a backend server. BodyHash
// covers method and path as well, because calls without a body differ in them.
type Fingerprint struct {
	Service      string `json:"service"`
	Organisation string `json:"org"`
	BodyHash     string `json:"body_hash"`
}

// NewFingerprint returns the fingerprint of a call.
func NewFingerprint(service, organisation, method, path string, body []byte) Fingerprint {
	h := xxh3.New()
	// The separators keep two different calls from having the same input.
	_, _ = h.WriteString(method + "\x00" + path + "\x00")
	_, _ = h.Write(body)
	sum := h.Sum128().Bytes()
	return Fingerprint{Service: service, Organisation: organisation, BodyHash: hex.EncodeToString(sum[:])}
}

// Op is what a report says about a fingerprint.
type Op string

// Operations. Readers skip others.
const (
	// OpCrashed: in flight with other requests when a backend server crashed.
	OpCrashed Op = "crashed"
	// OpCrashedAlone: the only request in flight at a crash, or in flight only
	// with copies of itself.
	OpCrashedAlone Op = "crashed_alone"
	// OpCleared: answered as the only request in flight.
	OpCleared Op = "cleared"
)

func (o Op) known() bool { return o == OpCrashed || o == OpCrashedAlone || o == OpCleared }

// Report is one observation, in a log record or in a message between processes. Crash is unique for each crash or clearance, so that a report
// that arrives on both ways counts once. Reports about one fingerprint commute
// except that a clearance removes only crashes observed before its run began.
type Report struct {
	Op      Op     `json:"op"`
	EventID string `json:"crash"`
	Fingerprint
	Time       time.Time `json:"time"`            // of the crash or the clearance
	RunStarted time.Time `json:"began,omitempty"` // of the run that cleared
}

// record is one log record.
type record struct {
	Type    string   `json:"type"`
	Reports []Report `json:"reports"`
}

// Encode returns the bytes of a log record with reports.
func Encode(reports []Report) ([]byte, error) {
	data, err := json.Marshal(record{Type: recordType, Reports: reports})
	if err != nil {
		return nil, errors.Wrap(err, "encode suspect reports")
	}
	return data, nil
}

// Decode returns the reports in data. It returns false for records of another
// type; reports of unknown operation are left out.
func Decode(data []byte) ([]Report, bool) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil || r.Type != recordType {
		return nil, false
	}
	return slices.DeleteFunc(r.Reports, func(r Report) bool { return !r.Op.known() }), true
}

// Settings bound the suspects.
type Settings struct {
	// Keep is how long a suspect is kept after its last crash.
	Retention time.Duration
	// MaxSuspects bounds the fingerprints held; the oldest one goes first.
	MaxSuspects int
}

// DefaultSettings returns the settings used by the daemons.
func DefaultSettings() Settings {
	return Settings{Retention: time.Hour, MaxSuspects: 10_000}
}

// Handling says how a request may run.
type Handling uint8

// Handlings.
const (
	Normal Handling = iota
	// Alone: as the sole request in flight on its server.
	Alone
	// Refused: as SuspectRequest.
	Refused
)

// maxCrashes is the number of servers that one fingerprint may cost.
const maxCrashes = 2

// maxReports bounds the reports kept for one fingerprint. Crashes beyond
// maxCrashes add nothing while it is refused; runs that were in flight
// elsewhere at the first crash may report more.
const maxReports = 8

// suspect without crashes remembers its clearance, because a crash report that
// arrives late must not bring it back.
type suspect struct {
	crashes []Report
	cleared *Report
	last    time.Time
}

// Registry holds the suspects that a process knows.
type Registry struct {
	settings Settings
	suspects map[Fingerprint]*suspect
}

// NewRegistry returns an empty Register.
func NewRegistry(s Settings) *Registry {
	return &Registry{settings: s, suspects: make(map[Fingerprint]*suspect)}
}

// Len returns the number of suspects.
func (g *Registry) Len() int { return len(g.suspects) }

// Handling returns how a request with this fingerprint may run at now.
func (g *Registry) Handling(now time.Time, f Fingerprint) Handling {
	s := g.suspects[f]
	switch {
	case s == nil || len(s.crashes) == 0 || now.Sub(s.last) > g.settings.Retention:
		return Normal
	case s.refused():
		return Refused
	default:
		return Alone
	}
}

// refused requires a crash of a run alone: a request that twice was in flight
// beside another one that crashed its server is innocent until it ran alone.
func (s *suspect) refused() bool {
	for _, r := range s.crashes {
		if r.Op == OpCrashedAlone && len(s.crashes) >= maxCrashes {
			return true
		}
	}
	return false
}

// Reports returns what is known of f. An entry sends it along with a request,
// so that the sidecar knows it ahead of the log.
func (g *Registry) Reports(f Fingerprint) []Report {
	s := g.suspects[f]
	if s == nil {
		return nil
	}
	reports := slices.Clone(s.crashes)
	if s.cleared != nil {
		reports = append(reports, *s.cleared)
	}
	return reports
}

// RefusalError returns the answer to a refused request.
func RefusalError() *errkind.Error {
	return errkind.New(errkind.SuspectRequest, "requests like this one crashed %d backend servers", maxCrashes)
}

// RecordCrash returns the reports on a crash of a backend server at now with these
// requests in flight, and applies them. id is unique for the crash.
func (g *Registry) RecordCrash(now time.Time, id string, inFlight []Fingerprint) []Report {
	var distinct []Fingerprint
	for _, f := range inFlight {
		if !slices.Contains(distinct, f) {
			distinct = append(distinct, f)
		}
	}
	op := OpCrashed
	if len(distinct) == 1 {
		op = OpCrashedAlone
	}
	var reports []Report
	for _, f := range distinct {
		reports = append(reports, Report{Op: op, EventID: id, Fingerprint: f, Time: now})
	}
	for _, r := range reports {
		g.Apply(now, r)
	}
	return reports
}

// RecordAnswer returns the report on a suspect that ran alone from began on and
// was answered, and applies it. It returns false if f is no suspect.
func (g *Registry) RecordAnswer(now, began time.Time, id string, f Fingerprint) (Report, bool) {
	if g.Handling(now, f) != Alone {
		return Report{}, false
	}
	r := Report{Op: OpCleared, EventID: id, Fingerprint: f, Time: now, RunStarted: began}
	g.Apply(now, r)
	return r, true
}

// Apply takes a report from the log or from another process.
func (g *Registry) Apply(now time.Time, r Report) {
	if now.Sub(r.Time) > g.settings.Retention {
		return
	}
	s := g.suspects[r.Fingerprint]
	if s == nil {
		g.evict(now)
		s = &suspect{}
		g.suspects[r.Fingerprint] = s
	}
	if r.Time.After(s.last) {
		s.last = r.Time
	}
	if r.Op == OpCleared {
		s.clear(r)
		return
	}
	if s.cleared != nil && clears(*s.cleared, r) {
		return
	}
	for _, known := range s.crashes {
		if known.EventID == r.EventID {
			return
		}
	}
	s.add(r)
}

// add keeps a crash alone in place of another one when the list is full,
// because without it the request would never be refused.
func (s *suspect) add(r Report) {
	if len(s.crashes) < maxReports {
		s.crashes = append(s.crashes, r)
		return
	}
	if r.Op == OpCrashedAlone {
		s.crashes[maxReports-1] = r
	}
}

// clears reports whether a clearance outweighs a crash: one with other requests
// ahead of the run that was answered alone. A crash alone stays: the request
// may crash its server only at times.
func clears(clearance, crash Report) bool {
	return crash.Op != OpCrashedAlone && !crash.Time.After(clearance.RunStarted)
}

func (s *suspect) clear(r Report) {
	if s.cleared == nil || r.RunStarted.After(s.cleared.RunStarted) {
		s.cleared = &r
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Report) bool { return clears(*s.cleared, c) })
}

// evict makes room: suspects beyond Keep go, then the oldest one.
func (g *Registry) evict(now time.Time) {
	if len(g.suspects) < g.settings.MaxSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, s := range g.suspects {
		if now.Sub(s.last) > g.settings.Retention {
			delete(g.suspects, f)
		} else if at.IsZero() || s.last.Before(at) || s.last.Equal(at) && f.BodyHash < oldest.BodyHash {
			oldest, at = f, s.last
		}
	}
	if len(g.suspects) >= g.settings.MaxSuspects {
		delete(g.suspects, oldest)
	}
}
