package placement

// capacityNeed is the capacity that a request needs.
type capacityNeed struct {
	// anyLoad means that the server may be full.
	anyLoad bool
	// share is the fraction of the capacity of a server up to which the request may use
	// it, and headroom the fraction of the capacity of all servers that it leaves free.
	share, headroom float64
}

var (
	anyLoad = capacityNeed{anyLoad: true}
	// freeSlot means a free slot or room in the queue of the server.
	freeSlot = capacityNeed{share: 1}
	// spareSlot means a slot beyond those that are kept for requests in time.
	spareSlot = capacityNeed{share: lateShare}
)

// batch is the servers that execute their passes together: a rank group, or one server
// without a group.
type batch struct {
	servers int
	// inFlight counts the requests of all gateways, own those of this one.
	inFlight, own int
}

// BatchKey identifies the batch of a server by its group and its ID.
func BatchKey(group, id string) string {
	if group == "" {
		return id
	}
	return group
}

func (c *server) batchKey() string { return BatchKey(c.Group, c.ID) }

// countBatches counts the requests on the batches of the listed servers. The limit of a batch
// is for the mean over the servers that get requests, so those that are evacuated don't
// count.
func (s *Scheduler[T]) countBatches() {
	s.batches = make(map[string]batch, len(s.batches))
	for _, id := range s.serverIDs {
		c := s.servers[id]
		if c.evacuated {
			continue
		}
		b := s.batches[c.batchKey()]
		b.servers++
		b.inFlight += c.inFlight()
		b.own += c.ownInFlight
		s.batches[c.batchKey()] = b
	}
}

// addOwn adds n requests of this gateway to a server.
func (s *Scheduler[T]) addOwn(c *server, n int) {
	c.ownInFlight += n
	if !c.listed || c.evacuated {
		return
	}
	b := s.batches[c.batchKey()]
	b.inFlight += n
	b.own += n
	s.batches[c.batchKey()] = b
}

// MeanLoads returns the mean number of requests in flight on the servers of each batch.
func (s *Scheduler[T]) MeanLoads() map[string]float64 {
	out := make(map[string]float64)
	for key, b := range s.batches {
		out[key] = float64(b.inFlight) / float64(b.servers)
	}
	return out
}

// SetBatchLimit limits the mean number of requests on the servers of a batch; 0 means no
// limit but their slots.
func (s *Scheduler[T]) SetBatchLimit(key string, requests float64) {
	if requests > 0 {
		s.batchLimits[key] = requests
		return
	}
	delete(s.batchLimits, key)
}

// hasCapacity reports whether a server has the needed capacity.
func (s *Scheduler[T]) hasCapacity(c *server, need capacityNeed) bool {
	if need.anyLoad {
		return true
	}
	own := c.Slots + s.config.ServerQueueDepth
	limit, limited := s.batchLimits[c.batchKey()]
	if limited {
		own = c.Slots
	}
	if c.inFlight() >= max(int(need.share*float64(own)), 1) {
		return false
	}
	b := s.batches[c.batchKey()]
	return !limited || s.withinLimit(c.batchKey(), b, max(need.share*limit*float64(b.servers), 1))
}
