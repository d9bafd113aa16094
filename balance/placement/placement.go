// Package placement decides at one gateway which backend server runs a request,
// which requests are queued, and which are refused.
//
// It is designed for services near or beyond their capacity whose requests
// arrive through many gateways. A request goes to a backend server with little
// load relative to its slots and speed, counted over all gateways. If no server
// has capacity, the request waits in a bounded fair queue. If the expected wait
// exceeds the caller's maximum, it is refused at once with the time after which
// a slot is likely to be free.
//
// The package is deterministic: time and random source are passed in, and it has
// no goroutines and no I/O. A Scheduler isn't safe for concurrent use.
package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

const (
	// slowdownHalfLife is the time in which a measured slowdown loses half of its
	// weight, so that a slow server is tried again.
	slowdownHalfLife = 3 * time.Second
	// slowdownSmoothing is the weight of a new measurement.
	slowdownSmoothing = 0.3
	// maxSlowdownStep is the most by which one measurement raises the slowdown. A single
	// slow response, for example the first one of a process, says little about a server.
	maxSlowdownStep = 0.5
	// slowdownTolerance is the difference from the usual duration that doesn't count. Without
	// it, all requests of an idle service go to the server whose last response was a little
	// faster.
	slowdownTolerance = 0.1
	// minSlowdown and maxSlowdown bound the measured slowdown of a server.
	minSlowdown = 0.5
	maxSlowdown = 8.0
	// crossDomainPenalty is added to the load of a server in another failure
	// domain, in requests. It is so small that it decides only between equal loads.
	crossDomainPenalty = 0.3
	// coldPenalty is added to the load of a server that is known to be cold, in requests.
	// Such a server is slow, so it gets less work while warm ones have room.
	coldPenalty = 2.0
	// meanSmoothing is the weight of a finished request in the moving averages
	// that predict waits.
	meanSmoothing = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2600 * time.Millisecond
	// retryJitter spreads the retries of requests that are refused together.
	retryJitter = 0.25
)

// Server is a backend server that may get requests.
type Server struct {
	ID            string
	FailureDomain string
	// Region is the region of the failure domain, or empty if it isn't known.
	Region string
	Slots  int
	// MemoryTokens is the number of tokens that the server holds over all its requests, or 0
	// if that isn't known. A server with more crashes.
	MemoryTokens int
	// Group is the rank group of the server, or empty. The servers of a group
	// serve only while all of them work.
	Group string
	// Incarnation identifies a run of the server at an address. What was observed of
	// another incarnation doesn't count.
	Incarnation string
}

// Config holds the parameters of a Scheduler.
type Config struct {
	// FailureDomain is the failure domain of the gateway.
	FailureDomain string
	// ServerQueueDepth is the number of requests that a server may have in
	// addition to its slots, so that a freed slot is taken without waiting for the
	// gateway.
	ServerQueueDepth int
	// Classes are the priority classes, the most urgent first.
	Classes []fairqueue.Class
	// QueueCapacity is the maximum number of requests queued at this gateway.
	QueueCapacity int
}

// Request is a request to be placed on a backend server.
type Request[T any] struct {
	Class        string
	Organisation string
	// Cost is the expected work in tokens.
	Cost float64
	// MaxWait is the longest time that the request may be queued to be in time. During
	// the outage of a rank group it may be queued longer.
	MaxWait time.Duration
	Constraint
	// Value identifies the request to the caller of the Scheduler.
	Value T
}

// Outcome is the result of placing a request: a server or a refusal.
type Outcome[T any] struct {
	Value T
	// Server is the ID of the server that the request was assigned to. The request
	// counts there until Finish is called.
	Server string
	Err    *errkind.Error
}

type server struct {
	Server
	// ownInFlight counts the requests of this gateway, peerInFlight those of all
	// other gateways.
	ownInFlight  int
	peerInFlight int
	// ownLarge is the memory that the large requests of this gateway may need, and rank the
	// place of the gateway in the order in which they use it.
	ownLarge float64
	rank     int
	// slowdown is the smoothed duration of a request relative to the usual one;
	// slowdownAt is when it was last measured.
	slowdown   float64
	slowdownAt time.Time
	// Until cooldownUntil the server gets requests only if all others are in
	// cooldown or full. Until avoidUntil it gets requests only if there is no
	// other server. Until bannedUntil it gets none.
	cooldownUntil time.Time
	avoidUntil    time.Time
	bannedUntil   time.Time
	listed        bool
	// leaving means that the server has stated that it is leaving, and pausedUntil until
	// when it has stated to want no requests.
	leaving     bool
	pausedUntil time.Time
	pace        pace
	// evacuated means that the failure domain of the server is evacuated.
	evacuated bool
	// coldUntil is until when the server is known to be cold.
	coldUntil time.Time
}

// Scheduler places the requests of one service at one gateway.
type Scheduler[T any] struct {
	config  Config
	rng     *rand.Rand
	servers map[string]*server
	// serverIDs holds the IDs of the listed servers in a fixed order, so that a
	// pick depends on the random source and not on the iteration order of a map.
	serverIDs []string
	// queue holds the requests that can be in time, late those that can't any more, and large
	// those for which no server has memory.
	queue *fairqueue.Queue[waiting[T]]
	late  *fairqueue.Queue[waiting[T]]
	// hasRegions is set once a request was bound to regions. Until then no queued request
	// can be passed over.
	hasRegions bool
	// evacuated lists the evacuated failure domains.
	evacuated []string
	// ejected holds the servers that are left out of the list because they fail.
	ejected []Server
	large   *fairqueue.Queue[waiting[T]]
	// meanSmall is the moving average of the tokens of small requests.
	meanSmall float64
	// smallOnAll is the size up to which a request is small on all servers.
	smallOnAll float64
	// outages holds the groups that are known to be broken, by name.
	outages map[string]*outage
	// peerStaleness is the sum of the ages of the load reports of the other
	// gateways; startRate is the rate at which this gateway starts requests.
	peerStaleness time.Duration
	startRate     decayingRate
	// gateways is the number of live gateways, and ownLoads the load that this one puts on
	// each batch.
	gateways int
	ownLoads map[string]*ownLoad
	// headrooms holds what less urgent classes leave to each class, by the position of the
	// class.
	headrooms []headroom
	// batches holds the batches of the listed servers by key.
	batches map[string]batch
	// batchLimits holds the mean number of requests that the servers of a batch may have,
	// by batch. The others may use their slots and the depth of their queue.
	batchLimits map[string]float64
	// meanCost and meanDuration are moving averages over finished requests.
	meanCost     float64
	meanDuration time.Duration
}

// New returns a scheduler without servers.
func New[T any](config Config, rng *rand.Rand) *Scheduler[T] {
	return &Scheduler[T]{
		config:  config,
		rng:     rng,
		servers: make(map[string]*server),
		outages: make(map[string]*outage),

		batchLimits: make(map[string]float64),
		ownLoads:    make(map[string]*ownLoad),
		queue:       newQueue[T](config),
		late:        newQueue[T](config),
		large:       newQueue[T](config),
	}
}

// SetServers replaces the list of servers. Requests on a server that is no longer
// listed stay counted until they finish.
func (s *Scheduler[T]) SetServers(list []Server) {
	for _, srv := range s.servers {
		srv.listed = false
	}
	s.serverIDs = s.serverIDs[:0]
	for _, l := range list {
		srv, ok := s.servers[l.ID]
		if !ok {
			srv = &server{slowdown: 1}
			s.servers[l.ID] = srv
		}
		if srv.Incarnation != l.Incarnation {
			srv.forget()
		}
		srv.Server, srv.listed = l, true
		srv.evacuated = slices.Contains(s.evacuated, l.FailureDomain)
		s.serverIDs = append(s.serverIDs, l.ID)
	}
	for id, srv := range s.servers {
		if s.removable(srv) {
			delete(s.servers, id)
		}
	}
	s.countBatches()
	s.updateSmall()
	maps.DeleteFunc(s.batchLimits, func(key string, _ float64) bool { return s.batches[key].servers == 0 })
	maps.DeleteFunc(s.ownLoads, func(key string, _ *ownLoad) bool { return s.batches[key].servers == 0 })
}

// SetClasses replaces the priority classes. Queued requests keep their class by name.
func (s *Scheduler[T]) SetClasses(classes []fairqueue.Class) {
	s.config.Classes, s.headrooms = classes, nil
	s.queue.SetClasses(classes)
	s.late.SetClasses(classes)
}

// SetPeerLoad sets the requests in flight of all other gateways on each server.
func (s *Scheduler[T]) SetPeerLoad(load func(id string) int) {
	for id, srv := range s.servers {
		srv.peerInFlight = load(id)
	}
	s.countBatches()
}

// SetPeerStaleness sets the sum of the ages of the other gateways' load reports.
func (s *Scheduler[T]) SetPeerStaleness(sum time.Duration) { s.peerStaleness = sum }

// VisitOwnLoad calls report for each server on which this gateway has requests in
// flight.
func (s *Scheduler[T]) VisitOwnLoad(report func(id string, inFlight int)) {
	for id, srv := range s.servers {
		if srv.ownInFlight > 0 {
			report(id, srv.ownInFlight)
		}
	}
}

// TotalLoad returns the requests in flight of all gateways and the number of
// slots, summed over all listed servers that aren't evacuated.
func (s *Scheduler[T]) TotalLoad() (inFlight, slots int) {
	for _, id := range s.serverIDs {
		if s.servers[id].evacuated {
			continue
		}
		inFlight += s.servers[id].inFlight()
		slots += s.servers[id].Slots
	}
	return inFlight, slots
}

// ServerLoad returns the requests in flight of all gateways on a server, and its
// number of slots.
func (s *Scheduler[T]) ServerLoad(id string) (inFlight, slots int) {
	srv, ok := s.servers[id]
	if !ok {
		return 0, 0
	}
	return srv.inFlight(), srv.Slots
}

// QueueLen returns the number of queued requests.
func (s *Scheduler[T]) QueueLen() int { return s.queue.Len() + s.late.Len() + s.large.Len() }

// Place assigns a request to a server, queues it or refuses it. If the request was
// queued, Place returns a ticket, and the outcomes hold the refusal of the request
// that it displaced from the queue, if any. Otherwise the outcomes hold the result
// of the request itself.
func (s *Scheduler[T]) Place(now time.Time, r Request[T]) (*Ticket[T], []Outcome[T]) {
	if len(s.serverIDs) == 0 {
		return nil, []Outcome[T]{s.refuse(r.Value, errkind.New(errkind.NoBackendServer, "no backend server is listed"))}
	}
	if refused, ok := s.refuseTooLarge(now, r); ok {
		return nil, []Outcome[T]{refused}
	}
	s.observeOwnLoad(now)
	s.hasRegions = s.hasRegions || r.Regions != nil
	queue := s.queue
	if !s.mustQueue(now, r.Class) {
		need := s.needOf(now, r.Class)
		if picked := s.pick(now, r.Constraint, need); picked != nil {
			return nil, []Outcome[T]{s.startOn(now, picked, r.Tokens, r.Value)}
		}
		if s.lacksMemory(now, r.Constraint, need) {
			queue = s.large
		}
	}
	if refused, ok := s.refuseByPause(now, r); ok {
		return nil, []Outcome[T]{refused}
	}
	if refused, ok := s.refuseByPace(now, r); ok && s.hasServer(now, r.Constraint) {
		return nil, []Outcome[T]{refused}
	}
	w := waiting[T]{value: r.Value, constraint: r.Constraint, ticket: &Ticket[T]{queue: queue}, queuedAt: now, maxWait: r.MaxWait}
	s.queue.SetRate(s.serviceRate())
	if !s.hasServer(now, r.Constraint) {
		outageWait, ok := s.outageWait(now, r.Constraint)
		if !ok {
			return nil, []Outcome[T]{s.refuseNoServer(now, r.Constraint, r.Value)}
		}
		w.lateUntil = now.Add(min(outageWait, maxLateWait))
		// The past rate doesn't predict the end of an outage.
		s.queue.SetRate(0)
	}
	queued, displaced, err := queue.Push(now, fairqueue.Item[waiting[T]]{
		Class:        r.Class,
		Organisation: r.Organisation,
		Cost:         r.Cost,
		Deadline:     now.Add(r.MaxWait),
		Value:        w,
	})
	if err != nil {
		s.recordWait(now, r.Class, r.MaxWait, r.MaxWait)
		return nil, []Outcome[T]{s.refuse(r.Value, errkind.Of(err))}
	}
	w.ticket.queued = queued
	return w.ticket, s.refuseDisplaced(displaced)
}

// HasFreeSlot reports whether TryPlace would assign a request.
func (s *Scheduler[T]) HasFreeSlot(now time.Time, c Constraint) bool {
	return !s.mustQueue(now, anyClass) && s.pick(now, c, freeSlot) != nil
}

// TryPlace assigns a request to a server with a free slot and returns its ID. It returns
// false if there is none or if other requests have to start first.
func (s *Scheduler[T]) TryPlace(now time.Time, c Constraint) (server string, ok bool) {
	if s.mustQueue(now, anyClass) {
		return "", false
	}
	picked := s.pick(now, c, freeSlot)
	if picked == nil {
		return "", false
	}
	var none T
	return s.startOn(now, picked, c.Tokens, none).Server, true
}

// Dispatch assigns queued requests to servers with free capacity and refuses
// those whose deadline has passed. It must be called after each change of the load,
// and also at regular intervals to detect passed deadlines.
func (s *Scheduler[T]) Dispatch(now time.Time) []Outcome[T] {
	s.observeOwnLoad(now)
	out := append(s.expire(now), s.startLarge(now)...)
	for t, need := s.popNext(now); t != nil; t, need = s.popNext(now) {
		s.recordWait(now, t.Class, now.Sub(t.Value.queuedAt), t.Value.maxWait)
		out = append(out, s.startQueued(now, t, need)...)
	}
	for t := s.popQueued(now, s.late, spareSlot); t != nil; t = s.popQueued(now, s.late, spareSlot) {
		out = append(out, s.startQueued(now, t, spareSlot)...)
	}
	return out
}

// startQueued starts a request that was taken from a queue. If the request was already
// tried on all available servers, it is tried on one of them again.
func (s *Scheduler[T]) startQueued(now time.Time, t *queuedTicket[T], need capacityNeed) []Outcome[T] {
	for _, c := range []Constraint{t.Value.constraint, t.Value.constraint.withoutExclusions()} {
		for _, n := range []capacityNeed{need, anyLoad} {
			if picked := s.pick(now, c, n); picked != nil {
				return []Outcome[T]{s.startOn(now, picked, c.Tokens, t.Value.value)}
			}
		}
	}
	if s.lacksMemory(now, t.Value.constraint.withoutExclusions(), freeSlot) {
		return s.requeue(now, s.large, t.Item)
	}
	return []Outcome[T]{s.refuseNoServer(now, t.Value.constraint, t.Value.value)}
}

// Cancel removes a request from the queue and reports whether it was still queued.
func (s *Scheduler[T]) Cancel(t *Ticket[T]) bool { return t.queue.Cancel(t.queued) }

// Finish ends a request that was assigned to a server. took is the time to the end
// of the response and cost the work in tokens; both are 0 if the request failed.
func (s *Scheduler[T]) Finish(id string, took time.Duration, cost float64) {
	srv, ok := s.servers[id]
	if !ok {
		return
	}
	s.addOwn(srv, -1)
	if srv.ownInFlight == 0 {
		srv.ownLarge = 0
	}
	s.clearProbe(srv)
	if s.removable(srv) {
		delete(s.servers, id)
	}
	if took <= 0 {
		return
	}
	if s.meanDuration == 0 {
		s.meanDuration, s.meanCost = took, cost
		return
	}
	s.meanDuration += time.Duration(meanSmoothing * float64(took-s.meanDuration))
	s.meanCost += meanSmoothing * (cost - s.meanCost)
}

func (s *Scheduler[T]) startOn(now time.Time, picked *server, tokens int, value T) Outcome[T] {
	s.addOwn(picked, 1)
	s.takeMemory(picked, tokens)
	picked.pace.start(now)
	s.startRate.add(now)
	if o, ok := s.outages[picked.Group]; ok {
		o.probeServer = picked.ID
	}
	return Outcome[T]{Value: value, Server: picked.ID}
}

func (s *Scheduler[T]) refuse(value T, err *errkind.Error) Outcome[T] {
	return Outcome[T]{Value: value, Err: err.WithRetryAfter(s.retryAfter())}
}

// retryAfter predicts when a slot will be free: after the work queued here, plus
// half the mean duration of a request.
func (s *Scheduler[T]) retryAfter() time.Duration {
	after := s.meanDuration / 2
	if rate := s.serviceRate(); rate > 0 {
		after += time.Duration(float64(s.queue.Len()) * s.meanCost / rate * float64(time.Second))
	}
	jitter := 1 + retryJitter*(2*s.rng.Float64()-1)
	return min(max(time.Duration(jitter*float64(after)), minRetryAfter), maxRetryAfter)
}

// serviceRate returns the work per second that this gateway gets done: the work
// in flight divided by the mean duration of a request. 0 means unknown.
func (s *Scheduler[T]) serviceRate() float64 {
	if s.meanDuration <= 0 {
		return 0
	}
	own := 0
	for _, srv := range s.servers {
		own += srv.ownInFlight
	}
	return float64(max(own, 1)) * s.meanCost / s.meanDuration.Seconds()
}
