package gateway

import (
	"time"

	"github.com/filbertmux/filbertmux/balance/liveness"
	"github.com/filbertmux/filbertmux/base/errkind"
)

// result is how a request ended at a server.
type result struct {
	server string
	// took and cost are set for whole answers.
	took time.Duration
	cost float64
	// first is the time to the first part of the answer.
	first time.Duration
	err   *errkind.Error
	// full says that the server refused for lack of room, moved that another
	// server has its address.
	full  bool
	moved bool
	// groupDown says that the rank group of the server is broken, atFault on the
	// loss of which server.
	groupDown bool
	atFault   string
	// innocent says that the failure isn't one of the server.
	innocent bool
}

// release ends a request at a server.
func (s *service) release(now time.Time, r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Finish(r.server, r.took, r.cost)
	if r.first > 0 {
		s.notePace(now, r.server, r.first)
	}
	switch {
	case r.err == nil:
		s.outliers.RecordSuccess(r.server)
	case r.moved:
		s.scheduler.Ban(r.server)
		s.log.Warn().Str("server", r.server).Msg("another server has the address; no more work for this one")
	case r.groupDown:
		if s.scheduler.MarkGroupDown(now, s.groups[r.server]) {
			s.log.Warn().Str("group", s.groups[r.server]).Str("server", r.server).Str("at_fault", r.atFault).
				Msg("rank group broken")
		}
	case r.full:
		s.scheduler.SetCooldown(r.server, now.Add(fullHold))
		s.noteFull(now)
	case !r.innocent:
		s.scheduler.SetCooldown(r.server, now.Add(failureHold))
		s.outliers.RecordFailure(now, r.server)
	}
	s.deliver(s.scheduler.Dispatch(now))
}

// noteFull stops the retries for a while if the service as a whole is full. A
// single full server is no reason to refuse: another one has room.
func (s *service) noteFull(now time.Time) {
	if inFlight, slots := s.scheduler.TotalLoad(); inFlight >= slots {
		s.budget.RecordOverload(now)
	}
}

// slowRankHold keeps work away from a slow rank. Its agent reports it each few
// hundred ms for as long as it is slow.
const slowRankHold = time.Second

// slowRank keeps work away from the server at an address. The ranks of a group
// are in lock-step, so a request on a slow one delays those of all others.
func (s *service) slowRank(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.addresses[address]
	if !ok {
		return
	}
	if now.Sub(s.slowAt) > slowRankHold {
		s.log.Warn().Str("server", id).Msg("slow rank; work goes to the others")
	}
	s.slowAt = now
	s.scheduler.Avoid(id, now.Add(slowRankHold))
}

// judge returns whether a server that sends nothing is alive.
func (s *service) judge(now time.Time, id string) liveness.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveness.Check(now, id)
}

// answered notes whether a server answered a question. One that did not gets no
// work for a while.
func (s *service) answered(now time.Time, id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveness.RecordProbe(now, id, err == nil)
	if err != nil {
		s.scheduler.SetCooldown(id, now.Add(silentHold))
		s.log.Warn().Err(err).Str("server", id).Msg("silent server answers no question; its work goes elsewhere")
	}
}

// crowded reports whether a request may wait in the queue of a server.
func (s *service) crowded(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight, slots := s.scheduler.ServerLoad(id)
	return inFlight >= slots
}

// notePace compares the time to the first part of an answer with the mean.
func (s *service) notePace(now time.Time, server string, first time.Duration) {
	if s.meanFirst > 0 {
		s.scheduler.ObserveSlowdown(now, server, float64(first)/float64(s.meanFirst))
		s.meanFirst += time.Duration(firstSmoothing * float64(first-s.meanFirst))
		return
	}
	s.meanFirst = first
}
