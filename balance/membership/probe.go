package membership

import (
	"slices"
	"time"
)

// DueProbes times out unanswered probes and returns the sorted IDs of the servers
// to probe now. The caller must send these probes and report each result with
// ApplySuccess or ApplyFailure. It must call DueProbes at least every 50 ms.
func (v *View) DueProbes(now time.Time) []string {
	for _, id := range v.sortedIDs() {
		s := v.servers[id]
		if !s.probeSentAt.IsZero() && now.Sub(s.probeSentAt) >= v.config.ProbeTimeout {
			v.recordFailure(now, s)
		}
	}
	var due []string
	for _, id := range v.sortedIDs() {
		s := v.servers[id]
		if !s.probeSentAt.IsZero() || !v.probeDue(now, s) {
			continue
		}
		s.probeSentAt = now
		due = append(due, id)
	}
	return due
}

func (v *View) probeDue(now time.Time, s *server) bool {
	if !s.unansweredAt.IsZero() && now.Sub(s.unansweredAt) >= v.config.ResponseTimeout {
		return true
	}
	return !now.Before(s.nextProbeAt)
}

// idleInterval returns the probe interval of idle servers, which keeps the rate of
// their probes within IdleProbesPerSecond.
func (v *View) idleInterval() time.Duration {
	seconds := float64(len(v.servers)) / v.config.IdleProbesPerSecond
	return max(v.config.IdleProbeInterval, time.Duration(seconds*float64(time.Second)))
}

func (v *View) sortedIDs() []string {
	ids := make([]string, 0, len(v.servers))
	for id := range v.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
