package gateway

import (
	"time"

	"github.com/filbertmux/filbertmux/balance/liveness"
	"github.com/filbertmux/filbertmux/base/errkind"
)

// attemptResult is the result of an attempt at a backend server.
type attemptResult struct {
	server string
	// tokens is the memory that was taken for the request.
	tokens int
	// duration and cost are set for complete responses.
	duration time.Duration
	cost     float64
	// timeToFirstOutput is the time to the first part of the response.
	timeToFirstOutput time.Duration
	// silentFor is how long the server had sent no output when a hedge replaced it.
	silentFor time.Duration
	err       *errkind.Error
	// serverFull means that the server refused the request because it was full,
	// wrongServer that another server has the address now.
	serverFull  bool
	wrongServer bool
	// groupDown means that the rank group of the server is broken because the
	// group lost the server atFault.
	groupDown bool
	atFault   string
	// notServerFault means that the server didn't cause the failure.
	notServerFault bool
}

// wrongServerBan is how long a server gets no requests after another one has answered at its
// address, unless the list shows a new address or start of the server before. The list is
// usually right within a few seconds, but stays late while the store is away.
const wrongServerBan = 5 * time.Second

// release frees the slot of a finished attempt and updates the health of its
// server.
func (s *service) release(now time.Time, r attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.FreeMemory(r.server, r.tokens)
	s.scheduler.Finish(r.server, r.duration, r.cost)
	if r.timeToFirstOutput > 0 {
		s.recordTimeToFirstOutput(now, r.server, r.timeToFirstOutput)
	}
	if r.silentFor > 0 {
		s.recordSlowOutput(now, r.server, r.silentFor)
	}
	switch {
	case r.err == nil:
		s.outliers.RecordSuccess(r.server)
	case r.wrongServer:
		s.scheduler.Ban(r.server, now.Add(wrongServerBan))
		s.log.Warn().Str("server", r.server).Dur("for_ms", wrongServerBan).
			Msg("another server has taken over the address; sending no requests to this server until it has another one")
	case r.groupDown:
		if s.scheduler.MarkGroupDown(now, s.groupByServer[r.server]) {
			s.log.Warn().Str("group", s.groupByServer[r.server]).Str("server", r.server).Str("at_fault", r.atFault).
				Msg("rank group broken")
		}
	case r.serverFull:
		s.scheduler.SetCooldown(r.server, now.Add(fullCooldown))
		s.recordOverload(now)
	case !r.notServerFault:
		s.scheduler.SetCooldown(r.server, now.Add(failureCooldown))
		s.outliers.RecordFailure(now, r.server)
	}
	s.deliver(s.scheduler.Dispatch(now))
}

// recordOverload suspends retries for a while if the service as a whole is full. It
// doesn't if a single server is full, because others have free slots.
func (s *service) recordOverload(now time.Time) {
	if inFlight, slots := s.scheduler.TotalLoad(); inFlight >= slots {
		s.budget.RecordOverload(now)
	}
}

// slowRankCooldown is how long a rank is avoided after a report that it is slow.
// Its agent sends a report every few hundred ms while the rank is slow.
const slowRankCooldown = time.Second

// avoidSlowRank makes the scheduler avoid the server at an address. The ranks of a
// group run in lockstep, so a request on a slow rank delays those on all others.
func (s *service) avoidSlowRank(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.serverByAddress[address]
	if !ok {
		return
	}
	if now.Sub(s.slowRankReportedAt) > slowRankCooldown {
		s.log.Warn().Str("server", id).Msg("slow rank; preferring other servers")
	}
	s.slowRankReportedAt = now
	s.scheduler.Avoid(id, now.Add(slowRankCooldown))
}

// serverLiveness returns what is known about the liveness of a server that sends
// nothing. A probe that the pace of the server doesn't allow has to wait, and one to a server
// that is leaving or wants no requests isn't sent.
func (s *service) serverLiveness(now time.Time, id string) liveness.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.liveness.Check(now, id)
	if state == liveness.NeedsProbe && !s.scheduler.AllowProbe(now, id) {
		s.liveness.CancelProbe(id)
		return liveness.Probing
	}
	return state
}

// recordProbe records the result of a probe. A server that didn't answer gets no
// new requests for a while.
func (s *service) recordProbe(now time.Time, id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveness.RecordProbe(now, id, err == nil)
	if err != nil {
		s.scheduler.SetCooldown(id, now.Add(silentCooldown))
		s.log.Warn().Err(err).Str("server", id).Msg("silent server didn't answer a probe; its requests go to other servers")
	}
}

// atCapacity reports whether all slots of a server are taken, so that a request
// may be waiting in its queue.
func (s *service) atCapacity(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight, slots := s.scheduler.ServerLoad(id)
	return inFlight >= slots
}

// outputNoise is added to times that are compared with each other. Differences below it come
// from the network and the scheduling of processes and not from a slow server.
const outputNoise = 5 * time.Millisecond

// recordTimeToFirstOutput reports the time to the first part of a response,
// relative to the moving average, to the scheduler and updates the average.
func (s *service) recordTimeToFirstOutput(now time.Time, server string, first time.Duration) {
	if mean := s.outputTimes.Mean(); mean > 0 {
		s.scheduler.ObserveSlowdown(now, server, float64(first+outputNoise)/float64(mean+outputNoise))
	}
	s.outputTimes.Observe(first)
}

// waitBudget returns how long a request that arrived some time ago may wait for a slot.
func (s *service) waitBudget(objective, elapsed time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outputTimes.WaitBudget(objective, elapsed)
}
