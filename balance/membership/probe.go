package membership

import (
	"slices"
	"time"
)

// DueProbes times out unanswered probes and returns the ids of the servers to probe
// now, sorted. The caller sends these probes and reports each result with
// ApplySuccess or ApplyFailure. It calls Due at least every 50 ms.
func (v *View) DueProbes(now time.Time) []string {
	for _, id := range v.ids() {
		s := v.servers[id]
		if !s.probeAt.IsZero() && now.Sub(s.probeAt) >= v.config.ProbeTimeout {
			v.fail(now, s)
		}
	}
	var due []string
	for _, id := range v.ids() {
		s := v.servers[id]
		if !s.probeAt.IsZero() || !v.isDue(now, s) {
			continue
		}
		s.probeAt = now
		due = append(due, id)
	}
	return due
}

func (v *View) isDue(now time.Time, s *server) bool {
	if !s.unansweredAt.IsZero() && now.Sub(s.unansweredAt) >= v.config.ResponseTimeout {
		return true
	}
	return !now.Before(s.nextProbeAt)
}

// idleInterval spreads the probes to idle servers so that their rate stays
// below IdleProbesPerSecond.
func (v *View) idleInterval() time.Duration {
	spread := float64(len(v.servers)) / v.config.IdleProbesPerSecond
	return max(v.config.IdleInterval, time.Duration(spread*float64(time.Second)))
}

func (v *View) ids() []string {
	ids := make([]string, 0, len(v.servers))
	for id := range v.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
