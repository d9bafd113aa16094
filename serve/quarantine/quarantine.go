// Package quarantine keeps a poison request, which crashes its backend server,
// from taking down one server after another. It is deterministic and does no I/O.
//
// The requests in flight at a crash become suspects. A suspect runs only as the
// sole request on its server, so that a further crash can be attributed to it.
// If it crashes the server again, it is refused from then on; if it is answered,
// it is no longer a suspect. That is for a process that sees all requests of a
// server (Registry, ServerTracker).
//
// Different requests may share what crashes servers, such as a part of their prompt,
// and a gateway sees only some of the requests of a server. For these, CrashCounter
// finds the feature that explains the crashes.
//
// The types of this package are not safe for concurrent use.
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

// StreamName is the name of the log stream of suspect reports.
const StreamName = "suspects"

// recordType is the type field of a log record.
const recordType = "suspects"

// Fingerprint identifies requests that have the same effect on a backend server.
// BodyHash covers the method and the path as well, because calls without a body
// differ only in these.
type Fingerprint struct {
	Service      string `json:"service"`
	Organisation string `json:"org"`
	BodyHash     string `json:"body_hash"`
}

// NewFingerprint returns the fingerprint of a call. The body may be in several blocks.
func NewFingerprint(service, organisation, method, path string, body ...[]byte) Fingerprint {
	h := xxh3.New()
	// The separators keep different calls from having the same input.
	_, _ = h.WriteString(method + "\x00" + path + "\x00")
	for _, block := range body {
		_, _ = h.Write(block)
	}
	sum := h.Sum128().Bytes()
	return Fingerprint{Service: service, Organisation: organisation, BodyHash: hex.EncodeToString(sum[:])}
}

// Op is the operation of a report.
type Op string

// Operations. Readers skip unknown operations.
const (
	// OpCrashed means that the request was in flight together with other requests
	// when a backend server crashed.
	OpCrashed Op = "crashed"
	// OpCrashedAlone means that the request was the only one in flight at a crash,
	// apart from duplicates of itself.
	OpCrashedAlone Op = "crashed_alone"
	// OpCleared means that the request was answered while it was the only one in
	// flight.
	OpCleared Op = "cleared"
	// OpAnswered means that the request was answered, with others in flight or not.
	// It clears the features of the request in a CrashCounter, not the suspect.
	OpAnswered Op = "answered"
)

func (o Op) known() bool {
	return o == OpCrashed || o == OpCrashedAlone || o == OpCleared || o == OpAnswered
}

// Report is an observation of a request, in a log record or in a message between
// processes. EventID is unique for each crash or clearance, so that a report that
// arrives both ways counts once. Reports about one fingerprint may be applied in
// any order. A clearance removes only crashes from before its run started.
type Report struct {
	Op      Op     `json:"op"`
	EventID string `json:"crash"`
	Fingerprint
	Time       time.Time `json:"time"`            // time of the crash or the clearance
	RunStarted time.Time `json:"began,omitempty"` // start of the run that cleared the request
	// PromptParts are the hashes of the parts of the prompt that other requests may
	// have as well.
	PromptParts []string `json:"prompt_parts,omitempty"`
}

// Features returns the features of the request of a report.
func (r Report) Features() []Feature { return Features(r.Fingerprint, r.PromptParts) }

// record is a log record.
type record struct {
	Type    string   `json:"type"`
	Reports []Report `json:"reports"`
}

// Encode returns an encoded log record with reports.
func Encode(reports []Report) ([]byte, error) {
	data, err := json.Marshal(record{Type: recordType, Reports: reports})
	if err != nil {
		return nil, errors.Wrap(err, "encode suspect reports")
	}
	return data, nil
}

// Decode returns the reports in a log record. It returns false for records of
// another type. Reports with an unknown operation are skipped.
func Decode(data []byte) ([]Report, bool) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil || r.Type != recordType {
		return nil, false
	}
	return slices.DeleteFunc(r.Reports, func(r Report) bool { return !r.Op.known() }), true
}

// Settings bound the suspects in a Registry.
type Settings struct {
	// Retention is how long a suspect is kept after its last report.
	Retention time.Duration
	// MaxSuspects bounds the number of suspects. The one with the oldest last
	// report is evicted first.
	MaxSuspects int
}

// DefaultSettings returns the settings used by the daemons.
func DefaultSettings() Settings {
	return Settings{Retention: time.Hour, MaxSuspects: 10_000}
}

// Handling tells how a request may run.
type Handling uint8

// Handlings.
const (
	Normal Handling = iota
	// Alone means that the request runs only as the sole request in flight on its
	// server.
	Alone
	// Refused means that the request is refused as SuspectRequest.
	Refused
)

// maxCrashes is the number of servers that one fingerprint may crash before it is
// refused.
const maxCrashes = 2

// maxReports bounds the crash reports kept for one fingerprint. Crashes beyond
// maxCrashes change nothing while the request is refused. They may arrive, because
// duplicates that were in flight on other servers at the first crash may crash
// these too.
const maxReports = 8

// suspect is the state of one fingerprint. It is kept after a clearance even
// without crashes, so that a late crash report doesn't make it a suspect again.
type suspect struct {
	crashes    []Report
	cleared    *Report
	lastReport time.Time
}

// Registry holds the suspects known to a process.
type Registry struct {
	settings Settings
	suspects map[Fingerprint]*suspect
}

// NewRegistry returns an empty Registry.
func NewRegistry(s Settings) *Registry {
	return &Registry{settings: s, suspects: make(map[Fingerprint]*suspect)}
}

// Len returns the number of fingerprints held.
func (reg *Registry) Len() int { return len(reg.suspects) }

// Handling returns how a request with this fingerprint may run at now.
func (reg *Registry) Handling(now time.Time, f Fingerprint) Handling {
	s := reg.suspects[f]
	switch {
	case s == nil || len(s.crashes) == 0 || now.Sub(s.lastReport) > reg.settings.Retention:
		return Normal
	case s.refused():
		return Refused
	default:
		return Alone
	}
}

// refused requires that one of the crashes happened while the request ran alone.
// A request that was twice in flight together with a poison request is not
// refused before it has run alone.
func (s *suspect) refused() bool {
	for _, r := range s.crashes {
		if r.Op == OpCrashedAlone && len(s.crashes) >= maxCrashes {
			return true
		}
	}
	return false
}

// Reports returns the reports about f. An entry attaches them to a request, so
// that the sidecar has them before it reads them from the log.
func (reg *Registry) Reports(f Fingerprint) []Report {
	s := reg.suspects[f]
	if s == nil {
		return nil
	}
	reports := slices.Clone(s.crashes)
	if s.cleared != nil {
		reports = append(reports, *s.cleared)
	}
	return reports
}

// RefusalError returns the error for a refused request.
func RefusalError() *errkind.Error {
	return errkind.New(errkind.SuspectRequest, "requests like this one crashed %d backend servers", maxCrashes)
}

// RecordCrash applies and returns the reports on a crash of a backend server at
// now with these requests in flight. eventID is unique for the crash.
func (reg *Registry) RecordCrash(now time.Time, eventID string, inFlight []Fingerprint) []Report {
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
		reports = append(reports, Report{Op: op, EventID: eventID, Fingerprint: f, Time: now})
	}
	for _, r := range reports {
		reg.Apply(now, r)
	}
	return reports
}

// RecordResponse applies and returns the report on a suspect that started to run
// alone at runStarted and was answered. It returns false if f doesn't have to run
// alone.
func (reg *Registry) RecordResponse(now, runStarted time.Time, eventID string, f Fingerprint) (Report, bool) {
	if reg.Handling(now, f) != Alone {
		return Report{}, false
	}
	r := Report{Op: OpCleared, EventID: eventID, Fingerprint: f, Time: now, RunStarted: runStarted}
	reg.Apply(now, r)
	return r, true
}

// Apply applies a report from the log or from another process. It ignores
// OpAnswered.
func (reg *Registry) Apply(now time.Time, r Report) {
	if r.Op == OpAnswered || now.Sub(r.Time) > reg.settings.Retention {
		return
	}
	s := reg.suspects[r.Fingerprint]
	if s == nil {
		reg.evict(now)
		s = &suspect{}
		reg.suspects[r.Fingerprint] = s
	}
	if r.Time.After(s.lastReport) {
		s.lastReport = r.Time
	}
	if r.Op == OpCleared {
		s.clear(r)
		return
	}
	if s.cleared != nil && clears(*s.cleared, r) {
		return
	}
	for _, crash := range s.crashes {
		if crash.EventID == r.EventID {
			return
		}
	}
	s.addCrash(r)
}

// addCrash adds a crash report. If the list is full, OpCrashedAlone replaces
// another report, because without it the request would never be refused.
func (s *suspect) addCrash(r Report) {
	if len(s.crashes) < maxReports {
		s.crashes = append(s.crashes, r)
		return
	}
	if r.Op == OpCrashedAlone {
		s.crashes[maxReports-1] = r
	}
}

// clears reports whether a clearance removes a crash: a crash with other requests
// in flight, not later than the start of the run that was answered. OpCrashedAlone
// is never removed, because the request may crash its server only sometimes.
func clears(clearance, crash Report) bool {
	return crash.Op != OpCrashedAlone && !crash.Time.After(clearance.RunStarted)
}

func (s *suspect) clear(r Report) {
	if s.cleared == nil || r.RunStarted.After(s.cleared.RunStarted) {
		s.cleared = &r
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Report) bool { return clears(*s.cleared, c) })
}

// evict makes room for a suspect if the Registry is full. It removes suspects
// older than Retention, or the oldest one if there are none.
func (reg *Registry) evict(now time.Time) {
	if len(reg.suspects) < reg.settings.MaxSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, s := range reg.suspects {
		if now.Sub(s.lastReport) > reg.settings.Retention {
			delete(reg.suspects, f)
		} else if at.IsZero() || s.lastReport.Before(at) || s.lastReport.Equal(at) && f.BodyHash < oldest.BodyHash {
			oldest, at = f, s.lastReport
		}
	}
	if len(reg.suspects) >= reg.settings.MaxSuspects {
		delete(reg.suspects, oldest)
	}
}
