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

// batch is the servers that execute their passes together: a rank group, or one server
// without a group.
type batch struct {
	servers  int
	inFlight int
}

// BatchKey identifies the batch of a server by its group and its ID.
func BatchKey(group, id string) string {
	if group == "" {
		return id
	}
	return group
}

func (c *server) batchKey() string { return BatchKey(c.Group, c.ID) }

// batches returns the batches of the listed servers by key. The limit of a batch is for the
// mean over the servers that get requests, so those that are evacuated don't count.
func (s *Scheduler[T]) batches() map[string]batch {
	out := make(map[string]batch)
	for _, id := range s.serverIDs {
		c := s.servers[id]
		if c.evacuated {
			continue
		}
		b := out[c.batchKey()]
		b.servers++
		b.inFlight += c.inFlight()
		out[c.batchKey()] = b
	}
	return out
}

// MeanLoads returns the mean number of requests in flight on the servers of each batch.
func (s *Scheduler[T]) MeanLoads() map[string]float64 {
	out := make(map[string]float64)
	for key, b := range s.batches() {
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
func (s *Scheduler[T]) hasCapacity(c *server, batches map[string]batch, need capacityNeed) bool {
	if need == anyLoad {
		return true
	}
	share, own := 1.0, c.Slots+s.config.ServerQueueDepth
	limit, limited := s.batchLimits[c.batchKey()]
	if limited {
		own = c.Slots
	}
	if need == spareSlot {
		share, own = lateShare, max(int(lateShare*float64(own)), 1)
	}
	if c.inFlight() >= own {
		return false
	}
	b := batches[c.batchKey()]
	return !limited || float64(b.inFlight+1) <= max(share*limit*float64(b.servers), 1)
}
