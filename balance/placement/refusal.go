package placement

import (
	"strings"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2600 * time.Millisecond
	// retryJitter spreads the retries of requests that are refused together.
	retryJitter = 0.25
)

func (s *Scheduler[T]) refuse(value T, err *errkind.Error) Outcome[T] {
	return Outcome[T]{Value: value, Err: err.WithRetryAfter(s.retryAfter())}
}

// retryAfter predicts when a slot will be free: after the work queued here, plus
// half the mean duration of a request.
func (s *Scheduler[T]) retryAfter() time.Duration {
	after := s.meanDuration / 2
	if rate := s.serviceRate(); rate > 0 {
		after += time.Duration(float64(s.queue.Len()) * s.meanCost / rate * float64(time.Second))
	}
	jitter := 1 + retryJitter*(2*s.rng.Float64()-1)
	return min(max(time.Duration(jitter*float64(after)), minRetryAfter), maxRetryAfter)
}

// serviceRate returns the work per second that this gateway gets done: the work
// in flight divided by the mean duration of a request. 0 means unknown.
func (s *Scheduler[T]) serviceRate() float64 {
	if s.meanDuration <= 0 {
		return 0
	}
	own := 0
	for _, srv := range s.servers {
		own += srv.ownInFlight
	}
	return float64(max(own, 1)) * s.meanCost / s.meanDuration.Seconds()
}

// refuseNoServer refuses a request that no server can take. During an outage or an
// evacuation, and if the regions of the request have no server, it returns the longest
// Retry-After, because a caller that retries soon is refused again.
func (s *Scheduler[T]) refuseNoServer(now time.Time, constraint Constraint, value T) Outcome[T] {
	inRegions := constraint.withoutExclusions()
	allowed, evacuated := false, false
	for _, id := range s.serverIDs {
		c := s.servers[id]
		if !inRegions.allows(c) {
			continue
		}
		allowed = true
		if c.evacuated {
			evacuated = true
			continue
		}
		if s.groupBlocked(now, c.Group) {
			err := errkind.New(errkind.NoBackendServer, "the rank group is broken")
			return Outcome[T]{Value: value, Err: err.WithRetryAfter(maxRetryAfter)}
		}
	}
	switch {
	case evacuated:
		err := errkind.New(errkind.NoBackendServer, "the backend servers that are left are in evacuated failure domains (%s)",
			strings.Join(s.evacuated, ", "))
		return Outcome[T]{Value: value, Err: err.WithRetryAfter(maxRetryAfter)}
	case !allowed && constraint.Regions != nil:
		err := errkind.New(errkind.NoBackendServer, "no backend server is in the allowed regions (%s)",
			strings.Join(constraint.Regions, ", "))
		return Outcome[T]{Value: value, Err: err.WithRetryAfter(maxRetryAfter)}
	default:
		return s.refuse(value, errkind.New(errkind.NoBackendServer, "no other backend server is left"))
	}
}

// refuseDisplaced returns the refusal of a request that was displaced from a queue, if
// there is one.
func (s *Scheduler[T]) refuseDisplaced(displaced *queuedTicket[T]) []Outcome[T] {
	if displaced == nil {
		return nil
	}
	return []Outcome[T]{s.refuse(displaced.Value.value, errkind.New(errkind.QueueFull, "displaced by more urgent work"))}
}
