package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// crossDomainPenalty is added to the load of a server in another failure
	// domain, in requests. It is so small that it decides only between equal loads.
	crossDomainPenalty = 0.3
	// coldPenalty is added to the load of a server that is known to be cold, in requests.
	// Such a server is slow, so it gets less work while warm ones have room.
	coldPenalty = 2.0
)

// candidate is a server that may get the request.
type candidate struct {
	server *server
	// inFlight is the number of requests on the server, including the penalties for another
	// failure domain and for a cold server. serviceTime is the time per request relative to
	// the usual time of a server with one slot.
	inFlight    float64
	serviceTime float64
}

// cost returns the load of the server with one more request, relative to its
// throughput.
func (c candidate) cost() float64 { return (c.inFlight + 1) * c.serviceTime }

// pickSpread returns a server with little load.
//
// Many gateways see the same load reports, which are some hundred ms old. If each
// of them picked the least loaded server, all requests between two reports would
// go there and wait in its queue.
//
// Instead, pickSpread estimates how many requests the other gateways have started
// since their reports. It distributes these unreported requests over the servers,
// the least loaded first, which fills the servers up to a common level. It then
// picks each server with a probability equal to its share of the unreported
// requests (Dahlin, Interpreting stale load information, 1999). Without unreported
// requests the least loaded server is picked.
func (s *Scheduler[T]) pickSpread(now time.Time, servers []*server, need capacityNeed) *server {
	var candidates []candidate
	for _, c := range servers {
		if !s.hasCapacity(c, need) {
			continue
		}
		candidates = append(candidates, s.candidate(now, c))
	}
	if len(candidates) == 0 {
		return nil
	}
	// Servers of equal cost are tried in random order.
	s.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost(), b.cost()) })
	unreported := s.startRate.perSecond(now) * s.peerStaleness.Seconds()
	level := fillLevel(candidates, unreported)
	target := s.rng.Float64() * unreported
	for _, c := range candidates {
		if target -= c.headroom(level); target < 0 {
			return c.server
		}
	}
	return candidates[0].server
}

func (s *Scheduler[T]) candidate(now time.Time, c *server) candidate {
	load := float64(c.inFlight())
	if c.FailureDomain != s.config.FailureDomain {
		load += crossDomainPenalty
	}
	if c.coldUntil.After(now) {
		load += coldPenalty
	}
	return candidate{server: c, inFlight: load, serviceTime: c.currentSlowdown(now) / float64(max(c.Slots, 1))}
}

// headroom returns the number of requests that raise the cost of c to level.
func (c candidate) headroom(level float64) float64 { return max(level/c.serviceTime-1-c.inFlight, 0) }

// fillLevel returns the cost that all filled candidates reach when the given
// number of requests is distributed over them, the lowest cost first. The
// candidates are sorted by cost.
func fillLevel(candidates []candidate, requests float64) float64 {
	level := candidates[0].cost()
	// capacity is the number of requests that raise the cost of all filled
	// candidates by 1.
	capacity := 0.0
	for i, c := range candidates {
		capacity += 1 / c.serviceTime
		next := level + requests/capacity
		if i+1 == len(candidates) || next <= candidates[i+1].cost() {
			return next
		}
		requests -= (candidates[i+1].cost() - level) * capacity
		level = candidates[i+1].cost()
	}
	return level
}

// rateWindow is the time over which a rate is averaged.
const rateWindow = 2 * time.Second

// decayingRate measures the rate of an event as an exponentially decaying count.
// The zero value is ready to use.
type decayingRate struct {
	count float64
	at    time.Time
}

func (r *decayingRate) add(now time.Time) {
	r.count = r.decayed(now) + 1
	r.at = now
}

func (r *decayingRate) decayed(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// perSecond returns the current rate.
func (r *decayingRate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }
