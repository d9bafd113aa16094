package membership

import (
	"slices"
	"time"
)

// Success is a response, heartbeat or probe response of a backend server.
type Success struct {
	ID          string
	Incarnation string
	// SentAt is when the call or probe was sent. For a heartbeat it is when the
	// heartbeat arrived.
	SentAt  time.Time
	Leaving bool
}

// Failure is a broken or refused connection, or an unanswered probe.
type Failure struct {
	ID     string
	SentAt time.Time
	// Timeout means that no response arrived in time. A broken connection is
	// stronger evidence: it broke now, and not at some time since SentAt.
	Timeout bool
}

// ApplySuccess applies a success. Signals of past incarnations are ignored.
func (v *View) ApplySuccess(now time.Time, signal Success) {
	s, ok := v.servers[signal.ID]
	if !ok || slices.Contains(s.pastIncarnations, signal.Incarnation) {
		return
	}
	if s.Incarnation != signal.Incarnation {
		v.startIncarnation(s, signal.Incarnation)
	}
	s.lastSuccessAt = now
	s.unansweredAt = time.Time{}
	s.probeSentAt = time.Time{}
	if signal.Leaving {
		s.leaving = true
	}
	if s.leaving {
		s.nextProbeAt = now.Add(v.config.DeadProbeInterval)
		v.setState(s, Leaving)
		return
	}
	if signal.SentAt.Before(s.lastFailureAt) || signal.SentAt.Before(s.withdrawnAt) {
		return
	}
	s.consecutiveFailures = 0
	s.nextProbeAt = now.Add(v.idleInterval())
	v.setState(s, Usable)
}

func (v *View) startIncarnation(s *server, incarnation string) {
	v.retireIncarnation(s)
	s.Incarnation = incarnation
	s.leaving = false
	s.consecutiveFailures = 0
	s.lastFailureAt = time.Time{}
	s.withdrawnAt = time.Time{}
	v.generation++
}

// retireIncarnation moves the current incarnation to the past ones.
func (v *View) retireIncarnation(s *server) {
	if s.Incarnation != "" {
		s.pastIncarnations = append(s.pastIncarnations, s.Incarnation)
	}
	if len(s.pastIncarnations) > maxPastIncarnations {
		s.pastIncarnations = s.pastIncarnations[1:]
	}
	s.Incarnation = ""
}

// ApplyFailure applies a failure. A timeout is ignored if the server sent a signal
// or another failure was recorded after the unanswered call was sent.
func (v *View) ApplyFailure(now time.Time, signal Failure) {
	s, ok := v.servers[signal.ID]
	if !ok {
		return
	}
	if signal.Timeout && (s.lastSuccessAt.After(signal.SentAt) || !s.lastFailureAt.Before(signal.SentAt)) {
		return
	}
	v.recordFailure(now, s)
}

func (v *View) recordFailure(now time.Time, s *server) {
	s.consecutiveFailures++
	first := s.consecutiveFailures == 1
	if first {
		s.firstFailureAt = now
	}
	s.lastFailureAt = now
	s.probeSentAt = time.Time{}
	s.unansweredAt = time.Time{}
	s.nextProbeAt = now
	if s.consecutiveFailures > 1 {
		s.nextProbeAt = now.Add(v.config.SuspectProbeInterval)
	}
	switch {
	case s.consecutiveFailures >= v.config.DeadThreshold:
		s.nextProbeAt = now.Add(v.config.DeadProbeInterval)
		v.setState(s, Dead)
	case s.State == Usable:
		v.setState(s, Suspect)
	}
	if first {
		v.suspectDomain(now, s.FailureDomain)
	}
}

// suspectDomain makes all usable servers of a failure domain suspect if several of
// its servers failed recently. They are then probed at once, instead of each of
// them costing a request. Only the first of a server's consecutive failures counts:
// otherwise two dead servers would keep the healthy ones of their domain suspect.
func (v *View) suspectDomain(now time.Time, domain string) {
	if v.config.DomainFailureThreshold == 0 {
		return
	}
	failed := 0
	for _, s := range v.servers {
		if s.FailureDomain == domain && s.consecutiveFailures > 0 && now.Sub(s.firstFailureAt) <= v.config.DomainFailureWindow {
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

// MarkSent records that a request was sent to a server. If the server sends no
// signal within ResponseTimeout, it is probed.
func (v *View) RecordSent(now time.Time, id string) {
	s, ok := v.servers[id]
	if ok && s.unansweredAt.IsZero() {
		s.unansweredAt = now
	}
}
