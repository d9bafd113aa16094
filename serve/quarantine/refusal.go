package quarantine

import (
	"slices"
	"time"
)

const (
	// refusalPeriod is how long requests are refused after the last crash. They may
	// run again afterwards, because the fault in the server may have been fixed. It is
	// long because each try may cost a server, and a rank group with it.
	refusalPeriod = 10 * time.Minute
	// maxRefusals bounds the memory.
	maxRefusals = 1024
)

// Refusal refuses the requests that have all of its features.
type Refusal struct {
	Features  []Feature
	LastCrash time.Time
}

func sameFeatures(a, b Refusal) bool {
	return hasAll(a.Features, b.Features) && hasAll(b.Features, a.Features)
}

// Clearance is the effect of a response.
type Clearance struct {
	// Features are those that were in flight at crashes or refused before.
	Features []Feature
	// Withdrawn are the refusals that no longer hold, and Narrowed those that take
	// their place with fewer features.
	Withdrawn []Refusal
	Narrowed  []Refusal
}

// ProgressMargin is the number of events by which a stream has to be longer than those that
// crashed to show that a feature doesn't crash servers.
const ProgressMargin = 3

// RecordProgress records that a server has sent a number of events of a stream in response to
// a request with these features. It withdraws no refusal.
func (cc *CrashCounter) RecordProgress(features []Feature, events int) Clearance {
	var cleared Clearance
	for _, f := range features {
		s := cc.features[f]
		if f.Kind != WholeRequest && s != nil && len(s.crashes) > 0 && events >= s.furthest+ProgressMargin {
			s.clear()
			cleared.Features = append(cleared.Features, f)
		}
	}
	return cleared
}

// RecordResponse records a complete response to a request with these features, which shows
// that none of them crashes servers.
func (cc *CrashCounter) RecordResponse(features []Feature) Clearance {
	var cleared Clearance
	for _, f := range features {
		if s := cc.features[f]; s != nil && len(s.crashes) > 0 {
			s.clear()
			cleared.Features = append(cleared.Features, f)
		}
	}
	if len(cc.refusals) > 0 {
		cc.narrowRefusals(features, &cleared)
	}
	return cleared
}

// narrowRefusals removes features from the refusals.
func (cc *CrashCounter) narrowRefusals(features []Feature, cleared *Clearance) {
	kept := cc.refusals[:0]
	for _, r := range cc.refusals {
		narrowed := Refusal{LastCrash: r.LastCrash}
		for _, f := range r.Features {
			if !slices.Contains(features, f) {
				narrowed.Features = append(narrowed.Features, f)
			} else if !slices.Contains(cleared.Features, f) {
				cleared.Features = append(cleared.Features, f)
			}
		}
		if len(narrowed.Features) < len(r.Features) {
			cleared.Withdrawn = append(cleared.Withdrawn, r)
			if len(narrowed.Features) > 0 {
				cleared.Narrowed = append(cleared.Narrowed, narrowed)
			}
		}
		if len(narrowed.Features) > 0 {
			kept = append(kept, narrowed)
		}
	}
	cc.refusals = kept
}

// AddRefusal adds a refusal of this or another process. It reports whether it is new.
func (cc *CrashCounter) AddRefusal(now time.Time, r Refusal) bool {
	if len(r.Features) == 0 || now.Sub(r.LastCrash) > refusalPeriod {
		return false
	}
	for i, known := range cc.refusals {
		if sameFeatures(r, known) {
			if r.LastCrash.After(known.LastCrash) {
				cc.refusals[i].LastCrash = r.LastCrash
			}
			return false
		}
	}
	if len(cc.refusals) >= maxRefusals {
		cc.refusals = slices.Delete(cc.refusals, 0, 1)
	}
	cc.refusals = append(cc.refusals, r)
	return true
}

// Refusals returns the refusals in force at now.
func (cc *CrashCounter) Refusals(now time.Time) []Refusal {
	var inForce []Refusal
	for _, r := range cc.refusals {
		if now.Sub(r.LastCrash) <= refusalPeriod {
			inForce = append(inForce, r)
		}
	}
	return inForce
}

// Refuses reports whether a request with these features is refused at now.
func (cc *CrashCounter) Refuses(now time.Time, features []Feature) bool {
	for _, r := range cc.refusals {
		if now.Sub(r.LastCrash) <= refusalPeriod && hasAll(features, r.Features) {
			return true
		}
	}
	return false
}
