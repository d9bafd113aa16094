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
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// meanSmoothing is the weight of a finished request in the moving averages
// that predict waits and the memory of small requests.
const meanSmoothing = 0.1

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
	large *fairqueue.Queue[waiting[T]]
	// hasRegions is set once a request was bound to regions. Until then no queued request
	// can be passed over.
	hasRegions bool
	// evacuated lists the evacuated failure domains.
	evacuated []string
	// ejected holds the servers that are left out of the list because they fail.
	ejected []Server
	// meanSmall is the moving average of the tokens of small requests.
	meanSmall float64
	// smallOnAll is the size up to which a request is small on all servers.
	smallOnAll float64
	// outages holds the groups that are known to be broken, by name.
	outages map[string]*outage
	// lastNow is the latest time of a call.
	lastNow time.Time
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
		config:      config,
		rng:         rng,
		servers:     make(map[string]*server),
		outages:     make(map[string]*outage),
		batchLimits: make(map[string]float64),
		ownLoads:    make(map[string]*ownLoad),
		queue:       newQueue[T](config),
		late:        newQueue[T](config),
		large:       newQueue[T](config),
	}
}

// SetClasses replaces the priority classes. Queued requests keep their class by name.
func (s *Scheduler[T]) SetClasses(classes []fairqueue.Class) {
	s.config.Classes, s.headrooms = classes, nil
	s.queue.SetClasses(classes)
	s.late.SetClasses(classes)
	s.large.SetClasses(classes)
}

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
	s.lastNow = now
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
	return s.enqueue(now, r, queue)
}

// enqueue queues a request for which no server has capacity, or refuses it. It returns what
// Place returns.
func (s *Scheduler[T]) enqueue(now time.Time, r Request[T], queue *fairqueue.Queue[waiting[T]]) (*Ticket[T], []Outcome[T]) {
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
		srv.ownLarge = nil
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
