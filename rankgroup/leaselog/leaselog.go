// Package leaselog does the I/O around package lease: it tails the stream of
// leases, appends the records of this process's candidacies and answers the
// checks of fencing tokens.
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
	// RetryAfter is the pause after a failed read.
	RetryDelay time.Duration
	// OnRecord, if set, receives each record of the stream in order, so that
	// other users of the stream share this tail. It must not block.
	OnRecord func(infra.Record)
	// OnGap, if set, is told the oldest retained offset after missing records.
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

// Client is the lease driver of one process. All methods are safe for
// concurrent use.
type Client struct {
	log         infra.Log
	incarnation string
	now         func() time.Time
	settings    Settings
	ctx         context.Context
	cancel      context.CancelFunc
	loops       sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	fold    *lease.Projection
	guard   *lease.TokenChecker
	holders map[string]*candidacy
}

// candidacy is one Holder and the signal that wakes its goroutine.
type candidacy struct {
	duty    string
	holder  *lease.Candidate
	changed chan struct{}
}

// New returns a Client that tails the stream until Close. incarnation is
// unique for this process start; now carries a monotonic reading; rng is owned
// by the Client from here on.
func New(log infra.Log, incarnation string, now func() time.Time, rng *rand.Rand, s Settings) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	fold := lease.NewProjection(s.Lease)
	c := &Client{
		log: log, incarnation: incarnation, now: now, settings: s, ctx: ctx, cancel: cancel,
		rng: rng, fold: fold, guard: lease.NewTokenChecker(s.Lease, fold, now()),
		holders: make(map[string]*candidacy),
	}
	c.loops.Add(1)
	go c.tail()
	return c
}

// Campaign stands for duty until Close. A second call for a duty does nothing.
func (c *Client) Campaign(duty string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders[duty] != nil || c.ctx.Err() != nil {
		return
	}
	d := &candidacy{
		duty:    duty,
		holder:  lease.NewCandidate(c.settings.Lease, duty, c.incarnation, c.rng, c.now()),
		changed: make(chan struct{}, 1),
	}
	c.holders[duty] = d
	c.loops.Add(1)
	go c.campaign(d)
}

// Token returns the fencing token of duty while this process holds it. Ask it
// ahead of each action and send it with each command.
func (c *Client) Token(duty string) (infra.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.holders[duty]
	if d == nil {
		return 0, false
	}
	return d.holder.Token(c.now())
}

// CheckToken decides whether a command with this token may pass to the backend
// server. A non-nil error is an *errkind.Error that proves that nothing ran.
func (c *Client) CheckToken(duty string, token infra.Offset) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused := c.guard.Check(c.now(), duty, token); refused != nil {
		return refused
	}
	return nil
}

// CurrentToken returns the newest token of duty that this process knows. It reports
// false while the log was not read recently.
func (c *Client) CurrentToken(duty string) (infra.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.CurrentToken(c.now(), duty)
}

// Close releases the duties that this process holds and stops its goroutines.
// ctx bounds the appends of the releases.
func (c *Client) Close(ctx context.Context) {
	c.cancel()
	c.loops.Wait()
	for _, r := range c.releases() {
		data, err := lease.Encode(r)
		if err != nil {
			continue
		}
		// A release that fails only delays the next holder until expiry.
		_, _ = c.log.Append(ctx, c.settings.Stream, data)
	}
}

func (c *Client) releases() []lease.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []lease.Record
	for _, d := range c.holders {
		if r, held := d.holder.Leave(c.now()); held {
			records = append(records, r)
		}
	}
	return records
}

// campaign appends the records of one candidacy when they are due.
func (c *Client) campaign(d *candidacy) {
	defer c.loops.Done()
	for c.ctx.Err() == nil {
		c.mu.Lock()
		record, due := d.holder.Tick(c.now())
		wait := d.holder.NextTick().Sub(c.now())
		c.mu.Unlock()
		if due {
			c.append(d, record)
			continue
		}
		timer := time.NewTimer(max(wait, c.settings.RetryDelay/10))
		select {
		case <-timer.C:
		case <-d.changed:
		case <-c.ctx.Done():
		}
		timer.Stop()
	}
}

// append sends one record. A lost answer needs no action: the tail shows
// whether the record is there.
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
		d.holder.AppendRateLimited(record.Nonce, c.now(), errkind.Of(err).RetryAfter)
	}
}

func (c *Client) tail() {
	defer c.loops.Done()
	for c.ctx.Err() == nil {
		began := c.now()
		c.mu.Lock()
		after := c.fold.Offset()
		c.mu.Unlock()
		batch, err := c.read(after)
		var trimmed *infra.TrimmedError
		switch {
		case err == nil:
			c.apply(began, batch)
		case errors.As(err, &trimmed) && trimmed.Oldest > after+1:
			c.missing(trimmed.Oldest)
		default:
			c.pause()
		}
	}
}

func (c *Client) read(after infra.Offset) (infra.Batch, error) {
	s := &c.settings
	ctx, cancel := context.WithTimeout(c.ctx, s.ReadWait+s.AppendTimeout)
	defer cancel()
	return c.log.Read(ctx, s.Stream, after, s.ReadLimit, s.ReadWait)
}

func (c *Client) pause() {
	select {
	case <-time.After(c.settings.RetryDelay):
	case <-c.ctx.Done():
	}
}

func (c *Client) missing(oldest infra.Offset) {
	c.mu.Lock()
	c.fold.MarkTrimmed(oldest)
	c.mu.Unlock()
	if c.settings.OnTrimmed != nil {
		c.settings.OnTrimmed(oldest)
	}
}

func (c *Client) apply(began time.Time, batch infra.Batch) {
	c.mu.Lock()
	for _, r := range batch.Records {
		if t, changed := c.fold.Apply(r); changed {
			c.inform(t)
		}
	}
	if c.fold.Offset() >= batch.End {
		c.guard.ConfirmRead(began)
		for _, d := range c.holders {
			d.holder.ObserveCaughtUp(c.now())
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

// inform is called with the mutex held.
func (c *Client) inform(t lease.Term) {
	d := c.holders[t.LeaseName]
	if d == nil {
		return
	}
	d.holder.ObserveTerm(c.now(), t)
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
