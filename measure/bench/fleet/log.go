package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// LogConfig configures a Log. Rates are per second; 0 means no limit.
type LogConfig struct {
	Retention  time.Duration
	AppendRate float64
	ReadRate   float64
	// LostAppendShare and LostReadShare are the shares of requests whose answer
	// is lost.
	LostAppendShare float64
	LostReadShare   float64
}

// Log is an in-memory log service for virtual time. It is safe for concurrent
// use.
type Log struct {
	config  LogConfig
	appends *rate.Limiter
	reads   *rate.Limiter
	// onAppend is called for each record in order, with mu held.
	onAppend func(stream string, r infra.Record)

	mu            sync.Mutex
	rng           *rand.Rand
	streams       map[string]*stream
	down          bool
	outageStarted chan struct{} // closed when an outage starts
	requestCounts requestCounts
}

type stream struct {
	records []infra.Record
	oldest  infra.Offset
	changed chan struct{}
}

// requestCounts holds the numbers of requests that reached the log.
type requestCounts struct {
	reads, appends, refused           int
	currentSecond                     int64
	readsInSecond, peakReadsPerSecond int
}

func (u *requestCounts) countRead(now time.Time) {
	u.reads++
	if s := now.Unix(); s != u.currentSecond {
		u.currentSecond, u.readsInSecond = s, 0
	}
	u.readsInSecond++
	u.peakReadsPerSecond = max(u.peakReadsPerSecond, u.readsInSecond)
}

// NewLog returns an empty log, which takes ownership of rng.
func NewLog(c LogConfig, rng *rand.Rand) *Log {
	return &Log{
		config: c, appends: newLimiter(c.AppendRate), reads: newLimiter(c.ReadRate), rng: rng,
		streams: make(map[string]*stream), outageStarted: make(chan struct{}),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// SetDown starts or ends an outage. Requests in progress fail at its start.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down && !l.down {
		close(l.outageStarted)
	}
	if !down && l.down {
		l.outageStarted = make(chan struct{})
	}
	l.down = down
}

// stream returns the named stream and creates it if necessary. l.mu must be
// held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{oldest: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) end() infra.Offset {
	return s.oldest + infra.Offset(len(s.records)) - 1
}

func (s *stream) expire(before time.Time) {
	for len(s.records) > 0 && s.records[0].Time.Before(before) {
		s.records = s.records[1:]
		s.oldest++
	}
}

func unavailable(reason string) error {
	return errkind.New(errkind.PlatformUnavailable, "log: %s", reason)
}

// append adds a record. If lost is true, the caller must not get the answer.
func (l *Log) append(name string, data []byte) (offset infra.Offset, lost bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.down {
		return 0, false, unavailable("outage")
	}
	l.requestCounts.appends++
	if !l.appends.AllowN(now, 1) {
		l.requestCounts.refused++
		return 0, false, errkind.New(errkind.PlatformRateLimited, "append rate").WithRetryAfter(time.Second)
	}
	s := l.stream(name)
	record := infra.Record{Offset: s.end() + 1, Time: now, Data: data}
	s.records = append(s.records, record)
	if l.onAppend != nil {
		l.onAppend(name, record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return record.Offset, l.rng.Float64() < l.config.LostAppendShare, nil
}

// admitRead counts a read and enforces the read rate. If lost is true, the caller
// must not get the answer.
func (l *Log) admitRead() (lost bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.down {
		return false, unavailable("outage")
	}
	l.requestCounts.countRead(now)
	if !l.reads.AllowN(now, 1) {
		l.requestCounts.refused++
		return false, errkind.New(errkind.PlatformRateLimited, "read rate").WithRetryAfter(time.Second)
	}
	return l.rng.Float64() < l.config.LostReadShare, nil
}

// read returns the records after an offset and waits for one if there is none.
// connectionBroken ends the wait early.
func (l *Log) read(ctx context.Context, name string, after infra.Offset, limit int, wait time.Duration, connectionBroken <-chan struct{}) (infra.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		down, broken := l.down, l.outageStarted
		s := l.stream(name)
		s.expire(time.Now().Add(-l.config.Retention))
		batch, err := s.batch(after, limit)
		changed := s.changed
		l.mu.Unlock()
		if down {
			return infra.Batch{}, unavailable("outage")
		}
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-broken:
		case <-timer.C:
			return batch, nil
		case <-connectionBroken:
			return batch, nil // Client.Read then finds the connection broken
		case <-ctx.Done():
			return infra.Batch{}, unavailable("canceled")
		}
	}
}

func (s *stream) batch(after infra.Offset, limit int) (infra.Batch, error) {
	if after+1 < s.oldest {
		return infra.Batch{}, &infra.TrimmedError{Oldest: s.oldest, End: s.end()}
	}
	batch := infra.Batch{Oldest: s.oldest, End: s.end()}
	if after < s.end() {
		from := int(after + 1 - s.oldest)
		to := min(from+limit, len(s.records))
		batch.Records = s.records[from:to:to]
	}
	return batch, nil
}

// LinkMode is the state of a link.
type LinkMode int

// Modes of a link: Refuse answers each request with an error, Drop discards it
// without an answer. Requests in progress fail when the mode changes from Pass.
const (
	Pass LinkMode = iota
	Refuse
	Drop
)

// Link simulates the network path from one process to the log. It is safe for
// concurrent use.
type Link struct {
	latency time.Duration // one way

	mu      sync.Mutex
	mode    LinkMode
	broken  chan struct{} // closed when the mode changes from Pass
	passing chan struct{} // closed while the mode is Pass
}

// NewLink returns a link in mode Pass with the given one-way latency.
func NewLink(latency time.Duration) *Link {
	k := &Link{latency: latency, broken: make(chan struct{}), passing: make(chan struct{})}
	close(k.passing)
	return k
}

// SetMode changes the mode. A change from Pass breaks all connections.
func (k *Link) SetMode(m LinkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == Pass && m != Pass {
		close(k.broken)
		k.passing = make(chan struct{})
	}
	if k.mode != Pass && m == Pass {
		k.broken = make(chan struct{})
		close(k.passing)
	}
	k.mode = m
}

func (k *Link) passChannel() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.passing
}

func (k *Link) currentMode() (LinkMode, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode, k.broken
}

// transmit waits for the latency. It fails if the connection is broken; in mode
// Drop it fails only when ctx ends.
func (k *Link) transmit(ctx context.Context, broken <-chan struct{}) error {
	timer := time.NewTimer(k.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return unavailable("canceled")
	}
	select {
	case <-broken:
	default:
		return nil
	}
	if mode, _ := k.currentMode(); mode == Refuse {
		return unavailable("connection refused")
	}
	// A connection broken by Drop stays silent after the network has recovered.
	return awaitCancellation(ctx)
}

func awaitCancellation(ctx context.Context) error {
	<-ctx.Done()
	return unavailable("no answer")
}

// Client is the access of one process to the log through its link. It
// implements infra.Log.
type Client struct {
	Log  *Log
	Link *Link
	// DeliverDropped delivers appends that the link dropped once the link passes
	// again, as a network does that buffered them.
	DeliverDropped bool
	traffic        traffic
}

var _ infra.Log = (*Client)(nil)

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, name string, data []byte) (infra.Offset, error) {
	_, broken := c.Link.currentMode()
	if err := c.Link.transmit(ctx, broken); err != nil {
		if mode, _ := c.Link.currentMode(); c.DeliverDropped && mode == Drop {
			go c.deliverLate(name, data)
		}
		return 0, err
	}
	c.traffic.add(logRequestBytes + len(data))
	offset, lost, err := c.Log.append(name, data)
	if lost {
		return 0, awaitCancellation(ctx)
	}
	if broke := c.Link.transmit(ctx, broken); broke != nil {
		return 0, broke
	}
	return offset, err
}

func (c *Client) deliverLate(name string, data []byte) {
	<-c.Link.passChannel()
	_, _, _ = c.Log.append(name, data)
}

// Read implements infra.Log.
func (c *Client) Read(ctx context.Context, name string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	_, broken := c.Link.currentMode()
	c.traffic.add(logRequestBytes)
	if err := c.Link.transmit(ctx, broken); err != nil {
		return infra.Batch{}, err
	}
	lost, err := c.Log.admitRead()
	var batch infra.Batch
	if err == nil {
		batch, err = c.Log.read(ctx, name, after, limit, wait, broken)
	}
	if lost {
		return infra.Batch{}, awaitCancellation(ctx)
	}
	if broke := c.Link.transmit(ctx, broken); broke != nil {
		return infra.Batch{}, broke
	}
	for _, r := range batch.Records {
		c.traffic.add(recordBytes + len(r.Data)*4/3)
	}
	return batch, err
}
