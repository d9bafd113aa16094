// Package admission bounds the requests in flight to the backend servers of each
// service. Requests above the bound wait in a queue, which package fairqueue
// orders.
//
// A Controller is safe for concurrent use: one mutex guards all queues. It is held
// for one decision at a time and never while a request waits.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// topClassSlotDivisor determines the slots that are reserved for the class with the
// highest priority: one in topClassSlotDivisor. With 3 of 32 slots reserved, the
// p99 wait of that class at twice the capacity fell from 417 to 87 ms (decision
// note 0008).
const topClassSlotDivisor = 10

// Config configures a Controller.
type Config struct {
	// QueueSize bounds the waiting requests of one service. Each service has its
	// own queue, so that a slow service doesn't delay the others.
	QueueSize int
	// ConcurrencyLimit returns the maximum number of requests in flight to the
	// backend servers of a service.
	ConcurrencyLimit func(service string) int
	// Refusal returns the error with which the requests of a service are refused, or
	// nil. While no server takes new requests, they would otherwise wait for the end of
	// those in flight.
	Refusal func(service string) error
	// View returns the table in force.
	View func() *table.View
	Now  func() time.Time
}

// Request contains the parameters of a request for its queue.
type Request struct {
	Service      string
	Class        string
	Organisation string
	// Cost is the estimated number of tokens.
	Cost float64
	// Deadline is the time at which the caller gives up; zero means none.
	Deadline time.Time
}

// Controller holds the queue of each service.
type Controller struct {
	config Config

	mu       sync.Mutex
	view     *table.View // the table that classes and weights were taken from
	classes  []fairqueue.Class
	services map[string]*serviceQueue
}

// serviceQueue is the queue of one service with its requests in flight.
type serviceQueue struct {
	name    string
	queue   *fairqueue.Queue[*waiter]
	running int
	rate    rateMeter
}

// waiter receives one result: nil if the request may run.
type waiter struct{ result chan error }

// New returns a Controller without requests.
func New(config Config) *Controller {
	return &Controller{config: config, services: make(map[string]*serviceQueue)}
}

// Acquire waits for a slot and returns the function that releases it. It fails with
// QueueFull, DeadlineUnreachable, Canceled or the refusal of the service; all of them
// prove that the request did not run.
func (c *Controller) Acquire(ctx context.Context, r Request) (release func(), err error) {
	w := &waiter{result: make(chan error, 1)}
	s, ticket, err := c.enqueue(r, w)
	if err != nil {
		return nil, err
	}
	release = func() { c.release(s, r.Cost) }
	select {
	case err = <-w.result:
	case <-ctx.Done():
		if c.cancel(s, ticket) {
			return nil, cancelError(ctx)
		}
		err = <-w.result
	}
	if err != nil {
		return nil, err
	}
	return release, nil
}

// cancelError returns the error for a request whose caller disconnected or whose
// deadline passed in the queue.
func cancelError(ctx context.Context) *errkind.Error {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it unwrapped
		return errkind.New(errkind.DeadlineUnreachable, "the deadline passed in the queue")
	}
	e := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the request was canceled in the queue")
	e.Execution = errkind.NotRun
	return e
}

func (c *Controller) enqueue(r Request, w *waiter) (*serviceQueue, *fairqueue.Ticket[*waiter], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyTable()
	s := c.serviceQueue(r.Service)
	now := c.config.Now()
	c.refuseExpired(now, s)
	ticket, displaced, err := s.queue.Push(now, fairqueue.Item[*waiter]{
		Class: r.Class, Organisation: r.Organisation, Cost: r.Cost, Deadline: r.Deadline, Value: w,
	})
	if err != nil {
		return nil, nil, err
	}
	if displaced != nil {
		displaced.Value.result <- errkind.New(errkind.QueueFull, "displaced from the full queue by a request with precedence")
	}
	c.dispatch(now, s)
	return s, ticket, nil
}

func (c *Controller) cancel(s *serviceQueue, ticket *fairqueue.Ticket[*waiter]) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.queue.Cancel(ticket)
}

func (c *Controller) release(s *serviceQueue, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyTable()
	now := c.config.Now()
	s.running--
	s.queue.SetRate(s.rate.recordFinished(now, cost, s.queue.Len() > 0))
	c.dispatch(now, s)
}

// Refresh applies changes of the table and of the concurrency limits. The daemon
// calls it several times per second: while all requests of a service wait, nothing
// else would notice that its servers became usable again.
func (c *Controller) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyTable()
	now := c.config.Now()
	for _, s := range c.services {
		c.dispatch(now, s)
	}
}

// dispatch lets waiting requests run while slots are free. The caller holds mu.
func (c *Controller) dispatch(now time.Time, s *serviceQueue) {
	c.refuseExpired(now, s)
	if s.queue.Len() == 0 {
		return
	}
	if err := c.config.Refusal(s.name); err != nil {
		s.refuseAll(err)
		return
	}
	limit := c.config.ConcurrencyLimit(s.name)
	topClassSlots := limit / topClassSlotDivisor
	for s.running < limit-topClassSlots && s.start(s.queue.Pop()) {
	}
	for s.running < limit && s.start(s.queue.PopHighestClass()) {
	}
}

// start lets the request with the ticket run. It returns false if ticket is nil.
func (s *serviceQueue) start(ticket *fairqueue.Ticket[*waiter]) bool {
	if ticket == nil {
		return false
	}
	s.running++
	ticket.Value.result <- nil
	return true
}

// refuseExpired refuses the requests that can no longer meet their deadline. The
// caller holds mu.
func (c *Controller) refuseExpired(now time.Time, s *serviceQueue) {
	for _, ticket := range s.queue.Expire(now) {
		ticket.Value.result <- errkind.New(errkind.DeadlineUnreachable, "the deadline passed in the queue")
	}
}

// refuseAll refuses all waiting requests.
func (s *serviceQueue) refuseAll(err error) {
	for _, ticket := range s.queue.RemoveFunc(func(*waiter) bool { return true }) {
		ticket.Value.result <- err
	}
}

// QueueLength returns the number of requests in all queues.
func (c *Controller) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, s := range c.services {
		total += s.queue.Len()
	}
	return total
}

// serviceQueue returns the queue of a service. The number of queues is bounded
// because the service names come from the table. The caller holds mu.
func (c *Controller) serviceQueue(name string) *serviceQueue {
	s, ok := c.services[name]
	if !ok {
		s = &serviceQueue{name: name, queue: fairqueue.New[*waiter](c.config.QueueSize, c.classes)}
		setWeights(s.queue, c.view)
		c.services[name] = s
	}
	return s
}
