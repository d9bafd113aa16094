// Package admission lets requests wait for a place toward the backend servers
// of their service, in the order of package fairqueue.
//
// An Admission is safe for concurrent use: one mutex guards all queues. It is
// held for one decision at a time; waiting happens outside of it.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// keptPart is the part of the places, one in keptPart, that only the most urgent
// class gets. With 3 of 32 places kept, its p99 wait at twice the capacity fell
// from 417 to 87 ms (decision note 0008).
const keptPart = 10

// Config sets up an Admission.
type Config struct {
	// QueueSize bounds the requests that wait for one service. Each service has
	// its own queue, so that a slow service doesn't hold up the others.
	QueueSize int
	// Concurrency returns the most requests toward the backend servers of a
	// service at a time.
	ConcurrencyLimit func(service string) int
	// View returns the table in force.
	View func() *table.View
	Now  func() time.Time
}

// Request is what the queue needs to know about a request.
type Request struct {
	Service      string
	Class        string
	Organisation string
	// Cost is the estimated number of tokens.
	Cost float64
	// Deadline is the time at which the caller gives up; zero means none.
	Deadline time.Time
}

// Admission holds the queue of each service.
type Controller struct {
	config Config

	mu       sync.Mutex
	view     *table.View // the table that classes and weights were taken from
	classes  []fairqueue.Class
	services map[string]*service
}

// service is the queue of one service.
type service struct {
	name    string
	queue   *fairqueue.Queue[*waiter]
	running int
	rate    rate
}

// waiter gets one verdict: nil if the request may run.
type waiter struct{ verdict chan error }

// New returns an Admission without requests.
func New(config Config) *Controller {
	return &Controller{config: config, services: make(map[string]*service)}
}

// Enter waits until the request may run and returns the function that ends it.
// It fails with QueueFull, DeadlineUnreachable or Canceled; all of them prove
// that the request did not run.
func (a *Controller) Acquire(ctx context.Context, r Request) (release func(), err error) {
	w := &waiter{verdict: make(chan error, 1)}
	s, ticket, err := a.push(r, w)
	if err != nil {
		return nil, err
	}
	release = func() { a.release(s, r.Cost) }
	select {
	case err = <-w.verdict:
	case <-ctx.Done():
		if a.cancel(s, ticket) {
			return nil, left(ctx)
		}
		err = <-w.verdict
	}
	if err != nil {
		return nil, err
	}
	return release, nil
}

// left returns the refusal of a request whose caller left or whose deadline
// passed in the queue.
func left(ctx context.Context) *errkind.Error {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it unwrapped
		return errkind.New(errkind.DeadlineUnreachable, "the deadline passed in the queue")
	}
	e := errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the caller left the queue")
	e.Execution = errkind.NotRun
	return e
}

func (a *Controller) push(r Request, w *waiter) (*service, *fairqueue.Ticket[*waiter], error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyTable()
	s := a.service(r.Service)
	now := a.config.Now()
	a.expire(now, s)
	ticket, displaced, err := s.queue.Push(now, fairqueue.Item[*waiter]{
		Class: r.Class, Organisation: r.Organisation, Cost: r.Cost, Deadline: r.Deadline, Value: w,
	})
	if err != nil {
		return nil, nil, err
	}
	if displaced != nil {
		displaced.Value.verdict <- errkind.New(errkind.QueueFull, "displaced by more urgent work")
	}
	a.serve(now, s)
	return s, ticket, nil
}

func (a *Controller) cancel(s *service, ticket *fairqueue.Ticket[*waiter]) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return s.queue.Cancel(ticket)
}

func (a *Controller) release(s *service, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyTable()
	now := a.config.Now()
	s.running--
	s.queue.SetRate(s.rate.finished(now, cost, s.queue.Len() > 0))
	a.serve(now, s)
}

// Refresh takes a changed table and a changed number of usable servers. The
// daemon calls it a few times a second: a service all of whose requests wait
// would otherwise not notice that its servers came back.
func (a *Controller) Refresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyTable()
	now := a.config.Now()
	for _, s := range a.services {
		a.serve(now, s)
	}
}

// serve lets waiting requests run while there is room. The caller holds mu.
func (a *Controller) serve(now time.Time, s *service) {
	a.expire(now, s)
	if s.queue.Len() == 0 {
		return
	}
	limit := a.config.ConcurrencyLimit(s.name)
	kept := limit / keptPart
	for s.running < limit-kept && s.start(s.queue.Pop()) {
	}
	for s.running < limit && s.start(s.queue.PopHighestClass()) {
	}
}

// start lets a request run. It returns false if there is none.
func (s *service) start(ticket *fairqueue.Ticket[*waiter]) bool {
	if ticket == nil {
		return false
	}
	s.running++
	ticket.Value.verdict <- nil
	return true
}

// expire refuses the requests that can no longer meet their deadline.
func (a *Controller) expire(now time.Time, s *service) {
	for _, ticket := range s.queue.Expire(now) {
		ticket.Value.verdict <- errkind.New(errkind.DeadlineUnreachable, "the deadline passed in the queue")
	}
}

// Waiting returns the number of requests in all queues.
func (a *Controller) QueueLength() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0
	for _, s := range a.services {
		total += s.queue.Len()
	}
	return total
}

// service returns the queue of a service. The names come from the table, which
// bounds their number. The caller holds mu.
func (a *Controller) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{name: name, queue: fairqueue.New[*waiter](a.config.QueueSize, a.classes)}
		setWeights(s.queue, a.view)
		a.services[name] = s
	}
	return s
}
