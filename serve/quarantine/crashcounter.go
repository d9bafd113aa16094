package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minEvidence is the evidence at which a feature is refused that explains its
	// crashes better than any other feature. sureEvidence is enough if another one
	// explains them as well.
	minEvidence  = 3.0
	sureEvidence = 5.0
	// evidenceTolerance absorbs the rounding of the sum of shares.
	evidenceTolerance = 1e-9
	// minBurst is the number of crashes within burstWindow of each other that may have
	// a common cause, such as the loss of a rack.
	minBurst    = 4
	burstWindow = time.Second
	// reportDelay is the time within which the reports on a crash arrive.
	reportDelay = 2 * time.Second
	// crashRetention is how long a crash counts.
	crashRetention = time.Hour
	// maxCountedFeatures, maxFeatureCrashes and maxCrashesHeld bound the memory.
	maxCountedFeatures = 4096
	maxFeatureCrashes  = 16
	maxCrashesHeld     = 512
)

// CrashCounter finds out which feature of requests crashes backend servers, for a
// process that doesn't know which other requests ran on a server.
//
// Each feature has the crashes at which a request with it was in flight since the
// last response to such a request. The feature with the most crashes is refused. If
// several features have the same crashes because all requests with one of them had
// the other ones too, only requests with all of them are refused, so that requests
// that share one of them are served.
//
// A complete response to a request shows that none of its features crashes servers. So does
// part of a stream for the features that other requests have as well, if it is longer than
// what any request with the feature had got before its server crashed: a part of a prompt
// may crash servers late, and many sound requests may share one with it.
//
// A crash counts less if several other servers crashed at the same time without such a
// request: a lost rack takes many servers with it, and a feature that many requests
// have is in flight at some of them.
type CrashCounter struct {
	features map[Feature]*featureCrashes
	// crashes are the crashes of all services, oldest first.
	crashes  []crash
	refusals []Refusal
	// decided are the refusals that this counter has made lately.
	decided []Refusal
}

// featureCrashes is the state of a feature.
type featureCrashes struct {
	// crashes are those since the last response, answered those before, oldest first.
	crashes  []crash
	answered []crash
	// companions are the features that each request with this one had at the crashes.
	companions []Feature
	// furthest is the highest number of events that a request with this feature had got
	// before its server crashed.
	furthest int
}

type crash struct {
	id      string
	service string
	at      time.Time
}

// NewCrashCounter returns an empty CrashCounter.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{features: make(map[Feature]*featureCrashes)}
}

// RecordCrash records that a request with these features was in flight at a crash of
// its backend server, which had sent a number of events of a stream in response to it.
// crashID identifies the crash, so that reports from several processes count once. It
// reports whether the crash is new for any of the features, and returns the refusals that
// follow from it.
func (cc *CrashCounter) RecordCrash(now time.Time, crashID string, features []Feature, events int) (isNew bool, made []Refusal) {
	if len(features) == 0 {
		return false, nil
	}
	cc.expire(now)
	c := cc.holdCrash(now, crashID, features[0].Service)
	for _, f := range features {
		s := cc.feature(f)
		s.furthest = max(s.furthest, events)
		isNew = s.add(c, without(features, f)) || isNew
	}
	if !isNew {
		return false, nil
	}
	for _, f := range cc.candidatesAt(c) {
		if r, ok := cc.decide(f); ok && !cc.Refuses(now, r.Features) {
			cc.AddRefusal(now, r)
			cc.decided = append(cc.decided, r)
			made = append(made, r)
		}
	}
	return true, made
}

// Reconsider withdraws and returns the refusals that no longer follow from the crashes known,
// because another feature explains them as well by a report that arrived later. The reports
// on the requests that were in flight at a crash come from several processes.
func (cc *CrashCounter) Reconsider(now time.Time) []Refusal {
	cc.decided = slices.DeleteFunc(cc.decided, func(r Refusal) bool { return now.Sub(r.LastCrash) > reportDelay })
	var withdrawn []Refusal
	for _, r := range cc.decided {
		if !cc.stillDecided(r) {
			withdrawn = append(withdrawn, r)
		}
	}
	for _, r := range withdrawn {
		same := func(other Refusal) bool { return sameFeatures(r, other) }
		cc.decided = slices.DeleteFunc(cc.decided, same)
		cc.refusals = slices.DeleteFunc(cc.refusals, same)
	}
	return withdrawn
}

// stillDecided reports whether one of the features of a refusal is still to be refused.
func (cc *CrashCounter) stillDecided(r Refusal) bool {
	return slices.ContainsFunc(r.Features, func(f Feature) bool {
		if cc.features[f] == nil {
			return false
		}
		_, ok := cc.decide(f)
		return ok
	})
}

// holdCrash returns the crash with this ID, which it records if it is new.
func (cc *CrashCounter) holdCrash(now time.Time, id, service string) crash {
	for _, c := range cc.crashes {
		if c.id == id && c.service == service {
			return c
		}
	}
	c := crash{id: id, service: service, at: now}
	if len(cc.crashes) >= maxCrashesHeld {
		cc.crashes = slices.Delete(cc.crashes, 0, 1)
	}
	cc.crashes = append(cc.crashes, c)
	return c
}

func (cc *CrashCounter) feature(f Feature) *featureCrashes {
	s := cc.features[f]
	if s == nil {
		cc.evictOldest()
		s = &featureCrashes{}
		cc.features[f] = s
	}
	return s
}

// add adds a crash and reports whether it is new. others are the other features of
// the request that was in flight.
func (s *featureCrashes) add(c crash, others []Feature) bool {
	if contains(s.answered, c) {
		return false
	}
	if len(s.crashes) == 0 {
		s.companions = others
	} else {
		s.companions = slices.DeleteFunc(s.companions, func(f Feature) bool { return !slices.Contains(others, f) })
	}
	if contains(s.crashes, c) {
		return false
	}
	s.crashes = appendBounded(s.crashes, c)
	return true
}

// candidatesAt returns the features with a crash that have enough crashes to be
// refused, in a fixed order.
func (cc *CrashCounter) candidatesAt(c crash) []Feature {
	var list []Feature
	for f, s := range cc.features {
		if len(s.crashes) >= minEvidence && contains(s.crashes, c) {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, compareFeatures)
	return list
}

// decide returns the refusal of a feature if its crashes suffice and no other feature
// explains them better.
func (cc *CrashCounter) decide(f Feature) (Refusal, bool) {
	s := cc.features[f]
	evidence := cc.evidence(s) + evidenceTolerance
	if evidence < minEvidence {
		return Refusal{}, false
	}
	refused := []Feature{f}
	ambiguous := false
	for other, o := range cc.features {
		if other == f || !covers(o.crashes, s.crashes) {
			continue
		}
		alwaysWithOther := slices.Contains(s.companions, other)
		otherAlwaysWithThis := slices.Contains(o.companions, f)
		switch {
		case len(o.crashes) > len(s.crashes), otherAlwaysWithThis && !alwaysWithOther:
			return Refusal{}, false
		case alwaysWithOther:
			refused = append(refused, other)
		default:
			ambiguous = true
		}
	}
	if ambiguous && evidence < sureEvidence {
		return Refusal{}, false
	}
	slices.SortFunc(refused, compareFeatures)
	return Refusal{Features: refused, LastCrash: s.crashes[len(s.crashes)-1].at}, true
}

// evidence is the number of crashes of a feature. A crash in a burst counts as the
// share of the feature in the crashes of the burst.
func (cc *CrashCounter) evidence(s *featureCrashes) float64 {
	sum := 0.0
	for _, c := range s.crashes {
		with, all := crashesNear(s.crashes, c), crashesNear(cc.crashes, c)
		if all < minBurst {
			sum++
			continue
		}
		sum += float64(with) / float64(max(with, all))
	}
	return sum
}

func (s *featureCrashes) clear() {
	for _, c := range s.crashes {
		s.answered = appendBounded(s.answered, c)
	}
	s.crashes, s.companions = nil, nil
}

// Apply applies a report of a sidecar, which may be read twice. It returns the refusals
// that follow from it.
func (cc *CrashCounter) Apply(r Report) []Refusal {
	switch r.Op {
	case OpCrashed, OpCrashedAlone:
		_, made := cc.RecordCrash(r.Time, r.EventID, r.Features(), 0)
		return made
	case OpCleared, OpAnswered:
		cc.RecordResponse(r.Features())
	}
	return nil
}

// Suspects reports whether any of the features was in flight at a crash since the
// last response to a request with it.
func (cc *CrashCounter) Suspects(features []Feature) bool {
	return slices.ContainsFunc(features, func(f Feature) bool {
		s := cc.features[f]
		return s != nil && len(s.crashes) > 0
	})
}

// Len returns the number of features held.
func (cc *CrashCounter) Len() int { return len(cc.features) }

// expire drops the crashes and refusals that no longer count.
func (cc *CrashCounter) expire(now time.Time) {
	old := func(c crash) bool { return now.Sub(c.at) > crashRetention }
	if len(cc.crashes) > 0 && old(cc.crashes[0]) {
		cc.crashes = slices.DeleteFunc(cc.crashes, old)
		for f, s := range cc.features {
			s.crashes, s.answered = slices.DeleteFunc(s.crashes, old), slices.DeleteFunc(s.answered, old)
			if len(s.crashes)+len(s.answered) == 0 {
				delete(cc.features, f)
			}
		}
	}
	cc.refusals = slices.DeleteFunc(cc.refusals, func(r Refusal) bool { return now.Sub(r.LastCrash) > refusalPeriod })
}

// evictOldest makes room for a feature by removing the one with the oldest last crash.
func (cc *CrashCounter) evictOldest() {
	if len(cc.features) < maxCountedFeatures {
		return
	}
	var oldest Feature
	var at time.Time
	for f, s := range cc.features {
		last := s.lastCrash()
		if at.IsZero() || last.Before(at) || last.Equal(at) && compareFeatures(f, oldest) < 0 {
			oldest, at = f, last
		}
	}
	delete(cc.features, oldest)
}

func (s *featureCrashes) lastCrash() time.Time {
	var last time.Time
	for _, list := range [][]crash{s.crashes, s.answered} {
		if n := len(list); n > 0 && list[n-1].at.After(last) {
			last = list[n-1].at
		}
	}
	return last
}

func appendBounded(list []crash, c crash) []crash {
	if len(list) >= maxFeatureCrashes {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, c)
}

// contains compares crashes by their ID.
func contains(list []crash, c crash) bool {
	return slices.ContainsFunc(list, func(other crash) bool { return other.id == c.id && other.service == c.service })
}

// covers reports whether list has all crashes of other.
func covers(list, other []crash) bool {
	return !slices.ContainsFunc(other, func(c crash) bool { return !contains(list, c) })
}

func crashesNear(list []crash, c crash) int {
	n := 0
	for _, other := range list {
		if other.service == c.service && other.at.Sub(c.at).Abs() <= burstWindow {
			n++
		}
	}
	return n
}

func without(features []Feature, f Feature) []Feature {
	return slices.DeleteFunc(slices.Clone(features), func(other Feature) bool { return other == f })
}

func hasAll(features, wanted []Feature) bool {
	return !slices.ContainsFunc(wanted, func(f Feature) bool { return !slices.Contains(features, f) })
}

func compareFeatures(a, b Feature) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}
