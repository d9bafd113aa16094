// Package claimlog runs non-idempotent calls at most once by means of claims in
// the log. It does the I/O for package claim: each partition has one goroutine
// that appends claims and outcomes in group commits and one that tails the
// stream.
package claimlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// Clock returns the current time, with a monotonic clock reading.
type Clock func() time.Time

// Settings configure a Client.
type Settings struct {
	Claim claim.Settings
	// Partitions is the number of claim streams per service. It is the same in
	// every sidecar of the service.
	Partitions int
	// GroupDelay is how long a group commit waits for further entries.
	GroupDelay time.Duration
	// MaxBatchEntries and MaxBatchBytes bound one log record. The size counts
	// stored answer bodies plus a fixed estimate for the rest of an entry.
	MaxBatchEntries int
	MaxBatchBytes   int
	// QueueLength bounds the entries that wait to be appended in a partition.
	QueueLength int
	// MaxCalls bounds the calls in flight of one Client.
	MaxCalls int
	// AppendTimeout bounds one append, ReadWait one long poll.
	AppendTimeout time.Duration
	ReadWait      time.Duration
	ReadLimit     int
	// OutcomeWait is how long a duplicate request waits until the outcome of the
	// first call is read back, if this process has already sent the reply to it.
	OutcomeWait time.Duration
	// UnavailableAfter is how long appends or reads have to fail before new
	// calls are refused without a claim.
	UnavailableAfter time.Duration
	// MarkerInterval is the age of the newest record above which a record
	// without entries is appended. The retention of the log must exceed
	// KeyWindow + MarkerInterval, so that a new sidecar finds a record older than
	// any key that it accepts.
	MarkerInterval time.Duration
}

// DefaultSettings returns the settings used by the daemons.
func DefaultSettings() Settings {
	return Settings{
		Claim:            claim.DefaultSettings(),
		Partitions:       4,
		GroupDelay:       3 * time.Millisecond,
		MaxBatchEntries:  256,
		MaxBatchBytes:    256 << 10,
		QueueLength:      4096,
		MaxCalls:         4096,
		AppendTimeout:    time.Second,
		ReadWait:         time.Second,
		ReadLimit:        512,
		OutcomeWait:      200 * time.Millisecond,
		UnavailableAfter: 500 * time.Millisecond,
		MarkerInterval:   time.Hour,
	}
}

// RunFunc sends the call to the backend server. A nil error means that the
// answer came from the backend server. An error whose execution status is
// not_run proves that the backend server did not receive the call; any other
// error means that the call may have run. ctx ends at the request's deadline and
// not when the caller cancels, so that the outcome still reaches the log.
type RunFunc func(ctx context.Context) (claim.Answer, error)

// Stats are counters since the Client started.
type Stats struct {
	Appends         int64 // acknowledged appends
	Entries         int64 // entries in acknowledged appends
	AppendsLost     int64 // appends that failed or whose response was lost
	RateLimited     int64
	OutcomesDropped int64 // dropped from a full queue; their claims stay open
	RecordsSkipped  int64 // records and entries of unknown type
}

type counters struct {
	appends, entries, lost, rateLimited, outcomesDropped atomic.Int64
}

// Client runs non-idempotent calls. All methods are safe for concurrent use.
type Client struct {
	log         infra.Log
	incarnation string
	now         Clock
	settings    Settings
	counters    counters
	slots       chan struct{}
	seq         atomic.Uint64

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	calls      sync.WaitGroup

	mu         sync.Mutex
	draining   bool
	partitions map[string]*partition
}

// New returns a Client. incarnation is unique for each start of the process, for
// example a new UUID. The caller has to call Shutdown.
func New(log infra.Log, incarnation string, now Clock, s Settings) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		log: log, incarnation: incarnation, now: now, settings: s,
		slots: make(chan struct{}, s.MaxCalls),
		ctx:   ctx, cancel: cancel, partitions: make(map[string]*partition),
	}
}

// StartPartition starts to tail partition n of service, so that its first call
// doesn't have to wait until the stream was read. Run starts other partitions on
// demand.
func (c *Client) StartPartition(service string, n int) error {
	_, err := c.partition(service, n)
	return err
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	s := Stats{
		Appends: c.counters.appends.Load(), Entries: c.counters.entries.Load(),
		AppendsLost: c.counters.lost.Load(), RateLimited: c.counters.rateLimited.Load(),
		OutcomesDropped: c.counters.outcomesDropped.Load(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.partitions {
		s.RecordsSkipped += p.skipped()
	}
	return s
}

// Run executes a non-idempotent call at most once for its identity. The error is
// an *errkind.Error whose Execution tells whether the call ran.
func (c *Client) Run(ctx context.Context, r claim.Request, run RunFunc) (claim.Answer, error) {
	now := c.now()
	if deadline, ok := ctx.Deadline(); ok && (r.Deadline.IsZero() || deadline.Before(r.Deadline)) {
		r.Deadline = deadline
	}
	key, keyErr := claim.ParseKey(r.Key, now, c.settings.Claim)
	if keyErr != nil {
		return claim.Answer{}, keyErr
	}
	id := claim.Identity{Organisation: r.Organisation, Service: r.Service, Key: key}
	p, err := c.partition(r.Service, claim.PartitionOf(id, c.settings.Partitions))
	if err != nil {
		return claim.Answer{}, err
	}
	select {
	case c.slots <- struct{}{}:
	default:
		return claim.Answer{}, errkind.New(errkind.QueueFull, "too many non-idempotent calls in flight").
			WithRetryAfter(c.settings.Claim.RetryAfter)
	}
	if !c.startCall() {
		<-c.slots
		return claim.Answer{}, drainingError()
	}
	p.awaitOutcome(ctx, id, r.BodyHash)
	a := newActiveCall(c, p, claim.NewCall(c.settings.Claim, c.nextID(), r, c.now()), id, r)
	go a.drive(ctx, run)
	result := <-a.result
	if result.err != nil {
		return claim.Answer{}, result.err
	}
	return result.answer, nil
}

// Shutdown refuses new calls, waits until the calls in flight have ended and
// their outcomes are written, and stops all goroutines. It stops at once when
// ctx ends; the outcome of claims without an outcome in the log is then unknown.
func (c *Client) Shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	err := c.drain(ctx)
	c.cancel()
	c.goroutines.Wait()
	return err
}

func (c *Client) drain(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		c.calls.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		return errkind.Wrap(errkind.Canceled, ctx.Err(), "shutdown stopped with calls in flight")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.partitions {
		if err := p.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) startCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.calls.Add(1)
	return true
}

func (c *Client) nextID() claim.ID {
	return claim.ID{Incarnation: c.incarnation, Seq: c.seq.Add(1)}
}

func (c *Client) partition(service string, n int) (*partition, error) {
	stream := claim.StreamName(service, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.partitions[stream]; p != nil {
		return p, nil
	}
	if c.draining {
		return nil, drainingError()
	}
	p := newPartition(c, stream)
	c.partitions[stream] = p
	c.goroutines.Add(2)
	go p.runWriter()
	go p.runTail()
	return p, nil
}

func drainingError() *errkind.Error {
	return errkind.New(errkind.Leaving, "the sidecar is shutting down")
}
