package placement

import (
	"cmp"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// ErrCold is the reason of a pace that protects a server which may be cold. It is in the
// chain of the refusal of a request that such paces kept from being started.
var ErrCold = errors.New("cold")

// pace limits the rate at which this gateway sends requests to a server.
type pace struct {
	// interval is the time between two requests, or 0 for no limit.
	interval time.Duration
	// next is when the next request may start, and sentAt when the last one was sent.
	next   time.Time
	sentAt time.Time
	// reason is why there is a pace, or nil.
	reason error
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
	p := &srv.pace
	old := p.interval
	p.interval = interval
	if interval == old || interval == 0 || interval == farFuture {
		return
	}
	next := min(p.next.Sub(now), interval)
	if old == 0 || old == farFuture {
		// The other gateways begin at other times, so that their requests don't arrive
		// together.
		next = max(next, time.Duration(s.rng.Float64()*float64(interval)))
	}
	p.next = now.Add(next)
}

// SetPaceReason sets the reason of the pace of a server, or nil.
func (s *Scheduler[T]) SetPaceReason(id string, reason error) {
	if srv, ok := s.servers[id]; ok {
		srv.pace.reason = reason
	}
}

// ConfirmSend must be called right before a request is sent to the server that it was
// assigned to. It reports whether the server may still get it: the server may have stated
// meanwhile that it is leaving or wants no requests, or lost its address, and its pace has to
// allow it. A connection may take longer than the interval of the pace, and then requests that
// started one after the other are ready together.
func (s *Scheduler[T]) ConfirmSend(now time.Time, id string) bool {
	srv, ok := s.servers[id]
	return !ok || !srv.unusable(now) && srv.pace.send(now)
}

// AllowProbe reports whether a server may be sent a probe now, which counts as a request.
func (s *Scheduler[T]) AllowProbe(now time.Time, id string) bool {
	srv, ok := s.servers[id]
	return !ok || !srv.unusable(now) && srv.pace.allows(now) && srv.pace.send(now)
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

// send records that a request is sent. It returns false if it must not be, because another
// one was sent less than the interval ago.
func (p *pace) send(now time.Time) bool {
	if p.interval == farFuture || p.interval > 0 && now.Before(p.sentAt.Add(p.interval)) {
		return false
	}
	p.sentAt = now
	if next := now.Add(p.interval); next.After(p.next) {
		p.next = next
	}
	return true
}

// heldByPace returns the reason of the paces that keep all servers with free capacity from
// getting a request, or nil.
func (s *Scheduler[T]) heldByPace(now time.Time, constraint Constraint) error {
	var reason error
	for _, id := range s.serverIDs {
		c := s.servers[id]
		if c.unusable(now) || !constraint.allows(c) || s.groupBlocked(now, c.Group) || !s.hasCapacity(c, freeSlot) {
			continue
		}
		if c.pace.allows(now) {
			return nil
		}
		reason = cmp.Or(reason, c.pace.reason)
	}
	return reason
}

// refuseByPace refuses a request if the paces of all servers together can't start it
// within its maximum wait. It returns false if a server without a pace could.
func (s *Scheduler[T]) refuseByPace(now time.Time, r Request[T]) (Outcome[T], bool) {
	earliest, perSecond := farFuture, 0.0
	var reason error
	for _, id := range s.serverIDs {
		c := s.servers[id]
		// A server that wants no requests for a while may get some while the request waits.
		if c.gone(now) || !r.allows(c) || s.groupBlocked(now, c.Group) {
			continue
		}
		if c.pace.interval == 0 {
			return Outcome[T]{}, false
		}
		reason = cmp.Or(reason, c.pace.reason)
		if c.pace.interval < farFuture {
			earliest = min(earliest, max(c.pace.next.Sub(now), c.pausedUntil.Sub(now), 0))
			perSecond += 1 / c.pace.interval.Seconds()
		}
	}
	if perSecond == 0 {
		// Another gateway may send requests to the servers.
		err := errkind.Wrap(errkind.NoBackendServer, reason, "all backend servers have a limit that other gateways use")
		return Outcome[T]{Value: r.Value, Err: err.WithRetryAfter(minRetryAfter)}, true
	}
	wait := earliest + time.Duration(float64(s.queue.Len())/perSecond*float64(time.Second))
	if wait <= r.MaxWait {
		return Outcome[T]{}, false
	}
	err := errkind.New(errkind.DeadlineUnreachable, "all backend servers have a limit on their requests; the wait would be %s", wait)
	err.Err = reason
	return Outcome[T]{Value: r.Value, Err: err.WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))}, true
}
