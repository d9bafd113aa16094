package placement

import (
	"math"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// pace limits the rate at which this gateway starts requests on a server.
type pace struct {
	// interval is the time between two starts, or 0 for no limit.
	interval time.Duration
	next     time.Time
}

// farFuture is the next start on a server that gets no requests from this gateway.
const farFuture = time.Duration(math.MaxInt64)

// SetPace sets the time between two requests of this gateway to a server. 0 means no
// limit. If allowed is false, the server gets none.
func (s *Scheduler[T]) SetPace(now time.Time, id string, interval time.Duration, allowed bool) {
	srv, ok := s.servers[id]
	if !ok {
		return
	}
	if !allowed {
		interval = farFuture
	}
	switch old := srv.pace; {
	case interval == old.interval:
	case interval == 0 || interval == farFuture:
		srv.pace = pace{interval: interval}
	case old.interval == 0 || old.interval == farFuture:
		// The other gateways begin at other times, so that their requests don't arrive
		// together.
		first := time.Duration(s.rng.Float64() * float64(interval))
		srv.pace = pace{interval: interval, next: now.Add(first)}
	default:
		srv.pace = pace{interval: interval, next: now.Add(min(old.next.Sub(now), interval))}
	}
}

// allows reports whether a request may start now.
func (p pace) allows(now time.Time) bool {
	return p.interval == 0 || p.interval < farFuture && !p.next.After(now)
}

// start records the start of a request.
func (p *pace) start(now time.Time) {
	if p.interval > 0 {
		p.next = now.Add(p.interval)
	}
}

// refuseByPace refuses a request if the paces of all servers together can't start it
// within its maximum wait. It returns false if a server without a pace could.
func (s *Scheduler[T]) refuseByPace(now time.Time, r Request[T]) (Outcome[T], bool) {
	earliest, perSecond := farFuture, 0.0
	for _, id := range s.serverIDs {
		c := s.servers[id]
		if c.unusable(now) || !r.allows(c) || s.groupBlocked(now, c.Group) {
			continue
		}
		if c.pace.interval == 0 {
			return Outcome[T]{}, false
		}
		if c.pace.interval < farFuture {
			earliest = min(earliest, max(c.pace.next.Sub(now), 0))
			perSecond += 1 / c.pace.interval.Seconds()
		}
	}
	if perSecond == 0 {
		// Another gateway may send requests to the servers.
		return Outcome[T]{
			Value: r.Value,
			Err:   errkind.New(errkind.NoBackendServer, "all backend servers state a limit that other gateways use").WithRetryAfter(minRetryAfter),
		}, true
	}
	wait := earliest + time.Duration(float64(s.queue.Len())/perSecond*float64(time.Second))
	if wait <= r.MaxWait {
		return Outcome[T]{}, false
	}
	err := errkind.New(errkind.DeadlineUnreachable, "all backend servers state a limit on their requests; the wait would be %s", wait)
	return Outcome[T]{Value: r.Value, Err: err.WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))}, true
}
