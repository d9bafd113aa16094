package membership

import (
	"slices"
	"time"
)

// Success is an answer, heartbeat or probe answer of a backend server.
type Success struct {
	ID          string
	Incarnation string
	// Sent is when the call or probe was sent. For a heartbeat it is when the
	// heartbeat arrived.
	SentAt  time.Time
	Leaving bool
}

// Failure is a broken or refused connection, or an unanswered probe.
type Failure struct {
	ID     string
	SentAt time.Time
	// Timeout says that no answer came in time. A broken connection proves
	// more: it happened now, not at some time since Sent.
	Timeout bool
}

// ApplySuccess takes a success. Signals of past incarnations are ignored.
func (v *View) ApplySuccess(now time.Time, signal Success) {
	s, ok := v.servers[signal.ID]
	if !ok || slices.Contains(s.past, signal.Incarnation) {
		return
	}
	if s.Incarnation != signal.Incarnation {
		v.startIncarnation(s, signal.Incarnation)
	}
	s.signalAt = now
	s.unansweredAt = time.Time{}
	s.probeAt = time.Time{}
	if signal.Leaving {
		s.leaving = true
	}
	if s.leaving {
		s.nextProbeAt = now.Add(v.config.DeadInterval)
		v.setState(s, Leaving)
		return
	}
	if signal.SentAt.Before(s.failedAt) || signal.SentAt.Before(s.withdrawnAt) {
		return
	}
	s.failures = 0
	s.nextProbeAt = now.Add(v.idleInterval())
	v.setState(s, Usable)
}

func (v *View) startIncarnation(s *server, incarnation string) {
	v.retire(s)
	s.Incarnation = incarnation
	s.leaving = false
	s.failures = 0
	s.failedAt = time.Time{}
	s.withdrawnAt = time.Time{}
	v.generation++
}

// retire moves the current incarnation to the past ones.
func (v *View) retire(s *server) {
	if s.Incarnation != "" {
		s.past = append(s.past, s.Incarnation)
	}
	if len(s.past) > pastIncarnations {
		s.past = s.past[1:]
	}
	s.Incarnation = ""
}

// ApplyFailure takes a failure. A timeout is ignored if the server answered
// after the unanswered call was sent.
func (v *View) ApplyFailure(now time.Time, signal Failure) {
	s, ok := v.servers[signal.ID]
	if !ok {
		return
	}
	if signal.Timeout && (s.signalAt.After(signal.SentAt) || !s.failedAt.Before(signal.SentAt)) {
		return
	}
	v.fail(now, s)
}

func (v *View) fail(now time.Time, s *server) {
	s.failures++
	first := s.failures == 1
	if first {
		s.firstFailedAt = now
	}
	s.failedAt = now
	s.probeAt = time.Time{}
	s.unansweredAt = time.Time{}
	s.nextProbeAt = now
	if s.failures > 1 {
		s.nextProbeAt = now.Add(v.config.SuspectInterval)
	}
	switch {
	case s.failures >= v.config.DeadThreshold:
		s.nextProbeAt = now.Add(v.config.DeadInterval)
		v.setState(s, Dead)
	case s.State == Usable:
		v.setState(s, Suspect)
	}
	if first {
		v.suspectDomain(now, s.FailureDomain)
	}
}

// suspectDomain raises suspicion against a failure domain in which several
// servers failed recently, so that the rest is probed at once instead of
// losing one request each. Only the first failure of a server in a row counts:
// otherwise two dead servers would keep their healthy neighbours suspect.
func (v *View) suspectDomain(now time.Time, domain string) {
	if v.config.DomainFailureThreshold == 0 {
		return
	}
	failed := 0
	for _, s := range v.servers {
		if s.FailureDomain == domain && s.failures > 0 && now.Sub(s.firstFailedAt) <= v.config.DomainFailureWindow {
			failed++
		}
	}
	if failed < v.config.DomainFailureThreshold {
		return
	}
	for _, s := range v.servers {
		if s.FailureDomain == domain && s.State == Usable {
			s.nextProbeAt = now
			v.setState(s, Suspect)
		}
	}
}

// MarkSent notes that work was sent to a server, which now owes a signal.
func (v *View) MarkSent(now time.Time, id string) {
	s, ok := v.servers[id]
	if ok && s.unansweredAt.IsZero() {
		s.unansweredAt = now
	}
}
