package placement

import (
	"math"
	"time"
)

const (
	// shareBand is the part of a batch limit from which a gateway keeps to its share of the
	// requests. Below it, there is room for what all gateways start between two reports.
	shareBand = 0.75
	// shareRounding is added to the share, since a gateway can't have a part of a request.
	shareRounding = 0.5
	// minOwnRequests is the number of requests that each gateway may have, whatever the
	// others have.
	minOwnRequests = 1
)

// The load reports of the other gateways are some hundred ms old. If each gateway started
// requests whenever the reported load is below the limit of a batch, all of them would do so
// at the same time, and none for a while after that: the load would swing around the limit
// by a fifth, with passes beyond the objective at its highest and idle slots at its lowest.
//
// Near the limit, each gateway therefore changes the number of its own requests only by its
// share of what the batch is above or below the limit, all as of the time of the reports. A
// request that ends is replaced at once by the next one of the same gateway.

// ownLoad is the number of requests of this gateway on a batch, smoothed over the age of the
// reports of the others.
type ownLoad struct {
	smoothed float64
	at       time.Time
}

// SetGateways sets the number of live gateways, including this one.
func (s *Scheduler[T]) SetGateways(count int) { s.gateways = count }

// reportAge returns the mean age of the load reports of the other gateways.
func (s *Scheduler[T]) reportAge() time.Duration {
	return s.peerStaleness / time.Duration(max(s.gateways-1, 1))
}

// observeOwnLoad updates the smoothed loads of all batches.
func (s *Scheduler[T]) observeOwnLoad(now time.Time) {
	age := s.reportAge()
	if s.gateways < 2 || age <= 0 {
		clear(s.ownLoads)
		return
	}
	for key, b := range s.batches {
		o, ok := s.ownLoads[key]
		if !ok {
			s.ownLoads[key] = &ownLoad{smoothed: float64(b.own), at: now}
			continue
		}
		weight := 1 - math.Exp(-float64(now.Sub(o.at))/float64(age))
		o.smoothed += weight * (float64(b.own) - o.smoothed)
		o.at = now
	}
}

// withinLimit reports whether this gateway may start one more request on a batch with a
// limit for all of its servers together.
func (s *Scheduler[T]) withinLimit(key string, b batch, limit float64) bool {
	o, ok := s.ownLoads[key]
	if !ok || float64(b.inFlight+1) <= shareBand*limit {
		return float64(b.inFlight+1) <= limit
	}
	total := o.smoothed + float64(b.inFlight-b.own)
	share := max(o.smoothed/max(total, 1), 1/float64(s.gateways))
	target := o.smoothed + share*(limit-total)
	return float64(b.own+1) <= max(target+shareRounding, minOwnRequests)
}
