package placement

// capacityNeed is the capacity that a request needs on a server.
type capacityNeed uint8

const (
	// anyLoad means that the server may be full.
	anyLoad capacityNeed = iota
	// freeSlot means a free slot or room in the queue of the server.
	freeSlot
	// spareSlot means a slot beyond those that are kept for requests in time.
	spareSlot
)

// MeanLoad returns the mean number of requests in flight on a listed server.
func (s *Scheduler[T]) MeanLoad() float64 {
	inFlight, _ := s.TotalLoad()
	return float64(inFlight) / float64(max(len(s.serverIDs), 1))
}

// SetBatchLimit limits the requests on each server; 0 means no limit but its slots.
func (s *Scheduler[T]) SetBatchLimit(requests int) { s.batchLimit = requests }

// hasCapacity reports whether a server has the needed capacity.
func (s *Scheduler[T]) hasCapacity(c *server, need capacityNeed) bool {
	limit := c.Slots + s.config.ServerQueueDepth
	if s.batchLimit > 0 && s.batchLimit < c.Slots {
		limit = s.batchLimit
	}
	switch need {
	case anyLoad:
		return true
	case spareSlot:
		return c.inFlight() < max(int(lateShare*float64(limit)), 1)
	default:
		return c.inFlight() < limit
	}
}
