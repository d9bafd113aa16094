// Package leaselog does the I/O around package lease: it tails the stream of
// lease records, appends the records of this process's candidacies and checks
// fencing tokens.
package leaselog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/lease"
)

// Settings configure a Client.
type Settings struct {
	Lease         lease.Settings
	Stream        string
	AppendTimeout time.Duration
	ReadWait      time.Duration
	ReadLimit     int
	// RetryDelay is the delay after a failed read.
	RetryDelay time.Duration
	// OnRecord, if set, is called with each record of the stream in order, so
	// that other users of the stream need no tail of their own. It must not
	// block.
	OnRecord func(infra.Record)
	// OnTrimmed, if set, is called with the oldest retained offset after the
	// log has trimmed records that were not read.
	OnTrimmed func(oldest infra.Offset)
}

// DefaultSettings returns the settings used by the daemons.
func DefaultSettings() Settings {
	return Settings{
		Lease: lease.DefaultSettings(), Stream: lease.Stream,
		AppendTimeout: 2 * time.Second, ReadWait: time.Second, ReadLimit: 1000,
		RetryDelay: 200 * time.Millisecond,
	}
}

// Client runs the candidacies and token checks of one process. All methods are
// safe for concurrent use.
type Client struct {
	log         infra.Log
	incarnation string
	now         func() time.Time
	settings    Settings
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu          sync.Mutex
	rng         *rand.Rand
	projection  *lease.Projection
	checker     *lease.TokenChecker
	candidacies map[string]*candidacy
}

// candidacy is a Candidate with the signal that wakes its goroutine after a
// change of its term.
type candidacy struct {
	leaseName   string
	candidate   *lease.Candidate
	termChanged chan struct{}
}

// New returns a Client that tails the stream until Close. incarnation must be
// unique for each process start. The times that now returns must have a monotonic
// reading. The caller must not use rng afterwards.
func New(log infra.Log, incarnation string, now func() time.Time, rng *rand.Rand, s Settings) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	projection := lease.NewProjection(s.Lease)
	c := &Client{
		log: log, incarnation: incarnation, now: now, settings: s, ctx: ctx, cancel: cancel,
		rng: rng, projection: projection, checker: lease.NewTokenChecker(s.Lease, projection, now()),
		candidacies: make(map[string]*candidacy),
	}
	c.goroutines.Add(1)
	go c.tail()
	return c
}

// Campaign competes for a lease until Close. A second call for the same lease
// does nothing.
func (c *Client) Campaign(leaseName string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.candidacies[leaseName] != nil || c.ctx.Err() != nil {
		return
	}
	d := &candidacy{
		leaseName:   leaseName,
		candidate:   lease.NewCandidate(c.settings.Lease, leaseName, c.incarnation, c.rng, c.now()),
		termChanged: make(chan struct{}, 1),
	}
	c.candidacies[leaseName] = d
	c.goroutines.Add(1)
	go c.runCandidacy(d)
}

// Token returns the fencing token of a lease while this process holds it.
// Callers check it before each action and send it with each command.
func (c *Client) Token(leaseName string) (infra.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.candidacies[leaseName]
	if d == nil {
		return 0, false
	}
	return d.candidate.Token(c.now())
}

// CheckToken decides whether a command with this token may pass to the backend
// server. A non-nil error is always an *errkind.Error, and means that the command
// has not run.
func (c *Client) CheckToken(leaseName string, token infra.Offset) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused := c.checker.Check(c.now(), leaseName, token); refused != nil {
		return refused
	}
	return nil
}

// CurrentToken returns the newest token of a lease that this process knows. It
// reports false unless the log was read recently.
func (c *Client) CurrentToken(leaseName string) (infra.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.CurrentToken(c.now(), leaseName)
}

// Close stops the goroutines of the client and releases the leases that this
// process holds. ctx bounds the appends of the releases.
func (c *Client) Close(ctx context.Context) {
	c.cancel()
	c.goroutines.Wait()
	for _, r := range c.leaveAll() {
		data, err := lease.Encode(r)
		if err != nil {
			continue
		}
		// If the release fails, the next holder waits until the lease expires.
		_, _ = c.log.Append(ctx, c.settings.Stream, data)
	}
}

func (c *Client) leaveAll() []lease.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []lease.Record
	for _, d := range c.candidacies {
		if r, held := d.candidate.Leave(c.now()); held {
			records = append(records, r)
		}
	}
	return records
}

// runCandidacy appends the records of one candidacy when they are due.
func (c *Client) runCandidacy(d *candidacy) {
	defer c.goroutines.Done()
	for c.ctx.Err() == nil {
		c.mu.Lock()
		record, due := d.candidate.Tick(c.now())
		wait := d.candidate.NextTick().Sub(c.now())
		c.mu.Unlock()
		if due {
			c.append(d, record)
			continue
		}
		timer := time.NewTimer(max(wait, c.settings.RetryDelay/10))
		select {
		case <-timer.C:
		case <-d.termChanged:
		case <-c.ctx.Done():
		}
		timer.Stop()
	}
}

// append appends one record. A lost response needs no handling, because the
// tail shows whether the record was appended.
func (c *Client) append(d *candidacy, record lease.Record) {
	data, err := lease.Encode(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.AppendTimeout)
	defer cancel()
	_, err = c.log.Append(ctx, c.settings.Stream, data)
	if errkind.Is(err, errkind.PlatformRateLimited) {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.candidate.AppendRateLimited(record.Nonce, c.now(), errkind.Of(err).RetryAfter)
	}
}

func (c *Client) tail() {
	defer c.goroutines.Done()
	for c.ctx.Err() == nil {
		startedAt := c.now()
		c.mu.Lock()
		after := c.projection.Offset()
		c.mu.Unlock()
		batch, err := c.read(after)
		var trimmed *infra.TrimmedError
		switch {
		case err == nil:
			c.applyBatch(startedAt, batch)
		case errors.As(err, &trimmed) && trimmed.Oldest > after+1:
			c.handleTrim(trimmed.Oldest)
		default:
			c.waitRetryDelay()
		}
	}
}

func (c *Client) read(after infra.Offset) (infra.Batch, error) {
	s := &c.settings
	ctx, cancel := context.WithTimeout(c.ctx, s.ReadWait+s.AppendTimeout)
	defer cancel()
	return c.log.Read(ctx, s.Stream, after, s.ReadLimit, s.ReadWait)
}

func (c *Client) waitRetryDelay() {
	select {
	case <-time.After(c.settings.RetryDelay):
	case <-c.ctx.Done():
	}
}

func (c *Client) handleTrim(oldest infra.Offset) {
	c.mu.Lock()
	c.projection.MarkTrimmed(oldest)
	c.mu.Unlock()
	if c.settings.OnTrimmed != nil {
		c.settings.OnTrimmed(oldest)
	}
}

func (c *Client) applyBatch(startedAt time.Time, batch infra.Batch) {
	c.mu.Lock()
	for _, r := range batch.Records {
		if t, changed := c.projection.Apply(r); changed {
			c.notifyCandidate(t)
		}
	}
	if c.projection.Offset() >= batch.End {
		c.checker.ConfirmRead(startedAt)
		for _, d := range c.candidacies {
			d.candidate.ObserveCaughtUp(c.now())
		}
	}
	c.mu.Unlock()
	if c.settings.OnRecord == nil {
		return
	}
	for _, r := range batch.Records {
		c.settings.OnRecord(r)
	}
}

// notifyCandidate passes a term to the candidate of its lease, if any, and wakes
// the goroutine. The caller holds mu.
func (c *Client) notifyCandidate(t lease.Term) {
	d := c.candidacies[t.LeaseName]
	if d == nil {
		return
	}
	d.candidate.ObserveTerm(c.now(), t)
	select {
	case d.termChanged <- struct{}{}:
	default:
	}
}
