// Package placement decides at one gateway where a request runs, which requests
// wait for a place, and which are refused.
//
// The load it answers is a service near or beyond its capacity, with requests
// that come in through many gateways. A request goes to the backend server with
// little load relative to its slots and pace, counted over all gateways. If
// no server has room, the request waits in a bounded fair queue. If the expected
// wait exceeds the time in which an answer is still worth having, it is refused
// at once, with the time after which a place is likely.
//
// The package is deterministic: time and random source are passed in, and it has
// no goroutines and no I/O. A Scheduler has one owner.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

const (
	// paceHalfLife is the time in which a measured pace loses half of its
	// weight, so that a slow server is tried again.
	paceHalfLife = 3 * time.Second
	// paceSmoothing is the weight of a new measurement.
	paceSmoothing = 0.3
	// minPace and maxPace bound the factor by which a pace changes the load.
	minPace = 0.5
	maxPace = 8.0
	// crossDomainLoad is what a server in another failure domain costs, in
	// parts of a request: enough to decide between equal loads only.
	crossDomainLoad = 0.3
	// meanSmoothing is the weight of a finished request in the means by which
	// waits are predicted.
	meanSmoothing = 0.1
	// minRetryAfter and maxRetryAfter bound the advice to a refused caller.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2600 * time.Millisecond
	// retryJitter spreads the return of callers that are refused together.
	retryJitter = 0.25
)

// Server is a backend server that may get work.
type Server struct {
	ID            string
	FailureDomain string
	Slots         int
	// Group is the set of servers that serve together or not at all, or empty.
	Group string
}

// Config holds the parameters of a Scheduler.
type Config struct {
	// FailureDomain is that of the gateway.
	FailureDomain string
	// Depth is the number of requests beyond its slots that a server may hold,
	// so that a slot never stays free for the time of a message.
	ServerQueueDepth int
	// Classes are the priority classes, the most urgent first.
	Classes []fairqueue.Class
	// QueueCapacity bounds the requests that wait at this gateway.
	QueueCapacity int
}

// Request asks for a place.
type Request[T any] struct {
	Class        string
	Organisation string
	// Cost is the expected work in tokens.
	Cost float64
	// MaxWait is the longest time that the request may wait for a place. During
	// an outage it may wait longer.
	MaxWait time.Duration
	// Exclude lists the servers that the request was tried on.
	Exclude []string
	// Value identifies the request to the caller.
	Value T
}

// Outcome is the end of the wait of a request: a server or a refusal.
type Outcome[T any] struct {
	Value T
	// Server is the id of the server on which the request was counted.
	Server string
	Err    *errkind.Error
}

// Ticket identifies a waiting request.
type Ticket[T any] = fairqueue.Ticket[waiting[T]]

type waiting[T any] struct {
	value   T
	exclude []string
}

type server struct {
	Server
	// own counts the requests of this gateway, others those of the other ones.
	own    int
	others int
	// pace is the smoothed time of a request relative to the mean.
	pace    float64
	pacedAt time.Time
	// held is until when the server gets work only if all others are held or
	// full, avoided until when it gets work only if there is no other server, and
	// banned that it never gets any.
	held    time.Time
	avoided time.Time
	banned  bool
	listed  bool
}

// Scheduler places the requests of one service at one gateway.
type Scheduler[T any] struct {
	config  Config
	rng     *rand.Rand
	servers map[string]*server
	// order holds the ids of the listed servers, so that a pick depends on the
	// random source and not on the order of a map.
	order []string
	queue *fairqueue.Queue[waiting[T]]
	// outages holds the groups that are known to be broken, by name.
	outages map[string]*outage
	// staleness is the sum of the ages of the reports behind others, and starts
	// the rate at which this gateway places requests.
	staleness time.Duration
	starts    decayingRate
	// meanCost and meanTime describe the finished requests.
	meanCost float64
	meanTime time.Duration
}

// New returns a scheduler without servers.
func New[T any](config Config, rng *rand.Rand) *Scheduler[T] {
	return &Scheduler[T]{
		config:  config,
		rng:     rng,
		servers: make(map[string]*server),
		outages: make(map[string]*outage),
		queue:   fairqueue.New[waiting[T]](config.QueueCapacity, config.Classes),
	}
}

// SetServers replaces the list of servers. Requests that run on a server that
// left the list stay counted until they finish.
func (s *Scheduler[T]) SetServers(list []Server) {
	for _, known := range s.servers {
		known.listed = false
	}
	s.order = s.order[:0]
	for _, l := range list {
		known, ok := s.servers[l.ID]
		if !ok {
			known = &server{pace: 1}
			s.servers[l.ID] = known
		}
		known.Server, known.listed = l, true
		s.order = append(s.order, l.ID)
	}
	for id, known := range s.servers {
		if !known.listed && known.own == 0 {
			delete(s.servers, id)
		}
	}
}

// SetPeerLoad sets the requests of all other gateways on each server.
func (s *Scheduler[T]) SetPeerLoad(load func(id string) int) {
	for id, known := range s.servers {
		known.others = load(id)
	}
}

// SetPeerStaleness sets the ages of the reports of the other gateways, added up.
func (s *Scheduler[T]) SetPeerStaleness(sum time.Duration) { s.staleness = sum }

// VisitOwnLoad calls report for each server with the requests of this gateway on it.
func (s *Scheduler[T]) VisitOwnLoad(report func(id string, inFlight int)) {
	for id, known := range s.servers {
		if known.own > 0 {
			report(id, known.own)
		}
	}
}

// TotalLoad returns the requests of all gateways and the slots, over all servers.
func (s *Scheduler[T]) TotalLoad() (inFlight, slots int) {
	for _, id := range s.order {
		inFlight += s.servers[id].load()
		slots += s.servers[id].Slots
	}
	return inFlight, slots
}

// ServerLoad returns the requests of all gateways on a server, and its slots.
func (s *Scheduler[T]) ServerLoad(id string) (inFlight, slots int) {
	known, ok := s.servers[id]
	if !ok {
		return 0, 0
	}
	return known.load(), known.Slots
}

// QueueLen returns the number of requests that wait.
func (s *Scheduler[T]) QueueLen() int { return s.queue.Len() }

// Place returns an outcome, or a ticket if the request has to wait. A displaced
// request is one that has to make way for this one; it is refused.
func (s *Scheduler[T]) Place(now time.Time, r Request[T]) (*Ticket[T], []Outcome[T]) {
	if len(s.order) == 0 {
		return nil, []Outcome[T]{s.refuse(r.Value, errkind.New(errkind.NoBackendServer, "no backend server is listed"))}
	}
	if s.queue.Len() == 0 {
		if picked := s.pick(now, r.Exclude, true); picked != nil {
			return nil, []Outcome[T]{s.start(now, picked, r.Value)}
		}
	}
	maxWait := r.MaxWait
	s.queue.SetRate(s.rate())
	if s.pick(now, r.Exclude, false) == nil {
		patience, ok := s.patience(now, r.Exclude)
		if !ok {
			return nil, []Outcome[T]{s.refuseUnserved(now, r.Value)}
		}
		// The pace of the past says nothing about an outage.
		maxWait = patience
		s.queue.SetRate(0)
	}
	ticket, displaced, err := s.queue.Push(now, fairqueue.Item[waiting[T]]{
		Class:        r.Class,
		Organisation: r.Organisation,
		Cost:         r.Cost,
		Deadline:     now.Add(maxWait),
		Value:        waiting[T]{value: r.Value, exclude: r.Exclude},
	})
	if err != nil {
		return nil, []Outcome[T]{s.refuse(r.Value, errkind.Of(err))}
	}
	if displaced == nil {
		return ticket, nil
	}
	full := errkind.New(errkind.QueueFull, "displaced by more urgent work")
	return ticket, []Outcome[T]{s.refuse(displaced.Value.value, full)}
}

// Dispatch returns the waiting requests that got a place or whose wait is over. The
// caller calls it after each change of the load and at least at NextExpiry.
func (s *Scheduler[T]) Dispatch(now time.Time) []Outcome[T] {
	var out []Outcome[T]
	for _, t := range s.queue.Expire(now) {
		err := errkind.New(errkind.DeadlineUnreachable, "no place within the wait")
		out = append(out, s.refuse(t.Value.value, err))
	}
	for s.queue.Len() > 0 && s.pick(now, nil, true) != nil {
		t := s.queue.Pop()
		out = append(out, s.serve(now, t))
	}
	return out
}

// serve starts a request that leaves the queue. It was tried on some servers; if
// those are all that is left, it is tried there again.
func (s *Scheduler[T]) serve(now time.Time, t *Ticket[T]) Outcome[T] {
	for _, exclude := range [][]string{t.Value.exclude, nil} {
		for _, room := range []bool{true, false} {
			if picked := s.pick(now, exclude, room); picked != nil {
				return s.start(now, picked, t.Value.value)
			}
		}
	}
	return s.refuseUnserved(now, t.Value.value)
}

// Cancel removes a waiting request and reports whether it still waited.
func (s *Scheduler[T]) Cancel(t *Ticket[T]) bool { return s.queue.Cancel(t) }

// Finish ends a request that was placed on a server. took is the time to the
// end of the answer and cost the work, both 0 if the request failed.
func (s *Scheduler[T]) Finish(id string, took time.Duration, cost float64) {
	known, ok := s.servers[id]
	if !ok {
		return
	}
	known.own--
	s.probed(known)
	if !known.listed && known.own == 0 {
		delete(s.servers, id)
	}
	if took <= 0 {
		return
	}
	if s.meanTime == 0 {
		s.meanTime, s.meanCost = took, cost
		return
	}
	s.meanTime += time.Duration(meanSmoothing * float64(took-s.meanTime))
	s.meanCost += meanSmoothing * (cost - s.meanCost)
}

// ObserveSlowdown notes how long a server took relative to what is usual for the request.
func (s *Scheduler[T]) ObserveSlowdown(now time.Time, id string, ratio float64) {
	known, ok := s.servers[id]
	if !ok {
		return
	}
	pace := known.paceAt(now)
	known.pace = min(max(pace+paceSmoothing*(ratio-pace), minPace), maxPace)
	known.pacedAt = now
}

// SetCooldown keeps work away from a server until a time, unless all are held.
func (s *Scheduler[T]) SetCooldown(id string, until time.Time) {
	if known, ok := s.servers[id]; ok && until.After(known.held) {
		known.held = until
	}
}

// Avoid keeps work away from a server until a time, unless there is no other one.
// Unlike Hold, it does so when all others are full: work on a slow rank delays
// that of its whole group.
func (s *Scheduler[T]) Avoid(id string, until time.Time) {
	if known, ok := s.servers[id]; ok && until.After(known.avoided) {
		known.avoided = until
	}
}

// Ban keeps all work away from a server for as long as it is listed: its
// address belongs to another one now.
func (s *Scheduler[T]) Ban(id string) {
	if known, ok := s.servers[id]; ok {
		known.banned = true
	}
}

func (s *Scheduler[T]) start(now time.Time, picked *server, value T) Outcome[T] {
	picked.own++
	s.starts.add(now)
	if o, ok := s.outages[picked.Group]; ok {
		o.probe = picked.ID
	}
	return Outcome[T]{Value: value, Server: picked.ID}
}

func (s *Scheduler[T]) refuse(value T, err *errkind.Error) Outcome[T] {
	return Outcome[T]{Value: value, Err: err.WithRetryAfter(s.retryAfter())}
}

// retryAfter predicts when a place is free: the work that waits here first,
// then half of a usual request.
func (s *Scheduler[T]) retryAfter() time.Duration {
	after := s.meanTime / 2
	if rate := s.rate(); rate > 0 {
		after += time.Duration(float64(s.queue.Len()) * s.meanCost / rate * float64(time.Second))
	}
	jitter := 1 + retryJitter*(2*s.rng.Float64()-1)
	return min(max(time.Duration(jitter*float64(after)), minRetryAfter), maxRetryAfter)
}

// rate is the work per second that this gateway gets done: what it has in
// flight, over the mean time of a request. 0 is unknown.
func (s *Scheduler[T]) rate() float64 {
	if s.meanTime <= 0 {
		return 0
	}
	own := 0
	for _, known := range s.servers {
		own += known.own
	}
	return float64(max(own, 1)) * s.meanCost / s.meanTime.Seconds()
}

// pick returns a server with little relative load. With room, only servers with a
// free place count.
func (s *Scheduler[T]) pick(now time.Time, exclude []string, room bool) *server {
	var usable, held, avoided []*server
	for _, id := range s.order {
		c := s.servers[id]
		switch {
		case c.banned || slices.Contains(exclude, id) || s.closed(now, c.Group):
		case c.avoided.After(now):
			avoided = append(avoided, c)
		case c.held.After(now):
			held = append(held, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable)+len(held) == 0 {
		usable = avoided
	}
	if picked := s.spread(now, usable, room); picked != nil {
		return picked
	}
	return s.spread(now, held, room)
}

func (c *server) load() int { return c.own + c.others }

// paceAt lets a measured pace fade towards 1.
func (c *server) paceAt(now time.Time) float64 {
	if c.pace == 1 {
		return 1
	}
	halves := float64(now.Sub(c.pacedAt)) / float64(paceHalfLife)
	return 1 + (c.pace-1)*math.Exp2(-halves)
}
