package placement

import (
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// SetEvacuated sets the evacuated failure domains. Their servers get no requests, even if
// there are no others. Requests that are in flight there stay counted until they finish.
// SetEvacuated returns the refusals of the queued requests for which no server is left. The
// caller must call Dispatch afterwards.
func (s *Scheduler[T]) SetEvacuated(now time.Time, domains []string) []Outcome[T] {
	s.evacuated = domains
	for _, c := range s.servers {
		c.evacuated = slices.Contains(domains, c.FailureDomain)
	}
	s.countBatches()
	return s.RefuseUnservable(now)
}

// RefuseUnservable returns the refusals of the queued requests that no server can take, now
// or as long as they may wait: their callers can use the time elsewhere.
func (s *Scheduler[T]) RefuseUnservable(now time.Time) []Outcome[T] {
	var out []Outcome[T]
	for _, q := range []*fairqueue.Queue[waiting[T]]{s.queue, s.late, s.large} {
		out = append(out, s.refuseUnservable(now, q)...)
	}
	return out
}

func (s *Scheduler[T]) refuseUnservable(now time.Time, q *fairqueue.Queue[waiting[T]]) []Outcome[T] {
	unservable := q.RemoveFunc(func(w waiting[T]) bool {
		c := w.constraint.withoutExclusions()
		_, outage := s.outageWait(now, c)
		return !outage && (!s.hasServer(now, c) || s.pausedBeyond(now, c, w.waitsUntil()))
	})
	var out []Outcome[T]
	for _, t := range unservable {
		w := t.Value
		if s.hasServer(now, w.constraint.withoutExclusions()) {
			out = append(out, s.refusalByPause(now, w.constraint.withoutExclusions(), w.value))
			continue
		}
		out = append(out, s.refuseNoServer(now, w.constraint, w.value))
	}
	return out
}

// DomainLoad returns the number of listed servers in a failure domain, and the requests of
// this gateway that are in flight there.
func (s *Scheduler[T]) DomainLoad(domain string) (servers, inFlight int) {
	for _, c := range s.servers {
		if c.FailureDomain != domain {
			continue
		}
		if c.listed {
			servers++
		}
		inFlight += c.ownInFlight
	}
	return servers, inFlight
}
