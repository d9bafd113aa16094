package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// candidate is a server that may get the request.
type candidate struct {
	server *server
	// load is the number of requests that the request would find, and pace the
	// time that each of them takes in parts of a slot's usual one.
	load float64
	pace float64
}

// cost is the load that the request would find, relative to what the server gets
// done.
func (c candidate) cost() float64 { return (c.load + 1) * c.pace }

// spread returns a server with little load.
//
// The load that it answers is many gateways that see the same reports, which are
// some hundred ms old. If each of them took the server with the least load, all
// requests between two reports would go there and wait in its queue. The
// requests that the others have placed meanwhile are known by number: poured
// over the servers, the least loaded first, they fill them up to a level. A
// server gets the request with the probability of its part in that (Dahlin,
// Interpreting stale load information, 1999). Without unseen requests this is
// the least loaded server.
func (s *Scheduler[T]) spread(now time.Time, servers []*server, room bool) *server {
	var list []candidate
	for _, c := range servers {
		if room && c.load() >= c.Slots+s.config.ServerQueueDepth {
			continue
		}
		list = append(list, s.candidate(now, c))
	}
	if len(list) == 0 {
		return nil
	}
	// Equal servers come in random order.
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost(), b.cost()) })
	unseen := s.starts.perSecond(now) * s.staleness.Seconds()
	level := fillLevel(list, unseen)
	at := s.rng.Float64() * unseen
	for _, c := range list {
		if at -= c.below(level); at < 0 {
			return c.server
		}
	}
	return list[0].server
}

func (s *Scheduler[T]) candidate(now time.Time, c *server) candidate {
	load := float64(c.load())
	if c.FailureDomain != s.config.FailureDomain {
		load += crossDomainLoad
	}
	return candidate{server: c, load: load, pace: c.paceAt(now) / float64(max(c.Slots, 1))}
}

// below returns the number of requests that raise the cost of c to level.
func (c candidate) below(level float64) float64 { return max(level/c.pace-1-c.load, 0) }

// fillLevel returns the cost up to which a number of requests fill the candidates,
// which are sorted by cost.
func fillLevel(list []candidate, requests float64) float64 {
	level := list[0].cost()
	// capacity is the number of requests that raise the level of the filled
	// candidates by 1.
	capacity := 0.0
	for i, c := range list {
		capacity += 1 / c.pace
		next := level + requests/capacity
		if i+1 == len(list) || next <= list[i+1].cost() {
			return next
		}
		requests -= (list[i+1].cost() - level) * capacity
		level = list[i+1].cost()
	}
	return level
}

// rateWindow is the time over which a rate is averaged.
const rateWindow = 2 * time.Second

// decayingRate follows how often something happens. The zero value has seen
// nothing.
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

// perSecond returns the present rate.
func (r *decayingRate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }
