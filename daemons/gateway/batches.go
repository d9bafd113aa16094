package gateway

import (
	"time"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/config/fleet"
)

// recordEventGap records the time between two events of a stream of a server.
func (s *service) recordEventGap(now time.Time, server string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventGaps.Observe(now, gap)
	key := placement.BatchKey(s.groupByServer[server], server)
	limit, ok := s.batchLimits[key]
	if !ok {
		limit = &placement.BatchLimit{}
		s.batchLimits[key] = limit
	}
	limit.Observe(now, s.batchModel, gap, s.meanLoads[key])
	s.scheduler.SetBatchLimit(key, limit.Requests(now, s.batchModel))
}

// setBatchLimits updates the limits of all batches, which change with time as well.
func (s *service) setBatchLimits(now time.Time) {
	var unmeasured placement.BatchLimit
	for key := range s.meanLoads {
		limit, ok := s.batchLimits[key]
		if !ok {
			limit = &unmeasured
		}
		s.scheduler.SetBatchLimit(key, limit.Requests(now, s.batchModel))
	}
}

// setEngine replaces the performance and the memory of the engines and the objective for the
// time between two events of a stream.
func (s *service) setEngine(now time.Time, e *fleet.Engine, gapObjective time.Duration) {
	if e == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	steps := time.Duration(e.StepsPerPass)
	s.batchModel = placement.BatchModel{
		Slots: e.Slots, PassTime: steps * e.StepTime, PassTimePerRequest: steps * e.StepTimePerRequest, GapObjective: gapObjective,
	}
	s.memoryTokens = e.MemoryTokens
	s.setBatchLimits(now)
}

// canFinish reports whether a stream with this many remaining events can finish
// within the time left, given the recent gaps between events.
func (s *service) canFinish(now time.Time, events int, objective, left time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventGaps.CanFinish(now, events, objective, left)
}
